//! `standin-layout`: writes the settings files of a whole test run on one machine.

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use ladder_schema::settings::{Placement, Selection, Strategy, Switch};
use ladder_standin::layout::Layout;
use ladder_standin::layout::user::User;

struct Options {
    layout: Layout,
    out: PathBuf,
}

fn main() -> ExitCode {
    let options = all_options().run();
    match options.layout.write(&options.out) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn all_options() -> OptionParser<Options> {
    let layout = layout_options();
    let out =
        long("out").help("Folder to write to; created when absent").argument::<PathBuf>("DIR");
    construct!(Options { layout, out })
        .to_options()
        .descr("Writes the settings of a whole run at a user's sizes of today, on free ports.")
        .footer(
            "Writes platform.json, targets-K.json, instance-N.json, and run.json with all \
             addresses. Exit code 2: a value out of bounds, no free port, or a file that cannot \
             be written.",
        )
}

fn layout_options() -> impl Parser<Layout> {
    let user = long("user").help("Whose sizes: porto or bagmati").argument::<User>("USER");
    let sizes = size_options();
    let service = service_options();
    let strategy = strategy_options();
    construct!(user, sizes, service, strategy).map(|(user, sizes, service, strategy)| {
        Layout::new(user)
            .instances(sizes.instances)
            .processes(sizes.processes)
            .scale(sizes.scale)
            .address(sizes.address)
            .straggler_permille(service.straggler_permille)
            .service_us(service.service_us)
            .cold_ms(service.cold_ms)
            .seed(service.seed)
            .strategy(strategy)
    })
}

struct SizeOptions {
    instances: u32,
    processes: u32,
    scale: f64,
    address: IpAddr,
}

fn size_options() -> impl Parser<SizeOptions> {
    let instances = long("instances")
        .help("Instances of the system, 1 to 500")
        .argument("N")
        .fallback(3)
        .display_fallback();
    let processes = long("target-processes")
        .help("Processes that the targets are spread over, 1 to 64")
        .argument("K")
        .fallback(2)
        .display_fallback();
    let scale = long("scale")
        .help("Scales the number of numbered services, 0.01 to 10")
        .argument("F")
        .fallback(1.0)
        .display_fallback();
    let address = long("address")
        .help("IP number that everything listens on")
        .argument("IP")
        .fallback(IpAddr::V4(Ipv4Addr::LOCALHOST))
        .display_fallback();
    construct!(SizeOptions { instances, processes, scale, address })
}

struct ServiceOptions {
    straggler_permille: u32,
    service_us: u32,
    cold_ms: u32,
    seed: u64,
}

fn service_options() -> impl Parser<ServiceOptions> {
    let straggler_permille = long("straggler-permille")
        .help("Requests in a thousand that take ten times as long")
        .argument("P")
        .fallback(10)
        .display_fallback();
    let service_us = long("service-us")
        .help("Mean service time in microseconds")
        .argument("U")
        .fallback(10_000)
        .display_fallback();
    let cold_ms = long("cold-ms")
        .help("Milliseconds after a start in which servers are three times slower")
        .argument("MS")
        .fallback(0)
        .display_fallback();
    let seed =
        long("seed").help("Seed of the service times").argument("S").fallback(1).display_fallback();
    construct!(ServiceOptions { straggler_permille, service_us, cold_ms, seed })
}

fn strategy_options() -> impl Parser<Strategy> {
    let placement =
        enum_option("placement", "owner|direct", "Who works on a service", |name| match name {
            "owner" => Some(Placement::Owner.into()),
            "direct" => Some(Placement::Direct.into()),
            _ => None,
        });
    let selection = enum_option(
        "selection",
        "outcome|round-robin",
        "How a server is chosen",
        |name| match name {
            "outcome" => Some(Selection::Outcome.into()),
            "round-robin" => Some(Selection::RoundRobin.into()),
            _ => None,
        },
    );
    let hedging = enum_option("hedging", "on|off", "Second copies of slow requests", parse_switch);
    let queueing = enum_option("queueing", "on|off", "Queue in front of the servers", parse_switch);
    let listing = bpaf::pure(0);
    let gathering = bpaf::pure(0);
    let aggregation = bpaf::pure(0);
    let startup = bpaf::pure(0);
    construct!(Strategy {
        placement,
        selection,
        hedging,
        queueing,
        listing,
        gathering,
        aggregation,
        startup
    })
}

fn parse_switch(name: &str) -> Option<i32> {
    match name {
        "on" => Some(Switch::On.into()),
        "off" => Some(Switch::Off.into()),
        _ => None,
    }
}

/// Parser of an option with named values. An absent option gives 0: the instance uses its default.
fn enum_option(
    name: &'static str,
    values: &'static str,
    help: &'static str,
    parse_value: fn(&str) -> Option<i32>,
) -> impl Parser<i32> {
    long(name)
        .help(help)
        .argument::<String>(values)
        .parse(move |value| {
            parse_value(&value).ok_or_else(|| format!("\"{value}\" is not {values}"))
        })
        .fallback(0)
}
