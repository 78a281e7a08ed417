//! The users' sizes of today.

use ladder_core::collections::Map;
use ladder_schema::catalogue::{Preference, Urgency};

/// A user of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Station bike parking in Porto: tail latency first.
    Porto,
    /// Subsidy applications in Bagmati: coverage first.
    Bagmati,
}

/// Zones and services of a user.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Who answers for the services.
    pub owner: &'static str,
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// Groups of services.
    pub groups: Vec<Group>,
}

/// Services alike, which hold the shards of one index.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Name of the group and its index.
    pub name: &'static str,
    /// Its services are numbered from 01; otherwise there is one, of the group's name.
    pub numbered: bool,
    /// Number of services, each with one shard.
    ///
    /// Invariant: 1 unless `numbered`.
    pub services: u32,
    /// Replicas of each service.
    pub servers: u32,
    /// Requests a server works on at once.
    pub slots: u32,
    /// Connections a server accepts.
    pub connections: u32,
    /// Cost of a new connection in milliseconds.
    pub connect_ms: u32,
    /// Urgency of the entries; an operation's own goes first.
    pub urgency: Urgency,
    /// What callers may ask for.
    pub operations: &'static [Operation],
}

/// An operation of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// Its name.
    pub name: &'static str,
    /// At most one execution per request key.
    pub unrepeatable: bool,
    /// Class of urgency.
    pub urgency: Urgency,
    /// What it gives up first.
    pub preference: Preference,
    /// Deadline when the caller names none, in milliseconds.
    pub deadline_ms: u32,
}

impl User {
    /// Name on the command line and of the fleet.
    pub fn name(self) -> &'static str {
        match self {
            Self::Porto => "porto",
            Self::Bagmati => "bagmati",
        }
    }

    /// The sizes of today; groups of several services have `scale` times as many, at least one.
    pub fn sizes(self, scale: f64) -> Sizes {
        let (owner, zones, groups) = match self {
            Self::Porto => ("smpc-porto", PORTO_ZONES, PORTO_GROUPS),
            Self::Bagmati => ("krishak-sahakari", BAGMATI_ZONES, BAGMATI_GROUPS),
        };
        let groups = groups.iter().map(|group| group.scaled(scale)).collect();
        Sizes { owner, zones, groups }
    }
}

impl std::str::FromStr for User {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let users = [Self::Porto, Self::Bagmati];
        let user = users.into_iter().find(|user| user.name() == name);
        user.ok_or_else(|| format!("\"{name}\" is neither porto nor bagmati"))
    }
}

impl Sizes {
    /// Cost of a new connection to the servers of each service.
    pub(super) fn connect_ms(&self) -> Map<String, u32> {
        let groups = self.groups.iter();
        let costs = groups.flat_map(|group| {
            let names = group.service_names().into_iter();
            names.map(|service| (service, group.connect_ms))
        });
        costs.collect()
    }
}

impl Group {
    /// Names of its services.
    pub fn service_names(&self) -> Vec<String> {
        if !self.numbered {
            return vec![self.name.to_owned()];
        }
        (1..=self.services).map(|number| format!("{}-{number:02}", self.name)).collect()
    }

    /// Many services of two servers with few slots and costly connections.
    const fn wide(name: &'static str, services: u32, urgency: Urgency) -> Self {
        Self {
            name,
            numbered: true,
            services,
            servers: 2,
            slots: 2,
            connections: 25,
            connect_ms: 6,
            urgency,
            operations: &[],
        }
    }

    /// One service of ordinary urgency with cheap connections.
    const fn single(name: &'static str, servers: u32) -> Self {
        Self {
            name,
            numbered: false,
            services: 1,
            servers,
            slots: 1,
            connections: 1,
            connect_ms: 1,
            urgency: Urgency::Ordinary,
            operations: &[],
        }
    }

    fn scaled(mut self, scale: f64) -> Self {
        if self.numbered {
            let services = f64::from(self.services) * scale;
            self.services = (services.round() as u32).max(1);
        }
        self
    }
}

impl Operation {
    /// A repeatable operation without a preference of its own.
    const fn new(name: &'static str, urgency: Urgency, deadline_ms: u32) -> Self {
        Self {
            name,
            unrepeatable: false,
            urgency,
            preference: Preference::Unspecified,
            deadline_ms,
        }
    }
}

const PORTO_ZONES: &[&str] = &["campanha", "sao-bento", "trindade"];

const BAGMATI_ZONES: &[&str] = &["kathmandu", "lalitpur", "bhaktapur", "dhulikhel"];

const PORTO_GROUPS: &[Group] = &[
    Group {
        operations: &[
            Operation {
                preference: Preference::Timely,
                ..Operation::new("dock-availability", Urgency::Elevated, 1000)
            },
            Operation {
                unrepeatable: true,
                ..Operation::new("dock-booking", Urgency::Elevated, 2000)
            },
        ],
        ..Group::wide("gate-finder", 20, Urgency::Elevated)
    },
    Group {
        operations: &[
            Operation {
                preference: Preference::Timely,
                ..Operation::new("stolen-bike", Urgency::Urgent, 1000)
            },
            Operation::new("flagged-bikes", Urgency::Ordinary, 2000),
        ],
        ..Group::wide("patrol-rounds", 30, Urgency::Ordinary)
    },
    Group {
        operations: &[
            Operation::new("profile", Urgency::Ordinary, 1000),
            Operation { unrepeatable: true, ..Operation::new("payment", Urgency::Ordinary, 2000) },
        ],
        slots: 6,
        connections: 100,
        ..Group::single("subscriber-desk", 3)
    },
    Group {
        operations: &[Operation::new("tariff", Urgency::Ordinary, 1000)],
        slots: 6,
        connections: 100,
        ..Group::single("tariff-board", 3)
    },
];

const BAGMATI_GROUPS: &[Group] = &[
    Group {
        operations: &[
            Operation {
                preference: Preference::Complete,
                ..Operation::new("eligibility", Urgency::Urgent, 1000)
            },
            Operation {
                unrepeatable: true,
                ..Operation::new("payout-lookup", Urgency::Urgent, 2000)
            },
        ],
        ..Group::wide("counter-desk", 20, Urgency::Urgent)
    },
    Group {
        operations: &[Operation {
            preference: Preference::Complete,
            ..Operation::new("duplicate-claims", Urgency::Elevated, 1000)
        }],
        ..Group::wide("ledger-sync", 30, Urgency::Elevated)
    },
    Group {
        operations: &[Operation::new("application-status", Urgency::Ordinary, 1000)],
        slots: 2,
        connections: 35,
        ..Group::single("member-portal", 5)
    },
    Group {
        operations: &[Operation::new("report", Urgency::Ordinary, 2000)],
        slots: 2,
        connections: 35,
        ..Group::single("report-desk", 4)
    },
];
