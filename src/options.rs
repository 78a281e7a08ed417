//! Options of the daemon, from the command-line arguments and the settings file.
//!
//! [`arguments`] parses the command line, [`mod@file`] reads and checks the settings file, and
//! [`Options`] combines both with the defaults. The rest of the program uses only [`Options`].

pub mod arguments;
pub mod file;

use std::path::PathBuf;
use std::time::Duration;

use ladder_schema::settings::{
    self, Aggregation, Gathering, Instance, Listing, Placement, Selection, Startup, Switch, Timing,
};

use arguments::Arguments;

/// Default of `timing.probe_ms`.
pub const DEFAULT_PROBE_MS: u32 = 250;
/// Default of `timing.suspect_ms`.
pub const DEFAULT_SUSPECT_MS: u32 = 1000;
/// Default of `timing.dead_ms`.
pub const DEFAULT_DEAD_MS: u32 = 1000;
/// Default of `timing.digest_ms`.
pub const DEFAULT_DIGEST_MS: u32 = 1000;
/// Default of `timing.pause_ms`.
pub const DEFAULT_PAUSE_MS: u32 = 1000;
/// Default of `timing.drain_ms`.
pub const DEFAULT_DRAIN_MS: u32 = 20_000;
/// Default of `admission.target_utilization_percent`. Above it, the queue of a service with a few
/// slots grows faster than its throughput.
pub const DEFAULT_TARGET_UTILIZATION_PERCENT: u32 = 85;
/// Default of `timing.contact_ms`.
pub const DEFAULT_CONTACT_MS: u32 = 4000;
/// Range of the contact time in milliseconds: with less, watches of the platform end before it can
/// answer; with more, an outage of the platform is noticed late.
const CONTACT_RANGE_MS: (f64, f64) = (800.0, 60_000.0);
/// Longest time that a graceful shutdown may take, in seconds.
const MAX_GRACE_S: f64 = 600.0;
/// Part of `timing.grace_s` that is reserved for the end of the process after the drain.
const EXIT_RESERVE: Duration = Duration::from_millis(1300);

/// Options of the daemon: its settings with defaults filled in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the settings file, if the settings come from a file; it is read again when it
    /// changes.
    pub settings_path: Option<PathBuf>,
    /// The checked settings, as written in the file, without defaults.
    pub instance: Instance,
    /// How portions are sent to servers, with defaults filled in.
    pub strategy: Strategy,
    /// Which sweeps are begun in overload, with defaults filled in.
    pub admission: Admission,
    /// Intervals and timeouts, with defaults filled in.
    pub times: Times,
}

/// How portions are sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strategy {
    /// Whether one owner instance sends all portions of a service, or every instance sends its own.
    pub placement: Placement,
    /// How a server is selected for a call.
    pub selection: Selection,
    /// Whether slow calls are hedged with a second copy to another replica.
    pub hedging: bool,
    /// Whether portions beyond the servers' slots wait in a queue.
    pub queueing: bool,
    /// Source of the number of instances: published records or observed members.
    pub listing: Listing,
    /// Whether the parts of a sweep that have no server in the zone of the entry instance are
    /// collected by an instance in a zone that has such servers (partial aggregation).
    pub partial_aggregation: bool,
    /// Whether each availability zone has partial aggregators of its own.
    pub zonal_aggregation: bool,
    /// Whether a starting instance assumes a large fleet until its count of instances has settled.
    pub gradual_startup: bool,
}

/// Which sweeps are begun while more arrive than the servers can answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether a sweep is admitted or refused as a whole before anything of it is sent.
    pub sweeps: bool,
    /// Share of the servers' slots that admitted sweeps may use, in percent.
    pub target_utilization_percent: u32,
    /// Share of the admitted sweeps that is reserved for callers that come back, in percent; 0: no
    /// reservations.
    pub reserved_percent: u32,
}

impl Admission {
    /// Fills in the defaults.
    fn new(admission: &settings::Admission) -> Self {
        let target_utilization_percent = match admission.target_utilization_percent {
            0 => DEFAULT_TARGET_UTILIZATION_PERCENT,
            percent => percent,
        };
        Self {
            sweeps: admission.sweeps() == Switch::On,
            target_utilization_percent,
            reserved_percent: admission.reserved_percent,
        }
    }
}

