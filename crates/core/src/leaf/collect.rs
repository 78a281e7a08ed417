//! Collects the replies of an entry's portions and merges their records.
//!
//! An entry in another zone wants the greatest records of many parts. Sent one by one, each
//! part's records would cross between zones to be thrown away there.

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
    /// Portions that are answered together.
    pub(super) struct CollectionKey;
}

/// Replies that wait for others.
#[derive(Debug)]
pub(super) struct Collection {
    to: Peer,
    query: Query,
    round: u32,
    /// When the work arrived.
    since: Instant,
    /// Records that are wanted of all of them.
    top: usize,
    /// Portions without a reply.
    ///
    /// Invariant: a collection is removed when it gets to zero, as every portion is replied to.
    open: usize,
    /// Answers that wait. Refusals never do: the entry may have others asked.
    replies: Vec<Reply>,
    /// Its time has come: what comes now goes back at once.
    late: bool,
}

impl Machine {
    /// Begins a collection if the work asks for one.
    pub(super) fn begin_collection(&mut self, job: &Job, portions: usize) -> Option<CollectionKey> {
        let collect = job.work.collect?;
        let is_sweep = job.work.forward.as_ref().is_some_and(|forward| forward.part);
        if portions < 2 || !is_sweep {
            return None;
        }
        let key = self.collections.insert(Collection {
            to: job.from.clone(),
            query: job.query(),
            round: job.work.round,
            since: self.now,
            top: collect.top as usize,
            open: portions,
            replies: Vec::new(),
            late: false,
        });
        let timely_at = self.now + Duration::from_micros(collect.timely_us);
        self.timers.push(timely_at, Timer::Collection(key));
        Some(key)
    }

    /// Sends a reply, or keeps it until those that it is collected with are there.
    pub(super) fn reply(&mut self, job: &Job, reply: Reply, out: &mut Vec<Action>) {
        let answered = (reply.verdict(), reply.reason()) == (Verdict::Ran, Reason::Unspecified);
        let collection = job.collection.and_then(|key| self.collections.get_mut(key));
        match collection.filter(|collection| answered && !collection.late) {
            Some(collection) => collection.replies.push(reply),
            None => out.push(Action::Reply { to: job.from.clone(), reply }),
        }
        self.settle_collected(job, out);
    }

    /// One portion less is awaited: it got its reply, or was delivered before and gets none.
    pub(super) fn settle_collected(&mut self, job: &Job, out: &mut Vec<Action>) {
        self.settle_sibling(job);
        let Some(key) = job.collection else {
            return;
        };
        let Some(collection) = self.collections.get_mut(key) else {
            return;
        };
        collection.open = collection.open.saturating_sub(1);
        if collection.open == 0 {
            self.send_collected(key, out);
            self.collections.remove(key);
        }
    }

    /// The entry's time has come: it gets what is there, and hears that the rest is still awaited.
    pub(super) fn collection_due(&mut self, key: CollectionKey, out: &mut Vec<Action>) {
        let Some(collection) = self.collections.get_mut(key) else {
            return;
        };
        collection.late = true;
        let pending = Pending {
            query: collection.query.number,
            round: collection.round,
            incarnation: collection.query.incarnation,
        };
        let to = collection.to.clone();
        self.send_collected(key, out);
        out.push(Action::Pending { to, pending });
    }

    /// The entry gave a query up: what waits for it is of no use.
    ///
    /// What waits does so for a portion that is open: the collections of those are all there are.
    pub(super) fn drop_collections(&mut self, open: &[PortionKey]) {
        for key in open {
            let collection = self.portions.get(*key).and_then(|portion| portion.job.collection);
            collection.and_then(|key| self.collections.remove(key));
        }
    }

    /// Sends the answers that wait; the first one's part gets the greatest records of all.
    fn send_collected(&mut self, key: CollectionKey, out: &mut Vec<Action>) {
        let Some(collection) = self.collections.get_mut(key) else {
            return;
        };
        let mut replies = std::mem::take(&mut collection.replies);
        if replies.len() > 1 {
            merge(&mut replies, collection.top);
        }
        if let Some(first) = replies.first_mut() {
            first.held_us = micros(self.now.since(collection.since));
        }
        let to = &collection.to;
        out.extend(replies.into_iter().map(|reply| Action::Reply { to: to.clone(), reply }));
    }
}

fn merge(replies: &mut [Reply], top: usize) {
    let bodies = replies.iter().flat_map(responses).map(|response| &response.body);
    let mut merged = Some(records::greatest(bodies, top));
    let count = u32::try_from(replies.len()).unwrap_or(u32::MAX);
    for reply in replies.iter_mut() {
        let responses = reply.parts.iter_mut().filter_map(|part| part.response.as_mut());
        for response in responses {
            // Of a sweep's responses only signature and records enter the answer.
            response.fields.clear();
            response.body = merged.take().unwrap_or_default();
        }
    }
    replies[0].merged = count;
}

fn responses(reply: &Reply) -> impl Iterator<Item = &Response> {
    reply.parts.iter().filter_map(|part| part.response.as_ref())
}
