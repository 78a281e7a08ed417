//! Connections that this instance is granted to each server. A grant shrinks at once and grows
//! only after a delay.
//!
//! When the published list of instances changes, one instance's share of a server's connections
//! grows because another's shrinks. If the first instance learns of the list before the second,
//! both hold the larger share and the server refuses connections. A grant therefore grows only to
//! the smallest share of the last grace period.
//!
//! # Bound
//!
//! Assume that every instance learns of a list within one grace period of its publication, and let
//! `L` be the newest list that is at least one grace period old. Each instance had `L` at some
//! moment of the last grace period, so its grant is at most its share by `L`, and the grants for a
//! server sum to at most the sum of the shares by `L`.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::time::Instant;

/// A share that has grown but is not granted yet.
#[derive(Clone, Copy, Debug)]
struct Growth {
    /// Smallest value of the share since it grew above the granted connections.
    ///
    /// Invariant: greater than the granted connections.
    min_share: u32,
    since: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    connections: u32,
    growth: Option<Growth>,
}

/// Connections granted to this instance, by server.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    /// Invariant: contains only servers for which [`Grants::update`] was called since they were
    /// last passed to [`Grants::begin_round`]. A growth that is never updated again would stay due
    /// forever, and the control machine would wake up without end.
    granted: Map<Arc<str>, Grant>,
    /// Grants of the servers passed to the last [`Grants::begin_round`] that have not been updated
    /// since.
    previous_round: Map<Arc<str>, Grant>,
}

impl Grants {
    /// Starts a round of updates for the grants of these servers. A server that is not updated in
    /// the round loses its grant.
    pub(super) fn begin_round<'a>(&mut self, servers: impl Iterator<Item = &'a Arc<str>>) {
        self.previous_round.clear();
        for server in servers {
            let previous = self.granted.remove_entry(server);
            self.previous_round.extend(previous);
        }
    }

    /// Returns the connections granted to this instance for a server. `share` is the share by the
    /// newest list; a server without a grant is granted up to `first` connections at once.
    pub(super) fn update(
        &mut self,
        now: Instant,
        server: &Arc<str>,
        share: u32,
        (grace, first): (Duration, u32),
    ) -> u32 {
        if share == 0 {
            return 0;
        }
        let previous = self.previous_round.remove(server);
        let previous = previous.or_else(|| self.granted.remove(server));
        let initial = Grant { connections: first.min(share), growth: None };
        let mut grant = previous.unwrap_or(initial);
        grant.update(now, share, grace);
        self.granted.insert(Arc::clone(server), grant);
        grant.connections
    }

    /// Servers whose grant grows now.
    pub(super) fn due(&self, now: Instant, grace: Duration) -> impl Iterator<Item = &Arc<str>> {
        let is_due = move |grant: &Grant| {
            let growth = grant.growth;
            growth.is_some_and(|growth| now.since(growth.since) >= grace)
        };
        let due_grants = self.granted.iter().filter(move |(_, grant)| is_due(grant));
        due_grants.map(|(server, _)| server)
    }

    /// When the next grant grows.
    pub(super) fn next_growth(&self, grace: Duration) -> Option<Instant> {
        let pending = self.granted.values().filter_map(|grant| grant.growth);
        pending.map(|growth| growth.since + grace).min()
    }
}

impl Grant {
    fn update(&mut self, now: Instant, share: u32, grace: Duration) {
        if let Some(growth) = &mut self.growth {
            growth.min_share = growth.min_share.min(share);
        }
        if let Some(growth) = self.growth
            && now.since(growth.since) >= grace
        {
            self.connections = growth.min_share;
            self.growth = None;
        }
        if share <= self.connections {
            self.connections = share;
            self.growth = None;
        } else if self.growth.is_none() {
            self.growth = Some(Growth { min_share: share, since: now });
        }
    }
}
