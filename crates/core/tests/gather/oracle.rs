//! Checks the observable actions of a gathering machine against its invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ladder_core::gather::event::CallerId;
use ladder_core::gather::{Action, Machine, status};
use ladder_core::schema::call::{Answer, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Portion, Reply, Work};
use ladder_core::time::Instant;

use crate::fleet::INDEX;
use crate::harness::INCARNATION;

/// A portion that was sent to an owner, with the first valid reply to it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) caller: CallerId,
    pub(crate) to: String,
    pub(crate) work: Work,
    pub(crate) portion: Portion,
    reply: Option<Reply>,
}

impl Sent {
    fn is_proved_not_run(&self) -> bool {
        let verdict = self.reply.as_ref().map(Reply::verdict);
        verdict == Some(Verdict::NotRun)
    }

    /// Returns whether a reply matches the identifiers, version and shards of this sending
    /// exactly.
    fn is_answered_by(&self, from: &str, reply: &Reply) -> bool {
        let mut shards: Vec<&str> = reply.parts.iter().map(|part| part.shard.as_str()).collect();
        shards.sort_unstable();
        let content = match (reply.verdict(), reply.reason()) {
            (Verdict::Ran, Reason::Unspecified) => shards == self.portion.shards,
            _ => shards.is_empty(),
        };
        self.to == from
            && reply.incarnation == INCARNATION
            && (reply.query, reply.round) == (self.work.query, self.work.round)
            && reply.service == self.portion.service
            && reply.version == self.work.version
            && content
    }
}

/// A call that has not been answered.
#[derive(Clone, Debug)]
struct OpenCall {
    request: Request,
    arrived: Instant,
}

/// Checks every action of the machine against the preceding events and actions.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    open: BTreeMap<CallerId, OpenCall>,
    pub(crate) sent: Vec<Sent>,
    /// Shard names of each version that was in any view.
    pub(crate) shards_by_version: BTreeMap<u64, Vec<String>>,
}

impl Oracle {
    pub(crate) fn record_call(&mut self, now: Instant, caller: CallerId, request: &Request) {
        let open = OpenCall { request: request.clone(), arrived: now };
        self.open.insert(caller, open);
    }

    pub(crate) fn record_disconnect(&mut self, caller: CallerId) {
        self.open.remove(&caller);
    }

    /// Records a reply if it is the first valid one to a sending.
    pub(crate) fn record_reply(&mut self, from: &str, reply: &Reply) {
        let sent = self.sent.iter_mut();
        for sent in sent.filter(|sent| sent.is_answered_by(from, reply)) {
            sent.reply.get_or_insert_with(|| reply.clone());
        }
    }

