//! Connections that this instance may hold, which shrink at once and grow late.
//!
//! When the published list changes, one instance's share grows because another's shrinks. If the
//! first learns of the list before the second, both hold the larger share and a server refuses
//! connections. A share therefore grows only to the least that it was over the last grace period.
//!
//! # Bound
//!
//! Let every instance learn of a list within one grace period of its publication, and let `L` be
//! the newest list that is at least a grace period old. Each instance held `L` at some moment of
//! the last grace period, so its grant is at most its share by `L`, and the grants of a server sum
//! to at most the sum of the shares by `L`.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::time::Instant;

/// A share that has grown.
#[derive(Clone, Copy, Debug)]
struct Growth {
    /// The least share since it grew.
    ///
    /// Invariant: above the connections granted.
    least: u32,
    since: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    connections: u32,
    growth: Option<Growth>,
}

/// Connections granted per server.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    /// Invariant: each is of a server that has been settled since it was last in a
    /// [`Grants::begin`]. A growth that nobody settles any more would stay due for ever, and the
    /// machine would wake without end.
    granted: Map<Arc<str>, Grant>,
    /// Grants before the last [`Grants::begin`].
    old: Map<Arc<str>, Grant>,
}

impl Grants {
    /// Starts a new round: one of these servers that is not settled in it has no grant any more.
    pub(super) fn begin<'a>(&mut self, servers: impl Iterator<Item = &'a Arc<str>>) {
        self.old.clear();
        for server in servers {
            let grant = self.granted.remove_entry(server);
            self.old.extend(grant);
        }
    }

    /// The connections granted when the share by the newest list is `share`; a server that had none
    /// gets up to `first` at once.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        server: &Arc<str>,
        share: u32,
        (grace, first): (Duration, u32),
    ) -> u32 {
        if share == 0 {
            return 0;
        }
        let known = self.old.remove(server);
        let known = known.or_else(|| self.granted.remove(server));
        let new = Grant { connections: first.min(share), growth: None };
        let mut grant = known.unwrap_or(new);
        grant.settle(now, share, grace);
        self.granted.insert(Arc::clone(server), grant);
        grant.connections
    }

    /// Servers whose share grows now.
    pub(super) fn due(&self, now: Instant, grace: Duration) -> impl Iterator<Item = &Arc<str>> {
        let is_due = move |grant: &Grant| {
            let growth = grant.growth;
            growth.is_some_and(|growth| now.since(growth.since) >= grace)
        };
        let due = self.granted.iter().filter(move |(_, grant)| is_due(grant));
        due.map(|(server, _)| server)
    }

    /// When the next share grows.
    pub(super) fn next_growth(&self, grace: Duration) -> Option<Instant> {
        let growths = self.granted.values().filter_map(|grant| grant.growth);
        growths.map(|growth| growth.since + grace).min()
    }
}

impl Grant {
    fn settle(&mut self, now: Instant, share: u32, grace: Duration) {
        if let Some(growth) = &mut self.growth {
            growth.least = growth.least.min(share);
        }
        if let Some(growth) = self.growth
            && now.since(growth.since) >= grace
        {
            self.connections = growth.least;
            self.growth = None;
        }
        if share <= self.connections {
            self.connections = share;
            self.growth = None;
        } else if self.growth.is_none() {
            self.growth = Some(Growth { least: share, since: now });
        }
    }
}
