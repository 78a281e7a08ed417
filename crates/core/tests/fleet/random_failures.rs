//! Random sequences of failures in a small fleet.

use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::schema::publication::{Kind, State};

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{all_ready, name, platform_with, queue_limit_in_force, zone};

const INSTANCE_COUNT: usize = 6;
const CONNECTION_LIMIT: u32 = 25;
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(90);

struct Simulation {
    fleet: Fleet,
    revision: u64,
    /// Queue limit in the newest published version of the first entry.
    queue_limit: u32,
    /// Whether the last instance is withdrawn from the published list.
    last_instance_withdrawn: bool,
}

impl Simulation {
    fn new() -> Self {
        let mut fleet = platform_with(INSTANCE_COUNT, 3);
        for at in 0..INSTANCE_COUNT {
            fleet.start(&name(at), zone(at));
        }
        Self { fleet, revision: 1000, queue_limit: 100, last_instance_withdrawn: false }
    }

    fn step(&mut self, action: u8, selector: u8) {
        let selector = usize::from(selector);
        let instance_name = name(selector % INSTANCE_COUNT);
        match action % 9 {
            0 => self.fleet.partition_side = (0..selector % INSTANCE_COUNT).map(name).collect(),
            1 => self.fleet.partition_side.clear(),
            2 => self.fleet.stop_platform(),
            3 => self.fleet.restore_platform(u64::MAX),
            4 => self.change_entry(selector),
            5 => self.restart(&instance_name, selector),
            6 => self.kill(&instance_name, selector),
            7 => self.report_leaving_server(selector),
            _ => self.toggle_last_instance(),
        }
        self.fleet.run(Duration::from_millis(200 * (selector as u64 % 8)));
    }

    fn change_entry(&mut self, selector: usize) {
        self.revision += 1;
        self.queue_limit = 1 + selector as u32;
        self.fleet.publish_body(self.revision, fixtures::entry("gate-0", self.queue_limit));
    }

    /// Withdraws the last instance from the published list, or publishes it again. Instances whose
    /// lists differ by one instance must together stay within the connection limits, however long
    /// the lists differ.
    fn toggle_last_instance(&mut self) {
        let last = INSTANCE_COUNT - 1;
        let body = if self.last_instance_withdrawn {
            fixtures::instance(&name(last), zone(last), State::Live)
        } else {
            fixtures::tombstone(Kind::Instance, &name(last))
        };
        self.last_instance_withdrawn = !self.last_instance_withdrawn;
        self.revision += 1;
        self.fleet.publish_body(self.revision, body);
    }

    fn restart(&mut self, instance_name: &str, selector: usize) {
        self.kill(instance_name, selector);
        self.fleet.incarnation += 1;
        self.fleet.seeds = (0..INSTANCE_COUNT).map(|at| fixtures::address(&name(at))).collect();
        self.fleet.start(instance_name, zone(selector % INSTANCE_COUNT));
    }

    fn kill(&mut self, instance_name: &str, selector: usize) {
        if self.fleet.nodes.contains_key(instance_name) {
            self.fleet.kill(instance_name, selector.is_multiple_of(2));
        }
    }

    fn report_leaving_server(&mut self, selector: usize) {
        let seen = Event::ServerLeaving {
            server: format!("gate-{}-0", selector % 3).into(),
            incarnation: 1,
        };
        if let Some(instance_name) = self.fleet.nodes.keys().next().cloned() {
            self.fleet.handle_event(&instance_name, seen);
        }
    }

    /// Ends all failures and restarts the instances that were killed.
    fn end_failures(&mut self) {
        self.fleet.partition_side.clear();
        self.fleet.restore_platform(u64::MAX);
        for at in 0..INSTANCE_COUNT {
            if !self.fleet.nodes.contains_key(&name(at)) {
                self.restart(&name(at), at);
            }
        }
    }
}

fn known_revisions(fleet: &Fleet) -> Vec<Vec<(String, u64)>> {
    fleet.nodes.values().map(|node| fixtures::known_revisions(&node.machine)).collect()
}

fn has_converged(fleet: &Fleet, queue_limit: u32) -> bool {
    let revisions = known_revisions(fleet);
    let leaving_flags_of = |node: &SimulatedInstance| -> Vec<bool> {
        let view = node.machine.view();
        let mut servers: Vec<_> = view.services.values().flat_map(|s| s.servers.clone()).collect();
        servers.sort_by(|one, other| one.name.cmp(&other.name));
        servers.iter().map(|server| server.leaving).collect()
    };
    let mut leaving_flags = fleet.nodes.values().map(leaving_flags_of);
    let first = leaving_flags.next();
    all_ready(fleet)
        && revisions.iter().all(|other| *other == revisions[0])
        && queue_limit_in_force(fleet, "gate-0", queue_limit)
        && leaving_flags.all(|other| Some(other) == first)
}

/// In random order, links are cut and restored, instances killed and restarted, the platform
/// stopped, entries changed, servers reported as leaving and an instance withdrawn. The shares of
/// a server must never exceed its connection limit, and soon after the failures end every instance
/// must have the newest records.
#[test]
fn random_failures_keep_connection_limits_and_converge() {
    ladder_property::check_short(40, 60).with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut simulation = Simulation::new();
        for &(choice, selector) in steps.iter().take(20) {
            simulation.step(choice, selector);
        }
        simulation.end_failures();
        let queue_limit = simulation.queue_limit;
        let converged = |fleet: &Fleet| has_converged(fleet, queue_limit);
        simulation.fleet.run_until("converged", CONVERGENCE_TIMEOUT, converged);
        let largest_total = simulation.fleet.max_total_shares.values().max();
        assert!(
            largest_total.is_none_or(|&largest_total| largest_total <= CONNECTION_LIMIT),
            "{largest_total:?}"
        );
    });
}

/// The tombstone of an instance and its return are published while half of the fleet is cut off.
/// Whichever arrives first, the return must be in force on all instances.
#[test]
fn instance_return_overrides_racing_withdrawal() {
    let mut simulation = Simulation::new();
    simulation.fleet.run_until("ready", CONVERGENCE_TIMEOUT, all_ready);
    simulation.fleet.partition_side = (0..3).map(name).collect();
    simulation.fleet.publish_body(2000, fixtures::tombstone(Kind::Instance, &name(5)));
    simulation.fleet.stop_platform();
    simulation.fleet.run(Duration::from_secs(2));
    simulation.fleet.publish_body(2001, fixtures::instance(&name(5), zone(5), State::Live));
    simulation.end_failures();
    simulation.fleet.run_until("returned", CONVERGENCE_TIMEOUT, |fleet| {
        known_revisions(fleet)
            .iter()
            .all(|known| known.contains(&("instance entry-5".to_owned(), 2001)))
    });
}
