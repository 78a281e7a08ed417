//! A whole run of real processes: platform, targets, instances.
//!
//! Everything listens on an IP number of the run's own and ends with the [`Fleet`].

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
use turn::Turn;

/// Longest wait for any condition.
const PATIENCE: Duration = Duration::from_secs(60);
/// Between looks at a condition.
const LOOK: Duration = Duration::from_millis(20);
/// Numbers of the runs of this process, for IP numbers of their own.
static RUNS: AtomicU8 = AtomicU8::new(1);

/// A platform address where nothing listens.
const NO_PLATFORM: &str = "127.0.0.1:1";

/// Short times, so that a failure is noticed within a second.
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

/// A run of real processes.
pub(crate) struct Fleet {
    /// Addresses and names.
    pub(crate) run: Run,
    /// What the platform published at the start.
    pub(crate) published: Vec<Record>,
    folder: PathBuf,
    platform: Child,
    targets: Vec<Child>,
    /// Invariant: as many as `run.instances`; none for an instance that was killed or has ended.
    instances: Vec<Option<Child>>,
    _turn: Turn,
}

/// The layout that most tests start from: a tenth or so of the services of today.
pub(crate) fn layout(user: User, instances: u32) -> Layout {
    Layout::new(user).instances(instances).processes(2).scale(0.2).service_us(4000).timing(TIMING)
}

impl Fleet {
    /// Starts all processes of `layout` and waits until each instance is ready and knows all.
    pub(crate) fn start(layout: Layout) -> Self {
        Self::start_edited(layout, &[], |_| {})
    }

