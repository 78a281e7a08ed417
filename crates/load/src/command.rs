//! The command line.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::{OptionParser, Parser};
use serde::Serialize;

use crate::error::Error;
use crate::fault::Fault;
use crate::layout;
use crate::mix::{self, Mix};
use crate::run::{self, Amount};

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Sends one schedule of queries and writes the figures to a file.
    Run(Arguments),
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
    run.to_options()
        .descr("Open-loop load and experiments against a fleet and its stand-ins")
        .version(env!("CARGO_PKG_VERSION"))
}

fn arguments() -> impl Parser<Arguments> {
    let run = bpaf::long("run")
        .help("run.json of the layout")
        .argument("FILE");
    let amount = amount();
    let seconds = number("seconds", "Length of the measured part", 10.0);
    let warmup = number(
        "warmup",
        "Length of the part before it, checked, not measured",
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
    let label = bpaf::long("label")
        .help("Label of the result, for comparisons")
        .argument("NAME")
        .fallback("run".to_owned())
        .display_fallback();
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
        dropped,
        faults,
        retries,
        out,
    })
}

fn number(name: &'static str, help: &'static str, fallback: f64) -> impl Parser<f64> {
    bpaf::long(name)
        .help(help)
        .argument("S")
        .fallback(fallback)
        .display_fallback()
        .guard(
            |seconds| (0.0..=86_400.0).contains(seconds),
            "must be 0 to 86400 seconds",
        )
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
    bpaf::long("out")
        .help("Where the result goes")
        .argument("FILE")
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
    }
}

fn run(arguments: Arguments) -> Result<String, Error> {
    let out = arguments.out.clone();
    let result = run::execute(options(arguments)?)?;
    write(&out, &result)?;
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
    Ok(run::Options {
        run: arguments.run,
        mix: arguments.mix.as_deref().map(named_mix).transpose()?,
        amount: arguments.amount,
        length: Duration::from_secs_f64(arguments.seconds.max(0.1)),
        warmup: Duration::from_secs_f64(arguments.warmup.max(0.0)),
        seed: arguments.seed,
        label: arguments.label,
        dropped: arguments.dropped,
        faults: arguments.faults,
        retries: arguments.retries,
    })
}

fn named_mix(name: &str) -> Result<Mix, Error> {
    match name {
        "porto" => Ok(mix::porto()),
        "bagmati" => Ok(mix::bagmati()),
        file => layout::decode(Path::new(file)),
    }
}

fn write(path: &Path, result: &impl Serialize) -> Result<(), Error> {
    let failed = |cause: String| Error::Write(path.to_path_buf(), cause);
    let text = serde_json::to_string_pretty(result).map_err(|error| failed(error.to_string()))?;
    std::fs::write(path, text).map_err(|error| failed(error.to_string()))
}
