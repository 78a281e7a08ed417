//! The part of one instance in the limits that a catalogue entry sets for the whole fleet.

use crate::control::hash;

/// Smallest number of instances that a limit is divided among where instances are counted from
/// gossip. An instance that starts while it is cut off knows only itself; up to this many such
/// instances stay within the limit together.
const MIN_SHARERS: u32 = 8;
/// Weight of an instance in an availability zone with servers of a service, when the service's
/// limits are divided and such instances aggregate the answers of a sweep's portions for the other
/// instances. An instance in another zone has weight 1.
///
/// The other instances send to the servers only while no peer aggregates for them. With equal
/// weights on a deployment of four zones, half of a service's retry budget was never used, and
/// while answers were lost twice as many portions were refused for lack of retries.
pub(super) const NEAR_WEIGHT: u32 = 4;

/// A group of instances that get equal parts of a service's limits, apart from rounding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Number of instances of the group; at least 1.
    pub size: u32,
    /// Position of this instance in the group, from 0.
    pub position: u32,
}

/// Part of one instance in the limits of a service.
///
/// Invariant: whatever is divided, the parts of all instances that know the same instances sum to
/// no more than the whole, also after rounding to whole numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitPart {
    /// Weight of each instance of the own group.
    weight: u32,
    /// Sum of the weights of all instances; at least the weight of the own group.
    total_weight: u32,
    group: Group,
}

impl Default for LimitPart {
    fn default() -> Self {
        Self::equal(Group { size: 1, position: 0 })
    }
}

impl LimitPart {
    /// The part of an instance of which all others have the same.
    pub const fn equal(group: Group) -> Self {
        Self { weight: 1, total_weight: group.size, group }
    }

    /// The part of an instance where instances are counted from gossip. Its group are the instances
    /// in zones with servers of the service if `is_near`, else those in zones without; `others` is
    /// the number of the rest.
    pub fn observed(group: Group, others: u32, is_near: bool) -> Self {
        let weight = if is_near && others > 0 { NEAR_WEIGHT } else { 1 };
        let weight_of_others = if is_near { 1 } else { NEAR_WEIGHT };
        let known = weight
            .saturating_mul(group.size)
            .saturating_add(others.saturating_mul(weight_of_others));
        Self { weight, total_weight: known.max(MIN_SHARERS * weight), group }
    }

    /// The part of one of several equal parts of this part.
    #[must_use]
    pub const fn divided(self, parts: u32) -> Self {
        Self { total_weight: self.total_weight.saturating_mul(parts), ..self }
    }

    /// This instance's part of an amount that need not be whole.
    pub fn of(self, amount: f64) -> f64 {
        amount * f64::from(self.weight) / f64::from(self.total_weight)
    }

    /// This instance's part of an amount, as a whole number. What is left after an equal division
    /// within the group goes to as many of its instances, which differ between services.
    pub fn of_whole(self, amount: f64, service: &str) -> u32 {
        let size = self.group.size;
        let group_amount = (self.of(amount) * f64::from(size)) as u32;
        let offset = (hash::of(&[service.as_bytes()]) % u64::from(size)) as u32;
        let rank = (self.group.position + offset) % size;
        group_amount / size + u32::from(rank < group_amount % size)
    }
}
