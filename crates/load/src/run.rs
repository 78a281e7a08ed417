//! One run: generates the schedule, sends it on several threads, injects faults, audits the answers
//! and calculates the figures.

use std::path::PathBuf;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use ladder_schema::standin;

use crate::admin::{Admin, Peak};
use crate::audit::{self, Finding};
use crate::caller::{self, Outcome, Record};
use crate::capacity;
use crate::error::Error;
use crate::fault::{self, Fault};
use crate::layout::{self, Layout};
use crate::mix::Mix;
use crate::plan::{self, Plan};
use crate::result::Run;
use crate::schedule::{self, Arrival};
use crate::tally::{self, Tally};

/// Scenario name of a run without faults.
pub const NO_FAULTS_SCENARIO: &str = "steady";
/// Number of threads that send queries and receive answers.
const SENDER_THREADS: usize = 4;
/// Delay between the generation of the schedule and its first query.
const START_DELAY: Duration = Duration::from_millis(300);
/// Delay between the last answer and the read of the target ledgers: the targets still record
/// cancelled work during this time.
const LEDGER_DELAY: Duration = Duration::from_millis(500);
const MAX_SAMPLES: usize = 12;

/// Amount of load that a run sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// Load as a share of the capacity.
    Load(f64),
    /// Queries per second over all query classes.
    Rate(f64),
}

/// Settings of one run. Defaults: 10 seconds measured after 2 seconds of warm-up, without faults.
#[derive(Clone, Debug)]
pub struct Options {
    run: PathBuf,
    amount: Amount,
    mix: Option<Mix>,
    length: Duration,
    warmup: Duration,
    seed: u64,
    label: String,
    scenario: String,
    dropped: Vec<String>,
    faults: Vec<Fault>,
    retries: bool,
}

impl Options {
    /// Settings of a run that sends `amount` to the processes listed in the `run.json` at path
    /// `run`.
    pub fn new(run: PathBuf, amount: Amount) -> Self {
        Self {
            run,
            amount,
            mix: None,
            length: Duration::from_secs(10),
            warmup: Duration::from_secs(2),
            seed: 1,
            label: "run".to_owned(),
            scenario: NO_FAULTS_SCENARIO.to_owned(),
            dropped: Vec::new(),
            faults: Vec::new(),
            retries: false,
        }
    }

    /// Sets the mix of query classes; the default is the mix of the layout's user.
    #[must_use]
    pub fn mix(mut self, mix: Option<Mix>) -> Self {
        self.mix = mix;
        self
    }

    /// Sets the length of the measured part of the run.
    #[must_use]
    pub fn length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the length of the warm-up before the measured part. The answers of the warm-up are
    /// checked, but not part of the latencies and rates.
    #[must_use]
    pub fn warmup(mut self, warmup: Duration) -> Self {
        self.warmup = warmup;
        self
    }

    /// Sets the seed of the query schedule.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the label of the result.
    #[must_use]
    pub fn label(mut self, label: String) -> Self {
        self.label = label;
        self
    }

    /// Sets the name of the fault schedule.
    #[must_use]
    pub fn scenario(mut self, scenario: String) -> Self {
        self.scenario = scenario;
        self
    }

    /// Sets the names of the instances that the load balancer sends no queries to.
    #[must_use]
    pub fn dropped(mut self, dropped: Vec<String>) -> Self {
        self.dropped = dropped;
        self
    }

    /// Sets the faults to inject; their times count from the start of the warm-up.
    #[must_use]
    pub fn faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    /// Sets whether callers send a lost query a second time.
    #[must_use]
    pub fn retries(mut self, retries: bool) -> Self {
        self.retries = retries;
        self
    }
}

/// State of a run that is needed to calculate its figures at the end.
struct Session {
    options: Options,
    layout: Layout,
    mix: Mix,
    plans: Vec<Plan>,
    load: f64,
    ledgers_before: Vec<standin::Ledger>,
}

