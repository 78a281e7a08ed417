//! The command line.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::{OptionParser, Parser};
use serde::Serialize;

use crate::compare::{self, Summary};
use crate::demo;
use crate::error::Error;
use crate::fault::Fault;
use crate::layout;
use crate::mix::{self, Mix};
use crate::overhead;
use crate::ready;
use crate::report;
use crate::result::Run;
use crate::run::{self, Amount};
use crate::table::Table;
use crate::upkeep;

/// Shortest measured part in seconds.
const SHORTEST_S: f64 = 0.1;

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Sends one schedule of queries and writes the figures to a file.
    Run(Arguments),
    /// Compares result files.
    Compare(Comparison),
    /// Shows each outcome while processes are killed.
    Demo(demo::Options),
    /// Measures the control cost of a fleet.
    Upkeep(upkeep::Options),
    /// Measures the latency that the tier adds.
    Overhead(PathBuf),
    /// Waits until every process of a layout serves.
    Ready(Readiness),
}

/// Arguments of `ready`.
#[derive(Clone, Debug)]
pub struct Readiness {
    run: PathBuf,
    timeout: f64,
}

/// Arguments of `compare`.
#[derive(Clone, Debug)]
pub struct Comparison {
    baseline: String,
    chosen: String,
    load: f64,
    out: PathBuf,
    files: Vec<PathBuf>,
}

/// Arguments of `run`.
#[derive(Clone, Debug)]
pub struct Arguments {
    run: PathBuf,
    amount: Amount,
    seconds: f64,
    warmup: f64,
    seed: u64,
    mix: Option<String>,
    label: String,
    scenario: String,
    dropped: Vec<String>,
    faults: Vec<Fault>,
    retries: bool,
    out: PathBuf,
}

/// The whole command line.
pub fn parser() -> OptionParser<Command> {
    let run = arguments()
        .map(Command::Run)
        .to_options()
        .descr("Sends one schedule of queries and writes the figures to a file")
        .command("run");
    let compare = comparison()
        .map(Command::Compare)
        .to_options()
        .descr("Compares result files by label and writes a report with plots")
        .command("compare");
    let demo = demonstration()
        .map(Command::Demo)
        .to_options()
        .descr("Shows each outcome while an instance and a target process are killed")
        .command("demo");
    let ready = readiness()
        .map(Command::Ready)
        .to_options()
        .descr("Waits until every process of a layout serves")
        .command("ready");
    let upkeep = upkeep_options()
        .map(Command::Upkeep)
        .to_options()
        .descr("Measures what a fleet costs, how fast changes spread, how an owner is replaced")
        .command("upkeep");
    let overhead = layout_file()
        .map(Command::Overhead)
        .to_options()
        .descr("Measures what the tier adds to a single query's latency at low load")
        .command("overhead");
    bpaf::construct!([run, compare, demo, ready, upkeep, overhead])
        .to_options()
        .descr("Open-loop load and experiments against a fleet and its stand-ins")
        .version(env!("CARGO_PKG_VERSION"))
}

fn upkeep_options() -> impl Parser<upkeep::Options> {
    let run = layout_file();
    let seconds = number("seconds", "Length of each measured part", 20.0);
    let changes = bpaf::long("changes")
        .help("Changes a second in the second part")
        .argument("N")
        .fallback(1.0)
        .display_fallback()
        .guard(|rate| (0.01..=100.0).contains(rate), "must be 0.01 to 100");
    let processes = bpaf::positional("PID")
        .help("Processes of the instances, in the layout's order")
        .some("name the process of each instance");
    bpaf::construct!(upkeep::Options { run, seconds, changes, processes })
}

fn demonstration() -> impl Parser<demo::Options> {
    let run = layout_file();
    let instance =
        bpaf::long("kill-instance").help("Process to kill of an instance").argument("PID");
    let target = bpaf::long("kill-target")
        .help("Process to kill of the layout's last target process")
        .argument("PID");
    bpaf::construct!(demo::Options { run, instance, target })
}

fn arguments() -> impl Parser<Arguments> {
    let run = layout_file();
    let amount = amount();
    let seconds = number("seconds", "Length of the measured part", 10.0);
    let warmup = number("warmup", "Length of the part before it, checked, not measured", 2.0);
    let seed = bpaf::long("seed")
        .help("Seed of the schedule")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let mix = bpaf::long("mix")
        .help("porto, bagmati or a JSON file; default: the mix of the layout's user")
        .argument("MIX")
        .optional();
    let label = name("label", "Label of the result, for comparisons", "run");
    let scenario = name("scenario", "Name of the schedule of faults", run::STEADY);
    let dropped = bpaf::long("drop-instances")
        .help("Instance that the balancer leaves out; may be repeated")
        .argument("NAME")
        .many();
    let faults = faults();
    let retries = bpaf::long("caller-retries")
        .help("Ask a lost query once more, with attempt 2, through another instance")
        .switch();
    let out = out();
    bpaf::construct!(Arguments {
        run,
        amount,
        seconds,
        warmup,
        seed,
        mix,
        label,
        scenario,
        dropped,
        faults,
        retries,
        out,
    })
}

fn readiness() -> impl Parser<Readiness> {
    let run = layout_file();
    let timeout = number("timeout", "How long to wait", 20.0);
    bpaf::construct!(Readiness { run, timeout })
}

fn layout_file() -> impl Parser<PathBuf> {
    bpaf::long("run").help("run.json of the layout").argument("FILE")
}

