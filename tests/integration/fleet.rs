//! A fleet of real processes for tests: platform, targets and instances.
//!
//! All processes listen on an IP address that only this run uses, and end when the [`Fleet`] is
//! dropped.

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

/// Longest wait for any condition.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of the next fleet of this test process; each number gives an IP address of its own.
static NEXT_RUN: AtomicU8 = AtomicU8::new(1);

/// A platform address on which no process listens.
const UNREACHABLE_PLATFORM: &str = "127.0.0.1:1";

/// Short intervals and timeouts, so that a failure is detected within a second.
pub(crate) const TIMING: Timing = Timing {
    probe_ms: 50,
    suspect_ms: 400,
    dead_ms: 400,
    digest_ms: 200,
    pause_ms: 500,
    drain_ms: 20_000,
    grace_s: 0.0,
    contact_ms: 2667,
};

/// A running fleet of real processes.
pub(crate) struct Fleet {
    /// Addresses and names of all processes.
    pub(crate) run: Run,
    /// Records that the platform published at the start.
    pub(crate) published: Vec<Record>,
    folder: PathBuf,
    platform: Child,
    targets: Vec<Child>,
    /// Invariant: has one element for each of `run.instances`; `None` for an instance that was
    /// killed or has ended.
    instances: Vec<Option<Child>>,
    _permit: FleetPermit,
}

/// Returns the layout that most tests start from: about a tenth of the services of the users'
/// current fleets.
pub(crate) fn layout(user: User, instances: u32) -> Layout {
    Layout::new(user).instances(instances).processes(2).scale(0.2).service_us(4000).timing(TIMING)
}

impl Fleet {
    /// Starts all processes of `layout` and waits until each instance is ready and all agree on
    /// members and owners.
    pub(crate) fn start(layout: Layout) -> Self {
        Self::start_edited(layout, &[], |_| {})
    }

