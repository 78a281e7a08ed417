//! The daemon of one instance: three machines of the core, each on a thread of its own, joined by
//! the link to the other instances.
//!
//! - `control` thread: the control machine, the watch of the platform, operators' HTTP;
//! - `gather` thread: the gathering machine, callers' HTTP;
//! - `leaf` thread: the leaf machine, connections to servers; on one core both share a thread;
//! - `peer` thread: decodes frames of peers and hands their parts to the three.

pub mod admin;
pub mod control;
pub mod dialect;
pub mod door;
pub mod gather;
pub mod leaf;
pub mod native;
pub mod peer;
mod reload;
pub mod status;
pub mod stop;

use std::hash::BuildHasher;
use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use ladder_core::collections::Hasher;
use ladder_core::control::Event;
use ladder_core::view::Peer;
use ladder_schema::publication::Bounds;
use slog::{Logger, info};

use futures_util::future;

use dialect::{Dialect, Listeners};

use crate::clock::{self, Clock};
use crate::driver::{self, Handle, Inbox};
use crate::link::{Cut, Identity, Inbound, Outbound};
use crate::log::{self, Lines};
use crate::metrics::Metrics;
use crate::options::{Options, arguments};

/// Why the daemon could not start or go on.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// cannot listen on {address}: {error}
    Listen {
        /// The address of the settings.
        address: String,
        /// What the system says.
        error: io::Error,
    },
    /// cannot listen for peers on {address}: {error}
    Peer {
        /// The address of the settings.
        address: String,
        /// What the library says.
        error: nng::Error,
    },
    /// metrics cannot be set up: {0}
    Metrics(String),
    /// a thread cannot be started: {0}
    Thread(io::Error),
    /// the signal handler cannot be installed: {0}
    Signal(io::Error),
}

impl std::error::Error for Error {}

/// What the threads share.
#[derive(Clone)]
pub struct Shared {
    /// What the daemon runs with.
    pub options: Arc<Options>,
    /// This instance as a peer.
    pub me: Peer,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// The process's clock.
    pub clock: Clock,
    /// Log of this instance.
    pub log: Logger,
    /// Lines about requests, within a budget.
    pub lines: Lines,
    /// Instruments of this instance.
    pub metrics: Metrics,
    /// The sending half of the link.
    pub outbound: Outbound,
    /// Peers cut off by a test.
    pub cut: Cut,
    /// Whether the balancer should send callers here.
    pub ready: Ready,
    /// What is spoken with callers, servers and the platform.
    pub dialect: Arc<dyn Dialect>,
    /// What a caller may send.
    pub bounds: Limits,
    /// To the control machine.
    pub control: Handle<ladder_core::control::Machine>,
    /// To the gathering machine.
    pub gather: Handle<ladder_core::gather::Machine>,
    /// To the leaf machine.
    pub leaf: Handle<ladder_core::leaf::Machine>,
}

impl Shared {
    /// Seed of this process's random choices. The name belongs to it: instances that start in the
    /// same microsecond would all draw the same waits.
    fn seed(&self) -> u64 {
        Hasher::default().hash_one((&*self.me.name, self.incarnation))
    }

    /// Counts how a read of the platform ended and tells the control machine.
    pub fn platform_read(&self, end: Event) {
        let outcome = match end {
            Event::Page(_) => "answered",
            Event::WatchExpired => "expired",
            _ => "failed",
        };
        self.metrics.platform_read(outcome);
        self.control.tell(end);
    }
}

/// What a caller may send, by the routes in force.
#[derive(Clone, Debug, Default)]
pub struct Limits(Arc<Mutex<Bounds>>);

impl Limits {
    /// The bounds in force.
    pub fn get(&self) -> Bounds {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over other bounds.
    pub fn set(&self, bounds: Bounds) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
    }
}

/// Whether the balancer should send callers here: enough is known and no stop has begun.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    known: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
}

impl Ready {
    /// Says whether enough is known to serve.
    pub fn set_known(&self, known: bool) {
        self.known.store(known, Ordering::Relaxed);
    }

    /// Says that a stop has begun.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether a stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether callers should come.
    pub fn is_ready(&self) -> bool {
        self.known.load(Ordering::Relaxed) && !self.is_draining()
    }
}

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