    pub(crate) fn check(&mut self, now: Instant, machine: &Machine, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { to, work } => self.check_send(now, &to.name, work),
                Action::Answer { caller, answer } => self.check_answer(*caller, answer),
                Action::Cancel { .. }
                | Action::Refused(_)
                | Action::Log(_)
                | Action::RequestReservation { .. }
                | Action::ReplyReservation { .. }
                | Action::Reservation(_)
                | Action::Share(_)
                | Action::Written(_)
                | Action::Count(_) => {}
            }
        }
        assert_eq!(machine.open(), self.open.len(), "each call is open or answered");
        for (caller, open) in &self.open {
            // A caller without a deadline waits for at least the shortest default of 100 ms and at
            // most the longest of 500 ms.
            let asked = match open.request.deadline_ms {
                0 => 500,
                asked => asked.into(),
            };
            let deadline = open.arrived + Duration::from_millis(asked);
            assert!(now < deadline, "{caller:?} is open after its deadline");
            let wake = machine.next_wake().expect("an open query has a timer");
            assert!(wake < deadline, "{caller:?} would be answered too late");
        }
    }

    fn check_send(&mut self, now: Instant, to: &str, work: &Work) {
        let caller = CallerId(work.payload.parse().expect("the payload names the caller"));
        let open = self.open.get(&caller).expect("work only for open calls");
        assert!(now.since(open.arrived) < Duration::from_millis(500));
        assert!(work.budget_us < 500_000, "the budget is the time left");
        for portion in &work.portions {
            self.check_repeat(work, portion);
            self.sent.push(Sent {
                caller,
                to: to.to_owned(),
                work: work.clone(),
                portion: portion.clone(),
                reply: None,
            });
        }
    }

    /// Checks that non-idempotent work is sent again only after proof that it did not run, also
    /// for a second call with the same key.
    fn check_repeat(&self, work: &Work, portion: &Portion) {
        let is_same_query = |sent: &&Sent| sent.work.query == work.query;
        let before = self.sent.iter().filter(is_same_query);
        let before = before.filter(|sent| sent.portion.service == portion.service);
        assert!(before.count() < 3, "three sendings of a portion at most");
        if !work.unrepeatable {
            return;
        }
        let earlier = self.sent.iter().filter(|sent| {
            let same_key = sent.work.key == work.key && sent.work.unrepeatable;
            same_key && have_common_shard(&sent.portion, portion)
        });
        for sent in earlier {
            assert!(sent.is_proved_not_run(), "{work:?} may run twice after {sent:?}");
        }
    }

    fn check_answer(&mut self, caller: CallerId, answer: &Answer) {
        let open = self.open.remove(&caller).expect("one answer for each call");
        assert_eq!(answer.key, open.request.key);
        assert_ne!(answer.verdict(), Verdict::Unspecified);
        let listed = answer.covered.len() + answer.missing.len();
        if listed == 0 {
            assert!(self.sent.iter().all(|sent| sent.caller != caller));
            assert_ne!(answer.reason(), Reason::Unspecified);
            return;
        }
        self.check_coverage(&open.request, answer);
        self.check_parts(caller, answer);
        self.check_verdicts(caller, answer);
        let is_complete = answer.missing.is_empty();
        assert_eq!(status(answer) == 200, is_complete, "200 means that all shards are covered");
    }

    /// Checks that the covered and missing shards together are the requested ones, each once.
    fn check_coverage(&self, request: &Request, answer: &Answer) {
        assert_eq!(answer.index, INDEX);
        let mut listed: Vec<&str> = answer.covered.iter().map(String::as_str).collect();
        listed.extend(answer.missing.iter().map(|missing| missing.shard.as_str()));
        let map = self.shards_by_version[&answer.version].iter().map(String::as_str);
        let in_order = map.filter(|shard| answer.covered.iter().any(|covered| covered == shard));
        assert!(in_order.eq(answer.covered.iter()), "in order of the map");
        listed.sort_unstable();
        let mut asked: Vec<&str> = match request.shards.as_slice() {
            [] => self.shards_by_version[&answer.version].iter().map(String::as_str).collect(),
            shards => shards.iter().map(String::as_str).collect(),
        };
        asked.sort_unstable();
        assert_eq!(listed, asked);
    }

    /// Checks that each covered shard has one part, which is from a valid reply to this call and
    /// of the answer's version.
    fn check_parts(&self, caller: CallerId, answer: &Answer) {
        let shards: Vec<&String> = answer.parts.iter().map(|part| &part.shard).collect();
        assert_eq!(shards, answer.covered.iter().collect::<Vec<_>>());
        for part in &answer.parts {
            let from_reply = self.sent.iter().any(|sent| {
                let parts = sent.reply.iter().flat_map(|reply| &reply.parts);
                sent.caller == caller
                    && sent.work.version == answer.version
                    && parts.into_iter().any(|received| received == part)
            });
            assert!(from_reply, "{part:?} is no part of a reply to {caller:?}");
        }
    }

    /// Checks that the verdict "not run" is given only if every sending was proved not to have
    /// run.
    fn check_verdicts(&self, caller: CallerId, answer: &Answer) {
        let sent = || self.sent.iter().filter(move |sent| sent.caller == caller);
        if answer.verdict() == Verdict::NotRun {
            assert!(sent().all(Sent::is_proved_not_run), "{answer:?}");
        }
        let covered: BTreeSet<&String> = answer.covered.iter().collect();
        for missing in &answer.missing {
            assert!(!covered.contains(&missing.shard));
            assert_ne!(missing.reason(), Reason::Unspecified, "{answer:?}");
            let mut sendings_of_shard =
                sent().filter(|sent| sent.portion.shards.contains(&missing.shard));
            if missing.verdict() == Verdict::NotRun {
                assert!(
                    sendings_of_shard.all(Sent::is_proved_not_run),
                    "{missing:?} in {answer:?}"
                );
            }
        }
        let unrepeatable = sent().any(|sent| sent.work.unrepeatable);
        if unrepeatable && answer.verdict() == Verdict::Ran {
            assert!(answer.missing.iter().all(|missing| missing.verdict() == Verdict::Ran));
        }
    }
}

fn have_common_shard(one: &Portion, other: &Portion) -> bool {
    one.shards.iter().any(|shard| other.shards.contains(shard))
}
