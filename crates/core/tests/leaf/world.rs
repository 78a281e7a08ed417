//! What is true outside the machine while any events arrive: calls, connections, keys, deadlines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::leaf::Action;
use ladder_core::leaf::event::{AttemptKey, LaneKey, Outcome};
use ladder_core::schema::outcome::Verdict;
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::Server;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    Opening,
    Idle,
    Busy,
    Control,
}

/// An open call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) lane: LaneKey,
    pub(crate) address: Arc<str>,
    pub(crate) request: target::Request,
}

/// One delivery of a portion.
#[derive(Clone, Debug)]
struct Delivery {
    end: Instant,
    /// Later than `end` by the suspensions since.
    reply_by: Instant,
    replies: u32,
    /// Calls not proved not to have run, open ones included.
    may_have_run: u32,
}

/// What is true outside the machine. Each action is checked against it.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) lanes: BTreeMap<LaneKey, (Arc<str>, Lane)>,
    pub(crate) calls: BTreeMap<AttemptKey, Call>,
    pub(crate) servers: Vec<Server>,
    /// By the payload, which names query and round.
    deliveries: BTreeMap<String, Delivery>,
    /// Sendings of each unrepeatable key that are not proved not to have run.
    sent_keys: BTreeMap<String, u32>,
    pub(crate) replies: usize,
}

impl World {
    /// A machine that owns nothing yet faces these servers.
    pub(crate) fn new(now: Instant, servers: Vec<Server>) -> Self {
        Self { now, servers, ..Self::default() }
    }

    /// Nothing can be replied during a suspension.
    pub(crate) fn suspend(&mut self, gap: Duration) {
        self.now = self.now + gap;
        for delivery in self.deliveries.values_mut() {
            delivery.reply_by = delivery.reply_by + gap;
        }
    }

    /// Notes work that is about to be handed over; a second delivery must get no second reply.
    pub(crate) fn deliver(&mut self, work: &wire::Work) {
        let end = self.now + Duration::from_micros(work.budget_us);
        self.deliveries.entry(work.payload.clone()).or_insert(Delivery {
            end,
            reply_by: end,
            replies: 0,
            may_have_run: 0,
        });
    }

    /// Notes the end of a call that is about to be reported.
    pub(crate) fn end(&mut self, attempt: AttemptKey, outcome: &Outcome) -> Call {
        let call = self.calls.remove(&attempt).expect("an open call ends");
        match outcome {
            Outcome::Answer(_) | Outcome::Refusal(_) => self.set(call.lane, Lane::Idle),
            _ => {
                self.lanes.remove(&call.lane);
            }
        }
        if matches!(outcome, Outcome::Refusal(_) | Outcome::Unsent) {
            let delivery = self.deliveries.get_mut(&call.request.payload);
            delivery.expect("a known delivery").may_have_run -= 1;
            if call.request.operation == "book" {
                *self.sent_keys.get_mut(&call.request.key).expect("a sent key") -= 1;
            }
        }
        call
    }

    pub(crate) fn set(&mut self, lane: LaneKey, state: Lane) {
        self.lanes.get_mut(&lane).expect("an open lane").1 = state;
    }

    pub(crate) fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Open { lane, address, .. } => self.check_open(*lane, address),
                Action::Close(lane) => self.check_close(*lane),
                Action::Send { lane, attempt, request, .. } => {
                    self.check_send(*lane, *attempt, request);
                }
                Action::Cancel { lane, .. } | Action::Probe { lane, .. } => self.take(*lane),
                Action::Reply { reply, .. } => self.check_reply(reply),
                Action::Log(_)
                | Action::Crashed { .. }
                | Action::Refuted { .. }
                | Action::Cleared(_)
                | Action::Pending { .. }
                | Action::Server { .. }
                | Action::Count(_) => {}
            }
        }
    }

    /// No delivery stays without a reply.
    pub(crate) fn check_all_replied(&self) {
        for (name, delivery) in &self.deliveries {
            assert_eq!(delivery.replies, 1, "replies to {name}");
        }
    }

    fn server(&self, address: &str) -> Option<&Server> {
        self.servers.iter().find(|server| &*server.address == address)
    }

    fn check_open(&mut self, lane: LaneKey, address: &Arc<str>) {
        let open = self.lanes.values().filter(|(other, _)| other == address).count();
        let share = self.server(address).expect("a listed server").share;
        assert!(open < share as usize, "connections beyond the share");
        self.lanes.insert(lane, (Arc::clone(address), Lane::Opening));
    }

    fn check_close(&mut self, lane: LaneKey) {
        let (_, state) = self.lanes.remove(&lane).expect("an open lane is closed");
        assert_ne!(state, Lane::Busy, "a call is cut");
    }

    fn take(&mut self, lane: LaneKey) {
        let (_, state) = self.lanes.get(&lane).expect("an open lane is used");
        assert_eq!(*state, Lane::Idle, "a lane carries one request at a time");
        self.set(lane, Lane::Control);
    }

    fn check_send(&mut self, lane: LaneKey, attempt: AttemptKey, request: &target::Request) {
        self.take(lane);
        self.set(lane, Lane::Busy);
        let address = Arc::clone(&self.lanes[&lane].0);
        let server = self.server(&address).expect("a listed server");
        assert!(!server.leaving, "work for a leaving server");
        let slots = server.slots as usize;
        let busy = self.calls.values().filter(|call| call.address == address).count();
        assert!(busy < slots, "calls beyond the slots");
        let delivery = self.deliveries.get_mut(&request.payload).expect("a known delivery");
        assert_eq!(delivery.replies, 0, "a call after the reply");
        assert!(self.now < delivery.end, "a call after the deadline");
        delivery.may_have_run += 1;
        if request.operation == "book" {
            let sent = self.sent_keys.entry(request.key.clone()).or_default();
            assert_eq!(*sent, 0, "an unrepeatable request is sent twice");
            *sent += 1;
        }
        self.calls.insert(attempt, Call { lane, address, request: request.clone() });
    }

    fn check_reply(&mut self, reply: &wire::Reply) {
        let name = name(reply.query, reply.round);
        let delivery = self.deliveries.get_mut(&name).expect("a known delivery");
        delivery.replies += 1;
        self.replies += 1;
        assert_eq!(delivery.replies, 1, "a second reply to {name}");
        assert!(self.now <= delivery.reply_by, "a late reply to {name}");
        match reply.verdict() {
            Verdict::NotRun => assert_eq!(delivery.may_have_run, 0, "{name} may have run"),
            Verdict::Ran => {
                let own = reply.parts.iter().all(|part| part.body == name);
                assert!(own, "{name} gets the answer to another request");
                assert!(!reply.parts.is_empty());
            }
            _ => {}
        }
    }
}

/// Payload of a delivery's requests.
pub(crate) fn name(query: u64, round: u32) -> String {
    format!("{query}/{round}")
}
