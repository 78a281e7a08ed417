//! Command line of the load generator.

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

/// Shortest allowed length of the measured part, in seconds.
const SHORTEST_S: f64 = 0.1;

/// Command of the load generator.
#[derive(Clone, Debug)]
pub enum Command {
    /// Sends one schedule of queries and writes the figures to a result file.
    Run(Arguments),
    /// Compares result files.
    Compare(Comparison),
    /// Shows the outcome of each query while an instance and a target process are killed.
    Demo(demo::Options),
    /// Measures the control cost of a fleet.
    Upkeep(upkeep::Options),
    /// Measures the latency that the tier adds to a query.
    Overhead(PathBuf),
    /// Waits until every process of a layout is ready.
    Ready(Readiness),
    /// Runs real processes under random faults and checks what is promised.
    Soak(ladder_soak::Options),
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

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Command> {
    let run = run_arguments()
        .map(Command::Run)
        .to_options()
        .descr("Sends one schedule of queries and writes the figures to a file")
        .command("run");
    let compare = compare_arguments()
        .map(Command::Compare)
        .to_options()
        .descr("Compares result files by label and writes a report with plots")
        .command("compare");
    let demo = demo_arguments()
        .map(Command::Demo)
        .to_options()
        .descr("Shows the outcome of each query while an instance and a target process are killed")
        .command("demo");
    let ready = ready_arguments()
        .map(Command::Ready)
        .to_options()
        .descr("Waits until every process of a layout serves")
        .command("ready");
    let upkeep = upkeep_arguments()
        .map(Command::Upkeep)
        .to_options()
        .descr("Measures what a fleet costs, how fast changes spread, how an owner is replaced")
        .command("upkeep");
    let overhead = run_file_flag()
        .map(Command::Overhead)
        .to_options()
        .descr("Measures what the tier adds to a single query's latency at low load")
        .command("overhead");
    let soak = soak_arguments()
        .map(Command::Soak)
        .to_options()
        .descr("Runs real processes under random faults and checks what callers and servers see")
        .command("soak");
    bpaf::construct!([run, compare, demo, ready, upkeep, overhead, soak])
        .to_options()
        .descr("Open-loop load and experiments against a fleet and its stand-ins")
        .version(env!("CARGO_PKG_VERSION"))
}

fn upkeep_arguments() -> impl Parser<upkeep::Options> {
    let run = run_file_flag();
    let seconds = seconds_flag("seconds", "Length of each measured part", 20.0);
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

fn demo_arguments() -> impl Parser<demo::Options> {
    let run = run_file_flag();
    let instance =
        bpaf::long("kill-instance").help("Process of the instance to kill").argument("PID");
    let target = bpaf::long("kill-target")
        .help("Process id of the layout's last target process, which is killed")
        .argument("PID");
    bpaf::construct!(demo::Options { run, instance, target })
}

fn run_arguments() -> impl Parser<Arguments> {
    let run = run_file_flag();
    let amount = amount_flags();
    let seconds = seconds_flag("seconds", "Length of the measured part", 10.0);
    let warmup = seconds_flag(
        "warmup",
        "Length of the warm-up before the measured part; checked, not measured",
        2.0,
    );
    let seed = bpaf::long("seed")
        .help("Seed of the schedule")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let mix = bpaf::long("mix")
        .help("porto, bagmati or a JSON file; default: the mix of the layout's user")
        .argument("MIX")
        .optional();
    let label = name_flag("label", "Label of the result, for comparisons", "run");
    let scenario = name_flag("scenario", "Name of the schedule of faults", run::NO_FAULTS_SCENARIO);
    let dropped = bpaf::long("drop-instances")
        .help("Instance that the balancer leaves out; may be repeated")
        .argument("NAME")
        .many();
    let faults = fault_flags();
    let retries = bpaf::long("caller-retries")
        .help("Send a lost query once more, with attempt 2, through another instance")
        .switch();
    let out = out_flag();
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

fn ready_arguments() -> impl Parser<Readiness> {
    let run = run_file_flag();
    let timeout = seconds_flag("timeout", "How long to wait", 20.0);
    bpaf::construct!(Readiness { run, timeout })
}

fn soak_arguments() -> impl Parser<ladder_soak::Options> {
    let program = bpaf::long("program")
        .help("Program of an instance on the users' platform")
        .argument("FILE")
        .fallback(PathBuf::from("target/release/ladder-platform"))
        .debug_fallback();
    let seed = bpaf::long("seed")
        .help("Seed of the faults and of the callers")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let length = seconds_flag("seconds", "Length of the traffic, with 12 s of recovery", 60.0)
        .map(Duration::from_secs_f64);
    let instances = bpaf::long("instances")
        .help("Number of instances")
        .argument("I")
        .fallback(7)
        .display_fallback()
        .guard(|instances| (3..=100).contains(instances), "must be 3 to 100");
    let plan = bpaf::long("plan")
        .help("JSON file with the faults; default: drawn from the seed")
        .argument("FILE")
        .optional();
    let folder = bpaf::long("folder")
        .help("Folder for the settings and logs of the instances")
        .argument("FOLDER");
    bpaf::construct!(ladder_soak::Options { program, seed, length, instances, plan, folder })
}

fn run_file_flag() -> impl Parser<PathBuf> {
    bpaf::long("run").help("run.json of the layout").argument("FILE")
}

fn compare_arguments() -> impl Parser<Comparison> {
    let baseline = name_flag("baseline", "Label of the baseline", "baseline");
    let chosen = name_flag("chosen", "Label of the chosen policy", "owner");
    let load = bpaf::long("load")
        .help("Load that the summary line compares; the nearest load of the result files is used")
        .argument("SHARE")
        .fallback(0.7)
        .display_fallback();
    let out = out_flag();
    let files = bpaf::positional("FILE").help("Result files of runs").some("no result file");
    bpaf::construct!(Comparison { baseline, chosen, load, out, files })
}

fn seconds_flag(name: &'static str, help: &'static str, fallback: f64) -> impl Parser<f64> {
    bpaf::long(name)
        .help(help)
        .argument("S")
        .fallback(fallback)
        .display_fallback()
        .guard(|seconds| (0.0..=86_400.0).contains(seconds), "must be 0 to 86400 seconds")
}

fn name_flag(
    name: &'static str,
    help: &'static str,
    fallback: &'static str,
) -> impl Parser<String> {
    bpaf::long(name).help(help).argument("NAME").fallback(fallback.to_owned()).display_fallback()
}

fn fault_flags() -> impl Parser<Vec<Fault>> {
    bpaf::long("fault")
        .help(
            "AT_S:KIND:SERVER (dead, leaving, shedding, failing, lying, slowdown, silent, clear) \
             or AT_S:version:INDEX, from the start of the warm-up; may be repeated",
        )
        .argument::<String>("FAULT")
        .parse(|text| text.parse::<Fault>())
        .many()
}

fn out_flag() -> impl Parser<PathBuf> {
    bpaf::long("out").help("File to write the result to").argument("FILE")
}

fn amount_flags() -> impl Parser<Amount> {
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

/// Executes a command and returns the text to print.
pub fn execute(command: Command) -> Result<String, Error> {
    match command {
        Command::Run(arguments) => run(arguments),
        Command::Compare(comparison) => compare(&comparison),
        Command::Ready(readiness) => ready(&readiness),
        Command::Upkeep(options) => to_json_line(&upkeep::execute(&options)?),
        Command::Overhead(run) => to_json_line(&overhead::execute(&run)?),
        Command::Demo(options) => run_demo(&options),
        Command::Soak(options) => run_soak(&options),
    }
}

/// Serializes a report as one line of JSON.
fn to_json_line(report: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(report)
        .map_err(|error| Error::Write("standard output".into(), error.to_string()))
}

fn run_demo(options: &demo::Options) -> Result<String, Error> {
    let totals = demo::execute(options)?;
    if totals.is_sound() {
        Ok(totals.to_string())
    } else {
        println!("{totals}");
        Err(Error::Unsound)
    }
}

fn run_soak(options: &ladder_soak::Options) -> Result<String, Error> {
    let report = ladder_soak::execute(options).map_err(Error::Soak)?;
    if report.broken.is_empty() { Ok(report.to_string()) } else { Err(Error::Broken(report)) }
}

fn run(arguments: Arguments) -> Result<String, Error> {
    let out = arguments.out.clone();
    let result = run::execute(run_options(arguments)?)?;
    let text = serde_json::to_string_pretty(&result)
        .map_err(|error| Error::Write(out.clone(), error.to_string()))?;
    write(&out, &text)?;
    let headline = result.headline();
    Ok(format!(
        "label={} load={:.2} class={} p50={:.1} p99={:.1} p999={:.1} complete={:.4} \
         coverage={:.4} goodput={:.1} extra_load={:.3} wrong={} doubled={} lost={}",
        result.label,
        result.load,
        headline.name,
        headline.p50_ms,
        headline.p99_ms,
        headline.p999_ms,
        headline.complete_share,
        headline.coverage,
        headline.goodput,
        result.extra_load,
        result.overall.wrong,
        result.overall.doubled,
        result.overall.lost,
    ))
}

fn run_options(arguments: Arguments) -> Result<run::Options, Error> {
    let mix = arguments.mix.as_deref().map(find_mix).transpose()?;
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

fn find_mix(name: &str) -> Result<Mix, Error> {
    match name {
        "porto" => Ok(mix::porto()),
        "bagmati" => Ok(mix::bagmati()),
        file => layout::read_json(Path::new(file)),
    }
}

fn ready(arguments: &Readiness) -> Result<String, Error> {
    let timeout = Duration::from_secs_f64(arguments.timeout);
    let instances = ready::wait(&arguments.run, timeout)?;
    Ok(format!("ready={instances}"))
}

fn compare(arguments: &Comparison) -> Result<String, Error> {
    let runs = arguments.files.iter().map(|file| layout::read_json(file));
    let runs: Vec<Run> = runs.collect::<Result<_, _>>()?;
    let rows = compare::group_runs(&runs);
    let tables = report::tables(&rows);
    let summary = Summary::compare(&rows, &arguments.baseline, &arguments.chosen, arguments.load)?;
    let page = report::page(&tables, &report::plots(&rows, arguments.load)?, &summary);
    write(&arguments.out, &page)?;
    let texts: Vec<String> = tables.iter().map(Table::to_text).collect();
    Ok(format!("{}\n{summary}", texts.join("\n")))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| Error::Write(path.to_path_buf(), error.to_string()))
}
