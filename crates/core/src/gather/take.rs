//! Takes replies in and decides what a refusal leads to.

use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::event::Action;
use super::history::Step;
use super::machine::{Machine, count};
use super::peers::PeerKey;
use super::plan;
use super::query::{Portion, Progress, QueryKey, State};
use super::reply::{self, Place};
use super::send::SENDINGS;
use crate::count;
use crate::time::Instant;

/// Versions a query gives up at most.
const RESTARTS: usize = 2;

/// What a refused portion's reason leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remedy {
    /// Another candidate may take it.
    Next,
    /// The whole query starts again on another version.
    Restart,
    /// Nothing: the limit is the fleet's, or another candidate would fail alike.
    Stop,
}

fn remedy(reason: Reason) -> Remedy {
    match reason {
        // The owner refused because of its own state or view, or could not be reached.
        Reason::NotReady
        | Reason::Draining
        | Reason::NotOwner
        | Reason::NoOwner
        | Reason::OwnerLost
        | Reason::NoServer
        | Reason::Evacuated
        | Reason::ConnectFailed
        | Reason::Paused
        | Reason::UnknownIndex
        | Reason::UnknownOperation
        | Reason::UnknownShard
        | Reason::LinkFull
        | Reason::LinkCut => Remedy::Next,
        Reason::VersionRetired => Remedy::Restart,
        // The limits are the fleet's: at another candidate they would only be broken. Errors of
        // targets have been retried by the owner within its budget.
        _ => Remedy::Stop,
    }
}

/// Whether an owner gives this reason only before it has sent the portion to any server.
const fn is_before_servers(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NotReady
            | Reason::NotOwner
            | Reason::UnknownIndex
            | Reason::UnknownOperation
            | Reason::UnknownShard
            | Reason::LinkFull
            | Reason::LinkCut
            | Reason::Quarantined
    )
}

impl Machine {
    pub(crate) fn replies(
        &mut self,
        now: Instant,
        from: &str,
        replies: Vec<wire::Reply>,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.find(from) else {
            for _ in replies {
                count(out, count::Event::Drop, Reason::StaleAnswer);
            }
            return;
        };
        self.peers.heard(peer, now);
        let mut replies = replies.into_iter();
        while let Some(reply) = replies.next() {
            let taken = match reply.merged as usize {
                0 | 1 => self.reply(now, peer, reply, out),
                count => {
                    let rest = replies.by_ref().take(count - 1);
                    let group = std::iter::once(reply).chain(rest).collect();
                    self.collected(now, peer, group, out)
                }
            };
            if let Err(reason) = taken {
                count(out, count::Event::Drop, reason);
            }
        }
    }

    /// Takes one reply, or says why it is dropped.
    fn reply(
        &mut self,
        now: Instant,
        from: PeerKey,
        reply: wire::Reply,
        out: &mut Vec<Action>,
    ) -> Result<(), Reason> {
        if reply.incarnation != self.settings.incarnation {
            return Err(Reason::StaleAnswer);
        }
        let key = *self.numbers.get(&reply.query).ok_or(Reason::StaleAnswer)?;
        let place = reply::place(&self.queries[key], from, &reply)?;
        self.close(now, key, place, &reply);
        let portion = &self.queries[key].portions[place.portion];
        if matches!(portion.state, State::Covered(_)) {
            // The other copy of a portion that was sent twice.
            return Err(Reason::StaleAnswer);
        }
        if reply.verdict() == Verdict::Ran && reply.reason() == Reason::Unspecified {
            let query = &mut self.queries[key];
            let parts = reply::in_order(query, place.portion, reply.parts);
            query.close(place.portion, State::Covered(parts));
        } else {
            self.refused(now, key, place.portion, &reply, out);
        }
        self.finish_if_settled(now, key, out);
        Ok(())
    }

    /// Notes that a sending is answered.
    pub(super) fn close(&mut self, now: Instant, key: QueryKey, place: Place, reply: &wire::Reply) {
        let query = &mut self.queries[key];
        let portion = &mut query.portions[place.portion];
        let sending = &mut portion.sendings[place.sending];
        if sending.progress == Progress::Open {
            self.peers.ended(sending.peer);
        }
        sending.progress = Progress::Ended;
        if reply.busy_permille > 0 {
            self.near.heard_of(&portion.share.service, reply.busy_permille);
        }
        if reply.verdict() == Verdict::Ran {
            self.avoid.report(now, &portion.share.service, &reply.avoid);
        }
        let (peer, at) = (sending.peer, sending.at);
        if sending.collected && !sending.spoke {
            self.spoke(key, peer, reply.round);
        }
        if reply.held_us > 0 {
            let held = Duration::from_micros(reply.held_us);
            self.peers.learn_way(peer, now.since(at).saturating_sub(held));
        }
        self.peers.learn(peer, now.since(at));
        let query = &self.queries[key];
        let portion = &query.portions[place.portion];
        let from = self.peers.get(peer);
        let step = Step::Replied {
            from: from.map_or_else(|| "".into(), |state| state.peer.name.clone()),
            service: portion.share.service.clone(),
            verdict: reply.verdict(),
            reason: reply.reason(),
        };
        self.history.add(query.account, now, step);
    }

