//! Decides at the entry instance whether a sweep is admitted as a whole.

use std::sync::Arc;
use std::time::Duration;

use super::{Class, Share};
use crate::collections::Map;
use crate::control::hash;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Time for which a reported share is in force unchanged.
///
/// A sender that is lost reports nothing more. Its successor counts the offered work anew, and the
/// last report of the lost one must not limit the sweeps for longer.
const LIFETIME: Duration = Duration::from_secs(1);
/// Time in which a share doubles after its lifetime.
///
/// An instance with few callers may admit no sweep within the lifetime. If it then admitted all
/// sweeps at once, such instances together would exceed the capacity again and again.
const DOUBLING_TIME: Duration = Duration::from_millis(250);
/// Part of the caller's remaining time by whose end a refused caller has to be back, since callers
/// honour no longer delay.
pub const MAX_DELAY_DIVISOR: u32 = 3;
/// Fraction of the longest delay of a share by which delays are spread at random, so that callers
/// that were refused together do not come back together.
const JITTER: f64 = 0.5;

/// A sweep about which is decided.
#[derive(Clone, Copy, Debug)]
pub struct Sweep<'a> {
    /// Urgency class of the sweep's route.
    pub class: Class,
    /// The services of the sweep's parts.
    pub services: &'a [Service<'a>],
    /// Number of services that an answer needs.
    pub floor: usize,
    /// Number that selects the sweeps to admit; see [`draw`].
    pub draw: u64,
    /// Latency objective of the route; zero if it has none.
    pub target: Duration,
    /// Time for which the caller waits.
    pub remaining: Duration,
}

/// A service to which a part of a sweep would be sent.
#[derive(Clone, Copy, Debug)]
pub struct Service<'a> {
    /// Name of the service.
    pub name: &'a Arc<str>,
    /// Whether some server of the service may receive the part.
    pub usable: bool,
}

/// The share of a sweep's route that is in force, and the service that limits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Share of the sweeps that are admitted.
    pub share: Share,
    /// The service with this share; `None` if all sweeps are admitted.
    pub service: Option<Arc<str>>,
}

/// Decision on one sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The sweep is sent.
    Admit {
        /// Thousandths of the offered sweeps that are admitted at present; at least 1.
        permille: u32,
    },
    /// The sweep is refused before anything of it is sent.
    Refuse {
        /// Thousandths of the offered sweeps that are admitted at present.
        permille: u32,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// A share that a sender reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    share: Share,
    at: Instant,
}

impl Report {
    /// Returns the share in force: the reported one for its lifetime, then a growing one.
    fn in_force(self, now: Instant) -> Share {
        let overdue = now.since(self.at).saturating_sub(LIFETIME);
        let doublings = overdue.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        let start = self.share.max(Share::MIN).fraction();
        if overdue.is_zero() { self.share } else { Share::from_fraction(start * doublings.exp2()) }
    }
}

/// Decides about sweeps by the shares that the senders of their services reported.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// The last reported share of each service and class.
    ///
    /// Invariant: contains only shares below [`Share::ALL`], and only of services that the view
    /// contained at the last [`Decision::retain`] or later.
    reports: Map<Arc<str>, [Option<Report>; super::CLASSES]>,
}

impl Decision {
    /// Records the share that a reply of a service's sender reported for a class.
    pub fn record_share(&mut self, now: Instant, service: &Arc<str>, class: Class, share: Share) {
        if share < Share::ALL {
            let reports = self.reports.entry(Arc::clone(service)).or_default();
            reports[class.index()] = Some(Report { share, at: now });
            return;
        }
        if let Some(reports) = self.reports.get_mut(service) {
            reports[class.index()] = None;
            if reports.iter().all(Option::is_none) {
                self.reports.remove(service);
            }
        }
    }

    /// Removes the shares of services for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.reports.retain(|service, _| is_known(service));
    }

    /// Returns the share of a sweep's route that is in force.
    ///
    /// A sweep needs only its floor of services, so it waits for none of those with the lowest
    /// shares that it can do without.
    pub fn limit(&self, now: Instant, sweep: &Sweep<'_>) -> Limit {
        let share = |service: &Service<'_>| match service.usable {
            true => self.share(now, service.name, sweep.class),
            false => Share::NONE,
        };
        let shares = sweep.services.iter().map(|service| (share(service), service.name));
        let mut limited: Vec<_> = shares.filter(|(share, _)| *share < Share::ALL).collect();
        limited.sort_unstable();
        let dispensable = sweep.services.len().saturating_sub(sweep.floor);
        match limited.get(dispensable) {
            Some((share, service)) => Limit { share: *share, service: Some(Arc::clone(service)) },
            None => Limit { share: Share::ALL, service: None },
        }
    }

    /// Decides about one sweep.
    pub fn decide(&self, now: Instant, sweep: &Sweep<'_>) -> Outcome {
        decide_at(self.limit(now, sweep).share, sweep)
    }

    fn share(&self, now: Instant, service: &str, class: Class) -> Share {
        let reports = self.reports.get(service);
        let report = reports.and_then(|reports| reports[class.index()]);
        report.map_or(Share::ALL, |report| report.in_force(now))
    }
}

/// Decides about one sweep of a route of which `share` is admitted.
pub fn decide_at(share: Share, sweep: &Sweep<'_>) -> Outcome {
    let permille = share.permille();
    if fraction(sweep.draw) < share.fraction() {
        return Outcome::Admit { permille };
    }
    Outcome::Refuse { permille, retry_after: retry_after(share, sweep) }
}

/// Returns the number by which a sweep is selected: a refused caller that retries, at this instance
/// or another, is selected anew.
pub fn draw(query: u64, fingerprint: Fingerprint, instance: &str) -> u64 {
    hash::of(&[&query.to_le_bytes(), &fingerprint.bytes(), instance.as_bytes()])
}

/// Returns the delay after which a refused caller may retry.
///
/// The lower the share, the longer the overload lasts and the later the callers are asked to come
/// back. None comes back within one latency objective, in which the servers still work on the
/// sweeps admitted so far, and none so late that too little of its time is left for an answer.
fn retry_after(share: Share, sweep: &Sweep<'_>) -> Duration {
    let latest = sweep.remaining / MAX_DELAY_DIVISOR;
    let earliest = sweep.target.min(latest);
    let jitter = fraction(hash::of(&[&sweep.draw.to_le_bytes(), b"delay"]));
    let scale = (1.0 - share.fraction()) * (1.0 - JITTER * jitter);
    (earliest + (latest - earliest).mul_f64(scale)).max(Duration::from_millis(1))
}

/// Maps a hash to a fraction from 0 to below 1.
fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
