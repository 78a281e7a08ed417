//! Starts and controls a fleet of real processes: the platform, the targets and the instances.
//!
//! All processes listen on an IP address reserved for this fleet and are killed when the [`Fleet`]
//! is dropped.

pub(crate) mod call;
pub(crate) mod child;
pub(crate) mod http;
pub(crate) mod ledger;
pub(crate) mod load;
mod outside;
pub(crate) mod turn;
pub(crate) mod watch;

use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ladder_schema::catalogue::Entry;
use ladder_schema::publication::Record;
use ladder_schema::publication::record::Body;
use ladder_schema::settings::{Instance, Timing};
use ladder_schema::standin::{Platform, Run};
use ladder_schema::status;
use ladder_schema::wire::Liveness;
use ladder_standin::layout::Layout;
use ladder_standin::layout::user::User;
use ladder_standin::settings;

use child::Child;
use rustix::process::Signal;
use turn::FleetPermit;

/// Longest time that a test waits for a condition before it fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of the next fleet of this test process; gives each fleet its own IP address and folder.
static NEXT_FLEET_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Number of the next fleet, and a loopback address that nothing else of this machine uses.
pub(crate) fn next_address() -> (u8, Ipv4Addr) {
    let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (number, Ipv4Addr::new(127, 1 + high % 250, low, number))
}

/// Platform address on which nothing listens, for instances that must not reach the platform.
const UNREACHABLE_PLATFORM: &str = "127.0.0.1:1";

/// Timing settings that are short enough for instances to detect a failure within a second.
pub(crate) const SHORT_TIMING: Timing = Timing {
    probe_ms: 50,
    suspect_ms: 400,
    dead_ms: 400,
    digest_ms: 200,
    pause_ms: 500,
    drain_ms: 20_000,
    grace_s: 0.0,
    contact_ms: 2667.0,
};

/// A running fleet of real processes.
pub(crate) struct Fleet {
    /// Addresses and names of all processes of the fleet.
    pub(crate) run: Run,
    /// Records that the platform published at the start.
    pub(crate) published: Vec<Record>,
    folder: PathBuf,
    platform: Child,
    targets: Vec<Child>,
    /// Processes of the instances, in the order of `run.instances`. Invariant: has the same length
    /// as `run.instances`; `None` for an instance that was killed or has exited.
    instances: Vec<Option<Child>>,
    _permit: FleetPermit,
}

/// Layout that most tests start from: two target processes, and about a tenth of the services that
/// the organization `user` runs today.
pub(crate) fn small_layout(user: User, instances: u32) -> Layout {
    Layout::new(user)
        .instances(instances)
        .processes(2)
        .scale(0.2)
        .service_us(4000)
        .timing(SHORT_TIMING)
}

impl Fleet {
    /// Starts all processes of `layout` and waits until every instance is ready and knows all
    /// others.
    pub(crate) fn start(layout: Layout) -> Self {
        Self::start_with(layout, &[], |_| {})
    }

    /// Like [`Fleet::start`], but the instances `without_platform` can never reach the platform,
    /// and `edit_entry` changes each catalogue entry before the start.
    pub(crate) fn start_with(
        layout: Layout,
        without_platform: &[usize],
        edit_entry: fn(&mut Entry),
    ) -> Self {
        let permit = FleetPermit::acquire();
        let (number, address) = next_address();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{number}", std::process::id()));
        let run = layout.address(IpAddr::V4(address)).write(&folder);
        let run = run.expect("the settings files of the run can be written");
        for &instance in without_platform {
            rewrite_settings(&folder.join(&run.instances[instance].file), |settings| {
                settings.platform_address = UNREACHABLE_PLATFORM.to_owned();
            });
        }
        let platform = folder.join(&run.platform_file);
        let published = edit_published_entries(&platform, edit_entry);
        let targets = run.targets.iter().map(|process| folder.join(&process.file));
        let instances = run.instances.iter().map(|member| folder.join(&member.file));
        let fleet = Self {
            platform: start_binary("standin-platform", &platform),
            targets: targets.map(|settings| start_binary("standin-target", &settings)).collect(),
            instances: instances
                .map(|settings| Some(start_binary("ladder-entry", &settings)))
                .collect(),
            published,
            run,
            folder,
            _permit: permit,
        };
        fleet.wait_until_settled();
        fleet
    }

