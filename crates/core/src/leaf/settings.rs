//! Settings of the leaf machine and their builder.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::settings::Selection;

/// Settings of the leaf machine, fixed at its construction.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance; part of every target request's identifier.
    pub(super) name: Arc<str>,
    /// Incarnation of this instance; part of every target request's identifier.
    pub(super) incarnation: u64,
    /// Server selection policy. Never `Unspecified`.
    pub(super) selection: Selection,
    /// Whether slow repeatable calls are hedged with a call to another server.
    pub(super) hedging: bool,
    /// Whether work beyond the servers' slots is queued at this instance.
    pub(super) queueing: bool,
    /// Whether servers are asked for load reports.
    pub(super) probing: bool,
    /// Time after which the connection of an abandoned call is closed; `None`: the server is asked
    /// to cancel the call.
    pub(super) linger: Option<Duration>,
    /// Whether connections are opened on demand rather than ahead of work.
    pub(super) by_need: bool,
    /// Whether connections are released early where they are scarce, so that fleets can start with
    /// few connections.
    pub(super) gradual_startup: bool,
    /// Share of the servers' slots that admitted sweeps may use; `None` if the admission of sweeps
    /// is not decided.
    pub(super) sweep_utilization: Option<f64>,
    /// Availability zone of this instance.
    pub(super) zone: Arc<str>,
    /// Whether each zone with servers of a group of parts has an instance that sends the group's
    /// parts for the instances of the zone.
    pub(super) is_zonal: bool,
    /// Seed of the jitter of back-off delays.
    pub(super) seed: u64,
}

impl Settings {
    /// Creates a builder with the default policy for the instance of this name and incarnation.
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
            gradual_startup: false,
            sweep_utilization: None,
            zone: "".into(),
            is_zonal: false,
            seed: 0,
        })
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Sets the server selection policy; `Unspecified` selects by call outcomes.
    #[must_use]
    pub fn selection(mut self, selection: Selection) -> Self {
        self.0.selection = match selection {
            Selection::Unspecified => Selection::Outcome,
            other => other,
        };
        self
    }

    /// Sets whether slow repeatable calls are hedged.
    #[must_use]
    pub fn hedging(mut self, on: bool) -> Self {
        self.0.hedging = on;
        self
    }

    /// Sets whether work beyond the servers' slots is queued at this instance.
    #[must_use]
    pub fn queueing(mut self, on: bool) -> Self {
        self.0.queueing = on;
        self
    }

    /// Sets whether servers are asked for load reports.
    #[must_use]
    pub fn probing(mut self, on: bool) -> Self {
        self.0.probing = on;
        self
    }

    /// Sets the time after which the connection of an abandoned call is closed, for servers that
    /// support no cancellations; `None`: the server is asked to cancel the call.
    #[must_use]
    pub fn linger(mut self, linger: Option<Duration>) -> Self {
        self.0.linger = linger;
        self
    }

    /// Sets whether connections are opened on demand rather than ahead of work.
    ///
    /// Intended for fleets without a published list of instances, where connection shares are
    /// estimates. After a loss of all instances each instance opened all connections that it might
    /// ever need; each opening occupied a slot of a server for milliseconds, and hardly any sweep
    /// of the next two seconds was answered in time.
    #[must_use]
    pub fn by_need(mut self, on: bool) -> Self {
        self.0.by_need = on;
        self
    }

    /// Sets whether connections are closed soon after their last call where they are scarce and no
    /// other instance hands over work, and whether refusals because no server can be reached advise
    /// when to retry.
    ///
    /// Instances that have just started send sweeps themselves until they know each other. With
    /// connections kept for the need of the last seconds, 63 instances held 56 to 60 connections to
    /// each server for four seconds, nearly all idle, and servers reset those of the instances that
    /// sent the work by then.
    #[must_use]
    pub fn gradual_startup(mut self, on: bool) -> Self {
        self.0.gradual_startup = on;
        self
    }

    /// Sets the share of the servers' slots that admitted sweeps may use; `None`: all sweeps are
    /// admitted.
    #[must_use]
    pub fn sweep_utilization(mut self, utilization: Option<f64>) -> Self {
        self.0.sweep_utilization = utilization;
        self
    }

    /// Sets the availability zone of this instance.
    #[must_use]
    pub fn zone(mut self, zone: &str) -> Self {
        self.0.zone = zone.into();
        self
    }

    /// Sets whether each zone with servers of a group of parts has an instance that sends the
    /// group's parts for the instances of the zone. Default: false, one instance sends them for
    /// the whole fleet.
    #[must_use]
    pub fn zonal(mut self, is_zonal: bool) -> Self {
        self.0.is_zonal = is_zonal;
        self
    }

    /// Sets the seed of the jitter of back-off delays.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
