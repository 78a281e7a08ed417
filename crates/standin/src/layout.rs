//! Generates the settings of a whole test run on one machine at a user's sizes: settings of the
//! platform, the targets and the instances, and a list of their addresses.

mod files;
mod port;
mod records;
pub mod user;

use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

use ladder_schema::publication;
use ladder_schema::settings::{Format, Instance, Level, Log, Strategy, Timing};
use ladder_schema::standin::{Member, Platform, Process, Run, Target, Targets};

use crate::settings::{Error, check_range};
use port::Ports;
use user::{ServiceGroup, Sizes, User};

/// Maximum number of seeds (peers that an instance contacts at its start).
const MAX_SEEDS: usize = 3;
/// Maximum number of instances in one run.
const MAX_INSTANCES: u32 = 500;
/// Maximum number of target processes in one run.
const MAX_PROCESSES: u32 = 64;
/// Length of a server's queue per slot, in requests.
const QUEUE_PER_SLOT: u32 = 8;
/// Factor by which the service time of a straggler is multiplied.
const STRAGGLER_FACTOR: u32 = 10;
/// Scale at which a run has the user's current sizes.
const CURRENT_SIZES_SCALE: f64 = 1.0;

/// Description of a test run, built with defaults: the user's current sizes and three instances.
#[derive(Clone, Debug)]
pub struct Layout {
    user: User,
    instances: u32,
    processes: u32,
    straggler_permille: u32,
    service_us: u32,
    cold_ms: u32,
    scale: f64,
    seed: u64,
    address: IpAddr,
    strategy: Strategy,
    timing: Timing,
    level: Level,
}

/// Settings of all processes of a test run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Settings of the platform, with the records that are published at the start.
    pub platform: Platform,
    /// Settings of the target processes.
    pub targets: Vec<Targets>,
    /// Settings of the instances.
    pub instances: Vec<Instance>,
    /// Addresses and names of the settings files of all processes.
    pub run: Run,
}

impl Layout {
    /// Creates a layout with the user's current sizes, three instances, two target processes, a
    /// mean service time of 10 ms and 1% stragglers with a service time ten times as long.
    pub fn new(user: User) -> Self {
        Self {
            user,
            instances: 3,
            processes: 2,
            straggler_permille: 10,
            service_us: 10_000,
            cold_ms: 0,
            scale: CURRENT_SIZES_SCALE,
            seed: 1,
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            strategy: Strategy::default(),
            timing: Timing::default(),
            level: Level::Warning,
        }
    }

    /// Sets the number of instances, 1 to 500.
    #[must_use]
    pub fn instances(mut self, instances: u32) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the number of processes over which the targets are distributed, 1 to 64.
    #[must_use]
    pub fn processes(mut self, processes: u32) -> Self {
        self.processes = processes;
        self
    }

    /// Sets the share of stragglers (requests that take ten times as long), in parts per thousand.
    #[must_use]
    pub fn straggler_permille(mut self, permille: u32) -> Self {
        self.straggler_permille = permille;
        self
    }

    /// Sets the mean service time of all servers, in microseconds.
    #[must_use]
    pub fn service_us(mut self, service_us: u32) -> Self {
        self.service_us = service_us;
        self
    }

    /// Sets how long servers are cold (slower) after a start, in milliseconds.
    #[must_use]
    pub fn cold_ms(mut self, cold_ms: u32) -> Self {
        self.cold_ms = cold_ms;
        self
    }

    /// Sets the factor by which the number of services of each numbered group is multiplied, 0.01
    /// to 10.
    #[must_use]
    pub fn scale(mut self, scale: f64) -> Self {
        self.scale = scale;
        self
    }