/// Ledgers and connection counts of the targets after a run.
struct TargetState {
    ledgers: Vec<standin::Ledger>,
    /// Connections of the server that came closest to its connection limit.
    fullest_server: Peak,
}

impl TargetState {
    async fn read(layout: &Layout) -> Result<Self, Error> {
        let admin = Admin::default();
        let used_share = |peak: &Peak| f64::from(peak.connections) / f64::from(peak.limit.max(1));
        let peaks = admin.peaks(layout).await?.into_iter();
        let fullest_server = peaks.max_by(|a, b| used_share(a).total_cmp(&used_share(b)));
        Ok(Self {
            ledgers: admin.ledgers(layout).await?,
            fullest_server: fullest_server.unwrap_or_default(),
        })
    }
}

/// Performs a run and returns its figures; must be called outside any actix system.
pub fn execute(options: Options) -> Result<Run, Error> {
    let layout = Layout::read(&options.run)?;
    let mix = options.mix.clone().unwrap_or_else(|| Mix::for_user(&layout.user));
    let plans = plan::resolve(&mix, &layout)?;
    let load = match options.amount {
        Amount::Load(load) => load,
        Amount::Rate(rate) => plan::load_of(&plans, rate)?,
    };
    let system = actix_rt::System::new();
    let ledgers_before = system.block_on(Admin::default().ledgers(&layout))?;
    if audit::is_prefix_used(&ledgers_before, &key_prefix(options.seed)) {
        return Err(Error::Seed(options.seed));
    }
    let session = Session { options, layout, mix, plans, load, ledgers_before };
    let records = session.send(&system)?;
    let target_state = system.block_on(TargetState::read(&session.layout))?;
    Ok(session.to_result(&records, &target_state))
}

fn key_prefix(seed: u64) -> String {
    format!("s{seed:x}")
}

impl Session {
    fn send(&self, system: &actix_rt::SystemRunner) -> Result<Vec<Record>, Error> {
        let length = self.options.warmup + self.options.length;
        let arrivals = schedule::draw_arrivals(&self.plans, self.load, length, self.options.seed);
        let options = caller::Options {
            instances: self.balanced_addresses(),
            key_prefix: key_prefix(self.options.seed),
            retries: self.options.retries,
            health_checks: true,
            start: Instant::now() + START_DELAY,
        };
        let threads: Vec<_> = split_among_threads(arrivals)
            .into_iter()
            .map(|part| spawn_sender(self.plans.clone(), part, options.clone()))
            .collect();
        let injection = fault::inject(&self.layout, &self.options.faults, options.start);
        let injected = system.block_on(injection);
        let mut records = Vec::new();
        for thread in threads {
            records.extend(thread.join().map_err(|_| Error::Thread)?);
        }
        injected?;
        thread::sleep(LEDGER_DELAY);
        Ok(records)
    }

    fn balanced_addresses(&self) -> Vec<String> {
        let dropped = &self.options.dropped;
        let kept = |instance: &&layout::Instance| !dropped.contains(&instance.name);
        let kept = self.layout.instances.iter().filter(kept);
        kept.map(|instance| instance.address.clone()).collect()
    }

    fn to_result(&self, records: &[Record], target_state: &TargetState) -> Run {
        let findings = audit::audit(&self.plans, records, &target_state.ledgers);
        let seconds = self.options.length.as_secs_f64();
        let mut overall = Tally::new("all", false);
        let mut classes: Vec<Tally> = self.plans.iter().map(tally_of).collect();
        for (record, finding) in records.iter().zip(&findings) {
            let plan = &self.plans[record.class];
            overall.add(plan, record, finding, self.options.warmup);
            classes[record.class].add(plan, record, finding, self.options.warmup);
        }
        let run = Run {
            label: self.options.label.clone(),
            mix: self.mix.name.clone(),
            scenario: self.options.scenario.clone(),
            load: self.load,
            rate: self.plans.iter().map(|plan| plan.rate * self.load).sum(),
            seed: self.options.seed,
            seconds,
            warmup: self.options.warmup.as_secs_f64(),
            instances: self.balanced_addresses().len() as u64,
            faults: self.options.faults.iter().map(fault_text).collect(),
            classes: classes.into_iter().map(|tally| tally.finish(seconds)).collect(),
            overall: overall.finish(seconds),
            passed_over: records.iter().map(|record| u64::from(record.connection_refusals)).sum(),
            samples: describe_samples(&self.plans, records, &findings),
            ..Run::default()
        };
        self.add_target_figures(run, records, &findings, target_state)
    }

