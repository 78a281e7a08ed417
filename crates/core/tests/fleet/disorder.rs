//! A small fleet under any order of failures.

use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::schema::publication::{Kind, State};

use crate::concert::{all_ready, in_force, name, platform, zone};
use crate::harness::{Fleet, Node};
use crate::publish;

const INSTANCES: usize = 6;
const LIMIT: u32 = 25;
const SETTLED: Duration = Duration::from_secs(90);

struct Session {
    fleet: Fleet,
    revision: u64,
    /// Queue limit of the newest published change of the first entry.
    queue: u32,
    /// The last instance is withdrawn from the list.
    withdrawn: bool,
}

impl Session {
    fn new() -> Self {
        let mut fleet = platform(INSTANCES, 3);
        for at in 0..INSTANCES {
            fleet.start(&name(at), zone(at));
        }
        Self { fleet, revision: 1000, queue: 100, withdrawn: false }
    }

    fn step(&mut self, choice: u8, which: u8) {
        let which = usize::from(which);
        let own = name(which % INSTANCES);
        match choice % 9 {
            0 => self.fleet.island = (0..which % INSTANCES).map(name).collect(),
            1 => self.fleet.island.clear(),
            2 => self.fleet.silence_platform(),
            3 => self.fleet.wake_platform(u64::MAX),
            4 => self.change(which),
            5 => self.restart(&own, which),
            6 => self.kill(&own, which),
            7 => self.leave(which),
            _ => self.toggle(),
        }
        self.fleet.run(Duration::from_millis(200 * (which as u64 % 8)));
    }

    fn change(&mut self, which: usize) {
        self.revision += 1;
        self.queue = 1 + which as u32;
        self.fleet.put(self.revision, publish::entry("gate-0", self.queue));
    }

    /// Lists that differ by one instance hold the caps together however long they differ.
    fn toggle(&mut self) {
        let last = INSTANCES - 1;
        let body = if self.withdrawn {
            publish::instance(&name(last), zone(last), State::Live)
        } else {
            publish::tombstone(Kind::Instance, &name(last))
        };
        self.withdrawn = !self.withdrawn;
        self.revision += 1;
        self.fleet.put(self.revision, body);
    }

    fn restart(&mut self, own: &str, which: usize) {
        self.kill(own, which);
        self.fleet.incarnation += 1;
        self.fleet.seeds = (0..INSTANCES).map(|at| publish::address(&name(at))).collect();
        self.fleet.start(own, zone(which % INSTANCES));
    }

    fn kill(&mut self, own: &str, which: usize) {
        if self.fleet.nodes.contains_key(own) {
            self.fleet.kill(own, which.is_multiple_of(2));
        }
    }

    fn leave(&mut self, which: usize) {
        let seen =
            Event::ServerLeaving { server: format!("gate-{}-0", which % 3).into(), incarnation: 1 };
        if let Some(own) = self.fleet.nodes.keys().next().cloned() {
            self.fleet.give(&own, seen);
        }
    }

    /// All failures end; what was killed is started again.
    fn heal(&mut self) {
        self.fleet.island.clear();
        self.fleet.wake_platform(u64::MAX);
        for at in 0..INSTANCES {
            if !self.fleet.nodes.contains_key(&name(at)) {
                self.restart(&name(at), at);
            }
        }
    }
}

fn digests(fleet: &Fleet) -> Vec<Vec<(String, u64)>> {
    fleet.nodes.values().map(|node| publish::known(&node.machine)).collect()
}

fn has_converged(fleet: &Fleet, queue: u32) -> bool {
    let known = digests(fleet);
    let servers = |node: &Node| -> Vec<bool> {
        let view = node.machine.view();
        let mut servers: Vec<_> = view.services.values().flat_map(|s| s.servers.clone()).collect();
        servers.sort_by(|one, other| one.name.cmp(&other.name));
        servers.iter().map(|server| server.leaving).collect()
    };
    let mut leaving = fleet.nodes.values().map(servers);
    let first = leaving.next();
    all_ready(fleet)
        && known.iter().all(|other| *other == known[0])
        && in_force(fleet, "gate-0", queue)
        && leaving.all(|other| Some(other) == first)
}

/// Links are cut and healed, instances killed and restarted, the platform is silenced, catalogue
/// changes, leaving servers and a withdrawn instance come in between, in any order. The shares of a
/// server never exceed its limit, and when the failures end every instance soon holds the newest of
/// everything.
#[test]
fn any_failures_hold_caps_and_converge() {
    ladder_property::check_short(40, 60).with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut session = Session::new();
        for &(choice, which) in steps.iter().take(20) {
            session.step(choice, which);
        }
        session.heal();
        let queue = session.queue;
        let done = |fleet: &Fleet| has_converged(fleet, queue);
        session.fleet.until("converged", SETTLED, done);
        let most = session.fleet.most_shares.values().max();
        assert!(most.is_none_or(|&most| most <= LIMIT), "{most:?}");
    });
}

/// A racing withdrawal: the tombstone of an instance and its return are published while half of
/// the fleet is cut off. Whatever arrives first, the return is in force everywhere.
#[test]
fn withdrawal_and_return_race() {
    let mut session = Session::new();
    session.fleet.until("ready", SETTLED, all_ready);
    session.fleet.island = (0..3).map(name).collect();
    session.fleet.put(2000, publish::tombstone(Kind::Instance, &name(5)));
    session.fleet.silence_platform();
    session.fleet.run(Duration::from_secs(2));
    session.fleet.put(2001, publish::instance(&name(5), zone(5), State::Live));
    session.heal();
    session.fleet.until("returned", SETTLED, |fleet| {
        digests(fleet).iter().all(|known| known.contains(&("instance entry-5".to_owned(), 2001)))
    });
}