    /// Sets the seed of the random service times.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the IP address that all processes listen on. Concurrent runs with different addresses
    /// from 127.0.0.0/8 cannot take each other's ports.
    #[must_use]
    pub fn address(mut self, address: IpAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the strategy of the instances, such as the selection of servers and hedging.
    #[must_use]
    pub fn strategy(mut self, strategy: Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Sets the timing of the instances.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the lowest level that the instances log.
    #[must_use]
    pub fn level(mut self, level: Level) -> Self {
        self.level = level;
        self
    }

    /// Finds free ports and returns the settings of all processes.
    ///
    /// Each port is reserved until all are found, and free when this function returns.
    ///
    /// # Errors
    ///
    /// [`Error::Field`] for a number out of range, [`Error::Port`] when no port is free.
    pub fn plan(&self) -> Result<Plan, Error> {
        self.check_settings()?;
        let mut ports = Ports::new(self.address);
        let sizes = self.user.sizes(self.scale);
        let servers = create_servers(&sizes, &mut ports)?;
        let mut instances = self.instance_settings(&sizes, &mut ports)?;
        let targets = self.target_processes(&sizes, &servers, &mut ports)?;
        let platform = Platform {
            address: ports.reserve()?,
            records: records::initial_records(&sizes, &servers, &instances),
        };
        for instance in &mut instances {
            instance.platform_address.clone_from(&platform.address);
        }
        let run = self.run_description(&platform, &targets, &instances);
        Ok(Plan { platform, targets, instances, run })
    }

    /// Writes the settings of [`Layout::plan`] into a folder, which is created if it does not
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Layout::plan`], and [`Error::Write`] when a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<Run, Error> {
        let plan = self.plan()?;
        files::write_plan(&plan, folder)?;
        Ok(plan.run)
    }

    fn check_settings(&self) -> Result<(), Error> {
        check_range("instances", self.instances, 1, MAX_INSTANCES)?;
        check_range("target-processes", self.processes, 1, MAX_PROCESSES)?;
        check_range("straggler-permille", self.straggler_permille, 0, 1000)?;
        if (0.01..=10.0).contains(&self.scale) {
            return Ok(());
        }
        let problem = format!("{} is not within 0.01 to 10", self.scale);
        Err(Error::field("scale", problem))
    }

    /// Creates the settings of the instances, assigned to zones round robin.
    fn instance_settings(&self, sizes: &Sizes, ports: &mut Ports) -> Result<Vec<Instance>, Error> {
        let mut instances = Vec::new();
        for (number, zone) in (1..=self.instances).zip(sizes.zones.iter().cycle()) {
            instances.push(Instance {
                fleet: self.user.name().to_owned(),
                name: format!("{}-{number}", self.user.name()),
                zone: (*zone).to_owned(),
                caller_address: ports.reserve()?,
                peer_address: ports.reserve()?,
                admin_address: ports.reserve()?,
                log: Some(self.log_settings()),
                strategy: Some(self.strategy),
                timing: Some(self.timing),
                fault_injection: true,
                ..Instance::default()
            });
        }
        set_seeds(&mut instances);
        Ok(instances)
    }

    fn log_settings(&self) -> Log {
        Log { format: Format::Json.into(), level: self.level.into() }
    }

    /// Creates the settings of the target processes, with the servers distributed round robin.
    fn target_processes(
        &self,
        sizes: &Sizes,
        servers: &[publication::Server],
        ports: &mut Ports,
    ) -> Result<Vec<Targets>, Error> {
        let mut processes = Vec::new();
        for number in 0..u64::from(self.processes) {
            processes.push(Targets {
                seed: self.seed.wrapping_mul(MAX_PROCESSES.into()).wrapping_add(number),
                admin_address: ports.reserve()?,
                ..Targets::default()
            });
        }
        let connect_ms = sizes.connect_ms();
        for (position, server) in servers.iter().enumerate() {
            let target = self.target_settings(server, connect_ms[server.service.as_str()]);
            processes[position % self.processes as usize].targets.push(target);
        }
        Ok(processes)
    }

    fn target_settings(&self, server: &publication::Server, connect_ms: u32) -> Target {
        Target {
            server: Some(server.clone()),
            connect_ms,
            service_us: self.service_us,
            straggler_permille: self.straggler_permille,
            straggler_factor: STRAGGLER_FACTOR,
            queue: server.slots * QUEUE_PER_SLOT,
            cold_ms: self.cold_ms,
        }
    }

    fn run_description(
        &self,
        platform: &Platform,
        targets: &[Targets],
        instances: &[Instance],
    ) -> Run {
        Run {
            user: self.user.name().to_owned(),
            platform_address: platform.address.clone(),
            platform_file: files::PLATFORM_FILE.to_owned(),
            targets: targets.iter().enumerate().map(process_entry).collect(),
            instances: instances.iter().enumerate().map(instance_entry).collect(),
        }
    }
}

/// Creates the servers of all services. The replicas of a service are in different zones as far as
/// there are enough zones.
fn create_servers(sizes: &Sizes, ports: &mut Ports) -> Result<Vec<publication::Server>, Error> {
    let mut servers = Vec::new();
    for group in &sizes.groups {
        for (number, service) in group.service_names().into_iter().enumerate() {
            for replica in 0..group.replicas as usize {
                let zone = sizes.zones[(number + replica) % sizes.zones.len()];
                let mut server = create_server(group, &service, replica + 1);
                zone.clone_into(&mut server.zone);
                server.address = ports.reserve()?;
                servers.push(server);
            }
        }
    }
    Ok(servers)
}

fn create_server(group: &ServiceGroup, service: &str, replica: usize) -> publication::Server {
    publication::Server {
        name: format!("{service}-{replica}"),
        service: service.to_owned(),
        incarnation: 1,
        state: publication::State::Live.into(),
        slots: group.slots,
        connections: group.connections,
        holdings: vec![publication::Holding {
            index: group.name.to_owned(),
            version: records::INITIAL_INDEX_VERSION,
        }],
        ..publication::Server::default()
    }
}

/// Sets the seeds of each instance: the first [`MAX_SEEDS`] instances other than itself.
fn set_seeds(instances: &mut [Instance]) {
    let peers: Vec<String> =
        instances.iter().map(|instance| instance.peer_address.clone()).collect();
    for instance in instances {
        let others = peers.iter().filter(|peer| **peer != instance.peer_address);
        instance.seeds = others.take(MAX_SEEDS).cloned().collect();
    }
}

fn process_entry((number, targets): (usize, &Targets)) -> Process {
    let servers = targets.targets.iter().flat_map(|target| &target.server);
    Process {
        file: files::targets_file(number),
        admin_address: targets.admin_address.clone(),
        servers: servers.map(|server| server.name.clone()).collect(),
    }
}

fn instance_entry((number, instance): (usize, &Instance)) -> Member {
    Member {
        name: instance.name.clone(),
        zone: instance.zone.clone(),
        file: files::instance_file(number),
        caller_address: instance.caller_address.clone(),
        admin_address: instance.admin_address.clone(),
        peer_address: instance.peer_address.clone(),
    }
}