    fn add_target_figures(
        &self,
        run: Run,
        records: &[Record],
        findings: &[Finding],
        target_state: &TargetState,
    ) -> Run {
        let increase = |counter: fn(&standin::Ledger) -> u64| {
            let total = |ledgers: &[standin::Ledger]| ledgers.iter().map(counter).sum::<u64>();
            total(&target_state.ledgers).saturating_sub(total(&self.ledgers_before))
        };
        let calls = increase(|ledger| ledger.calls);
        let expected = self.expected_us(records, findings).max(1.0);
        Run {
            calls,
            extra_load: tally::ratio(calls, run.overall.needed),
            busy_ratio: increase(|ledger| ledger.busy_us) as f64 / expected,
            peak_connections: target_state.fullest_server.connections,
            connection_limit: target_state.fullest_server.limit,
            refused_connections: increase(|ledger| u64::from(ledger.refused_connections)),
            ..run
        }
    }

    /// Returns the average service time of the needed calls, added up over all queries, in
    /// microseconds.
    fn expected_us(&self, records: &[Record], findings: &[Finding]) -> f64 {
        let mean = |plan: &Plan| {
            let servers = self.layout.servers(&plan.shards[0].service);
            servers.first().map_or(0.0, |target| capacity::mean_service_us(target))
        };
        let means: Vec<f64> = self.plans.iter().map(mean).collect();
        let pairs = records.iter().zip(findings);
        pairs.map(|(record, finding)| finding.needed as f64 * means[record.class]).sum()
    }
}

fn tally_of(plan: &Plan) -> Tally {
    Tally::new(&plan.class.name, plan.class.headline)
}

fn fault_text(fault: &Fault) -> String {
    format!("{}:{:?}:{}", fault.start_offset.as_secs_f64(), fault.kind, fault.name)
}

/// Distributes the schedule over the sending threads; the part of each thread is sorted by time.
fn split_among_threads(arrivals: Vec<Arrival>) -> Vec<Vec<Arrival>> {
    let mut parts = vec![Vec::new(); SENDER_THREADS];
    for arrival in arrivals {
        parts[arrival.sequence as usize % SENDER_THREADS].push(arrival);
    }
    parts
}

fn spawn_sender(
    plans: Vec<Plan>,
    arrivals: Vec<Arrival>,
    options: caller::Options,
) -> thread::JoinHandle<Vec<Record>> {
    thread::spawn(move || {
        let plans: Rc<[Plan]> = plans.into();
        actix_rt::System::new().block_on(caller::send(plans, arrivals, options))
    })
}

/// Describes the first few queries that were wrong, repeated although non-idempotent, or lost.
fn describe_samples(plans: &[Plan], records: &[Record], findings: &[Finding]) -> Vec<String> {
    let is_faulty = |(record, finding): &(&Record, &Finding)| {
        finding.doubled
            || tally::is_wrong(record, finding)
            || matches!(record.outcome, Outcome::Lost { .. })
    };
    let mut pairs: Vec<_> = records.iter().zip(findings).filter(is_faulty).collect();
    pairs.sort_by_key(|(record, _)| record.start_offset);
    let described = pairs.into_iter().take(MAX_SAMPLES).map(|(record, finding)| {
        let name = &plans[record.class].class.name;
        let offset_s = record.start_offset.as_secs_f64();
        format!("{offset_s:.3} s {name} {} {finding:?} {:?}", record.key, record.outcome)
    });
    described.collect()
}
