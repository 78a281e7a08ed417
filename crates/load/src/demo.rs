//! Demonstration run: sends a few queries per second of each query class and prints a line for each
//! outcome, while one instance and one target process are killed.

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

/// Length of the demonstration's query schedule.
const RUN_LENGTH: Duration = Duration::from_secs(16);
/// Time at which the instance is killed, counted from the start of the schedule.
const INSTANCE_KILL_TIME: Duration = Duration::from_secs(5);
/// Time at which the target process is killed, counted from the start of the schedule.
const TARGET_KILL_TIME: Duration = Duration::from_secs(9);
/// Queries per second of the demonstration, over all query classes.
const QUERIES_PER_SECOND: f64 = 12.0;
/// Longest wait until all processes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Seed of the demonstration's query schedule.
const SEED: u64 = 7;
/// Delay between the last answer and the read of the target ledgers.
const LEDGER_DELAY: Duration = Duration::from_millis(500);

/// Settings of the demonstration.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `run.json` of the layout.
    pub run: PathBuf,
    /// Process id of the instance to kill.
    pub instance: u32,
    /// Process id of the target process to kill.
    pub target: u32,
}

/// Totals of all outcomes, which the demonstration prints as its last line.
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
    /// Whether there were answers, and no query was wrong, repeated although non-idempotent, or
    /// lost.
    pub fn is_sound(&self) -> bool {
        self.answers > 0 && self.wrong + self.doubled + self.lost == 0
    }

    /// Adds the outcome of one query.
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

/// Runs the demonstration and prints each outcome.
///
/// # Errors
///
/// [`Error`] when the layout cannot be read or the stand-ins do not answer.
pub fn execute(options: &Options) -> Result<Totals, Error> {
    ready::wait(&options.run, READY_TIMEOUT)?;
    let layout = Layout::read(&options.run)?;
    let plans = plan::resolve(&Mix::for_user(&layout.user), &layout)?;
    let system = actix_rt::System::new();
    println!(
        "{} instances are ready; {QUERIES_PER_SECOND} queries a second follow",
        layout.instances.len()
    );
    let load = plan::load_of(&plans, QUERIES_PER_SECOND)?;
    let arrivals = schedule::draw_arrivals(&plans, load, RUN_LENGTH, SEED);
    let start = Instant::now();
    let caller_options = caller::Options {
        instances: layout.instances.iter().map(|instance| instance.address.clone()).collect(),
        key_prefix: "demo".to_owned(),
        retries: true,
        health_checks: true,
        start,
    };
    let (mut records, ledgers) = system.block_on(async {
        let kills = actix_rt::spawn(kill_processes(layout.clone(), options.clone(), start));
        let records = caller::send(plans.clone().into(), arrivals, caller_options).await;
        let killed_ledgers = kills.await.map_err(|_| Error::Thread)??;
        tokio::time::sleep(LEDGER_DELAY).await;
        let mut ledgers = Admin::default().ledgers(&without_killed_target(&layout)).await?;
        ledgers.extend(killed_ledgers);
        Ok::<_, Error>((records, ledgers))
    })?;
    records.sort_by_key(|record| record.start_offset);
    for record in &records {
        println!("{}", outcome_line(&plans, record));
    }
    Ok(totals(&plans, &records, &ledgers))
}

/// Returns the layout without its last target process, which is the one that was killed.
fn without_killed_target(layout: &Layout) -> Layout {
    let mut layout = layout.clone();
    layout.processes.pop();
    layout
}

/// Formats the outcome of one query for the printed log.
fn outcome_line(plans: &[Plan], record: &Record) -> String {
    let class = &plans[record.class].class.name;
    let offset_s = record.start_offset.as_secs_f64();
    let latency_ms = record.latency.as_millis();
    let again = if record.attempts > 1 { ", asked again" } else { "" };
    let what = match &record.outcome {
        Outcome::Answered { answer, mistakes, .. } => describe(answer, mistakes.is_empty()),
        Outcome::Undecodable { status } => format!("no answer but HTTP status {status}"),
        Outcome::Lost { cause } => format!("lost: {cause}"),
    };
    format!("{offset_s:6.2} s  {class:<18} {:<9} {latency_ms:>5} ms  {what}{again}", record.key)
}

/// Describes the content of an answer.
fn describe(answer: &call::Answer, correct: bool) -> String {
    let verdict = answer.verdict().as_str_name().trim_start_matches("VERDICT_");
    let shard_count = answer.covered.len() + answer.missing.len();
    let mut text = format!("{verdict}, {} of {shard_count} shards", answer.covered.len());
    if answer.reason() != Reason::Unspecified {
        text = format!("{verdict}, {}", answer.reason().as_str_name());
    }
    if let Some(missing) = answer.missing.first() {
        let reason = missing.reason().as_str_name();
        text.push_str(&format!(", {} misses by {reason}", missing.shard));
    }
    if !correct {
        text.push_str(", WRONG");
    }
    text
}

/// Counts the outcomes of all queries and compares them with the target ledgers.
fn totals(plans: &[Plan], records: &[Record], ledgers: &[standin::Ledger]) -> Totals {
    let mut totals = Totals::default();
    for (record, finding) in records.iter().zip(audit::audit(plans, records, ledgers)) {
        totals.doubled += usize::from(finding.doubled);
        totals.wrong += usize::from(finding.ran_after_all);
        totals.add(&record.outcome);
    }
    totals
}

/// Kills the instance and the target process at their times. Returns the ledger of the target
/// process, read just before the kill, because the ledger is lost with the process.
async fn kill_processes(
    layout: Layout,
    options: Options,
    start: Instant,
) -> Result<Vec<standin::Ledger>, Error> {
    tokio::time::sleep_until((start + INSTANCE_KILL_TIME).into()).await;
    kill(options.instance);
    tokio::time::sleep_until((start + TARGET_KILL_TIME).into()).await;
    let ledgers = Admin::default().ledgers(&layout).await?;
    kill(options.target);
    Ok(ledgers.into_iter().last().into_iter().collect())
}

/// Kills the process with this process id.
fn kill(id: u32) {
    let process = i32::try_from(id).ok().and_then(Pid::from_raw);
    match process.map(|process| kill_process(process, Signal::KILL)) {
        Some(Ok(())) => println!("process {id} is killed"),
        Some(Err(error)) => println!("process {id} cannot be killed: {error}"),
        None => println!("{id} is not a valid process id"),
    }
}