fn comparison() -> impl Parser<Comparison> {
    let baseline = name("baseline", "Label of the baseline", "baseline");
    let chosen = name("chosen", "Label of the chosen policy", "owner");
    let load = bpaf::long("load")
        .help("Load that the last line is about; of the loads at hand, the nearest")
        .argument("SHARE")
        .fallback(0.7)
        .display_fallback();
    let out = out();
    let files = bpaf::positional("FILE").help("Result files of runs").some("no result file");
    bpaf::construct!(Comparison { baseline, chosen, load, out, files })
}

fn number(name: &'static str, help: &'static str, fallback: f64) -> impl Parser<f64> {
    bpaf::long(name)
        .help(help)
        .argument("S")
        .fallback(fallback)
        .display_fallback()
        .guard(|seconds| (0.0..=86_400.0).contains(seconds), "must be 0 to 86400 seconds")
}

fn name(name: &'static str, help: &'static str, fallback: &'static str) -> impl Parser<String> {
    bpaf::long(name).help(help).argument("NAME").fallback(fallback.to_owned()).display_fallback()
}

fn faults() -> impl Parser<Vec<Fault>> {
    bpaf::long("fault")
        .help(
            "AT_S:KIND:SERVER (dead, leaving, shedding, failing, lying, slowdown, silent, clear) \
             or AT_S:version:INDEX, from the start of the warm-up; may be repeated",
        )
        .argument::<String>("FAULT")
        .parse(|text| text.parse::<Fault>())
        .many()
}

fn out() -> impl Parser<PathBuf> {
    bpaf::long("out").help("Where the result goes").argument("FILE")
}

fn amount() -> impl Parser<Amount> {
    let load = bpaf::long("load")
        .help("Share of the capacity of the servers that the mix keeps busy")
        .argument::<f64>("SHARE")
        .map(Amount::Load);
    let rate = bpaf::long("rate")
        .help("Queries a second over all classes")
        .argument::<f64>("QPS")
        .map(Amount::Rate);
    bpaf::construct!([load, rate])
}

/// Runs a command; gives the lines to print.
pub fn execute(command: Command) -> Result<String, Error> {
    match command {
        Command::Run(arguments) => run(arguments),
        Command::Compare(comparison) => compare(&comparison),
        Command::Ready(readiness) => ready(&readiness),
        Command::Upkeep(options) => json(&upkeep::execute(&options)?),
        Command::Overhead(run) => json(&overhead::execute(&run)?),
        Command::Demo(options) => demonstrate(&options),
    }
}

/// A report as one line.
fn json(report: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(report)
        .map_err(|error| Error::Write("standard output".into(), error.to_string()))
}

fn demonstrate(options: &demo::Options) -> Result<String, Error> {
    let totals = demo::execute(options)?;
    if totals.is_sound() {
        Ok(totals.to_string())
    } else {
        println!("{totals}");
        Err(Error::Unsound)
    }
}

fn run(arguments: Arguments) -> Result<String, Error> {
    let out = arguments.out.clone();
    let result = run::execute(options(arguments)?)?;
    let text = serde_json::to_string_pretty(&result)
        .map_err(|error| Error::Write(out.clone(), error.to_string()))?;
    write(&out, &text)?;
    let head = result.headline();
    Ok(format!(
        "label={} load={:.2} class={} p50={:.1} p99={:.1} p999={:.1} complete={:.4} \
         coverage={:.4} goodput={:.1} extra_load={:.3} wrong={} doubled={} lost={}",
        result.label,
        result.load,
        head.name,
        head.p50_ms,
        head.p99_ms,
        head.p999_ms,
        head.complete_share,
        head.coverage,
        head.goodput,
        result.extra_load,
        result.overall.wrong,
        result.overall.doubled,
        result.overall.lost,
    ))
}

fn options(arguments: Arguments) -> Result<run::Options, Error> {
    let mix = arguments.mix.as_deref().map(named_mix).transpose()?;
    let options = run::Options::new(arguments.run, arguments.amount)
        .mix(mix)
        .length(Duration::from_secs_f64(arguments.seconds.max(SHORTEST_S)))
        .warmup(Duration::from_secs_f64(arguments.warmup))
        .seed(arguments.seed)
        .label(arguments.label)
        .scenario(arguments.scenario)
        .dropped(arguments.dropped)
        .faults(arguments.faults)
        .retries(arguments.retries);
    Ok(options)
}

fn named_mix(name: &str) -> Result<Mix, Error> {
    match name {
        "porto" => Ok(mix::porto()),
        "bagmati" => Ok(mix::bagmati()),
        file => layout::decode(Path::new(file)),
    }
}

fn ready(arguments: &Readiness) -> Result<String, Error> {
    let limit = Duration::from_secs_f64(arguments.timeout);
    let instances = ready::wait(&arguments.run, limit)?;
    Ok(format!("ready={instances}"))
}

fn compare(arguments: &Comparison) -> Result<String, Error> {
    let runs = arguments.files.iter().map(|file| layout::decode(file));
    let runs: Vec<Run> = runs.collect::<Result<_, _>>()?;
    let rows = compare::group(&runs);
    let tables = report::tables(&rows);
    let summary = Summary::of(&rows, &arguments.baseline, &arguments.chosen, arguments.load)?;
    let page = report::page(&tables, &report::plots(&rows, arguments.load)?, &summary);
    write(&arguments.out, &page)?;
    let texts: Vec<String> = tables.iter().map(Table::to_text).collect();
    Ok(format!("{}\n{summary}", texts.join("\n")))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| Error::Write(path.to_path_buf(), error.to_string()))
}
