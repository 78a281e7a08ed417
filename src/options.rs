//! Options of the daemon: command-line arguments and the settings file, joined into what runs.
//!
//! [`arguments`] is what the operator typed, [`file`] what the settings file says once checked, and
//! [`Options`] what the daemon runs with: the only type that the rest of the program sees.

pub mod arguments;
pub mod file;

use std::path::PathBuf;
use std::time::Duration;

use ladder_schema::settings::{Gathering, Instance, Listing, Placement, Selection, Switch, Timing};

use arguments::Arguments;

/// Default of `timing.probe_ms`.
pub const PROBE_MS: u32 = 250;
/// Default of `timing.suspect_ms`.
pub const SUSPECT_MS: u32 = 1000;
/// Default of `timing.dead_ms`.
pub const DEAD_MS: u32 = 1000;
/// Default of `timing.digest_ms`.
pub const DIGEST_MS: u32 = 1000;
/// Default of `timing.pause_ms`.
pub const PAUSE_MS: u32 = 1000;
/// Default of `timing.drain_ms`.
pub const DRAIN_MS: u32 = 20_000;
/// Default of `timing.contact_ms`.
pub const CONTACT_MS: u32 = 4000;
/// Kept of `timing.grace_s` for the end of the process itself.
const LAST: Duration = Duration::from_millis(1300);

/// What the daemon runs with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The file that the settings come from, if any; it is read again when it changes.
    pub source: Option<PathBuf>,
    /// The checked settings, as written.
    pub instance: Instance,
    /// How work reaches servers, defaults filled in.
    pub strategy: Strategy,
    /// Times, defaults filled in.
    pub times: Times,
}

/// How work reaches servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strategy {
    /// One owner per service, or every instance by itself.
    pub placement: Placement,
    /// How a server is chosen.
    pub selection: Selection,
    /// Second copies to another replica.
    pub hedging: bool,
    /// Hold work beyond the servers' slots in a queue.
    pub queueing: bool,
    /// Where the number of instances comes from.
    pub listing: Listing,
    /// Parts of sweeps are collected near their servers.
    pub near: bool,
}

/// Times of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Between probes of a neighbour.
    pub probe: Duration,
    /// Silence before a neighbour is suspected.
    pub suspect: Duration,
    /// Suspicion before a member is held dead.
    pub dead: Duration,
    /// Between digests to a random peer.
    pub digest: Duration,
    /// A gap that counts as a suspension of the process.
    pub pause: Duration,
    /// How long a stop waits for work in flight.
    pub drain: Duration,
    /// From the moment at which the platform can be reached, until this instance has heard from it.
    pub contact: Duration,
}

impl Options {
    /// Loads and checks the settings file that `arguments` name.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the file, each with field, value and allowed range.
    pub fn load(arguments: &Arguments) -> Result<Self, file::Error> {
        let mut instance = file::load(&arguments.settings)?;
        if let Some(level) = arguments.log_level {
            instance.log.get_or_insert_default().set_level(level);
        }
        Ok(Self { source: Some(arguments.settings.clone()), ..Self::new(instance) })
    }

    /// Thousandths of a processor core that the process may use; at least 1.
    pub fn millicores(&self) -> u32 {
        match self.instance.cores {
            0.0 => 1000,
            cores => (cores * 1000.0).round().max(1.0) as u32,
        }
    }

    /// Fills in the defaults of checked settings.
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
            near: strategy.gathering() == Gathering::Near,
        };
        let times = Times::new(&instance.timing.unwrap_or_default());
        Self { source: None, instance, strategy, times }
    }
}

impl Times {
    /// Fills in the defaults.
    fn new(timing: &Timing) -> Self {
        Self {
            probe: millis(timing.probe_ms, PROBE_MS),
            suspect: millis(timing.suspect_ms, SUSPECT_MS),
            dead: millis(timing.dead_ms, DEAD_MS),
            digest: millis(timing.digest_ms, DIGEST_MS),
            pause: millis(timing.pause_ms, PAUSE_MS),
            drain: drain(timing),
            contact: millis(timing.contact_ms, CONTACT_MS),
        }
    }
}

/// How long a stop may wait for work in flight.
fn drain(timing: &Timing) -> Duration {
    if timing.grace_s > 0.0 {
        let grace = Duration::from_secs_f64(timing.grace_s);
        return grace.saturating_sub(LAST).max(grace / 4);
    }
    millis(timing.drain_ms, DRAIN_MS)
}

/// `value` in milliseconds, `default` when it is 0.
fn millis(value: u32, default: u32) -> Duration {
    let value = if value == 0 { default } else { value };
    Duration::from_millis(u64::from(value))
}
