//! The users' current sizes: zones, services, servers and operations.

use ladder_core::collections::Map;
use ladder_schema::catalogue::{Preference, Urgency};

/// Organisation that uses the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Station bike parking in Porto, which gives priority to tail latency.
    Porto,
    /// Subsidy applications in Bagmati, which give priority to coverage.
    Bagmati,
}

/// Zones and service groups of a user.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Team that is responsible for the services.
    pub owner: &'static str,
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Service groups of the user.
    pub groups: Vec<ServiceGroup>,
}

/// Group of services with the same sizes, which together serve the shards of one index.
#[derive(Clone, Copy, Debug)]
pub struct ServiceGroup {
    /// Name of the group and of its index.
    pub name: &'static str,
    /// Whether the group's services are numbered from 01. Otherwise the group has one service,
    /// which has the name of the group.
    pub numbered: bool,
    /// Number of services in the group, each with one shard.
    ///
    /// Invariant: 1 unless `numbered`.
    pub services: u32,
    /// Number of servers of each service.
    pub replicas: u32,
    /// Number of requests that a server executes concurrently.
    pub slots: u32,
    /// Maximum number of connections to a server.
    pub connections: u32,
    /// Time to establish a new connection to a server, in milliseconds.
    pub connect_ms: u32,
    /// Urgency of the services' catalogue entries. The urgency of an operation takes precedence.
    pub urgency: Urgency,
    /// Operations that callers may request.
    pub operations: &'static [Operation],
}

/// Operation in a service's catalogue entry.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// Name of the operation.
    pub name: &'static str,
    /// Whether the operation is non-idempotent: executed at most once per request key.
    pub unrepeatable: bool,
    /// Urgency class of the operation.
    pub urgency: Urgency,
    /// Whether the operation prefers timely or complete answers.
    pub preference: Preference,
    /// Deadline of a request that specifies none, in milliseconds.
    pub deadline_ms: u32,
}

impl User {
    /// Name of the user on the command line; also the name of the user's fleet.
    pub fn name(self) -> &'static str {
        match self {
            Self::Porto => "porto",
            Self::Bagmati => "bagmati",
        }
    }

    /// Returns the user's current sizes. In numbered groups, the number of services is multiplied
    /// by `scale`; at least one service remains.
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
    /// Returns, per service, the time to establish a connection to its servers, in milliseconds.
    pub(super) fn connect_ms(&self) -> Map<String, u32> {
        let groups = self.groups.iter();
        let connect_times = groups.flat_map(|group| {
            let names = group.service_names().into_iter();
            names.map(|service| (service, group.connect_ms))
        });
        connect_times.collect()
    }
}

impl ServiceGroup {
    /// Returns the names of the group's services.
    pub fn service_names(&self) -> Vec<String> {
        if !self.numbered {
            return vec![self.name.to_owned()];
        }
        (1..=self.services).map(|number| format!("{}-{number:02}", self.name)).collect()
    }

    /// Numbered group whose services have two servers with few slots and slow connection setup.
    const fn sharded(name: &'static str, services: u32, urgency: Urgency) -> Self {
        Self {
            name,
            numbered: true,
            services,
            replicas: 2,
            slots: 2,
            connections: 25,
            connect_ms: 6,
            urgency,
            operations: &[],
        }
    }

    /// Group of one service of ordinary urgency with fast connection setup.
    const fn single(name: &'static str, replicas: u32) -> Self {
        Self {
            name,
            numbered: false,
            services: 1,
            replicas,
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
    /// Idempotent operation without a preference.
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

const PORTO_GROUPS: &[ServiceGroup] = &[
    ServiceGroup {
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
        ..ServiceGroup::sharded("gate-finder", 20, Urgency::Elevated)
    },
    ServiceGroup {
        operations: &[
            Operation {
                preference: Preference::Timely,
                ..Operation::new("stolen-bike", Urgency::Urgent, 1000)
            },
            Operation::new("flagged-bikes", Urgency::Ordinary, 2000),
        ],
        ..ServiceGroup::sharded("patrol-rounds", 30, Urgency::Ordinary)
    },
    ServiceGroup {
        operations: &[
            Operation::new("profile", Urgency::Ordinary, 1000),
            Operation { unrepeatable: true, ..Operation::new("payment", Urgency::Ordinary, 2000) },
        ],
        slots: 6,
        connections: 100,
        ..ServiceGroup::single("subscriber-desk", 3)
    },
    ServiceGroup {
        operations: &[Operation::new("tariff", Urgency::Ordinary, 1000)],
        slots: 6,
        connections: 100,
        ..ServiceGroup::single("tariff-board", 3)
    },
];

const BAGMATI_GROUPS: &[ServiceGroup] = &[
    ServiceGroup {
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
        ..ServiceGroup::sharded("counter-desk", 20, Urgency::Urgent)
    },
    ServiceGroup {
        operations: &[Operation {
            preference: Preference::Complete,
            ..Operation::new("duplicate-claims", Urgency::Elevated, 1000)
        }],
        ..ServiceGroup::sharded("ledger-sync", 30, Urgency::Elevated)
    },
    ServiceGroup {
        operations: &[Operation::new("application-status", Urgency::Ordinary, 1000)],
        slots: 2,
        connections: 35,
        ..ServiceGroup::single("member-portal", 5)
    },
    ServiceGroup {
        operations: &[Operation::new("report", Urgency::Ordinary, 2000)],
        slots: 2,
        connections: 35,
        ..ServiceGroup::single("report-desk", 4)
    },
];
