//! One run: schedule, sending threads, faults, audit, figures.

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

/// Scenario of a run without faults.
pub const STEADY: &str = "steady";
/// Threads that send and receive.
const THREADS: usize = 4;
/// Between the drawing of the schedule and its first query.
const LEAD: Duration = Duration::from_millis(300);
/// After the last answer, before the ledgers are read: cancelled work is still being noted.
const SETTLE: Duration = Duration::from_millis(500);
const SAMPLES: usize = 12;

/// How much is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// Share of the capacity.
    Load(f64),
    /// Queries a second, over all classes.
    Rate(f64),
}

/// Settings of one run; the defaults are ten seconds after two of warm-up, without faults.
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
    /// Sends `amount` to the layout of a `run.json`.
    pub fn new(run: PathBuf, amount: Amount) -> Self {
        Self {
            run,
            amount,
            mix: None,
            length: Duration::from_secs(10),
            warmup: Duration::from_secs(2),
            seed: 1,
            label: "run".to_owned(),
            scenario: STEADY.to_owned(),
            dropped: Vec::new(),
            faults: Vec::new(),
            retries: false,
        }
    }

    /// What is called; by default the mix of the layout's user.
    #[must_use]
    pub fn mix(mut self, mix: Option<Mix>) -> Self {
        self.mix = mix;
        self
    }

    /// Length of the measured part.
    #[must_use]
    pub fn length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Length of the part before it, which is checked but not measured.
    #[must_use]
    pub fn warmup(mut self, warmup: Duration) -> Self {
        self.warmup = warmup;
        self
    }

    /// Seed of the schedule.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Label of the result.
    #[must_use]
    pub fn label(mut self, label: String) -> Self {
        self.label = label;
        self
    }

    /// Name of the schedule of faults.
    #[must_use]
    pub fn scenario(mut self, scenario: String) -> Self {
        self.scenario = scenario;
        self
    }

    /// Instances that the balancer leaves out.
    #[must_use]
    pub fn dropped(mut self, dropped: Vec<String>) -> Self {
        self.dropped = dropped;
        self
    }

    /// Faults, with times after the start of the warm-up.
    #[must_use]
    pub fn faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    /// Whether callers ask once more when a query is lost.
    #[must_use]
    pub fn retries(mut self, retries: bool) -> Self {
        self.retries = retries;
        self
    }
}

/// What a run needs at its end.
struct Session {
    options: Options,
    layout: Layout,
    mix: Mix,
    plans: Vec<Plan>,
    load: f64,
    before: Vec<standin::Ledger>,
}

/// What the targets know after a run.
struct Aftermath {
    ledgers: Vec<standin::Ledger>,
    /// Connections of the server that came nearest to its limit.
    nearest: Peak,
}

impl Aftermath {
    async fn read(layout: &Layout) -> Result<Self, Error> {
        let admin = Admin::default();
        let share = |peak: &Peak| f64::from(peak.connections) / f64::from(peak.limit.max(1));
        let peaks = admin.peaks(layout).await?.into_iter();
        let nearest = peaks.max_by(|a, b| share(a).total_cmp(&share(b)));
        Ok(Self { ledgers: admin.ledgers(layout).await?, nearest: nearest.unwrap_or_default() })
    }
}

/// Runs to the end and gives the figures; must be called outside any actix system.
pub fn execute(options: Options) -> Result<Run, Error> {
    let layout = Layout::read(&options.run)?;
    let mix = options.mix.clone().unwrap_or_else(|| Mix::of(&layout.user));
    let plans = plan::resolve(&mix, &layout)?;
    let load = match options.amount {
        Amount::Load(load) => load,
        Amount::Rate(rate) => plan::load_of(&plans, rate)?,
    };
    let system = actix_rt::System::new();
    let before = system.block_on(Admin::default().ledgers(&layout))?;
    if audit::is_used(&before, &prefix(options.seed)) {
        return Err(Error::Seed(options.seed));
    }
    let session = Session { options, layout, mix, plans, load, before };
    let records = session.send(&system)?;
    let after = system.block_on(Aftermath::read(&session.layout))?;
    Ok(session.figures(&records, &after))
}

fn prefix(seed: u64) -> String {
    format!("s{seed:x}")
}

