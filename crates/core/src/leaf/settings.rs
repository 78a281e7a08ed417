//! Settings of the machine, by a builder.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::settings::Selection;

/// What the machine is given once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance; part of every target request's identifier.
    pub(super) name: Arc<str>,
    /// Incarnation of this instance; part of every target request's identifier.
    pub(super) incarnation: u64,
    /// How a server is chosen. Never `Unspecified`.
    pub(super) selection: Selection,
    /// Second copies to another replica.
    pub(super) hedging: bool,
    /// Hold work beyond the servers' slots in a queue.
    pub(super) queueing: bool,
    /// Ask servers for their load reports.
    pub(super) probing: bool,
    /// How long a call that nobody waits for may go on before its connection is closed; `None`:
    /// the server is asked to cancel it.
    pub(super) linger: Option<Duration>,
    /// Connections are opened as work needs them, and not ahead.
    pub(super) by_need: bool,
    /// Availability zone of this instance.
    pub(super) zone: Arc<str>,
    /// Seed of the jitter of pauses.
    pub(super) seed: u64,
}

impl Settings {
    /// Starts a builder with the chosen policy for the instance of this name and incarnation.
    pub fn builder(name: &str, incarnation: u64) -> Builder {
        Builder(Self {
            name: name.into(),
            incarnation,
            selection: Selection::Outcome,
            hedging: true,
            queueing: true,
            probing: true,
            linger: None,
            by_need: false,
            zone: "".into(),
            seed: 0,
        })
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// How a server is chosen; `Unspecified` means by outcome.
    #[must_use]
    pub fn selection(mut self, selection: Selection) -> Self {
        self.0.selection = match selection {
            Selection::Unspecified => Selection::Outcome,
            other => other,
        };
        self
    }

    /// Whether slow repeatable calls get a second copy.
    #[must_use]
    pub fn hedging(mut self, on: bool) -> Self {
        self.0.hedging = on;
        self
    }

    /// Whether work beyond the servers' slots waits here.
    #[must_use]
    pub fn queueing(mut self, on: bool) -> Self {
        self.0.queueing = on;
        self
    }

    /// Whether servers are asked for their load reports.
    #[must_use]
    pub fn probing(mut self, on: bool) -> Self {
        self.0.probing = on;
        self
    }

    /// Servers take no cancellations: a call that nobody waits for may go on for this long, and
    /// then its connection is closed.
    #[must_use]
    pub fn linger(mut self, linger: Option<Duration>) -> Self {
        self.0.linger = linger;
        self
    }

    /// Whether connections are opened as work needs them, and not ahead.
    ///
    /// Meant for fleets whose instances nobody publishes: their shares are guesses. After a loss of
    /// all instances every one of them opened all that it might ever need, each opening held a slot
    /// of the servers for milliseconds, and hardly a sweep of the next two seconds was in time.
    #[must_use]
    pub fn by_need(mut self, on: bool) -> Self {
        self.0.by_need = on;
        self
    }

    /// Availability zone of this instance.
    #[must_use]
    pub fn zone(mut self, zone: &str) -> Self {
        self.0.zone = zone.into();
        self
    }

    /// Seed of the jitter of pauses.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