    /// Waits until all running instances are ready, agree on the owners of services and consider
    /// each other alive.
    pub(crate) fn wait_until_settled(&self) {
        let running_instances = self.running_instances();
        wait_until("all instances are ready and agree on members and owners", || {
            let statuses: Vec<_> =
                running_instances.iter().filter_map(|&instance| self.status(instance)).collect();
            statuses.len() == running_instances.len()
                && statuses
                    .iter()
                    .all(|status| status.ready && alive_count(status) >= running_instances.len())
                && statuses
                    .iter()
                    .all(|status| owners_by_service(status) == owners_by_service(&statuses[0]))
        });
    }

    /// Numbers of the running instances.
    pub(crate) fn running_instances(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances.filter_map(|(instance, child)| child.as_ref().map(|_| instance)).collect()
    }

    /// Addresses for callers of all running instances.
    pub(crate) fn caller_addresses(&self) -> Vec<String> {
        self.running_instances().into_iter().map(|instance| self.caller_address(instance)).collect()
    }

    /// Addresses for callers of all running instances except `besides`.
    pub(crate) fn other_caller_addresses(&self, besides: usize) -> Vec<String> {
        let other_instances =
            self.running_instances().into_iter().filter(|&instance| instance != besides);
        other_instances.map(|instance| self.caller_address(instance)).collect()
    }

    /// Address of an instance for callers.
    pub(crate) fn caller_address(&self, instance: usize) -> String {
        self.run.instances[instance].caller_address.clone()
    }

    /// Name of the instance with a given number.
    pub(crate) fn instance_name(&self, instance: usize) -> &str {
        &self.run.instances[instance].name
    }

    /// Sends a signal to a running instance.
    pub(crate) fn signal(&self, instance: usize, signal: Signal) {
        let child = self.instances[instance].as_ref();
        child.expect("the instance is running").signal(signal);
    }

    /// Returns whether the log of a running instance contains `text`.
    pub(crate) fn log_contains(&self, instance: usize, text: &str) -> bool {
        self.instances[instance].as_ref().is_some_and(|child| child.log_contains(text))
    }

    /// Waits until the process of a stopping instance exits and returns its exit code.
    pub(crate) fn wait_for_exit(&mut self, instance: usize) -> Option<i32> {
        let mut child = self.instances[instance].take().expect("the instance is running");
        let mut exit_status = None;
        wait_until("the process of the instance exits", || {
            exit_status = child.exit_status();
            exit_status.is_some()
        });
        exit_status.and_then(|status| status.code())
    }

    /// Kills the process of an instance without a graceful stop.
    pub(crate) fn kill(&mut self, instance: usize) {
        self.instances[instance] = None;
    }

    /// Starts an instance again that was killed or has exited.
    pub(crate) fn restart(&mut self, instance: usize) {
        assert!(self.instances[instance].is_none());
        let settings = self.folder.join(&self.run.instances[instance].file);
        self.instances[instance] = Some(start_binary("ladder-entry", &settings));
    }

    /// Changes the settings file of an instance. The instance reads the file at its next start, and
    /// while it runs on SIGHUP or when the file has changed.
    pub(crate) fn edit_settings(&self, instance: usize, edit: impl FnOnce(&mut Instance)) {
        rewrite_settings(&self.folder.join(&self.run.instances[instance].file), edit);
    }

    /// Status that an instance reports; `None` if the instance does not reply.
    pub(crate) fn status(&self, instance: usize) -> Option<status::Instance> {
        let response = http::get(&self.run.instances[instance].admin_address, "/status").ok()?;
        (response.status == 200).then(|| response.json())
    }

    /// Status that a running instance reports; an instance that does not reply fails the test.
    pub(crate) fn expect_status(&self, instance: usize) -> status::Instance {
        self.status(instance).expect("a running instance replies to a status request")
    }

    /// Returns whether the readiness endpoint of an instance tells the load balancer to send it
    /// callers.
    pub(crate) fn is_ready(&self, instance: usize) -> bool {
        http::get(&self.caller_address(instance), "/ready")
            .is_ok_and(|response| response.status == 200)
    }