impl Session {
    fn send(&self, system: &actix_rt::SystemRunner) -> Result<Vec<Record>, Error> {
        let length = self.options.warmup + self.options.length;
        let arrivals = schedule::draw(&self.plans, self.load, length, self.options.seed);
        let options = caller::Options {
            instances: self.addresses(),
            prefix: prefix(self.options.seed),
            retries: self.options.retries,
            checks: true,
            start: Instant::now() + LEAD,
        };
        let threads: Vec<_> = deal(arrivals)
            .into_iter()
            .map(|share| spawn(self.plans.clone(), share, options.clone()))
            .collect();
        let injected = fault::inject(&self.layout, &self.options.faults, options.start);
        let injected = system.block_on(injected);
        let mut records = Vec::new();
        for thread in threads {
            records.extend(thread.join().map_err(|_| Error::Thread)?);
        }
        injected?;
        thread::sleep(SETTLE);
        Ok(records)
    }

    fn addresses(&self) -> Vec<String> {
        let dropped = &self.options.dropped;
        let kept = |instance: &&layout::Instance| !dropped.contains(&instance.name);
        let kept = self.layout.instances.iter().filter(kept);
        kept.map(|instance| instance.address.clone()).collect()
    }

    fn figures(&self, records: &[Record], after: &Aftermath) -> Run {
        let findings = audit::audit(&self.plans, records, &after.ledgers);
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
            instances: self.addresses().len() as u64,
            faults: self.options.faults.iter().map(describe).collect(),
            classes: classes.into_iter().map(|tally| tally.finish(seconds)).collect(),
            overall: overall.finish(seconds),
            passed_over: records.iter().map(|record| u64::from(record.refusals)).sum(),
            samples: samples(&self.plans, records, &findings),
            ..Run::default()
        };
        self.with_target_figures(run, records, &findings, after)
    }

    fn with_target_figures(
        &self,
        run: Run,
        records: &[Record],
        findings: &[Finding],
        after: &Aftermath,
    ) -> Run {
        let sum = |of: fn(&standin::Ledger) -> u64| {
            let total = |ledgers: &[standin::Ledger]| ledgers.iter().map(of).sum::<u64>();
            total(&after.ledgers).saturating_sub(total(&self.before))
        };
        let calls = sum(|ledger| ledger.calls);
        let expected = self.expected_us(records, findings).max(1.0);
        Run {
            calls,
            extra_load: tally::ratio(calls, run.overall.needed),
            busy_ratio: sum(|ledger| ledger.busy_us) as f64 / expected,
            peak_connections: after.nearest.connections,
            connection_limit: after.nearest.limit,
            refused_connections: sum(|ledger| u64::from(ledger.refused_connections)),
            ..run
        }
    }

    /// Service time that the needed calls take on average, in microseconds.
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

fn describe(fault: &Fault) -> String {
    format!("{}:{:?}:{}", fault.at.as_secs_f64(), fault.kind, fault.name)
}

/// Deals the schedule out to the threads, each share in order of time.
fn deal(arrivals: Vec<Arrival>) -> Vec<Vec<Arrival>> {
    let mut shares = vec![Vec::new(); THREADS];
    for arrival in arrivals {
        shares[arrival.sequence as usize % THREADS].push(arrival);
    }
    shares
}

fn spawn(
    plans: Vec<Plan>,
    share: Vec<Arrival>,
    options: caller::Options,
) -> thread::JoinHandle<Vec<Record>> {
    thread::spawn(move || {
        let plans: Rc<[Plan]> = plans.into();
        actix_rt::System::new().block_on(caller::send(plans, share, options))
    })
}

/// The first few queries that broke a promise, in words.
fn samples(plans: &[Plan], records: &[Record], findings: &[Finding]) -> Vec<String> {
    let broken = |(record, finding): &(&Record, &Finding)| {
        finding.doubled
            || tally::is_wrong(record, finding)
            || matches!(record.outcome, Outcome::Lost { .. })
    };
    let mut pairs: Vec<_> = records.iter().zip(findings).filter(broken).collect();
    pairs.sort_by_key(|(record, _)| record.at);
    let described = pairs.into_iter().take(SAMPLES).map(|(record, finding)| {
        let name = &plans[record.class].class.name;
        let at = record.at.as_secs_f64();
        format!("{at:.3} s {name} {} {finding:?} {:?}", record.key, record.outcome)
    });
    described.collect()
}
