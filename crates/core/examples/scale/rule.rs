//! The rule of passing a change on, without machines: who has news passes it once to four others
//! but not back; a digest each period to a random peer settles the difference of the two.

use crate::fleet::{SIZES, Size};
use crate::random::Random;
use crate::table::{Metric, Part, Row};

const FANOUT: usize = 4;
const RUNS: usize = 200;

pub(crate) fn measure() -> Vec<Row> {
    SIZES.iter().flat_map(one).collect()
}

fn one(size: &Size) -> Vec<Row> {
    let mut random = Random::new(5);
    let mut hops = 0;
    let mut missed = 0;
    let mut periods = 0;
    let mut copies = 0;
    for _ in 0..RUNS {
        let mut run = Run::new(size.instances);
        hops = hops.max(run.push(&mut random));
        missed += run.missing();
        copies += run.copies;
        periods = periods.max(run.digests(&mut random));
    }
    let all = (RUNS * size.instances) as f64;
    let row = |metric, value| Row::new(Part::Rule, *size, metric, value);
    vec![
        row(Metric::HopsAll, f64::from(hops)),
        row(Metric::Copies, copies as f64 / all),
        row(Metric::Missed, 100.0 * missed as f64 / all),
        row(Metric::Rounds, f64::from(periods)),
    ]
}

struct Run {
    has: Vec<bool>,
    copies: usize,
}

impl Run {
    fn new(instances: usize) -> Self {
        Self { has: vec![false; instances], copies: 0 }
    }

    fn missing(&self) -> usize {
        self.has.iter().filter(|has| !**has).count()
    }

    /// Hops until nobody passes on any more.
    fn push(&mut self, random: &mut Random) -> u32 {
        self.has[0] = true;
        let mut fresh = vec![(0, 0)];
        let mut hops = 0;
        loop {
            let mut next = Vec::new();
            for (own, from) in fresh {
                self.pass_on(own, from, random, &mut next);
            }
            if next.is_empty() {
                return hops;
            }
            hops += 1;
            fresh = next;
        }
    }

    fn pass_on(
        &mut self,
        own: usize,
        from: usize,
        random: &mut Random,
        next: &mut Vec<(usize, usize)>,
    ) {
        let mut told: Vec<usize> = Vec::with_capacity(FANOUT);
        let most = FANOUT.min(self.has.len().saturating_sub(2));
        while told.len() < most {
            let to = random.below(self.has.len());
            if to == own || to == from || told.contains(&to) {
                continue;
            }
            told.push(to);
            self.copies += 1;
            if !self.has[to] {
                self.has[to] = true;
                next.push((to, own));
            }
        }
    }

    /// Periods until all have it, each instance asking one random other in each.
    fn digests(&mut self, random: &mut Random) -> u32 {
        let mut periods = 0;
        while self.missing() > 0 {
            periods += 1;
            let before = self.has.clone();
            for own in 0..before.len() {
                let other = random.below(before.len());
                let either = before[own] || before[other];
                self.has[own] |= either;
                self.has[other] |= either;
            }
        }
        periods
    }
}
