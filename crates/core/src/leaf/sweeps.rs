//! Counts the offered work of each service and reports with each reply to a sweep which share of
//! the offered sweeps the service's servers can answer in time.

use std::collections::BTreeSet;
use std::time::Duration;

use ladder_schema::target::Occupancy;
use ladder_schema::wire;

use super::attempt::Attempt;
use super::dispatch::UNREACHABLE_OPEN_FAILURES;
use super::machine::Machine;
use super::portion::Job;
use super::service::{Service, ServiceId};
use crate::admission::{self, Class, Share};
use crate::average::MovingAverage;

/// Weight of one answer of a server in the moving average of the slots that other instances occupy
/// there.
const FOREIGN_WEIGHT: f64 = 0.02;

/// Urgency class of the work, if it is part of a sweep.
fn sweep_class(work: &wire::Work) -> Option<Class> {
    let forward = work.forward.as_ref().filter(|forward| forward.part)?;
    Some(Class::from(forward.urgency()))
}

impl Machine {
    /// Counts an arriving portion as offered work, whether or not it is accepted.
    ///
    /// A portion that was sent before stands for itself only: the sweeps that its entry instance
    /// refused were counted with the first sending.
    pub(super) fn count_offered(&mut self, id: ServiceId, job: &Job, portion: &wire::Portion) {
        if self.settings.sweep_utilization.is_none() {
            return;
        }
        let Some(work) = self.mean_work(id, super::intake::work_kind(&job.work)) else {
            return;
        };
        let admitted_permille = if portion.repeated { 0 } else { job.work.admitted_permille };
        let capacity = &mut self.services[id].capacity;
        match sweep_class(&job.work) {
            Some(class) => {
                let weight = admission::weight(admitted_permille);
                capacity.record_sweep(self.now, class, weight, work);
            }
            None => capacity.record_other(self.now, work),
        }
    }

    /// Returns the share to report with a reply to a portion, encoded for the reply: 0 for all
    /// sweeps, or if the portion is not part of a sweep.
    pub(super) fn admissible_permille(&mut self, id: ServiceId, job: &Job) -> u32 {
        let class = sweep_class(&job.work);
        let (Some(utilization), Some(class)) = (self.settings.sweep_utilization, class) else {
            return 0;
        };
        let slots = self.slots_for_sweeps(id, utilization);
        let shares: [Share; admission::CLASSES] =
            self.services[id].capacity.shares(self.now, slots);
        shares[class.index()].to_reply()
    }

    /// Returns the number of slots of a service's servers that the work of this instance may occupy:
    /// those of the servers that accept work and are not suspect, less what other instances occupy,
    /// and at least an equal part, so that no sender is displaced by one that came before it.
    ///
    /// Of a server that has not reported its occupancy yet, this instance expects an equal part.
    fn slots_for_sweeps(&self, id: ServiceId, utilization: f64) -> f64 {
        let service = &self.services[id];
        let suspects = self.suspects(id);
        let senders = self.sender_count(service);
        let unreported = 1.0 - 1.0 / f64::from(senders);
        let (mut slots, mut left) = (0.0, 0.0);
        for key in &service.servers {
            let server = &self.servers[*key];
            let reachable =
                server.in_flight > 0 || server.open_failures < UNREACHABLE_OPEN_FAILURES;
            if server.accepts_work() && reachable && !suspects.contains(key) {
                let capacity = f64::from(server.capacity(self.now));
                let foreign = server.foreign.map_or(unreported, MovingAverage::value);
                slots += capacity;
                left += capacity * (utilization - foreign).max(0.0);
            }
        }
        let limit = f64::from(service.limits().in_flight);
        let factor = if limit > 0.0 && limit < slots { limit / slots } else { 1.0 };
        let own = left.max(slots * utilization / f64::from(senders));
        own * factor
    }

    /// Number of instances that may send to a service's servers at the same time.
    ///
    /// Where one instance sends for all, there may be one in each zone of the servers, and two while
    /// this role passes from one instance to the next.
    fn sender_count(&self, service: &Service) -> u32 {
        if !service.has_few_connections {
            return self.view.service(&service.name).map_or(1, |listed| listed.sharer_count.max(1));
        }
        let servers = service.servers.iter().map(|key| &self.servers[*key]);
        let zones: BTreeSet<&str> =
            servers.filter(|server| server.listed).map(|server| &*server.zone).collect();
        u32::try_from(zones.len()).unwrap_or(u32::MAX).max(2)
    }

    /// Learns from an answered call that took `elapsed` how long the work occupied a slot, and how
    /// many slots the calls of other instances occupy.
    ///
    /// A call that waited at its server behind the calls of other instances occupied a slot only
    /// for a part of its time.
    pub(super) fn record_work(
        &mut self,
        attempt: &Attempt,
        elapsed: Duration,
        occupancy: Option<Occupancy>,
    ) {
        if self.settings.sweep_utilization.is_none() {
            return;
        }
        let mut work = elapsed;
        if let Some(Occupancy { running, waiting, slots }) = occupancy {
            let present = running.saturating_add(waiting);
            let slots = slots.max(1);
            if present > slots {
                work = elapsed.mul_f64(f64::from(slots) / f64::from(present));
            }
            let own = self.servers[attempt.server].in_flight.saturating_add(1);
            let foreign = f64::from(present.saturating_sub(own)) / f64::from(slots);
            let average = self.servers[attempt.server].foreign.get_or_insert_default();
            average.add(foreign.min(1.0), FOREIGN_WEIGHT);
        }
        if !attempt.abandoned {
            self.record_work_time(attempt.service, attempt.kind, work);
        }
    }
}
