//! Property test: sweeps that wait for their holder end once, for any events in any order.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::admission::reservation::Event as Reservation;
use ladder_core::collections::{Map, Set};
use ladder_core::gather::event::CallerId;
use ladder_core::gather::{Action, Event};
use ladder_core::schema::outcome::{Reason, Verdict};

use super::{
    Decision, STRANGER, decision, fixture, fixture_without_holder, harness_at,
    request_reservations, reservation_events, reservation_request, reservation_requests,
};
use crate::harness::{Harness, INCARNATION, answers, sent_work};
use crate::partial_aggregation::message;

/// A machine with the callers that wait and the replies that were granted to them.
struct Simulation {
    harness: Harness,
    /// Open callers by request key.
    open: Map<String, CallerId>,
    callers: u64,
    /// Holder, query and request key of each reservation request that was sent.
    asked: Vec<(Arc<str>, u64, String)>,
    /// Request keys of the sweeps that were admitted on arrival, or whose holder granted them a reservation while they waited.
    granted: Set<String>,
    granted_by_holder: usize,
    made: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            harness: harness_at(&fixture(), 50, 1),
            open: Map::default(),
            callers: 1,
            asked: Vec::new(),
            granted: Set::default(),
            granted_by_holder: 0,
            made: 0,
        }
    }

    fn apply_step(&mut self, [kind, a, b, c]: [u8; 4]) {
        let out = match kind % 16 {
            0..=4 => self.call(a),
            5..=7 => self.reply(a, b, c),
            8..=9 => self.harness.advance((a % 8).into()),
            10 => {
                self.harness.now = self.harness.now + Duration::from_millis(u64::from(a) * 4);
                Vec::new()
            }
            11 => self.harness.deliver(Event::Paused(Duration::from_millis(a.into()))),
            12 => self.harness.link_down(["e2", "e3", "e4", "e1"][usize::from(a % 4)]),
            13 => match a % 4 {
                0 => self.harness.deliver(fixture_without_holder().view()),
                1 => self.harness.deliver(Event::View(Arc::default())),
                _ => self.harness.deliver(fixture().view()),
            },
            14 => self.leave(a),
            _ if (a, b % 8) == (0, 0) => self.harness.deliver(Event::Drain),
            _ if (a, b % 8) == (1, 0) => self.harness.deliver(Event::Cut),
            _ => request_reservations(
                &mut self.harness,
                vec![reservation_request(b.into(), (c % 2).into())],
            ),
        };
        self.check(&out);
    }

    fn call(&mut self, a: u8) -> Vec<Action> {
        self.callers += 1;
        let key = format!("c{}", self.callers);
        self.open.insert(key.clone(), CallerId(self.callers));
        let out = self.harness.call(message(&key, "/docks/all", (a % 8).into()));
        for (to, request) in reservation_requests(&out) {
            self.asked.push((to, request.query, key.clone()));
        }
        let events = reservation_events(&out);
        let is_refused_here =
            events.contains(&Reservation::Made) || events.contains(&Reservation::Refused);
        if !is_refused_here && reservation_requests(&out).is_empty() {
            // Admitted on arrival once the reported share has expired, or by this instance's book.
            self.granted.insert(key);
        }
        out
    }

    fn reply(&mut self, a: u8, b: u8, c: u8) -> Vec<Action> {
        let recent = self.asked.len().min(8);
        if recent == 0 {
            return Vec::new();
        }
        let index = self.asked.len() - 1 - usize::from(a) % recent;
        let (holder, query, key) = self.asked[index].clone();
        let response =
            [Decision::Granted, Decision::Reserved, Decision::Refused][usize::from(b % 3)];
        let (from, incarnation, query) = match c % 8 {
            0 => (STRANGER.into(), INCARNATION, query),
            1 => (holder, INCARNATION - 1, query),
            2 => (holder, INCARNATION, query + 1000),
            _ => {
                if matches!(response, Decision::Granted) && self.open.contains_key(&key) {
                    self.granted.insert(key);
                }
                (holder, INCARNATION, query)
            }
        };
        let replies = vec![decision(query, incarnation, response)];
        self.harness.deliver(Event::ReservationReplies { from, replies })
    }

    fn leave(&mut self, a: u8) -> Vec<Action> {
        let caller = CallerId(self.callers.saturating_sub(u64::from(a % 4)));
        self.open.retain(|_, open| *open != caller);
        self.harness.deliver(Event::CallerLeft(caller))
    }

    fn check(&mut self, out: &[Action]) {
        for (_, work) in sent_work(out) {
            assert!(self.open.contains_key(&work.key), "work only for open callers");
            assert!(self.granted.contains(&work.key), "{} starts without a grant", work.key);
        }
        let mut sent = sent_work(out).into_iter().map(|(_, work)| work.key);
        for answer in answers(out) {
            let open = self.open.remove(&answer.key);
            assert!(open.is_some(), "one answer for {}", answer.key);
            let is_refused = answer.reason() == Reason::SweepLimit;
            if is_refused {
                assert_eq!(answer.verdict(), Verdict::NotRun);
                assert!(answer.retry_after_ms > 0);
                assert!(!sent.any(|key| key == answer.key));
            }
        }
        for event in reservation_events(out) {
            self.made += usize::from(event == Reservation::Made);
            self.granted_by_holder += usize::from(event == Reservation::Claimed);
        }
        assert!(self.granted_by_holder <= self.made, "more grants than reservations");
        assert!(self.harness.machine.reservations() <= self.made - self.granted_by_holder);
        assert_eq!(self.harness.machine.open(), self.open.len(), "each call is open or answered");
    }
}

/// Guards against a sweep that is answered twice or never, or that is sent without a grant, for any
/// order of replies, losses, views and departures.
#[test]
fn pending_sweeps_end_once_for_any_event_order() {
    let steps = bolero::generator::produce::<Vec<[u8; 4]>>().with().len(0usize..120);
    ladder_property::check(1000).with_generator(steps).for_each(|steps: &Vec<[u8; 4]>| {
        let mut simulation = Simulation::new();
        for &step in steps {
            simulation.apply_step(step);
        }
        for _ in 0..2 {
            let out = simulation.harness.advance(500);
            simulation.check(&out);
        }
        assert_eq!(simulation.harness.machine.open(), 0);
    });
}
