//! Simulated servers with slots, a short queue, exponentially or narrowly distributed service
//! times, and stragglers.

use std::collections::VecDeque;

/// Random number generator SplitMix64.
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
pub(crate) enum ServiceTimes {
    Exponential,
    Narrow,
}

pub(crate) const MEAN_US: f64 = 20_000.0;
pub(crate) const SLOTS: usize = 2;
const STRAGGLER_SHARE: f64 = 0.01;
const STRAGGLER_FACTOR: f64 = 10.0;
const MAX_QUEUED: usize = 20;

impl ServiceTimes {
    pub(crate) fn draw_service_us(self, random: &mut Random) -> u64 {
        let straggler_factor = if random.unit() < STRAGGLER_SHARE { STRAGGLER_FACTOR } else { 1.0 };
        let service_us = match self {
            Self::Exponential => random.exponential(MEAN_US),
            Self::Narrow => MEAN_US * (0.7 + 0.6 * random.unit()),
        };
        (service_us * straggler_factor).max(1.0) as u64
    }

    /// Returns the mean service time including stragglers, in microseconds.
    pub(crate) fn mean() -> f64 {
        MEAN_US * (1.0 - STRAGGLER_SHARE + STRAGGLER_SHARE * STRAGGLER_FACTOR)
    }
}

/// Simulated server; calls are identified by number.
#[derive(Default)]
pub(crate) struct Server {
    running: Vec<u64>,
    queued: VecDeque<u64>,
}

/// Result of the arrival of a call at a server.
pub(crate) enum Arrival {
    Started,
    Queued,
    Shed,
}

impl Server {
    pub(crate) fn arrive(&mut self, call: u64) -> Arrival {
        if self.running.len() < SLOTS {
            self.running.push(call);
            return Arrival::Started;
        }
        if self.queued.len() >= MAX_QUEUED {
            return Arrival::Shed;
        }
        self.queued.push_back(call);
        Arrival::Queued
    }

    /// Ends a running or queued call. Returns `None` if the server does not have the call, else the
    /// queued call that starts in its place, if any.
    pub(crate) fn end(&mut self, call: u64) -> Option<Option<u64>> {
        if let Some(position) = self.queued.iter().position(|other| *other == call) {
            self.queued.remove(position);
            return Some(None);
        }
        let position = self.running.iter().position(|other| *other == call)?;
        self.running.swap_remove(position);
        let next = self.queued.pop_front();
        self.running.extend(next);
        Some(next)
    }
}
