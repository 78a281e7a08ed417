//! Simulated servers: slots, a short queue, exponential or narrow service times, stragglers.

use std::collections::VecDeque;

/// SplitMix64.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

/// Distribution of service times.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Times {
    Exponential,
    Narrow,
}

pub(crate) const MEAN_US: f64 = 20_000.0;
pub(crate) const SLOTS: usize = 2;
const STRAGGLERS: f64 = 0.01;
const FACTOR: f64 = 10.0;
const QUEUE: usize = 20;

impl Times {
    pub(crate) fn draw(self, random: &mut Random) -> u64 {
        let factor = if random.unit() < STRAGGLERS { FACTOR } else { 1.0 };
        let plain = match self {
            Self::Exponential => random.exponential(MEAN_US),
            Self::Narrow => MEAN_US * (0.7 + 0.6 * random.unit()),
        };
        (plain * factor).max(1.0) as u64
    }

    /// Mean with stragglers, in microseconds.
    pub(crate) fn mean() -> f64 {
        MEAN_US * (1.0 - STRAGGLERS + STRAGGLERS * FACTOR)
    }
}

/// A simulated server; calls are numbers.
#[derive(Default)]
pub(crate) struct Server {
    running: Vec<u64>,
    waiting: VecDeque<u64>,
}

/// What became of a call that reached a server.
pub(crate) enum Arrival {
    Started,
    Waits,
    Shed,
}

impl Server {
    pub(crate) fn arrive(&mut self, call: u64) -> Arrival {
        if self.running.len() < SLOTS {
            self.running.push(call);
            return Arrival::Started;
        }
        if self.waiting.len() >= QUEUE {
            return Arrival::Shed;
        }
        self.waiting.push_back(call);
        Arrival::Waits
    }

    /// Ends a call; `None` when it is not there, else the call that starts in its place.
    pub(crate) fn end(&mut self, call: u64) -> Option<Option<u64>> {
        if let Some(place) = self.waiting.iter().position(|other| *other == call) {
            self.waiting.remove(place);
            return Some(None);
        }
        let place = self.running.iter().position(|other| *other == call)?;
        self.running.swap_remove(place);
        let next = self.waiting.pop_front();
        self.running.extend(next);
        Some(next)
    }
}
