//! Whatever the machine is told, in whatever order, it keeps its promises.

use std::time::Duration;

use ladder_core::gather::event::Caller;
use ladder_core::gather::{Event, Machine, Settings};
use ladder_core::schema::call::{Part, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;
use ladder_core::time::Instant;

use crate::fleet::{Fleet, MAP, SELF};
use crate::oracle::{Oracle, Sent};
use crate::session::{INCARNATION, request};

/// Version 9 moves shards between services and replaces `f` by `g`.
const MOVED: [(&str, &str); 6] =
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

/// One machine with its oracle.
struct World {
    machine: Machine,
    oracle: Oracle,
    now: Instant,
    callers: u64,
    /// Replies given so far, to be given again.
    given: Vec<(String, Reply)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            machine: Machine::new(Settings::builder(SELF, INCARNATION).build()),
            oracle: Oracle::default(),
            now: Instant::from_millis(1000),
            callers: 0,
            given: Vec::new(),
        };
        world.view(0b111_111, 0b0101_0101);
        world
    }

    fn give(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.now, event, &mut out);
        self.oracle.check(self.now, &self.machine, &out);
    }

    fn step(&mut self, [kind, a, b, c]: [u8; 4]) {
        match kind % 32 {
            0..=7 => self.call(a, b, c),
            8..=17 => self.reply(a, b, c),
            18..=19 => self.again(a),
            20..=23 => self.wake(a),
            24..=25 => self.sleep(a),
            26 => self.give(Event::Paused(Duration::from_millis(a.into()))),
            27 => self.give(Event::LinkDown(format!("e{}", 1 + a % 4).into())),
            28..=29 => self.view(a, b),
            30 => self.hang_up(a),
            _ if (a, b % 4) == (0, 0) => self.give(Event::Drain),
            _ => self.wake(a),
        }
    }

    fn call(&mut self, a: u8, b: u8, c: u8) {
        self.callers += 1;
        let caller = Caller(self.callers);
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
        self.oracle.called(self.now, caller, &request);
        self.give(Event::Call { caller, request });
    }

    fn hang_up(&mut self, a: u8) {
        let caller = Caller(self.callers.saturating_sub(u64::from(a % 4)));
        self.oracle.gone(caller);
        self.give(Event::Gone(caller));
    }

    /// A reply to one of the last sendings, in one of two cases with something wrong about it.
    fn reply(&mut self, a: u8, b: u8, c: u8) {
        let recent = self.oracle.sent.len().min(16);
        if recent == 0 {
            return;
        }
        let place = self.oracle.sent.len() - 1 - usize::from(a) % recent;
        let sent = self.oracle.sent[place].clone();
        let mut from = sent.to.clone();
        let mut reply = reply(&sent, b);
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
            // Not wrong: parts may come in any order.
            9 => reply.parts.reverse(),
            _ => {}
        }
        // What a reply says belongs to the query that it names.
        for part in &mut reply.parts {
            part.body = format!("{}@{}#{}", part.shard, reply.version, reply.query);
        }
        self.given.push((from.clone(), reply.clone()));
        self.replied(from, reply);
    }

    fn again(&mut self, a: u8) {
        if self.given.is_empty() {
            return;
        }
        let place = usize::from(a) % self.given.len();
        let (from, reply) = self.given[place].clone();
        self.replied(from, reply);
    }

    fn replied(&mut self, from: String, reply: Reply) {
        self.oracle.replied(&from, &reply);
        self.give(Event::Replies { from: from.into(), replies: vec![reply] });
    }

    /// Time passes and the machine is woken as it asks.
    fn wake(&mut self, a: u8) {
        let end = self.now + Duration::from_millis(a.into());
        while let Some(at) = self.machine.next_wake().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.give(Event::Tick);
            let next = self.machine.next_wake();
            assert!(next.is_none_or(|next| next > self.now), "it sleeps at last");
        }
        self.now = end;
    }

    /// Time passes unnoticed; whatever comes next comes late.
    fn sleep(&mut self, a: u8) {
        self.now = self.now + Duration::from_millis(u64::from(a) * 4);
    }

    /// Bits of `a` say which instances live, those of `b` which versions the services hold.
    fn view(&mut self, a: u8, b: u8) {
        let mut fleet = Fleet::default();
        fleet.versions.insert(0, (8, MAP.to_vec()));
        fleet.versions.insert(0, (9, MOVED.to_vec()));
        fleet.ready = a >> 6 != 0b11;
        for instance in ["e1", "e2", "e3"].iter().enumerate() {
            if a >> instance.0 & 1 == 0 {
                fleet = fleet.without(instance.1);
            }
        }
        for (site, held) in fleet.sites.iter_mut().zip([b, b >> 2, b >> 4]) {
            let held = [vec![7], vec![7, 8], vec![8, 9], vec![9]][usize::from(held & 3)].clone();
            site.held = vec![held; 2];
            site.leaving = vec![b >> 6 == 0b11 && site.name == "s2"; 2];
        }
        for (version, map) in &fleet.versions {
            let names = map.iter().map(|(shard, _)| (*shard).to_owned());
            self.oracle.maps.insert(*version, names.collect());
        }
        self.give(Event::View(fleet.view()));
    }
}

fn reply(sent: &Sent, b: u8) -> Reply {
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
fn promises_hold_in_any_order_of_events() {
    let steps = bolero::generator::produce::<Vec<[u8; 4]>>().with().len(0usize..160);
    ladder_property::check(1500).with_generator(steps).for_each(|steps: &Vec<[u8; 4]>| {
        let mut world = World::new();
        for &step in steps {
            world.step(step);
        }
        // Left alone, everything is answered.
        world.wake(255);
        world.wake(255);
        assert_eq!(world.machine.open(), 0);
    });
}
