//! Which operations are called, and the share of the capacity that each takes.
//!
//! A class's `share` is its part of the capacity of the services that list its operation. At load
//! F the class alone keeps `F * share` of their slots busy, so classes on the same services add
//! up. Both user mixes load their two large groups like this at F = 1:
//!
//! | user | group | classes and shares | sum |
//! |---|---|---|---|
//! | Porto | gate-finder | dock-availability 0.97, dock-booking 0.03 | 1.0 |
//! | Porto | patrol-rounds | stolen-bike 0.30, flagged-round 0.65, flagged-bikes 0.05 | 1.0 |
//! | Bagmati | counter-desk | eligibility-sweep 0.40, eligibility 0.07, payout-lookup 0.03 | 0.5 |
//! | Bagmati | ledger-sync | duplicate-claims 1.0 | 1.0 |
//!
//! Urgent classes stay below half of their group, so that at F = 1.3 the overload is made of less
//! urgent work. All operations of counter-desk are urgent or few: it runs at half of F.

use serde::{Deserialize, Serialize};

/// Shards that one query asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fan {
    /// All shards of the operation's services.
    All,
    /// This many, drawn anew for each query.
    Some(usize),
}

/// One kind of query.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name in reports.
    pub name: String,
    /// Operation of the catalogue.
    pub operation: String,
    /// Shards of one query.
    pub fan: Fan,
    /// Part of the capacity of the operation's services at load 1.
    pub share: f64,
    /// How long the caller waits, in milliseconds; 0: the operation's default of the catalogue.
    #[serde(default)]
    pub deadline_ms: u32,
    /// The comparison's last line is about this class.
    #[serde(default)]
    pub headline: bool,
}

/// Classes of queries that run side by side.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name in reports.
    pub name: String,
    /// The classes.
    pub classes: Vec<Class>,
}

fn class(name: &str, operation: &str, fan: Fan, share: f64) -> Class {
    Class {
        name: name.to_owned(),
        operation: operation.to_owned(),
        fan,
        share,
        deadline_ms: 0,
        headline: false,
    }
}

fn headline(class: Class) -> Class {
    Class { headline: true, ..class }
}

/// Porto's mix.
pub fn porto() -> Mix {
    Mix {
        name: "porto".to_owned(),
        classes: vec![
            headline(class("dock-availability", "dock-availability", Fan::All, 0.97)),
            class("dock-booking", "dock-booking", Fan::Some(1), 0.03),
            class("stolen-bike", "stolen-bike", Fan::All, 0.3),
            class("flagged-round", "flagged-bikes", Fan::Some(10), 0.65),
            class("flagged-bikes", "flagged-bikes", Fan::Some(1), 0.05),
            class("tariff", "tariff", Fan::Some(1), 0.02),
            class("profile", "profile", Fan::Some(1), 0.02),
        ],
    }
}

/// Bagmati's mix.
pub fn bagmati() -> Mix {
    Mix {
        name: "bagmati".to_owned(),
        classes: vec![
            headline(class("duplicate-claims", "duplicate-claims", Fan::All, 1.0)),
            class("eligibility-sweep", "eligibility", Fan::All, 0.4),
            class("eligibility", "eligibility", Fan::Some(1), 0.07),
            class("payout-lookup", "payout-lookup", Fan::Some(1), 0.03),
            class("application-status", "application-status", Fan::Some(1), 0.3),
        ],
    }
}

impl Mix {
    /// The mix of a user; Porto's for an unknown one.
    pub fn of(user: &str) -> Self {
        match user {
            "bagmati" => bagmati(),
            _ => porto(),
        }
    }
}
