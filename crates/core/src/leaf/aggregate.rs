//! Partial aggregation: collects the replies of the portions of an entry instance and merges their
//! records.
//!
//! An entry instance in another zone wants only the greatest records of many portions. If the
//! replies were sent one by one, the records of every portion would cross between zones only to be
//! discarded there.

use std::time::Duration;

use ladder_schema::call::Response;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::{Pending, Reply};
use slotmap::new_key_type;

use super::event::Action;
use super::machine::{Machine, Query};
use super::portion::{Job, PortionKey};
use super::timer::Timer;
use crate::records;
use crate::time::{Instant, micros};
use crate::view::Peer;

new_key_type! {
    /// Key of a group of portions whose replies are aggregated.
    pub(super) struct AggregationKey;
}

/// Partial aggregation of the replies of one message of work.
#[derive(Debug)]
pub(super) struct Aggregation {
    to: Peer,
    query: Query,
    round: u32,
    /// Time at which the aggregated portions arrived.
    arrived: Instant,
    /// Number of records that the entry instance wants from all portions together.
    top: usize,
    /// Number of aggregated portions that have no reply yet.
    ///
    /// Invariant: an aggregation is removed when this number becomes zero, because every portion
    /// gets a reply.
    open_portions: usize,
    /// Answers that wait to be merged. Refusals are sent at once, because the entry instance may
    /// send the portion to another instance.
    replies: Vec<Reply>,
    /// Whether the time of the aggregation is over, so that later replies are sent at once.
    timed_out: bool,
}

impl Machine {
    /// Starts a partial aggregation if the work requests one.
    pub(super) fn begin_aggregation(
        &mut self,
        job: &Job,
        portions: usize,
    ) -> Option<AggregationKey> {
        let collect = job.work.collect?;
        let is_sweep = job.work.forward.as_ref().is_some_and(|forward| forward.part);
        if portions < 2 || !is_sweep {
            return None;
        }
        let key = self.aggregations.insert(Aggregation {
            to: job.from.clone(),
            query: job.query(),
            round: job.work.round,
            arrived: self.now,
            top: collect.top as usize,
            open_portions: portions,
            replies: Vec::new(),
            timed_out: false,
        });
        let timely_at = self.now + Duration::from_micros(collect.timely_us);
        self.timers.push(timely_at, Timer::Aggregation(key));
        Some(key)
    }

    /// Sends a reply, or keeps an answer until the replies with which it is aggregated have
    /// arrived.
    pub(super) fn reply_or_aggregate(&mut self, job: &Job, reply: Reply, out: &mut Vec<Action>) {
        let answered = (reply.verdict(), reply.reason()) == (Verdict::Ran, Reason::Unspecified);
        let aggregation = job.aggregation.and_then(|key| self.aggregations.get_mut(key));
        match aggregation.filter(|aggregation| answered && !aggregation.timed_out) {
            Some(aggregation) => aggregation.replies.push(reply),
            None => out.push(Action::Reply { to: job.from.clone(), reply }),
        }
        self.settle_portion(job, out);
    }

    /// Removes a portion from the awaited ones of its group: the portion got its reply, or was
    /// delivered before and gets none.
    pub(super) fn settle_portion(&mut self, job: &Job, out: &mut Vec<Action>) {
        self.settle_sibling(job);
        let Some(key) = job.aggregation else {
            return;
        };
        let Some(aggregation) = self.aggregations.get_mut(key) else {
            return;
        };
        aggregation.open_portions = aggregation.open_portions.saturating_sub(1);
        if aggregation.open_portions == 0 {
            self.send_merged(key, out);
            self.aggregations.remove(key);
        }
    }

    /// Sends the replies collected so far when the time of an aggregation is over, and reports to
    /// the entry instance that the others are still pending.
    pub(super) fn aggregation_due(&mut self, key: AggregationKey, out: &mut Vec<Action>) {
        let Some(aggregation) = self.aggregations.get_mut(key) else {
            return;
        };
        aggregation.timed_out = true;
        let pending = Pending {
            query: aggregation.query.number,
            round: aggregation.round,
            incarnation: aggregation.query.incarnation,
        };
        let to = aggregation.to.clone();
        self.send_merged(key, out);
        out.push(Action::Pending { to, pending });
    }

    /// Drops the aggregations of a query that its entry instance has cancelled.
    ///
    /// An answer is only kept while another portion of the same aggregation is open, so the open
    /// portions lead to all aggregations of the query.
    pub(super) fn drop_aggregations(&mut self, open_portions: &[PortionKey]) {
        for key in open_portions {
            let aggregation = self.portions.get(*key).and_then(|portion| portion.job.aggregation);
            aggregation.and_then(|key| self.aggregations.remove(key));
        }
    }

    /// Sends the collected answers. The first reply carries the greatest records of all of them.
    fn send_merged(&mut self, key: AggregationKey, out: &mut Vec<Action>) {
        let Some(aggregation) = self.aggregations.get_mut(key) else {
            return;
        };
        let mut replies = std::mem::take(&mut aggregation.replies);
        if replies.len() > 1 {
            merge_replies(&mut replies, aggregation.top);
        }
        if let Some(first) = replies.first_mut() {
            first.held_us = micros(self.now.since(aggregation.arrived));
        }
        let to = &aggregation.to;
        out.extend(replies.into_iter().map(|reply| Action::Reply { to: to.clone(), reply }));
    }
}

/// Moves the greatest records of all replies into the first one and clears the bodies of the
/// others.
fn merge_replies(replies: &mut [Reply], top: usize) {
    let bodies = replies.iter().flat_map(responses).map(|response| &response.body);
    let mut merged = Some(records::greatest(bodies, top));
    let count = u32::try_from(replies.len()).unwrap_or(u32::MAX);
    for reply in replies.iter_mut() {
        let responses = reply.parts.iter_mut().filter_map(|part| part.response.as_mut());
        for response in responses {
            // Only the signature and the records of a response enter the merged answer of a sweep.
            response.fields.clear();
            response.body = merged.take().unwrap_or_default();
        }
    }
    replies[0].merged = count;
}

/// Responses in the parts of a reply.
fn responses(reply: &Reply) -> impl Iterator<Item = &Response> {
    reply.parts.iter().filter_map(|part| part.response.as_ref())
}