    /// Like [`Fleet::start`], but the instances `cut_off` never reach the platform, and each
    /// catalogue entry is changed by `edit` first.
    pub(crate) fn start_edited(layout: Layout, cut_off: &[usize], edit: fn(&mut Entry)) -> Self {
        let turn = Turn::take();
        let number = RUNS.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 1 + high % 250, low, number);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{number}", std::process::id()));
        let run = layout.address(IpAddr::V4(address)).write(&folder);
        let run = run.expect("the run can be laid out");
        for &at in cut_off {
            rewrite(&folder.join(&run.instances[at].file), |settings| {
                settings.platform_address = NO_PLATFORM.to_owned();
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
            _turn: turn,
        };
        fleet.settle();
        fleet
    }

    /// Waits until all running instances are ready, agree on owners and see each other.
    pub(crate) fn settle(&self) {
        let running = self.running();
        until("all instances are ready and agree on members and owners", || {
            let seen: Vec<_> = running.iter().filter_map(|&at| self.status(at)).collect();
            seen.len() == running.len()
                && seen.iter().all(|status| status.ready && alive(status) >= running.len())
                && seen.iter().all(|status| owners(status) == owners(&seen[0]))
        });
    }

    /// Numbers of the instances that run.
    pub(crate) fn running(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances.filter_map(|(at, child)| child.as_ref().map(|_| at)).collect()
    }

    /// Callers' addresses of all running instances.
    pub(crate) fn doors(&self) -> Vec<String> {
        self.running().into_iter().map(|at| self.door(at)).collect()
    }

    /// Callers' addresses of all running instances but one.
    pub(crate) fn others(&self, besides: usize) -> Vec<String> {
        let others = self.running().into_iter().filter(|&at| at != besides);
        others.map(|at| self.door(at)).collect()
    }

    /// Callers' address of an instance.
    pub(crate) fn door(&self, at: usize) -> String {
        self.run.instances[at].caller_address.clone()
    }

    /// Name of an instance.
    pub(crate) fn name(&self, at: usize) -> &str {
        &self.run.instances[at].name
    }

    /// Sends a signal to a running instance.
    pub(crate) fn signal(&self, at: usize, signal: Signal) {
        let child = self.instances[at].as_ref();
        child.expect("the instance runs").signal(signal);
    }

    /// Whether a running instance wrote a line with this in it.
    pub(crate) fn logged(&self, at: usize, text: &str) -> bool {
        self.instances[at].as_ref().is_some_and(|child| child.logged(text))
    }

    /// Waits until an instance that was told to stop has ended; gives its exit code.
    pub(crate) fn until_ended(&mut self, at: usize) -> Option<i32> {
        let mut child = self.instances[at].take().expect("the instance runs");
        let mut ended = None;
        until("the instance ends", || {
            ended = child.ended();
            ended.is_some()
        });
        ended.and_then(|status| status.code())
    }

    /// Kills an instance.
    pub(crate) fn kill(&mut self, at: usize) {
        self.instances[at] = None;
    }

    /// Starts an instance anew.
    pub(crate) fn restart(&mut self, at: usize) {
        assert!(self.instances[at].is_none());
        let settings = self.folder.join(&self.run.instances[at].file);
        self.instances[at] = Some(start("ladder-entry", &settings));
    }

    /// Changes the settings with which an instance starts next.
    pub(crate) fn edit(&self, at: usize, edit: impl FnOnce(&mut Instance)) {
        rewrite(&self.folder.join(&self.run.instances[at].file), edit);
    }

    /// What an instance holds true; none when it does not answer.
    pub(crate) fn status(&self, at: usize) -> Option<status::Instance> {
        let response = http::get(&self.run.instances[at].admin_address, "/status").ok()?;
        (response.status == 200).then(|| response.json())
    }

    /// What a running instance holds true.
    pub(crate) fn view(&self, at: usize) -> status::Instance {
        self.status(at).expect("a running instance answers")
    }

    /// Whether an instance tells the balancer to send callers.
    pub(crate) fn is_ready(&self, at: usize) -> bool {
        http::get(&self.door(at), "/ready").is_ok_and(|response| response.status == 200)
    }

    /// The number of the instance that owns a service, by the view of a living one.
    pub(crate) fn owner(&self, service: &str) -> usize {
        let status = self.view(self.running()[0]);
        let found = status.services.iter().find(|found| found.name == service);
        let owner = &found.expect("the service is known").owner;
        let instances = self.run.instances.iter();
        let position = instances.map(|member| &member.name).position(|name| name == owner);
        position.unwrap_or_else(|| panic!("{service} has the unknown owner {owner:?}"))
    }

    /// Cuts the links between two groups of instances in both directions; none mends all.
    pub(crate) fn cut(&self, groups: [&[usize]; 2]) {
        for at in self.running() {
            let across = match groups.map(|group| group.contains(&at)) {
                [true, false] => groups[1],
                [false, true] => groups[0],
                _ => &[],
            };
            let addresses = across.iter().map(|&peer| &self.run.instances[peer].peer_address);
            let cut = status::Cut { addresses: addresses.cloned().collect() };
            self.posted(&self.run.instances[at].admin_address, "/cut", &cut);
        }
    }

    /// Waits until no running instance holds `victim` for an owner.
    pub(crate) fn until_replaced(&self, victim: usize) {
        let replaced = |service: &status::Service| {
            !service.owner.is_empty() && service.owner != self.name(victim)
        };
        until("the services have other owners", || {
            self.running().into_iter().all(|at| self.view(at).services.iter().all(replaced))
        });
    }

    /// Waits until every running instance has a revision in force.
    pub(crate) fn until_in_force(&self, revision: u64) {
        for at in self.running() {
            until(&format!("revision {revision} is in force on {}", self.name(at)), || {
                self.status(at).is_some_and(|status| status.revision >= revision)
            });
        }
    }

    fn posted<T: serde::Serialize>(&self, address: &str, path: &str, value: &T) -> http::Response {
        let response = http::post(address, path, value).expect("it answers");
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

/// Changes the entries that the platform publishes at its start; gives all records.
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

/// Changes a settings file of an instance.
fn rewrite(path: &Path, edit: impl FnOnce(&mut Instance)) {
    let mut settings: Instance = settings::load(path).expect("settings of an instance");
    edit(&mut settings);
    settings::save(path, &settings).expect("settings can be written");
}

/// Members that an instance holds alive, with itself.
pub(crate) fn alive(status: &status::Instance) -> usize {
    let others = status.members.iter().filter(|member| member.name != status.name);
    others.filter(|member| member.liveness() == Liveness::Alive).count() + 1
}

/// The owner of each service by one instance's view.
fn owners(status: &status::Instance) -> Vec<(&str, &str)> {
    let services = status.services.iter();
    services.map(|service| (service.name.as_str(), service.owner.as_str())).collect()
}

/// Waits until a condition holds.
pub(crate) fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(LOOK);
    }
}

/// Starts a binary of the workspace, from the folder of the daemon's.
fn start(binary: &str, settings: &Path) -> Child {
    let program = Path::new(env!("CARGO_BIN_EXE_ladder-entry")).with_file_name(binary);
    Child::start(&program, settings)
}
