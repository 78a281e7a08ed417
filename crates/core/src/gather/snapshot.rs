//! Chooses the one index version that a query is answered from.

use std::sync::Arc;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Index;

use crate::collections::{Map, Set};
use crate::view::{Service, View};

/// A pinned version with the shards that can be asked for in it.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    /// The version and its shard map.
    pub(crate) index: Arc<Index>,
    /// Positions in `index.shards` of the asked shards that some server holds, ascending.
    pub(crate) held: Vec<u32>,
    /// The asked shards that cannot be had in this version. They and `held` are the asked set.
    pub(crate) missing: Vec<call::Missing>,
}

impl Pin {
    /// Every asked shard can be had.
    pub(crate) fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Pins the newest version that is held for every asked shard; where there is none, the version
/// with the greatest coverage, the newest of equals.
///
/// `asked` empty means all shards of the version. Versions in `retired` are passed over.
pub(crate) fn pin(
    view: &View,
    versions: &[Arc<Index>],
    asked: &[String],
    retired: &[u64],
) -> Option<Pin> {
    let mut best: Option<Pin> = None;
    for index in versions {
        if retired.contains(&index.version) {
            continue;
        }
        let pin = examine(view, index, asked);
        if pin.is_complete() {
            return Some(pin);
        }
        if best.as_ref().is_none_or(|best| best.held.len() < pin.held.len()) {
            best = Some(pin);
        }
    }
    best
}

/// Which of the asked shards can be had in one version.
fn examine(view: &View, index: &Arc<Index>, asked: &[String]) -> Pin {
    let mut pin = Pin { index: Arc::clone(index), held: Vec::new(), missing: Vec::new() };
    let mut unmatched: Set<&str> = asked.iter().map(String::as_str).collect();
    let mut services: Map<&str, Option<Reason>> = Map::default();
    for (position, shard) in (0u32..).zip(&index.shards) {
        if !asked.is_empty() && !unmatched.remove(shard.name.as_str()) {
            continue;
        }
        let obstacle = *services
            .entry(shard.service.as_str())
            .or_insert_with(|| obstacle(view.service(&shard.service), index));
        match obstacle {
            None => pin.held.push(position),
            Some(reason) => pin.missing.push(missing(&shard.name, reason)),
        }
    }
    for name in asked {
        if unmatched.contains(name.as_str()) {
            pin.missing.push(missing(name, Reason::UnknownShard));
        }
    }
    pin
}

/// Why a service cannot answer from a version; `None` if it can.
fn obstacle(service: Option<&Service>, index: &Index) -> Option<Reason> {
    let Some(service) = service else {
        // A shard map may name a service whose entry was withdrawn.
        return Some(Reason::UnknownOperation);
    };
    let mut usable = service.servers.iter().filter(|server| server.takes_work());
    let mut any = false;
    let held = usable.any(|server| {
        any = true;
        server
            .holdings
            .iter()
            .any(|holding| holding.index == index.name && holding.version == index.version)
    });
    match (held, any) {
        (true, _) => None,
        (false, true) => Some(Reason::NoCommonVersion),
        (false, false) => Some(Reason::NoServer),
    }
}

fn missing(shard: &str, reason: Reason) -> call::Missing {
    call::Missing {
        shard: shard.to_owned(),
        reason: reason.into(),
        verdict: Verdict::NotRun.into(),
    }
}
