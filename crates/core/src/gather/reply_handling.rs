//! Handles replies and decides how to proceed after a refusal.

use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::event::Action;
use super::history::Step;
use super::machine::{Machine, count};
use super::peers::PeerKey;
use super::plan::{self, Terms};
use super::query::{Portion, PortionState, Progress, QueryKey, Refused};
use super::reply::{self, SendingLocation};
use super::send::MAX_SENDINGS;
use crate::admission::{Class, Share};
use crate::count;
use crate::time::Instant;

/// Maximum number of index versions that one query abandons because they are retired.
const MAX_RESTARTS: usize = 2;

/// How to proceed after the refusal of a portion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    /// Send the refused portion to another candidate.
    NextCandidate,
    /// Restart the whole query on another index version.
    RestartQuery,
    /// Refuse the portion: the limit applies to the whole fleet, or another candidate would fail
    /// too.
    RefusePortion,
}

fn recovery(reason: Reason) -> Recovery {
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
        | Reason::LinkCut => Recovery::NextCandidate,
        Reason::VersionRetired => Recovery::RestartQuery,
        // Limits apply to the whole fleet: another candidate would only exceed them. Errors of
        // servers have already been retried by the owner within its budget.
        _ => Recovery::RefusePortion,
    }
}

impl Machine {
    pub(crate) fn handle_replies(
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
        self.peers.record_message(peer, now);
        let mut replies = replies.into_iter();
        while let Some(reply) = replies.next() {
            let result = match reply.merged as usize {
                0 | 1 => self.handle_reply(now, peer, reply, out),
                count => {
                    let rest = replies.by_ref().take(count - 1);
                    let group = std::iter::once(reply).chain(rest).collect();
                    self.handle_merged_replies(now, peer, group, out)
                }
            };
            if let Err(reason) = result {
                count(out, count::Event::Drop, reason);
            }
        }
        self.resend_refused(now, out);
    }

    /// Handles one reply, or returns why it is dropped.
    fn handle_reply(
        &mut self,
        now: Instant,
        from: PeerKey,
        reply: wire::Reply,
        out: &mut Vec<Action>,
    ) -> Result<(), Reason> {
        if reply.incarnation != self.settings.incarnation {
            return Err(Reason::StaleAnswer);
        }
        let key = *self.query_by_number.get(&reply.query).ok_or(Reason::StaleAnswer)?;
        let location = reply::match_sending(&self.queries[key], from, &reply)?;
        self.record_reply(now, key, location, &reply);
        let portion = &self.queries[key].portions[location.portion];
        if matches!(portion.state, PortionState::Covered(_)) {
            // The reply is to the other sending of a portion that was sent twice.
            return Err(Reason::StaleAnswer);
        }
        if reply.verdict() == Verdict::Ran && reply.reason() == Reason::Unspecified {
            let query = &mut self.queries[key];
            let parts = reply::in_order(query, location.portion, reply.parts);
            query.close_portion(location.portion, PortionState::Covered(parts));
        } else {
            self.handle_refusal(now, key, location.portion, &reply, out);
        }
        self.finish_if_settled(now, key, out);
        Ok(())
    }

    /// Records that a sending was answered, with the timing and server load that the reply
    /// reports.
    pub(super) fn record_reply(
        &mut self,
        now: Instant,
        key: QueryKey,
        location: SendingLocation,
        reply: &wire::Reply,
    ) {
        let query = &mut self.queries[key];
        let portion = &mut query.portions[location.portion];
        let sending = &mut portion.sendings[location.sending];
        if sending.progress == Progress::Open {
            self.peers.record_closed(sending.peer);
        }
        sending.progress = Progress::Answered;
        if reply.busy_permille > 0 {
            self.aggregator_selector
                .record_utilization(&portion.requested.service, reply.busy_permille);
        }
        if reply.verdict() == Verdict::Ran {
            self.avoided_servers.record_report(now, &portion.requested.service, &reply.avoid);
        }
        if let Some(route) = query.route.as_ref().filter(|_| query.admitted_permille > 0) {
            // A refusal without a share may come from an instance that does not know the service.
            let share = Share::from_reply(reply.admissible_permille);
            if share < Share::ALL || reply.verdict() == Verdict::Ran {
                let class = Class::from(route.spec.urgency());
                self.sweep_decision.record_share(now, &portion.requested.service, class, share);
            }
        }
        let (peer, at) = (sending.peer, sending.at);
        if sending.is_aggregated && !sending.has_reported {
            self.mark_round_reported(key, peer, reply.round);
        }
        if reply.held_us > 0 {
            let held = Duration::from_micros(reply.held_us);
            self.peers.record_round_trip(peer, now.since(at).saturating_sub(held));
        }
        self.peers.record_reply_time(peer, now.since(at));
        let query = &self.queries[key];
        let portion = &query.portions[location.portion];
        let from = self.peers.get(peer);
        let step = Step::Replied {
            from: from.map_or_else(|| "".into(), |state| state.peer.name.clone()),
            service: portion.requested.service.clone(),
            verdict: reply.verdict(),
            reason: reply.reason(),
        };
        self.history.add(query.history_id, now, step);
    }

