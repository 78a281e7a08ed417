//! Selects the one index version from which a query is answered.

use std::sync::Arc;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Index;

use crate::collections::{Map, Set};
use crate::view::{Service, View};

/// A pinned index version with the requested shards that are available in it.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    /// The pinned index version with its shard map.
    pub(crate) index: Arc<Index>,
    /// Positions in `index.shards` of the requested shards that some server holds, ascending.
    pub(crate) held: Vec<u32>,
    /// The requested shards that are unavailable in this version. Together with `held` they are
    /// all requested shards.
    pub(crate) missing: Vec<call::Missing>,
}

impl Pin {
    /// Returns whether every requested shard is available in the version.
    pub(crate) fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Pins the newest version in which every requested shard is available. If there is none, pins the
/// version with the most available shards, the newest one in a tie.
///
/// An empty `requested` means all shards of the version. Versions in `retired` are skipped.
pub(crate) fn pin_version(
    view: &View,
    versions: &[Arc<Index>],
    requested: &[String],
    retired: &[u64],
) -> Option<Pin> {
    let mut best: Option<Pin> = None;
    for index in versions {
        if retired.contains(&index.version) {
            continue;
        }
        let pin = pin_to(view, index, requested);
        if pin.is_complete() {
            return Some(pin);
        }
        if best.as_ref().is_none_or(|best| best.held.len() < pin.held.len()) {
            best = Some(pin);
        }
    }
    best
}

/// Pins one version and determines which of the requested shards are available in it.
fn pin_to(view: &View, index: &Arc<Index>, requested: &[String]) -> Pin {
    let mut pin = Pin { index: Arc::clone(index), held: Vec::new(), missing: Vec::new() };
    let mut unmatched: Set<&str> = requested.iter().map(String::as_str).collect();
    let mut services: Map<&str, Option<Reason>> = Map::default();
    for (position, shard) in (0u32..).zip(&index.shards) {
        if !requested.is_empty() && !unmatched.remove(shard.name.as_str()) {
            continue;
        }
        let reason = *services
            .entry(shard.service.as_str())
            .or_insert_with(|| unavailable_reason(view.service(&shard.service), index));
        match reason {
            None => pin.held.push(position),
            Some(reason) => pin.missing.push(missing_shard(&shard.name, reason)),
        }
    }
    for name in requested {
        if unmatched.contains(name.as_str()) {
            pin.missing.push(missing_shard(name, Reason::UnknownShard));
        }
    }
    pin
}

/// Returns why a service cannot answer from a version; `None` if it can.
fn unavailable_reason(service: Option<&Service>, index: &Index) -> Option<Reason> {
    let Some(service) = service else {
        // A shard map may name a service whose catalogue entry was withdrawn.
        return Some(Reason::UnknownOperation);
    };
    let mut usable = service.servers.iter().filter(|server| server.takes_work());
    let mut any_usable = false;
    let held = usable.any(|server| {
        any_usable = true;
        server
            .holdings
            .iter()
            .any(|holding| holding.index == index.name && holding.version == index.version)
    });
    match (held, any_usable) {
        (true, _) => None,
        (false, true) => Some(Reason::NoCommonVersion),
        (false, false) => Some(Reason::NoServer),
    }
}

fn missing_shard(shard: &str, reason: Reason) -> call::Missing {
    call::Missing {
        shard: shard.to_owned(),
        reason: reason.into(),
        verdict: Verdict::NotRun.into(),
    }
}
