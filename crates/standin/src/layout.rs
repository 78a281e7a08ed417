//! Layout of a whole run on one machine, at a user's sizes: settings of the platform, the targets
//! and the instances, and a list of their addresses.

mod files;
mod port;
mod records;
pub mod user;

use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

use ladder_schema::publication;
use ladder_schema::settings::{Format, Instance, Level, Log, Strategy, Timing};
use ladder_schema::standin::{Member, Platform, Process, Run, Target, Targets};

use crate::settings::{Error, within};
use port::Ports;
use user::{Group, Sizes, User};

/// Peers that an instance asks at its start.
const SEEDS: usize = 3;
/// Most instances of one run.
const INSTANCES: u32 = 500;
/// Most processes of targets in one run.
const PROCESSES: u32 = 64;
/// Requests that wait at a server for each of its slots.
const QUEUE_PER_SLOT: u32 = 8;
/// How many times slower a straggler is.
const STRAGGLER_FACTOR: u32 = 10;
/// Scale of today's sizes.
const FULL: f64 = 1.0;

/// Description of a run; the defaults are the user's sizes of today with three instances.
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

/// Settings of all processes of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Settings of the platform, with everything published at the start.
    pub platform: Platform,
    /// Settings of the processes of targets.
    pub targets: Vec<Targets>,
    /// Settings of the instances.
    pub instances: Vec<Instance>,
    /// Addresses and file names.
    pub run: Run,
}

impl Layout {
    /// The user's sizes of today, three instances, two processes of targets, a mean service time
    /// of 10 ms, 1% stragglers of ten times that.
    pub fn new(user: User) -> Self {
        Self {
            user,
            instances: 3,
            processes: 2,
            straggler_permille: 10,
            service_us: 10_000,
            cold_ms: 0,
            scale: FULL,
            seed: 1,
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            strategy: Strategy::default(),
            timing: Timing::default(),
            level: Level::Warning,
        }
    }

    /// Number of instances of the system, 1 to 500.
    #[must_use]
    pub fn instances(mut self, instances: u32) -> Self {
        self.instances = instances;
        self
    }

    /// Number of processes that the targets are spread over, 1 to 64.
    #[must_use]
    pub fn processes(mut self, processes: u32) -> Self {
        self.processes = processes;
        self
    }

    /// Share of requests that take ten times as long, in parts per thousand.
    #[must_use]
    pub fn straggler_permille(mut self, permille: u32) -> Self {
        self.straggler_permille = permille;
        self
    }

    /// Mean service time of all servers in microseconds.
    #[must_use]
    pub fn service_us(mut self, service_us: u32) -> Self {
        self.service_us = service_us;
        self
    }

    /// Milliseconds that servers are cold after a start.
    #[must_use]
    pub fn cold_ms(mut self, cold_ms: u32) -> Self {
        self.cold_ms = cold_ms;
        self
    }

    /// Scales the number of services of the groups that have several; 0.01 to 10.
    #[must_use]
    pub fn scale(mut self, scale: f64) -> Self {
        self.scale = scale;
        self
    }

    /// Seed of the service times.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// IP number that everything listens on. Runs with numbers of their own out of 127.0.0.0/8
    /// cannot take each other's ports.
    #[must_use]
    pub fn address(mut self, address: IpAddr) -> Self {
        self.address = address;
        self
    }

    /// Strategy of the instances.
    #[must_use]
    pub fn strategy(mut self, strategy: Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Timing of the instances.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Lowest level that the instances log.
    #[must_use]
    pub fn level(mut self, level: Level) -> Self {
        self.level = level;
        self
    }

    /// Finds free ports and gives the settings of all processes.
    ///
    /// The ports are held until all are found and free afterwards.
    ///
    /// # Errors
    ///
    /// [`Error::Field`] for a number out of bounds, [`Error::Port`] when no port is free.
    pub fn plan(&self) -> Result<Plan, Error> {
        self.check()?;
        let mut ports = Ports::new(self.address);
        let sizes = self.user.sizes(self.scale);
        let servers = servers(&sizes, &mut ports)?;
        let mut instances = self.members(&sizes, &mut ports)?;
        let targets = self.targets(&sizes, &servers, &mut ports)?;
        let platform = Platform {
            address: ports.next()?,
            records: records::all(&sizes, &servers, &instances),
        };
        for instance in &mut instances {
            instance.platform_address.clone_from(&platform.address);
        }
        let run = self.run(&platform, &targets, &instances);
        Ok(Plan { platform, targets, instances, run })
    }

    /// Writes the settings of [`Layout::plan`] into a folder, which is created when absent.
    ///
    /// # Errors
    ///
    /// Those of [`Layout::plan`], and [`Error::Write`] when a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<Run, Error> {
        let plan = self.plan()?;
        files::write(&plan, folder)?;
        Ok(plan.run)
    }

