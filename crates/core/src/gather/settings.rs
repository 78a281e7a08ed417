//! Settings of the gathering machine and their builder.

use std::sync::Arc;

use super::aggregator_selection::LocalInstance;

/// Settings of the gathering machine.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) hedging: bool,
    pub(crate) history_capacity: usize,
    /// Availability zone of this instance, if peers aggregate parts of sweeps near the servers.
    pub(crate) zone: Option<Arc<str>>,
    /// Processor capacity available to this instance, in thousandths of a core.
    pub(crate) millicores: u32,
    /// Whether each zone with servers of a group of parts has an aggregator of its own.
    pub(crate) is_zonal: bool,
    /// Whether sweeps are admitted or refused as a whole.
    pub(crate) sweep_admission: bool,
    /// Share of the sweeps that can be served that is for reservations, in percent; 0: there are
    /// no reservations.
    pub(crate) reserved_percent: u32,
}

impl Settings {
    /// Returns a builder with the default settings for the instance `name` in its `incarnation`.
    pub fn builder(name: &str, incarnation: u64) -> Builder {
        let name = name.into();
        let zone = None;
        Builder {
            settings: Self {
                name,
                incarnation,
                hedging: true,
                history_capacity: 256,
                zone,
                millicores: 1000,
                is_zonal: false,
                sweep_admission: false,
                reserved_percent: 0,
            },
        }
    }

    /// Returns this instance, which is in `zone`, as a candidate for partial aggregation.
    pub(crate) fn local_instance<'a>(&'a self, zone: &'a str) -> LocalInstance<'a> {
        let (millicores, is_zonal) = (self.millicores, self.is_zonal);
        LocalInstance { name: &self.name, zone, millicores, is_zonal }
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets whether idempotent work at a silent owner is also sent to the next candidate. Default:
    /// true.
    #[must_use]
    pub fn hedging(mut self, hedging: bool) -> Self {
        self.settings.hedging = hedging;
        self
    }

    /// Sets the number of recent queries whose steps `Machine::explain` returns. Default: 256.
    ///
    /// The history of a sweep over 30 parts takes some kilobytes: the peak memory of a process is
    /// 12.3 MB with 512 queries and 11.5 MB with 256.
    #[must_use]
    pub fn history(mut self, queries: usize) -> Self {
        self.settings.history_capacity = queries;
        self
    }

    /// Enables the aggregation of parts of sweeps by peers near the servers; this instance is in
    /// `zone`. Default: this instance calls all servers itself.
    #[must_use]
    pub fn near(mut self, zone: &str) -> Self {
        self.settings.zone = Some(zone.into());
        self
    }

    /// Sets whether the parts of a sweep are aggregated by an instance of this instance's zone
    /// where the zone has servers of them. Default: false, one instance aggregates a group of parts
    /// for the whole fleet.
    #[must_use]
    pub fn zonal(mut self, is_zonal: bool) -> Self {
        self.settings.is_zonal = is_zonal;
        self
    }

    /// Sets the processor capacity available to this instance, in thousandths of a core. Default:
    /// 1000.
    #[must_use]
    pub fn millicores(mut self, millicores: u32) -> Self {
        self.settings.millicores = millicores;
        self
    }

    /// Sets whether sweeps are admitted or refused as a whole, by the shares that the senders of
    /// their services report. Default: false.
    #[must_use]
    pub fn sweep_admission(mut self, on: bool) -> Self {
        self.settings.sweep_admission = on;
        self
    }

    /// Reserves this percentage of the sweeps that can be served for callers that were refused and
    /// retry at the advised time; has an effect only with sweep admission. Default: 0, no
    /// reservations.
    #[must_use]
    pub fn reserved_percent(mut self, percent: u32) -> Self {
        self.settings.reserved_percent = percent;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