    /// Decides what follows when an owner did not answer a portion.
    pub(super) fn refused(
        &mut self,
        now: Instant,
        key: QueryKey,
        position: usize,
        reply: &wire::Reply,
        out: &mut Vec<Action>,
    ) {
        let (reason, verdict) = (reply.reason(), reply.verdict());
        let query = &mut self.queries[key];
        query.retry_after_ms = query.retry_after_ms.max(reply.retry_after_ms);
        let portion = &mut query.portions[position];
        portion.exposed |= verdict != Verdict::NotRun;
        portion.ran |= verdict == Verdict::Ran;
        portion.reached |= verdict != Verdict::NotRun || !is_before_servers(reason);
        if matches!(reason, Reason::NoServer | Reason::Evacuated | Reason::ConnectFailed) {
            portion.passed.extend(&portion.eligible);
        }
        if !portion.is_open() || portion.is_awaited() {
            return;
        }
        let done = match remedy(reason) {
            _ if self.queries[key].withdrawn => false,
            Remedy::Next => self.next_owner(now, key, position, reason, out),
            Remedy::Restart if verdict == Verdict::NotRun => self.restart(now, key, out),
            Remedy::Restart | Remedy::Stop => false,
        };
        if !done {
            self.settle(key, position, reason, out);
        }
    }

    /// Sends a portion on which no reply is awaited to the next candidate; false if it may not be
    /// sent again or there is none.
    pub(crate) fn next_owner(
        &mut self,
        now: Instant,
        key: QueryKey,
        position: usize,
        reason: Reason,
        out: &mut Vec<Action>,
    ) -> bool {
        let query = &self.queries[key];
        let portion = &query.portions[position];
        if now >= query.answer_at || !may_send_again(query.terms.unrepeatable, portion) {
            return false;
        }
        let Some(peer) = self.next_peer(now, key, position) else {
            return false;
        };
        count(out, count::Event::Retry, reason);
        self.send(now, key, vec![(position, peer)], Some(reason), out);
        true
    }

    /// Starts the query again on another version that every shard is held at; false if there is
    /// none, the time is too short or something unrepeatable may have run.
    ///
    /// The failure: a version is retired while the query runs, some servers answer from it and
    /// others cannot. Mixed parts would be a state that never was. The old parts are dropped, and
    /// the new query number keeps late replies of the old version out.
    pub(crate) fn restart(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[key];
        let untouched = query.is_untouched();
        if query.terms.unrepeatable && !untouched {
            return false;
        }
        let third = query.terms.deadline / 3;
        if query.retired.len() >= RESTARTS || query.answer_at.since(now) < third {
            return false;
        }
        let mut retired = query.retired.clone();
        retired.push(query.index.version);
        let Ok(plan) = plan::plan(&self.view, &query.request, &retired) else {
            return false;
        };
        if !plan.missing.is_empty() {
            return false;
        }
        self.cancel(key, out);
        let number = self.number();
        let query = &mut self.queries[key];
        self.numbers.remove(&query.number);
        self.numbers.insert(number, key);
        query.number = number;
        query.retired = retired;
        query.exposed |= !untouched;
        query.adopt(plan);
        count(out, count::Event::Retry, Reason::VersionRetired);
        self.send_all(now, key, Some(Reason::VersionRetired), out);
        true
    }

    /// Gives up waiting for a portion.
    pub(crate) fn settle(
        &mut self,
        key: QueryKey,
        position: usize,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[key];
        if !query.portions[position].is_open() {
            return;
        }
        query.close(position, State::Refused(reason));
        count(out, count::Event::Refusal, reason);
    }
}

/// The one rule for every second sending: what may not be repeated goes out again only after proof
/// that no earlier sending ran.
pub(crate) fn may_send_again(unrepeatable: bool, portion: &Portion) -> bool {
    if portion.sendings.len() >= SENDINGS {
        return false;
    }
    !unrepeatable || portion.verdict() == Verdict::NotRun
}