    fn check(&self) -> Result<(), Error> {
        within("instances", self.instances, 1, INSTANCES)?;
        within("target-processes", self.processes, 1, PROCESSES)?;
        within("straggler-permille", self.straggler_permille, 0, 1000)?;
        if (0.01..=10.0).contains(&self.scale) {
            return Ok(());
        }
        let problem = format!("{} is not within 0.01 to 10", self.scale);
        Err(Error::field("scale", problem))
    }

    /// Settings of the instances, round robin over the zones.
    fn members(&self, sizes: &Sizes, ports: &mut Ports) -> Result<Vec<Instance>, Error> {
        let mut instances = Vec::new();
        for (number, zone) in (1..=self.instances).zip(sizes.zones.iter().cycle()) {
            instances.push(Instance {
                fleet: self.user.name().to_owned(),
                name: format!("{}-{number}", self.user.name()),
                zone: (*zone).to_owned(),
                caller_address: ports.next()?,
                peer_address: ports.next()?,
                admin_address: ports.next()?,
                log: Some(self.log()),
                strategy: Some(self.strategy),
                timing: Some(self.timing),
                fault_injection: true,
                ..Instance::default()
            });
        }
        seed(&mut instances);
        Ok(instances)
    }

    fn log(&self) -> Log {
        Log { format: Format::Json.into(), level: self.level.into() }
    }

    /// Spreads the servers over the processes, round robin.
    fn targets(
        &self,
        sizes: &Sizes,
        servers: &[publication::Server],
        ports: &mut Ports,
    ) -> Result<Vec<Targets>, Error> {
        let mut processes = Vec::new();
        for number in 0..u64::from(self.processes) {
            processes.push(Targets {
                seed: self.seed.wrapping_mul(PROCESSES.into()).wrapping_add(number),
                admin_address: ports.next()?,
                ..Targets::default()
            });
        }
        let connect_ms = sizes.connect_ms();
        for (position, server) in servers.iter().enumerate() {
            let target = self.target(server, connect_ms[server.service.as_str()]);
            processes[position % self.processes as usize].targets.push(target);
        }
        Ok(processes)
    }

    fn target(&self, server: &publication::Server, connect_ms: u32) -> Target {
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

    fn run(&self, platform: &Platform, targets: &[Targets], instances: &[Instance]) -> Run {
        Run {
            user: self.user.name().to_owned(),
            platform_address: platform.address.clone(),
            platform_file: files::PLATFORM.to_owned(),
            targets: targets.iter().enumerate().map(process).collect(),
            instances: instances.iter().enumerate().map(member).collect(),
        }
    }
}

/// The servers of all services; the replicas of one stand in different zones.
fn servers(sizes: &Sizes, ports: &mut Ports) -> Result<Vec<publication::Server>, Error> {
    let mut servers = Vec::new();
    for group in &sizes.groups {
        for (number, service) in group.service_names().into_iter().enumerate() {
            for replica in 0..group.servers as usize {
                let zone = sizes.zones[(number + replica) % sizes.zones.len()];
                let mut server = server(group, &service, replica + 1);
                zone.clone_into(&mut server.zone);
                server.address = ports.next()?;
                servers.push(server);
            }
        }
    }
    Ok(servers)
}

fn server(group: &Group, service: &str, replica: usize) -> publication::Server {
    publication::Server {
        name: format!("{service}-{replica}"),
        service: service.to_owned(),
        incarnation: 1,
        state: publication::State::Live.into(),
        slots: group.slots,
        connections: group.connections,
        holdings: vec![publication::Holding {
            index: group.name.to_owned(),
            version: records::VERSION,
        }],
        ..publication::Server::default()
    }
}

/// Gives each instance the first peers other than itself as seeds.
fn seed(instances: &mut [Instance]) {
    let peers: Vec<String> =
        instances.iter().map(|instance| instance.peer_address.clone()).collect();
    for instance in instances {
        let others = peers.iter().filter(|peer| **peer != instance.peer_address);
        instance.seeds = others.take(SEEDS).cloned().collect();
    }
}

fn process((number, targets): (usize, &Targets)) -> Process {
    let servers = targets.targets.iter().flat_map(|target| &target.server);
    Process {
        file: files::targets(number),
        admin_address: targets.admin_address.clone(),
        servers: servers.map(|server| server.name.clone()).collect(),
    }
}

fn member((number, instance): (usize, &Instance)) -> Member {
    Member {
        name: instance.name.clone(),
        zone: instance.zone.clone(),
        file: files::instance(number),
        caller_address: instance.caller_address.clone(),
        admin_address: instance.admin_address.clone(),
        peer_address: instance.peer_address.clone(),
    }
}
