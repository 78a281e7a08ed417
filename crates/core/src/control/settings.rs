//! Settings of the control machine.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;

/// How services are shared out over instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Each service has one owner with one queue.
    #[default]
    Owner,
    /// Each instance asks the servers itself with a share of the connections.
    Direct,
}

/// Where the number of instances that share a server's connections comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// The platform publishes the instances.
    #[default]
    Published,
    /// It does not: instances count those that they hear of. Only with direct placement.
    Observed,
}

/// Time spans that steer membership, spread and reads of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between probes of a neighbour.
    pub probe: Duration,
    /// Silence before a neighbour is suspected.
    pub suspect: Duration,
    /// Suspicion before a member is held dead.
    pub dead: Duration,
    /// Between digests to a random peer.
    pub digest: Duration,
    /// From the moment at which the platform can be reached, until this instance has heard from it.
    pub contact: Duration,
    /// How long other instances may take to learn of a new list of instances. Shares of
    /// connections grow only after it, and a new incarnation becomes an owner only after it unless
    /// there is no other.
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

/// Settings of the control machine.
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
    /// Peers near the servers collect the parts of sweeps.
    pub(super) near: bool,
    pub(super) timing: Timing,
    pub(super) regions: Arc<Map<Arc<str>, Arc<str>>>,
    pub(super) seed: u64,
}

impl Settings {
    /// Starts from the instance's unique name and its peer address (IP number and port).
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
                timing: Timing::default(),
                regions: Arc::default(),
                seed: 0,
            },
        }
    }

    /// The instance's name.
    pub const fn name(&self) -> &Arc<str> {
        &self.name
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Fleet name, written into every frame.
    #[must_use]
    pub fn fleet(mut self, fleet: &str) -> Self {
        self.settings.fleet = fleet.into();
        self
    }

    /// Grows with every start of the instance; at least 1, as 0 means unknown.
    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.settings.incarnation = incarnation.max(1);
        self
    }

    /// Availability zone.
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

    /// Peer addresses asked at start, when the platform may be silent.
    #[must_use]
    pub fn seeds<'a>(mut self, seeds: impl IntoIterator<Item = &'a str>) -> Self {
        self.settings.seeds = seeds.into_iter().map(Into::into).collect();
        self
    }

    /// How services are shared out.
    #[must_use]
    pub const fn placement(mut self, placement: Placement) -> Self {
        self.settings.placement = placement;
        self
    }

    /// Where the number of instances comes from.
    #[must_use]
    pub const fn listing(mut self, listing: Listing) -> Self {
        self.settings.listing = listing;
        self
    }

    /// Whether peers near the servers collect the parts of sweeps. Default: false.
    #[must_use]
    pub const fn near(mut self, near: bool) -> Self {
        self.settings.near = near;
        self
    }

    /// Time spans.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.settings.timing = timing;
        self
    }

    /// The region of each availability zone. Default: none is known.
    #[must_use]
    pub fn regions<'a>(mut self, zones: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let zones = zones.into_iter().map(|(zone, region)| (zone.into(), region.into()));
        self.settings.regions = Arc::new(zones.collect());
        self
    }

    /// Seed of all random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