    /// Like [`Fleet::start`], but the instances in `cut_off` never reach the platform, and each
    /// catalogue entry is changed by `edit` first.
    pub(crate) fn start_edited(layout: Layout, cut_off: &[usize], edit: fn(&mut Entry)) -> Self {
        let permit = FleetPermit::acquire();
        let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 1 + high % 250, low, number);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{number}", std::process::id()));
        let run = layout.address(IpAddr::V4(address)).write(&folder);
        let run = run.expect("the run can be laid out");
        for &at in cut_off {
            rewrite(&folder.join(&run.instances[at].file), |settings| {
                settings.platform_address = UNREACHABLE_PLATFORM.to_owned();
            });
        }
        let platform = folder.join(&run.platform_file);
        let published = publish(&platform, edit);
        let targets = run.targets.iter().map(|process| folder.join(&process.file));
        let instances = run.instances.iter().map(|member| folder.join(&member.file));
        let fleet = Self {
            platform: start("standin-platform", &platform),
            targets: targets.map(|settings| start("standin-target", &settings)).collect(),
            instances: instances.map(|settings| Some(start("ladder-entry", &settings))).collect(),
            published,
            run,
            folder,
            _permit: permit,
        };
        fleet.wait_until_settled();
        fleet
    }

    /// Waits until all running instances are ready, agree on owners and consider each other alive.
    pub(crate) fn wait_until_settled(&self) {
        let running = self.running();
        wait_until("all instances are ready and agree on members and owners", || {
            let seen: Vec<_> = running.iter().filter_map(|&at| self.status(at)).collect();
            seen.len() == running.len()
                && seen.iter().all(|status| status.ready && count_alive(status) >= running.len())
                && seen.iter().all(|status| owners(status) == owners(&seen[0]))
        });
    }

    /// Returns the numbers of the running instances.
    pub(crate) fn running(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances.filter_map(|(at, child)| child.as_ref().map(|_| at)).collect()
    }

    /// Returns the caller addresses of all running instances.
    pub(crate) fn caller_addresses(&self) -> Vec<String> {
        self.running().into_iter().map(|at| self.caller_address(at)).collect()
    }

    /// Returns the caller addresses of all running instances except `besides`.
    pub(crate) fn other_caller_addresses(&self, besides: usize) -> Vec<String> {
        let others = self.running().into_iter().filter(|&at| at != besides);
        others.map(|at| self.caller_address(at)).collect()
    }

    /// Returns the caller address of an instance.
    pub(crate) fn caller_address(&self, at: usize) -> String {
        self.run.instances[at].caller_address.clone()
    }

    /// Returns the name of an instance.
    pub(crate) fn name(&self, at: usize) -> &str {
        &self.run.instances[at].name
    }

    /// Sends a signal to a running instance.
    pub(crate) fn signal(&self, at: usize, signal: Signal) {
        let child = self.instances[at].as_ref();
        child.expect("the instance runs").signal(signal);
    }

    /// Whether the log of a running instance contains `text`.
    pub(crate) fn has_logged(&self, at: usize, text: &str) -> bool {
        self.instances[at].as_ref().is_some_and(|child| child.has_logged(text))
    }

    /// Waits until an instance that was asked to stop has ended; returns its exit code.
    pub(crate) fn wait_until_ended(&mut self, at: usize) -> Option<i32> {
        let mut child = self.instances[at].take().expect("the instance runs");
        let mut ended = None;
        wait_until("the instance ends", || {
            ended = child.ended();
            ended.is_some()
        });
        ended.and_then(|status| status.code())
    }

    /// Kills an instance.
    pub(crate) fn kill(&mut self, at: usize) {
        self.instances[at] = None;
    }

    /// Starts an instance again after it was killed or has ended.
    pub(crate) fn restart(&mut self, at: usize) {
        assert!(self.instances[at].is_none());
        let settings = self.folder.join(&self.run.instances[at].file);
        self.instances[at] = Some(start("ladder-entry", &settings));
    }

    /// Changes the settings file of an instance.
    pub(crate) fn edit_settings(&self, at: usize, edit: impl FnOnce(&mut Instance)) {
        rewrite(&self.folder.join(&self.run.instances[at].file), edit);
    }

    /// Returns the status of an instance; `None` if it does not answer.
    pub(crate) fn status(&self, at: usize) -> Option<status::Instance> {
        let response = http::get(&self.run.instances[at].admin_address, "/status").ok()?;
        (response.status == 200).then(|| response.json())
    }

    /// Returns the status of a running instance; panics if it does not answer.
    pub(crate) fn expect_status(&self, at: usize) -> status::Instance {
        self.status(at).expect("a running instance answers")
    }

    /// Whether an instance reports to the load balancer that it is ready.
    pub(crate) fn is_ready(&self, at: usize) -> bool {
        http::get(&self.caller_address(at), "/ready").is_ok_and(|response| response.status == 200)
    }

    /// Returns the number of the instance that owns a service, in the view of the first running
    /// instance.
    pub(crate) fn owner(&self, service: &str) -> usize {
        let status = self.expect_status(self.running()[0]);
        let found = status.services.iter().find(|found| found.name == service);
        let owner = &found.expect("the service is known").owner;
        let instances = self.run.instances.iter();
        let position = instances.map(|member| &member.name).position(|name| name == owner);
        position.unwrap_or_else(|| panic!("{service} has the unknown owner {owner:?}"))
    }

    /// Cuts the links between two groups of instances in both directions; empty groups restore all
    /// links.
    pub(crate) fn cut(&self, groups: [&[usize]; 2]) {
        for at in self.running() {
            let across = match groups.map(|group| group.contains(&at)) {
                [true, false] => groups[1],
                [false, true] => groups[0],
                _ => &[],
            };
            let addresses = across.iter().map(|&peer| &self.run.instances[peer].peer_address);
            let cut = status::Cut { addresses: addresses.cloned().collect() };
            self.post(&self.run.instances[at].admin_address, "/cut", &cut);
        }
    }

    /// Waits until no running instance considers `victim` the owner of a service.
    pub(crate) fn wait_until_replaced(&self, victim: usize) {
        let replaced = |service: &status::Service| {
            !service.owner.is_empty() && service.owner != self.name(victim)
        };
        wait_until("the services have other owners", || {
            self.running()
                .into_iter()
                .all(|at| self.expect_status(at).services.iter().all(replaced))
        });
    }

    /// Waits until the revision `revision` is in force on every running instance.
    pub(crate) fn wait_until_in_force(&self, revision: u64) {
        for at in self.running() {
            wait_until(&format!("revision {revision} is in force on {}", self.name(at)), || {
                self.status(at).is_some_and(|status| status.revision >= revision)
            });
        }
    }

    fn post<T: serde::Serialize>(&self, address: &str, path: &str, value: &T) -> http::Response {
        let response = http::post(address, path, value).expect("the process answers");
        assert_eq!(response.status, 200, "{path}");
        response
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            let instances = self.instances.iter().flatten();
            for child in instances.chain(&self.targets).chain([&self.platform]) {
                eprintln!("{}", child.tail());
            }
            return;
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Changes the catalogue entries that the platform publishes at its start; returns all of its
/// records.
fn publish(path: &Path, edit: fn(&mut Entry)) -> Vec<Record> {
    let mut platform: Platform = settings::load(path).expect("the platform's settings");
    for record in &mut platform.records {
        if let Some(Body::Entry(entry)) = &mut record.body {
            edit(entry);
        }
    }
    settings::save(path, &platform).expect("settings can be written");
    platform.records
}

/// Changes the settings file of an instance at `path`.
fn rewrite(path: &Path, edit: impl FnOnce(&mut Instance)) {
    let mut settings: Instance = settings::load(path).expect("settings of an instance");
    edit(&mut settings);
    settings::save(path, &settings).expect("settings can be written");
}

/// Returns the number of members that an instance considers alive, including itself.
pub(crate) fn count_alive(status: &status::Instance) -> usize {
    let others = status.members.iter().filter(|member| member.name != status.name);
    others.filter(|member| member.liveness() == Liveness::Alive).count() + 1
}

/// Returns the owner of each service in the view of one instance.
fn owners(status: &status::Instance) -> Vec<(&str, &str)> {
    let services = status.services.iter();
    services.map(|service| (service.name.as_str(), service.owner.as_str())).collect()
}

/// Waits until a condition holds; panics after [`TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a binary of the workspace from the folder that contains the daemon's binary.
fn start(binary: &str, settings: &Path) -> Child {
    let program = Path::new(env!("CARGO_BIN_EXE_ladder-entry")).with_file_name(binary);
    Child::start(&program, settings)
}
