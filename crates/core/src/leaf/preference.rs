//! Preference for servers of this instance's zone, and the load of servers that other instances use
//! as well.

use std::time::Duration;

use crate::time::Instant;

/// Factor on the cost of a server in another availability zone, because traffic between zones is
/// charged and an equally loaded server in the same zone answers a little sooner.
///
/// With seven to nine instances, 1.5, 2, 3 and 6 were compared by the value of answers minus the
/// cost of traffic: 3 gains 0.004 under light load and loses 0.03 under high load, because busy
/// servers of the own zone keep their calls; 6 loses in both cases.
const REMOTE_ZONE_COST_FACTOR: f64 = 2.0;
/// Factor on the cost of a server in another zone, and of one in the own zone whose slots this
/// instance uses, where each zone has an instance that sends for the instances of the zone.
///
/// Such an instance makes few calls to other zones, so it knows little of those servers, and they
/// look faster and freer than they are. The factor is larger than [`REMOTE_ZONE_COST_FACTOR`], but
/// a busy server of the own zone does not keep its calls, because the factor applies to it too.
const ZONAL_COST_FACTOR: f64 = 3.0;
/// Weight of one report in the moving average of the requests of other instances at a server.
const REPORT_WEIGHT: f64 = 0.3;
/// Half-life of the requests of other instances at a server while no report arrives: a server that
/// is not called because it was full does not report that it is free again.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Requests of other instances at one server, according to its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OtherCalls {
    mean: f64,
    reported_at: Instant,
}

impl OtherCalls {
    /// Adds the number of requests that were at the server, of which this instance sent
    /// `own_calls`.
    pub fn report(&mut self, now: Instant, requests: u32, own_calls: u32) {
        let others = f64::from(requests.saturating_sub(own_calls));
        let mean = self.value(now);
        self.mean = mean + REPORT_WEIGHT * (others - mean);
        self.reported_at = now;
    }

    /// Mean number of requests, halved for every [`REPORT_HALF_LIFE`] without a report.
    pub fn value(&self, now: Instant) -> f64 {
        let idle = now.since(self.reported_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        self.mean * (-idle).exp2()
    }
}

/// What the preference for a server depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Preference {
    /// Whether the call is part of a sweep that an instance of each zone sends for its zone.
    pub is_zonal: bool,
    /// Whether the server is in another zone than this instance.
    pub crosses_zones: bool,
    /// Calls of this instance that are open at the server.
    pub own_calls: u32,
    /// Requests of other instances at the server.
    pub other_calls: f64,
    /// Number of requests that the server may run concurrently.
    pub slots: u32,
}

impl Preference {
    /// Factor on the expected call time that gives the cost of the server: for its load, and for
    /// another zone.
    pub fn cost_factor(self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        if !self.is_zonal {
            let zone_factor = if self.crosses_zones { REMOTE_ZONE_COST_FACTOR } else { 1.0 };
            return (1.0 + f64::from(self.own_calls) / slots) * zone_factor;
        }
        let load = (f64::from(self.own_calls) + self.other_calls) / slots;
        let is_local = !self.crosses_zones && self.own_calls < self.slots;
        (1.0 + load) * if is_local { 1.0 } else { ZONAL_COST_FACTOR }
    }

    /// Whether the server is expected to have a free slot.
    fn has_free_slot(self) -> bool {
        f64::from(self.own_calls) + self.other_calls + 0.5 <= f64::from(self.slots)
    }

    /// Whether the call should rather wait for a server of the own zone, if one will be free soon:
    /// the server is in another zone, and its slots are used by the instances of that zone.
    ///
    /// If every zone sent what its servers can't take at once to the other zones, the requests of
    /// all zones would wait at the servers, out of the order of their urgency.
    pub fn yields_to_own_zone(self) -> bool {
        self.is_zonal && self.crosses_zones && !self.has_free_slot()
    }
}
