//! Operations that a run calls, and the share of the capacity that each takes.
//!
//! The `share` of a query class is the part of the capacity that the class uses at load 1, of the
//! services whose catalogue entry lists its operation. At load F the class alone keeps `F * share`
//! of the slots of these services busy, so the shares of classes on the same services add up. At F
//! = 1 the mixes of both users load their two large groups of services as follows:
//!
//! | user | group | classes and shares | sum |
//! |---|---|---|---|
//! | Porto | gate-finder | dock-availability 0.97, dock-booking 0.03 | 1.0 |
//! | Porto | patrol-rounds | stolen-bike 0.30, flagged-round 0.65, flagged-bikes 0.05 | 1.0 |
//! | Bagmati | counter-desk | eligibility-sweep 0.40, eligibility 0.07, payout-lookup 0.03 | 0.5 |
//! | Bagmati | ledger-sync | duplicate-claims 1.0 | 1.0 |
//!
//! The urgent classes of a group have less than half of its load, so that at F = 1.3 the excess
//! load consists of less urgent work. The operations of counter-desk are all urgent or rarely
//! called, therefore this group is loaded with half of F.

use serde::{Deserialize, Serialize};

/// Number of shards that one query asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FanOut {
    /// Each query asks all shards of the operation's services.
    All,
    /// Each query asks this many shards, selected at random for each query.
    Some(usize),
}

/// Class of queries that call the same operation with the same number of shards.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name of the query class in reports.
    pub name: String,
    /// Name of the operation that the query class calls, as in the catalogue.
    pub operation: String,
    /// Number of shards that one query of the class asks.
    pub fan: FanOut,
    /// Share of the capacity of the operation's services that the class uses at load 1.
    pub share: f64,
    /// Deadline of a query in milliseconds; 0 selects the operation's default in the catalogue.
    #[serde(default)]
    pub deadline_ms: u32,
    /// Whether the summary line of a comparison reports on this query class.
    #[serde(default)]
    pub headline: bool,
}

/// Query classes that a run sends at the same time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name of the mix in reports.
    pub name: String,
    /// Query classes of the mix.
    pub classes: Vec<Class>,
}

fn class(name: &str, operation: &str, fan: FanOut, share: f64) -> Class {
    Class {
        name: name.to_owned(),
        operation: operation.to_owned(),
        fan,
        share,
        deadline_ms: 0,
        headline: false,
    }
}

fn as_headline(class: Class) -> Class {
    Class { headline: true, ..class }
}

/// Mix of the user Porto.
pub fn porto() -> Mix {
    Mix {
        name: "porto".to_owned(),
        classes: vec![
            as_headline(class("dock-availability", "dock-availability", FanOut::All, 0.97)),
            class("dock-booking", "dock-booking", FanOut::Some(1), 0.03),
            class("stolen-bike", "stolen-bike", FanOut::All, 0.3),
            class("flagged-round", "flagged-bikes", FanOut::Some(10), 0.65),
            class("flagged-bikes", "flagged-bikes", FanOut::Some(1), 0.05),
            class("tariff", "tariff", FanOut::Some(1), 0.02),
            class("profile", "profile", FanOut::Some(1), 0.02),
        ],
    }
}

/// Mix of the user Bagmati.
pub fn bagmati() -> Mix {
    Mix {
        name: "bagmati".to_owned(),
        classes: vec![
            as_headline(class("duplicate-claims", "duplicate-claims", FanOut::All, 1.0)),
            class("eligibility-sweep", "eligibility", FanOut::All, 0.4),
            class("eligibility", "eligibility", FanOut::Some(1), 0.07),
            class("payout-lookup", "payout-lookup", FanOut::Some(1), 0.03),
            class("application-status", "application-status", FanOut::Some(1), 0.3),
        ],
    }
}

impl Mix {
    /// Returns the mix of a user; for an unknown user, the mix of Porto.
    pub fn for_user(user: &str) -> Self {
        match user {
            "bagmati" => bagmati(),
            _ => porto(),
        }
    }
}