/// The whole main function of the daemon called `name`: reads the command line and the settings, and
/// runs.
pub fn main(name: &str, dialect: Arc<dyn Dialect>) -> ExitCode {
    let arguments = arguments::arguments().run();
    let options = match Options::load(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check_settings {
        println!("{}: sound", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(&options, dialect) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the daemon until it is told to stop, speaking `dialect`.
///
/// # Errors
///
/// [`Error`] when it cannot start.
pub fn run(options: &Options, dialect: Arc<dyn Dialect>) -> Result<(), Error> {
    let settings = &options.instance;
    let callers = listen(&settings.caller_address)?;
    let ready = match settings.ready_address.as_str() {
        "" => None,
        address => Some(listen(address)?),
    };
    let listeners = Listeners { callers, ready };
    let operators = listen(&settings.admin_address)?;
    let socket = Inbound::listen(&settings.peer_address)
        .map_err(|error| Error::Peer { address: settings.peer_address.clone(), error })?;
    let (control, control_inbox) = driver::channel();
    let (gather, gather_inbox) = driver::channel();
    let (leaf, leaf_inbox) = driver::channel();
    let metrics = Metrics::new().map_err(|error| Error::Metrics(error.to_string()))?;
    let cut = Cut::default();
    let clock = Clock::new();
    let incarnation = clock::incarnation();
    let names = peer::Names::default();
    let outbound = Outbound::new(
        identity(options, incarnation),
        clock,
        metrics.clone(),
        cut.clone(),
        peer::on_down(names.clone(), control.clone(), gather.clone()),
    );
    let log = log::logger(&settings.log.unwrap_or_default(), &settings.name);
    let shared = Shared {
        lines: Lines::new(log.clone(), clock),
        options: Arc::new(options.clone()),
        me: Peer {
            name: Arc::from(settings.name.as_str()),
            address: Arc::from(settings.peer_address.as_str()),
        },
        incarnation,
        clock,
        log,
        metrics,
        outbound,
        cut,
        ready: Ready::default(),
        dialect,
        bounds: Limits::default(),
        control,
        gather,
        leaf,
    };
    info!(shared.log, "starts"; "version" => env!("CARGO_PKG_VERSION"),
        "incarnation" => incarnation, "zone" => &settings.zone,
        "callers" => &settings.caller_address, "operators" => &settings.admin_address,
        "peers" => &settings.peer_address, "platform" => &settings.platform_address,
        "seeds" => settings.seeds.join(","));
    spawn_traffic(&shared, leaf_inbox, gather_inbox, listeners)?;
    spawn("control", &shared, move |shared| {
        control::run(shared, control_inbox, operators);
    })?;
    spawn("peer", &shared, move |shared| {
        peer::run(&shared, &names, &socket);
    })?;
    stop::wait(&shared)
}

/// Starts the threads of the leaf and the gathering machine.
fn spawn_traffic(
    shared: &Shared,
    leaf_inbox: Inbox<ladder_core::leaf::Machine>,
    gather_inbox: Inbox<ladder_core::gather::Machine>,
    listeners: Listeners,
) -> Result<(), Error> {
    let leaf = |shared| leaf::run(shared, leaf_inbox);
    let gather = |shared| gather::run(shared, gather_inbox, listeners);
    if has_one_core() {
        spawn("traffic", shared, move |shared: Shared| {
            let both = future::join(leaf(shared.clone()), gather(shared));
            actix_rt::System::new().block_on(both);
        })?;
    } else {
        spawn("leaf", shared, move |shared| actix_rt::System::new().block_on(leaf(shared)))?;
        spawn("gather", shared, move |shared| actix_rt::System::new().block_on(gather(shared)))?;
    }
    Ok(())
}

/// On one core two threads for traffic gain nothing, and each reply would cost two wake-ups more.
fn has_one_core() -> bool {
    thread::available_parallelism().is_ok_and(|cores| cores.get() == 1)
}

/// Who this process is to its peers.
fn identity(options: &Options, incarnation: u64) -> Identity {
    let settings = &options.instance;
    Identity {
        fleet: settings.fleet.clone(),
        name: settings.name.clone(),
        incarnation,
        address: settings.peer_address.clone(),
        zone: settings.zone.clone(),
    }
}

/// A listener for a thread's own runtime.
fn listen(address: &str) -> Result<TcpListener, Error> {
    let fail = |error| Error::Listen { address: address.to_owned(), error };
    let listener = TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    Ok(listener)
}

/// Starts a named thread.
fn spawn<F>(name: &str, shared: &Shared, body: F) -> Result<(), Error>
where
    F: FnOnce(Shared) + Send + 'static,
{
    let shared = shared.clone();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || body(shared))
        .map(drop)
        .map_err(Error::Thread)
}
