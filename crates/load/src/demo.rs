//! A short guided run: a few queries a second of each kind, each outcome in a line, while one
//! instance and one target process are killed.

use std::fmt;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use ladder_schema::outcome::Reason;
use ladder_schema::{call, standin};
use rustix::process::{Pid, Signal, kill_process};

use crate::admin::Admin;
use crate::audit;
use crate::caller::{self, Outcome, Record};
use crate::error::Error;
use crate::layout::Layout;
use crate::mix::Mix;
use crate::plan::{self, Plan};
use crate::ready;
use crate::schedule;

/// Length of the run.
const LENGTH: Duration = Duration::from_secs(16);
/// When the instance is killed.
const INSTANCE_AT: Duration = Duration::from_secs(5);
/// When the target process is killed.
const TARGET_AT: Duration = Duration::from_secs(9);
/// Queries a second.
const RATE: f64 = 12.0;
/// Longest wait for all instances to be ready.
const PATIENCE: Duration = Duration::from_secs(30);
/// Seed of the schedule.
const SEED: u64 = 7;
/// After the last answer, before the ledgers are read.
const SETTLE: Duration = Duration::from_millis(500);

/// What to run and what to kill.
#[derive(Clone, Debug)]
pub struct Options {
    /// `run.json` of the layout.
    pub run: PathBuf,
    /// Process of the instance to kill.
    pub instance: u32,
    /// Process of the target to kill.
    pub target: u32,
}

/// The last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    answers: usize,
    complete: usize,
    partial: usize,
    refused: usize,
    wrong: usize,
    doubled: usize,
    lost: usize,
}

impl Totals {
    /// Whether no answer was wrong, doubled or lost, and there were answers.
    pub fn is_sound(&self) -> bool {
        self.answers > 0 && self.wrong + self.doubled + self.lost == 0
    }

    /// Counts one outcome.
    fn add(&mut self, outcome: &Outcome) {
        let Outcome::Answered { answer, mistakes, .. } = outcome else {
            self.lost += 1;
            return;
        };
        self.answers += 1;
        self.wrong += usize::from(!mistakes.is_empty());
        match (answer.covered.is_empty(), answer.missing.is_empty()) {
            (true, _) => self.refused += 1,
            (false, true) => self.complete += 1,
            (false, false) => self.partial += 1,
        }
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answers={} complete={} partial={} refused={} wrong={} doubled={} lost={}",
            self.answers,
            self.complete,
            self.partial,
            self.refused,
            self.wrong,
            self.doubled,
            self.lost
        )
    }
}

/// Runs to the end, printing each outcome.
///
/// # Errors
///
/// [`Error`] when the layout cannot be read or the stand-ins do not answer.
pub fn execute(options: &Options) -> Result<Totals, Error> {
    ready::wait(&options.run, PATIENCE)?;
    let layout = Layout::read(&options.run)?;
    let plans = plan::resolve(&Mix::of(&layout.user), &layout)?;
    let system = actix_rt::System::new();
    println!("{} instances are ready; {RATE} queries a second follow", layout.instances.len());
    let load = plan::load_of(&plans, RATE)?;
    let arrivals = schedule::draw(&plans, load, LENGTH, SEED);
    let start = Instant::now();
    let callers = caller::Options {
        instances: layout.instances.iter().map(|instance| instance.address.clone()).collect(),
        prefix: "demo".to_owned(),
        retries: true,
        checks: true,
        start,
    };
    let (mut records, ledgers) = system.block_on(async {
        let faults = actix_rt::spawn(faults(layout.clone(), options.clone(), start));
        let records = caller::send(plans.clone().into(), arrivals, callers).await;
        let killed = faults.await.map_err(|_| Error::Thread)??;
        tokio::time::sleep(SETTLE).await;
        let mut ledgers = Admin::default().ledgers(&survivors(&layout)).await?;
        ledgers.extend(killed);
        Ok::<_, Error>((records, ledgers))
    })?;
    records.sort_by_key(|record| record.at);
    for record in &records {
        println!("{}", line(&plans, record));
    }
    Ok(totals(&plans, &records, &ledgers))
}

/// The layout without the target process that was killed, the last one.
fn survivors(layout: &Layout) -> Layout {
    let mut layout = layout.clone();
    layout.processes.pop();
    layout
}

/// One outcome for people.
fn line(plans: &[Plan], record: &Record) -> String {
    let class = &plans[record.class].class.name;
    let at = record.at.as_secs_f64();
    let took = record.latency.as_millis();
    let again = if record.attempts > 1 { ", asked again" } else { "" };
    let what = match &record.outcome {
        Outcome::Answered { answer, mistakes, .. } => describe(answer, mistakes.is_empty()),
        Outcome::Undecodable { status } => format!("no answer but HTTP status {status}"),
        Outcome::Lost { cause } => format!("lost: {cause}"),
    };
    format!("{at:6.2} s  {class:<18} {:<9} {took:>5} ms  {what}{again}", record.key)
}

/// What an answer says.
fn describe(answer: &call::Answer, sound: bool) -> String {
    let verdict = answer.verdict().as_str_name().trim_start_matches("VERDICT_");
    let total = answer.covered.len() + answer.missing.len();
    let mut text = format!("{verdict}, {} of {total} shards", answer.covered.len());
    if answer.reason() != Reason::Unspecified {
        text = format!("{verdict}, {}", answer.reason().as_str_name());
    }
    if let Some(missing) = answer.missing.first() {
        let reason = missing.reason().as_str_name();
        text.push_str(&format!(", {} misses by {reason}", missing.shard));
    }
    if !sound {
        text.push_str(", WRONG");
    }
    text
}

/// Counts outcomes and compares them with the ledgers.
fn totals(plans: &[Plan], records: &[Record], ledgers: &[standin::Ledger]) -> Totals {
    let mut totals = Totals::default();
    for (record, finding) in records.iter().zip(audit::audit(plans, records, ledgers)) {
        totals.doubled += usize::from(finding.doubled);
        totals.wrong += usize::from(finding.ran_after_all);
        totals.add(&record.outcome);
    }
    totals
}

/// Kills the instance and the target at their times. Returns the ledgers of the killed target as
/// they stood right before: they die with it.
async fn faults(
    layout: Layout,
    options: Options,
    start: Instant,
) -> Result<Vec<standin::Ledger>, Error> {
    tokio::time::sleep_until((start + INSTANCE_AT).into()).await;
    kill(options.instance);
    tokio::time::sleep_until((start + TARGET_AT).into()).await;
    let before = Admin::default().ledgers(&layout).await?;
    kill(options.target);
    Ok(before.into_iter().last().into_iter().collect())
}

/// Kills one process.
fn kill(id: u32) {
    let process = i32::try_from(id).ok().and_then(Pid::from_raw);
    match process.map(|process| kill_process(process, Signal::KILL)) {
        Some(Ok(())) => println!("process {id} is killed"),
        Some(Err(error)) => println!("process {id} cannot be killed: {error}"),
        None => println!("{id} is no process"),
    }
}
