//! Property test: the invariants of the gathering machine hold for any events in any order.

use std::time::Duration;

use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::gather::{Event, Machine, Settings};
use ladder_core::schema::call::{Part, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;
use ladder_core::time::Instant;

use crate::fleet::{Fleet, MAP, SELF};
use crate::harness::{INCARNATION, request};
use crate::oracle::{Oracle, Sent};

/// Shard map of version 9, which moves shards between services and replaces `f` by `g`.
const MOVED_MAP: [(&str, &str); 6] =
    [("a", "s2"), ("b", "s1"), ("c", "s2"), ("d", "s3"), ("e", "s3"), ("g", "s1")];

const REASONS: [Reason; 12] = [
    Reason::NotOwner,
    Reason::Draining,
    Reason::QueueFull,
    Reason::VersionRetired,
    Reason::VersionRetired,
    Reason::NoServer,
    Reason::TargetError,
    Reason::Paused,
    Reason::RepeatedKey,
    Reason::WouldMissDeadline,
    Reason::OwnerLost,
    Reason::Cancelled,
];

/// A gathering machine with an oracle that checks its actions.
struct Simulation {
    machine: Machine,
    oracle: Oracle,
    now: Instant,
    callers: u64,
    /// Replies delivered so far, which may be delivered again.
    past_replies: Vec<(String, Reply)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            machine: Machine::new(Settings::builder(SELF, INCARNATION).build()),
            oracle: Oracle::default(),
            now: Instant::from_millis(1000),
            callers: 0,
            past_replies: Vec::new(),
        };
        simulation.publish_view(0b111_111, 0b0101_0101);
        simulation
    }

    fn deliver(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.now, event, &mut out);
        self.oracle.check(self.now, &self.machine, &out);
    }

    fn apply_step(&mut self, [kind, a, b, c]: [u8; 4]) {
        match kind % 32 {
            0..=7 => self.call(a, b, c),
            8..=17 => self.reply(a, b, c),
            18..=19 => self.repeat_reply(a),
            20..=23 => self.advance(a),
            24..=25 => self.skip_time(a),
            26 => self.deliver(Event::Paused(Duration::from_millis(a.into()))),
            27 => self.deliver(Event::LinkDown(format!("e{}", 1 + a % 4).into())),
            28..=29 => self.publish_view(a, b),
            30 => self.disconnect(a),
            _ if (a, b % 4) == (0, 0) => self.deliver(Event::Drain),
            _ => self.advance(a),
        }
    }

    fn call(&mut self, a: u8, b: u8, c: u8) {
        self.callers += 1;
        let caller = CallerId(self.callers);
        let operation = ["sweep", "check", "book", "book"][usize::from(a % 4)];
        let shards = ["a", "b", "c", "d", "e", "f", "g"];
        let asked = shards.iter().enumerate().filter(|(bit, _)| b >> bit & 1 == 1);
        let asked: Vec<&str> = asked.map(|(_, &shard)| shard).collect();
        let request = Request {
            payload: caller.0.to_string(),
            deadline_ms: [0, 0, 20, 200][usize::from(c % 4)],
            unrepeatable: c & 0x30 == 0x30,
            ..request(&format!("k{}", a >> 5), operation, &asked)
        };
        self.oracle.record_call(self.now, caller, &request);
        self.deliver(Event::Call { caller, request, reception: Reception::default() });
    }

    fn disconnect(&mut self, a: u8) {
        let caller = CallerId(self.callers.saturating_sub(u64::from(a % 4)));
        self.oracle.record_disconnect(caller);
        self.deliver(Event::CallerLeft(caller));
    }

    /// Delivers a reply to one of the last 16 sendings; the low four bits of `c` select a change
    /// to the reply, most of which make it invalid.
    fn reply(&mut self, a: u8, b: u8, c: u8) {
        let recent = self.oracle.sent.len().min(16);
        if recent == 0 {
            return;
        }
        let index = self.oracle.sent.len() - 1 - usize::from(a) % recent;
        let sent = self.oracle.sent[index].clone();
        let mut from = sent.to.clone();
        let mut reply = reply_to(&sent, b);
        match c % 16 {
            0 => reply.version += 1,
            1 => from = "e4".to_owned(),
            2 => from = "e1".to_owned(),
            3 => reply.incarnation -= 1,
            4 => reply.round += 1,
            5 => reply.query = reply.query.wrapping_add(1),
            6 => drop(reply.parts.pop()),
            7 => reply.parts.extend(reply.parts.first().cloned()),
            8 => reply.service = "s2".to_owned(),
            // Reversing the parts keeps the reply valid: parts may be in any order.
            9 => reply.parts.reverse(),
            _ => {}
        }
        // The bodies of the parts name the version and the query that the reply names.
        for part in &mut reply.parts {
            part.body = format!("{}@{}#{}", part.shard, reply.version, reply.query);
        }
        self.past_replies.push((from.clone(), reply.clone()));
        self.deliver_reply(from, reply);
    }

    fn repeat_reply(&mut self, a: u8) {
        if self.past_replies.is_empty() {
            return;
        }
        let index = usize::from(a) % self.past_replies.len();
        let (from, reply) = self.past_replies[index].clone();
        self.deliver_reply(from, reply);
    }

    fn deliver_reply(&mut self, from: String, reply: Reply) {
        self.oracle.record_reply(&from, &reply);
        self.deliver(Event::Replies { from: from.into(), replies: vec![reply] });
    }

    /// Advances the time by `a` milliseconds and delivers a tick whenever the machine requests it.
    fn advance(&mut self, a: u8) {
        let end = self.now + Duration::from_millis(a.into());
        while let Some(at) = self.machine.next_wake().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.deliver(Event::Tick);
            let next = self.machine.next_wake();
            assert!(next.is_none_or(|next| next > self.now), "no timer is due immediately again");
        }
        self.now = end;
    }

    /// Advances the time by four times `a` milliseconds without ticks, so that the next event is
    /// late.
    fn skip_time(&mut self, a: u8) {
        self.now = self.now + Duration::from_millis(u64::from(a) * 4);
    }

    /// Publishes a view: the bits of `a` select the live instances, those of `b` the versions that
    /// the services hold.
    fn publish_view(&mut self, a: u8, b: u8) {
        let mut fleet = Fleet::default();
        fleet.versions.insert(0, (8, MAP.to_vec()));
        fleet.versions.insert(0, (9, MOVED_MAP.to_vec()));
        fleet.ready = a >> 6 != 0b11;
        for instance in ["e1", "e2", "e3"].iter().enumerate() {
            if a >> instance.0 & 1 == 0 {
                fleet = fleet.without_instance(instance.1);
            }
        }
        for (spec, held) in fleet.services.iter_mut().zip([b, b >> 2, b >> 4]) {
            let held = [vec![7], vec![7, 8], vec![8, 9], vec![9]][usize::from(held & 3)].clone();
            spec.held_versions = vec![held; 2];
            spec.leaving = vec![b >> 6 == 0b11 && spec.name == "s2"; 2];
        }
        for (version, map) in &fleet.versions {
            let names = map.iter().map(|(shard, _)| (*shard).to_owned());
            self.oracle.shards_by_version.insert(*version, names.collect());
        }
        self.deliver(Event::View(fleet.view()));
    }
}