    /// Number of the instance that owns a service, as the first running instance reports.
    pub(crate) fn owner(&self, service: &str) -> usize {
        let status = self.expect_status(self.running_instances()[0]);
        let found = status.services.iter().find(|found| found.name == service);
        let owner = &found.expect("the instance lists the service in its status").owner;
        let instances = self.run.instances.iter();
        let position = instances.map(|member| &member.name).position(|name| name == owner);
        position.unwrap_or_else(|| {
            panic!("{service} has an owner that is no instance of the fleet: {owner:?}")
        })
    }

    /// Cuts the links between two groups of instances in both directions; empty groups restore all
    /// links.
    pub(crate) fn cut_links(&self, groups: [&[usize]; 2]) {
        for instance in self.running_instances() {
            let separated_peers = match groups.map(|group| group.contains(&instance)) {
                [true, false] => groups[1],
                [false, true] => groups[0],
                _ => &[],
            };
            let addresses =
                separated_peers.iter().map(|&peer| &self.run.instances[peer].peer_address);
            let cut = status::Cut { addresses: addresses.cloned().collect() };
            self.post_json(&self.run.instances[instance].admin_address, "/cut", &cut);
        }
    }

    /// Waits until every running instance reports an owner other than `lost_instance` for each
    /// service.
    pub(crate) fn wait_until_services_reassigned(&self, lost_instance: usize) {
        let replaced = |service: &status::Service| {
            !service.owner.is_empty() && service.owner != self.instance_name(lost_instance)
        };
        wait_until("every service has another owner", || {
            self.running_instances()
                .into_iter()
                .all(|instance| self.expect_status(instance).services.iter().all(replaced))
        });
    }

    /// Waits until every running instance applies catalogue revision `revision` or a later one.
    pub(crate) fn wait_for_revision(&self, revision: u64) {
        for instance in self.running_instances() {
            wait_until(
                &format!("revision {revision} is in force on {}", self.instance_name(instance)),
                || self.status(instance).is_some_and(|status| status.revision >= revision),
            );
        }
    }

    fn post_json<T: serde::Serialize>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> http::Response {
        let response =
            http::post(address, path, value).expect("the process replies to a POST request");
        assert_eq!(response.status, 200, "{path}");
        response
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            let instances = self.instances.iter().flatten();
            for child in instances.chain(&self.targets).chain([&self.platform]) {
                eprintln!("{}", child.log_tail());
            }
            return;
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Changes the catalogue entries that the platform publishes at its start and returns all its
/// records.
fn edit_published_entries(path: &Path, edit_entry: fn(&mut Entry)) -> Vec<Record> {
    let mut platform: Platform =
        settings::load(path).expect("the settings file of the platform can be loaded");
    for record in &mut platform.records {
        if let Some(Body::Entry(entry)) = &mut record.body {
            edit_entry(entry);
        }
    }
    settings::save(path, &platform).expect("the settings file can be written");
    platform.records
}

/// Changes a settings file of an instance.
fn rewrite_settings(path: &Path, edit: impl FnOnce(&mut Instance)) {
    let mut settings: Instance =
        settings::load(path).expect("the settings file of the instance can be loaded");
    edit(&mut settings);
    settings::save(path, &settings).expect("the settings file can be written");
}

/// Number of fleet members that an instance considers alive, itself included.
pub(crate) fn alive_count(status: &status::Instance) -> usize {
    let other_members = status.members.iter().filter(|member| member.name != status.name);
    other_members.filter(|member| member.liveness() == Liveness::Alive).count() + 1
}

/// Name and owner of each service, as one instance reports.
fn owners_by_service(status: &status::Instance) -> Vec<(&str, &str)> {
    let services = status.services.iter();
    services.map(|service| (service.name.as_str(), service.owner.as_str())).collect()
}

/// Waits until a condition holds; fails the test after [`CONDITION_TIMEOUT`].
pub(crate) fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "condition not met within {CONDITION_TIMEOUT:?}: {description}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a binary of the workspace from the folder that holds `ladder-entry`.
fn start_binary(binary: &str, settings: &Path) -> Child {
    let program = Path::new(env!("CARGO_BIN_EXE_ladder-entry")).with_file_name(binary);
    Child::start(&program, settings)
}
