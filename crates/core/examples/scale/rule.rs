//! Simulates the rule by which changes are forwarded, without machines: an instance that receives a
//! new change sends it once to four other instances, but not back to its sender. In each digest
//! period every instance compares its state with a random peer, and both have the change afterwards
//! if one had it.

use crate::fleet::{SIZES, Size};
use crate::random::Random;
use crate::table::{Metric, Part, Row};

/// Number of instances to which an instance forwards a change.
const FANOUT: usize = 4;
/// Number of simulated changes for each fleet size.
const RUNS: usize = 200;

pub(crate) fn measure() -> Vec<Row> {
    SIZES.iter().flat_map(simulate).collect()
}

fn simulate(size: &Size) -> Vec<Row> {
    let mut random = Random::new(5);
    let mut hops = 0;
    let mut missed = 0;
    let mut periods = 0;
    let mut copies = 0;
    for _ in 0..RUNS {
        let mut run = Run::new(size.instances);
        hops = hops.max(run.forward_all(&mut random));
        missed += run.missing_count();
        copies += run.copies;
        periods = periods.max(run.digest_periods(&mut random));
    }
    let deliveries = (RUNS * size.instances) as f64;
    let row = |metric, value| Row::new(Part::Rule, *size, metric, value);
    vec![
        row(Metric::HopsAll, f64::from(hops)),
        row(Metric::Copies, copies as f64 / deliveries),
        row(Metric::Missed, 100.0 * missed as f64 / deliveries),
        row(Metric::Rounds, f64::from(periods)),
    ]
}

struct Run {
    has_change: Vec<bool>,
    copies: usize,
}

impl Run {
    fn new(instances: usize) -> Self {
        Self { has_change: vec![false; instances], copies: 0 }
    }

    fn missing_count(&self) -> usize {
        self.has_change.iter().filter(|has_change| !**has_change).count()
    }

    /// Forwards the change until no instance has it left to forward; returns the number of hops.
    fn forward_all(&mut self, random: &mut Random) -> u32 {
        self.has_change[0] = true;
        let mut senders = vec![(0, 0)];
        let mut hops = 0;
        loop {
            let mut next_senders = Vec::new();
            for (own, from) in senders {
                self.forward(own, from, random, &mut next_senders);
            }
            if next_senders.is_empty() {
                return hops;
            }
            hops += 1;
            senders = next_senders;
        }
    }

    fn forward(
        &mut self,
        own: usize,
        from: usize,
        random: &mut Random,
        next_senders: &mut Vec<(usize, usize)>,
    ) {
        let mut receivers: Vec<usize> = Vec::with_capacity(FANOUT);
        let receiver_count = FANOUT.min(self.has_change.len().saturating_sub(2));
        while receivers.len() < receiver_count {
            let to = random.below(self.has_change.len());
            if to == own || to == from || receivers.contains(&to) {
                continue;
            }
            receivers.push(to);
            self.copies += 1;
            if !self.has_change[to] {
                self.has_change[to] = true;
                next_senders.push((to, own));
            }
        }
    }

    /// Returns the number of digest periods until all instances have the change; in each period
    /// every instance compares its state with one random instance.
    fn digest_periods(&mut self, random: &mut Random) -> u32 {
        let mut periods = 0;
        while self.missing_count() > 0 {
            periods += 1;
            let before = self.has_change.clone();
            for own in 0..before.len() {
                let other = random.below(before.len());
                let either_has = before[own] || before[other];
                self.has_change[own] |= either_has;
                self.has_change[other] |= either_has;
            }
        }
        periods
    }
}