/// Intervals and timeouts of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Interval between probes of a neighbour.
    pub probe_interval: Duration,
    /// Time without an answer after which a neighbour is suspected.
    pub suspect_after: Duration,
    /// Time after which a suspected member is considered dead.
    pub dead_after: Duration,
    /// Interval between anti-entropy digests to a random peer.
    pub digest_interval: Duration,
    /// A delay of a thread's wake-up longer than this counts as a process pause.
    pub pause_threshold: Duration,
    /// How long a graceful shutdown waits for work in flight.
    pub drain_timeout: Duration,
    /// Longest time from the moment at which the platform is reachable until this instance has
    /// received data from it.
    pub contact_timeout: Duration,
}

impl Options {
    /// Loads and checks the settings file that `arguments` name.
    ///
    /// # Errors
    ///
    /// All invalid fields of the file, each with its name, value and allowed range.
    pub fn load(arguments: &Arguments) -> Result<Self, file::Error> {
        let mut instance = file::load(&arguments.settings)?;
        if let Some(level) = arguments.log_level {
            instance.log.get_or_insert_default().set_level(level);
        }
        Ok(Self { settings_path: Some(arguments.settings.clone()), ..Self::new(instance) })
    }

    /// Returns the processor cores that the process may use, in thousandths; at least 1.
    pub fn millicores(&self) -> u32 {
        match self.instance.cores {
            0.0 => 1000,
            cores => (cores * 1000.0).round().max(1.0) as u32,
        }
    }

    /// Fills in the defaults of settings that have been checked.
    pub fn new(instance: Instance) -> Self {
        let strategy = instance.strategy.unwrap_or_default();
        let strategy = Strategy {
            placement: match strategy.placement() {
                Placement::Unspecified => Placement::Owner,
                chosen => chosen,
            },
            selection: match strategy.selection() {
                Selection::Unspecified => Selection::Outcome,
                chosen => chosen,
            },
            hedging: strategy.hedging() != Switch::Off,
            queueing: strategy.queueing() != Switch::Off,
            listing: match strategy.listing() {
                Listing::Unspecified => Listing::Published,
                chosen => chosen,
            },
            partial_aggregation: strategy.gathering() == Gathering::Near,
            zonal_aggregation: strategy.aggregation() == Aggregation::Zone,
            gradual_startup: strategy.startup() == Startup::Gradual,
        };
        let admission = Admission::new(&instance.admission.unwrap_or_default());
        let times = Times::new(&instance.timing.unwrap_or_default());
        Self { settings_path: None, instance, strategy, admission, times }
    }
}

impl Times {
    /// Fills in the defaults of all times.
    fn new(timing: &Timing) -> Self {
        Self {
            probe_interval: millis(timing.probe_ms, DEFAULT_PROBE_MS),
            suspect_after: millis(timing.suspect_ms, DEFAULT_SUSPECT_MS),
            dead_after: millis(timing.dead_ms, DEFAULT_DEAD_MS),
            digest_interval: millis(timing.digest_ms, DEFAULT_DIGEST_MS),
            pause_threshold: millis(timing.pause_ms, DEFAULT_PAUSE_MS),
            drain_timeout: drain_timeout(timing),
            contact_timeout: contact_timeout(timing.contact_ms),
        }
    }
}

/// Returns how long a graceful shutdown may wait for work in flight.
fn drain_timeout(timing: &Timing) -> Duration {
    if timing.grace_s > 0.0 {
        let grace = Duration::from_secs_f64(timing.grace_s.min(MAX_GRACE_S));
        return grace.saturating_sub(EXIT_RESERVE).max(grace / 4);
    }
    millis(timing.drain_ms, DEFAULT_DRAIN_MS)
}

/// Returns the contact time within its range; uses the default if it is 0.
fn contact_timeout(contact_ms: f64) -> Duration {
    let (least, most) = CONTACT_RANGE_MS;
    let contact_ms = if contact_ms == 0.0 {
        f64::from(DEFAULT_CONTACT_MS)
    } else {
        contact_ms.clamp(least, most)
    };
    Duration::from_secs_f64(contact_ms / 1000.0)
}

/// Converts `value` milliseconds to a duration; uses `default` if it is 0.
fn millis(value: u32, default: u32) -> Duration {
    let value = if value == 0 { default } else { value };
    Duration::from_millis(u64::from(value))
}