    /// Decides how to proceed after an owner refused or failed a portion.
    pub(super) fn handle_refusal(
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
        portion.may_have_run |= verdict != Verdict::NotRun;
        portion.ran |= verdict == Verdict::Ran;
        portion.may_have_reached_server |= !reply::proves_no_server_received(reply);
        if matches!(reason, Reason::NoServer | Reason::Evacuated | Reason::ConnectFailed) {
            portion.unusable.extend(&portion.eligible);
            let service = &portion.requested.service;
            self.avoided_servers.record_unusable(now, service, &portion.eligible);
        }
        if !portion.is_open() || portion.awaits_reply() {
            return;
        }
        let recovered = match recovery(reason) {
            _ if self.queries[key].withdrawn => false,
            Recovery::NextCandidate => {
                let is_before_call = reply::proves_no_server_received(reply);
                let refused = Refused { reason, at: now, is_before_call };
                self.queries[key].portions[position].refused = Some(refused);
                if !self.refused_queries.contains(&key) {
                    self.refused_queries.push(key);
                }
                true
            }
            Recovery::RestartQuery if verdict == Verdict::NotRun => self.restart(now, key, out),
            Recovery::RestartQuery | Recovery::RefusePortion => false,
        };
        if !recovered {
            self.refuse_portion(key, position, reason, out);
        }
    }

    /// Restarts the query on another index version in which every shard is available. Returns
    /// false if there is none, if less than a third of the deadline is left, or if a
    /// non-idempotent query may have run.
    ///
    /// This prevents the following failure: a version is retired while the query runs, so that
    /// some servers answer from it and others cannot. An answer with parts of both versions would
    /// show a state of the index that never existed. The parts of the old version are dropped, and
    /// the new query number rejects late replies of the old version.
    pub(crate) fn restart(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[key];
        let is_not_run = query.is_proved_not_run();
        if query.terms.runs_once() && !is_not_run {
            return false;
        }
        let min_time_left = query.terms.deadline / 3;
        if query.retired_versions.len() >= MAX_RESTARTS
            || query.answer_at.since(now) < min_time_left
        {
            return false;
        }
        let mut retired_versions = query.retired_versions.clone();
        retired_versions.push(query.index.version);
        let Ok(plan) = plan::plan_request(&self.view, &query.request, &retired_versions) else {
            return false;
        };
        if !plan.missing.is_empty() {
            return false;
        }
        self.cancel_query(key, out);
        let number = self.next_query_number();
        let query = &mut self.queries[key];
        self.query_by_number.remove(&query.number);
        self.query_by_number.insert(number, key);
        query.number = number;
        query.retired_versions = retired_versions;
        query.earlier_version_may_have_run |= !is_not_run;
        query.adopt_plan(plan);
        count(out, count::Event::Retry, Reason::VersionRetired);
        self.send_all(now, key, Some(Reason::VersionRetired), out);
        true
    }

    /// Closes an open portion as refused and counts the refusal.
    pub(crate) fn refuse_portion(
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
        query.close_portion(position, PortionState::Refused(reason));
        count(out, count::Event::Refusal, reason);
    }
}

/// Returns whether a portion may be sent again. Every repeated sending is subject to this rule: a
/// portion of a query that runs once is sent again only after proof that no earlier sending ran.
pub(crate) fn may_send_again(terms: Terms, portion: &Portion) -> bool {
    if portion.sendings.len() >= MAX_SENDINGS {
        return false;
    }
    !terms.runs_once() || portion.verdict() == Verdict::NotRun
}
