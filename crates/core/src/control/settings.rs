//! Settings of the control machine.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;

/// How work on services is distributed over instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Each service has one owner, which has the only queue of the service.
    #[default]
    Owner,
    /// Each instance calls the servers itself, with its share of their connections.
    Direct,
}

/// Source of the number of instances that share a server's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// The platform publishes the list of instances.
    #[default]
    Published,
    /// The platform does not publish instances: each instance counts those that it receives frames
    /// or gossip about. Only with direct placement.
    Observed,
}

/// Time spans of failure detection, anti-entropy and reads of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between probes of a neighbour.
    pub probe: Duration,
    /// Time without a frame from a neighbour after which it is suspected.
    pub suspect: Duration,
    /// Time after which a suspected member is considered dead.
    pub dead: Duration,
    /// Interval between digests to a random peer.
    pub digest: Duration,
    /// Longest time from the moment at which the platform becomes reachable until this instance has
    /// received its answer.
    pub contact: Duration,
    /// How long other instances may take to receive a new list of instances. Connection shares grow
    /// only after this time. A new incarnation becomes an owner only after this time, unless there
    /// is no other instance.
    pub grace: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe: Duration::from_millis(250),
            suspect: Duration::from_millis(1000),
            dead: Duration::from_millis(1000),
            digest: Duration::from_millis(1000),
            contact: Duration::from_millis(4000),
            grace: Duration::from_millis(2000),
        }
    }
}

/// Settings of the control machine, made by [`Builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(super) fleet: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) zone: Arc<str>,
    pub(super) millicores: u32,
    pub(super) address: Arc<str>,
    pub(super) seeds: Vec<Arc<str>>,
    pub(super) placement: Placement,
    pub(super) listing: Listing,
    /// Whether peers near the servers aggregate the parts of sweeps.
    pub(super) near: bool,
    /// Whether this instance assumes a large fleet until its count of instances has settled.
    pub(super) gradual_startup: bool,
    /// Whether each zone with servers of a group of parts has an aggregator of its own.
    pub(super) is_zonal: bool,
    pub(super) timing: Timing,
    pub(super) regions: Arc<Map<Arc<str>, Arc<str>>>,
    pub(super) seed: u64,
}

impl Settings {
    /// Whether this instance must not trust its count of instances from the start.
    pub(super) fn starts_gradually(&self) -> bool {
        self.gradual_startup && self.listing == Listing::Observed
    }

    /// Creates a builder from the instance's unique name and its peer address (IP address and
    /// port).
    pub fn builder(name: &str, address: &str) -> Builder {
        Builder {
            settings: Self {
                fleet: "".into(),
                name: name.into(),
                incarnation: 1,
                zone: "".into(),
                millicores: 1000,
                address: address.into(),
                seeds: Vec::new(),
                placement: Placement::default(),
                listing: Listing::default(),
                near: false,
                gradual_startup: false,
                is_zonal: false,
                timing: Timing::default(),
                regions: Arc::default(),
                seed: 0,
            },
        }
    }

    /// Unique name of the instance.
    pub const fn name(&self) -> &Arc<str> {
        &self.name
    }
}

/// Builder of the control machine's [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Name of the fleet, which every frame contains.
    #[must_use]
    pub fn fleet(mut self, fleet: &str) -> Self {
        self.settings.fleet = fleet.into();
        self
    }

    /// Incarnation of the instance, which increases with every start; at least 1, as 0 means
    /// unknown.
    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.settings.incarnation = incarnation.max(1);
        self
    }

    /// Availability zone of the instance.
    #[must_use]
    pub fn zone(mut self, zone: &str) -> Self {
        self.settings.zone = zone.into();
        self
    }

    /// Thousandths of a processor core that this instance may use. Default: 1000.
    #[must_use]
    pub const fn millicores(mut self, millicores: u32) -> Self {
        self.settings.millicores = millicores;
        self
    }

    /// Peer addresses to ask at the start, when the platform may not answer.
    #[must_use]
    pub fn seeds<'a>(mut self, seeds: impl IntoIterator<Item = &'a str>) -> Self {
        self.settings.seeds = seeds.into_iter().map(Into::into).collect();
        self
    }

    /// How work on services is distributed over instances.
    #[must_use]
    pub const fn placement(mut self, placement: Placement) -> Self {
        self.settings.placement = placement;
        self
    }

    /// Source of the number of instances that share a server's connections.
    #[must_use]
    pub const fn listing(mut self, listing: Listing) -> Self {
        self.settings.listing = listing;
        self
    }

    /// Whether peers near the servers aggregate the parts of sweeps. Default: false.
    #[must_use]
    pub const fn near(mut self, near: bool) -> Self {
        self.settings.near = near;
        self
    }

    /// Whether the instance assumes a large fleet after its start until its count of instances has
    /// settled; only with observed listing. Default: false.
    #[must_use]
    pub const fn gradual_startup(mut self, gradual: bool) -> Self {
        self.settings.gradual_startup = gradual;
        self
    }

    /// Whether each zone with servers of a group of parts has an aggregator of its own. Default:
    /// false, one instance aggregates a group for the whole fleet.
    #[must_use]
    pub const fn zonal(mut self, is_zonal: bool) -> Self {
        self.settings.is_zonal = is_zonal;
        self
    }

    /// Time spans of failure detection, anti-entropy and reads of the platform.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.settings.timing = timing;
        self
    }

    /// Region of each availability zone. Default: no region is known.
    #[must_use]
    pub fn regions<'a>(mut self, zones: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let zones = zones.into_iter().map(|(zone, region)| (zone.into(), region.into()));
        self.settings.regions = Arc::new(zones.collect());
        self
    }

    /// Seed of all random choices of the machine.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Returns the completed settings of the control machine.
    pub fn build(self) -> Settings {
        self.settings
    }
}
