//! The instances of each availability zone among which limits of the whole fleet are divided.

use std::sync::Arc;

use super::ViewInputs;
use crate::collections::{Map, Set};
use crate::control::placement::{Group, LimitPart};
use crate::remembered::Instances;

/// Instances that are known or were known recently, by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownFleet {
    zones: Map<Arc<str>, Zone>,
}

#[derive(Clone, Debug, Default)]
struct Zone {
    /// The instances in order of name.
    instances: Instances,
    /// Number of instances whose names are before that of this instance.
    before_own: usize,
}

impl KnownFleet {
    /// Takes over the members known now. Returns whether the remembered instances have changed.
    pub(super) fn observe(&mut self, inputs: &ViewInputs<'_>) -> bool {
        let mut known: Map<Arc<str>, Vec<Arc<str>>> = Map::default();
        for zone in self.zones.keys() {
            known.insert(Arc::clone(zone), Vec::new());
        }
        for member in inputs.membership.members().chain([inputs.membership.own()]) {
            known.entry(Arc::clone(&member.zone)).or_default().push(Arc::clone(&member.name));
        }
        let mut has_changed = false;
        for (zone, mut names) in known {
            names.sort_unstable();
            let zone = self.zones.entry(zone).or_default();
            if zone.instances.observe(inputs.now, names) {
                let own = &*inputs.settings.name;
                zone.before_own = zone.instances.names().filter(|name| *name < own).count();
                has_changed = true;
            }
        }
        has_changed
    }

    /// The part of this instance in the limits of a service. With `near_zones`, the zones of the
    /// service's servers, instances in these zones have larger parts.
    pub(super) fn limit_part(&self, own_zone: &str, near_zones: Option<&Set<&str>>) -> LimitPart {
        let is_near = |zone: &str| near_zones.is_some_and(|zones| zones.contains(zone));
        let own_is_near = is_near(own_zone);
        let (mut size, mut position, mut others) = (0, 0, 0);
        for (name, zone) in &self.zones {
            if is_near(name) == own_is_near {
                size += zone.instances.len();
                position += zone.before_own;
            } else {
                others += zone.instances.len();
            }
        }
        let count = |instances: usize| u32::try_from(instances).unwrap_or(u32::MAX);
        let group = Group { size: count(size).max(1), position: count(position) };
        LimitPart::observed(group, count(others), own_is_near)
    }
}