fn reply_to(sent: &Sent, b: u8) -> Reply {
    let covered = b & 3 != 0;
    let parts = sent.portion.shards.iter().map(|shard| Part {
        shard: shard.clone(),
        body: String::new(),
        response: None,
    });
    let (verdict, reason) = match (covered, REASONS[usize::from(b >> 3) % REASONS.len()]) {
        (true, _) => (Verdict::Ran, Reason::Unspecified),
        (false, reason) if b & 4 == 0 => (Verdict::NotRun, reason),
        (false, reason) => (Verdict::MayHaveRun, reason),
    };
    Reply {
        query: sent.work.query,
        round: sent.work.round,
        incarnation: INCARNATION,
        service: sent.portion.service.clone(),
        verdict: verdict.into(),
        reason: reason.into(),
        version: sent.work.version,
        parts: if covered { parts.collect() } else { Vec::new() },
        ..Reply::default()
    }
}

#[test]
fn invariants_hold_for_any_event_order() {
    let steps = bolero::generator::produce::<Vec<[u8; 4]>>().with().len(0usize..160);
    ladder_property::check(1500).with_generator(steps).for_each(|steps: &Vec<[u8; 4]>| {
        let mut simulation = Simulation::new();
        for &step in steps {
            simulation.apply_step(step);
        }
        // Once no events arrive, all calls must be answered by their deadlines.
        simulation.advance(255);
        simulation.advance(255);
        assert_eq!(simulation.machine.open(), 0);
    });
}
