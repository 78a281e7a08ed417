//! The daemon of one instance: three state machines of the core, normally each on its own thread,
//! and the link to the other instances.
//!
//! - `control` thread: the control machine, the watch of the platform, the operators' HTTP
//!   interface;
//! - `gather` thread: the gathering machine, the callers' HTTP interface;
//! - `leaf` thread: the leaf machine, the connections to servers; on a machine with one core a
//!   single `traffic` thread runs both the gathering and the leaf machine;
//! - `link` thread: confirms frames of peers and replaces silent connections;
//! - `peer` thread: decodes frames from peers and passes their contents to the three machines.

pub mod admin;
pub mod control;
pub mod dialect;
pub mod gateway;
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
use crate::http::responses::Unwritten;
use crate::link::{self, Cut, Identity, Inbound, Outbound};
use crate::log::{self, RequestLog};
use crate::metrics::Metrics;
use crate::options::{Options, arguments};

/// Errors that prevent the daemon from starting or make it exit.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// cannot listen on {address}: {error}
    Listen {
        /// Address in the settings that could not be opened.
        address: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// cannot listen for peers on {address}: {error}
    Peer {
        /// Address in the settings that could not be opened.
        address: String,
        /// Error of the nng library.
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

/// State and handles that all threads of the daemon share.
#[derive(Clone)]
pub struct Shared {
    /// Options of the daemon: its settings with defaults filled in.
    pub options: Arc<Options>,
    /// Name and peer address of this instance.
    pub local_peer: Peer,
    /// Incarnation number of this process.
    pub incarnation: u64,
    /// Clock of the process.
    pub clock: Clock,
    /// Logger of this instance.
    pub log: Logger,
    /// Log of requests, limited to a budget of lines.
    pub request_log: RequestLog,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// The link over which this instance sends frames to its peers.
    pub outbound: Outbound,
    /// Addresses of peers whose frames a failure test drops.
    pub cut: Cut,
    /// Whether the load balancer should send requests to this instance.
    pub ready: Readiness,
    /// Protocols that this deployment uses with callers, servers and the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Bounds on the requests of callers.
    pub caller_bounds: CallerBounds,
    /// Responses that are not written to callers yet.
    pub unwritten_responses: Unwritten,
    /// Handle of the control machine.
    pub control: Handle<ladder_core::control::Machine>,
    /// Handle of the gathering machine.
    pub gather: Handle<ladder_core::gather::Machine>,
    /// Handle of the leaf machine.
    pub leaf: Handle<ladder_core::leaf::Machine>,
}

impl Shared {
    /// Returns the seed of the random choices of this process. The seed includes the instance name:
    /// without it, instances that start in the same microsecond would all draw the same delays.
    fn seed(&self) -> u64 {
        Hasher::default().hash_one((&*self.local_peer.name, self.incarnation))
    }

    /// Counts the result of a platform read and sends it to the control machine.
    pub fn platform_read(&self, result: Event) {
        let outcome = match result {
            Event::Page(_) => "answered",
            Event::WatchExpired => "expired",
            Event::WatchCut => "cut",
            _ => "failed",
        };
        self.metrics.platform_read(outcome);
        self.control.send(result);
    }
}

/// Bounds on the requests of callers, from the routes in force.
#[derive(Clone, Debug, Default)]
pub struct CallerBounds(Arc<Mutex<Bounds>>);

impl CallerBounds {
    /// Returns the bounds in force.
    pub fn get(&self) -> Bounds {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the bounds in force.
    pub fn set(&self, bounds: Bounds) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
    }
}

/// Whether the load balancer should send requests to this instance: the instance has enough records
/// to serve and is not draining.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    initialised: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets whether the instance has enough records to serve.
    pub fn set_initialised(&self, initialised: bool) {
        self.initialised.store(initialised, Ordering::Relaxed);
    }

    /// Marks the instance as draining: a graceful shutdown has begun.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the instance is draining, that is, a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the instance has enough records to serve and is not draining.
    pub fn is_ready(&self) -> bool {
        self.initialised.load(Ordering::Relaxed) && !self.is_draining()
    }
}

/// Exit code if the settings cannot be used.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Main function of the daemon with the program name `name`: reads the command line and the
/// settings file, then runs the daemon.
pub fn main(name: &str, dialect: Arc<dyn Dialect>) -> ExitCode {
    let arguments = arguments::arguments().run();
    let options = match Options::load(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
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

/// Runs the daemon until it is asked to stop; `dialect` defines the protocols that it uses.
///
/// # Errors
///
/// [`Error`] if the daemon cannot start.
pub fn run(options: &Options, dialect: Arc<dyn Dialect>) -> Result<(), Error> {
    let settings = &options.instance;
    let callers = listen(&settings.caller_address)?;
    let readiness = match settings.ready_address.as_str() {
        "" => None,
        address => Some(listen(address)?),
    };
    let listeners = Listeners { callers, readiness };
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
    let peer_names = peer::PeerNames::default();
    let log = log::logger(&settings.log.unwrap_or_default(), &settings.name);
    let outbound = Outbound::new(
        identity(options, incarnation),
        link::Context { clock, metrics: metrics.clone(), cut: cut.clone(), log: log.clone() },
        peer::on_disconnect(peer_names.clone(), control.clone(), gather.clone()),
    );
    let shared = Shared {
        request_log: RequestLog::new(log.clone(), clock),
        options: Arc::new(options.clone()),
        local_peer: Peer {
            name: Arc::from(settings.name.as_str()),
            address: Arc::from(settings.peer_address.as_str()),
        },
        incarnation,
        clock,
        log,
        metrics,
        outbound,
        cut,
        ready: Readiness::default(),
        dialect,
        caller_bounds: CallerBounds::default(),
        unwritten_responses: Unwritten::default(),
        control,
        gather,
        leaf,
    };
    info!(shared.log, "instance starts"; "version" => env!("CARGO_PKG_VERSION"),
        "incarnation" => incarnation, "zone" => &settings.zone,
        "callers" => &settings.caller_address, "operators" => &settings.admin_address,
        "peers" => &settings.peer_address, "platform" => &settings.platform_address,
        "seeds" => settings.seeds.join(","));
    spawn_traffic(&shared, leaf_inbox, gather_inbox, listeners)?;
    spawn("control", &shared, move |shared| {
        control::run(shared, control_inbox, operators);
    })?;
    spawn("link", &shared, |shared| shared.outbound.run())?;
    spawn("peer", &shared, move |shared| {
        peer::run(&shared, &peer_names, &socket);
    })?;
    stop::wait(&shared)
}

/// Starts the threads of the leaf and the gathering machine, or one thread for both on a machine
/// with one core.
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

/// Whether the process may use only one core. On one core, two threads for traffic have no benefit,
/// and each reply would cost two more wake-ups.
fn has_one_core() -> bool {
    thread::available_parallelism().is_ok_and(|cores| cores.get() == 1)
}

/// Returns the identity under which this process sends frames to peers.
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

/// Opens a non-blocking listener that a thread can register with its own runtime.
fn listen(address: &str) -> Result<TcpListener, Error> {
    let listen_error = |error| Error::Listen { address: address.to_owned(), error };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    Ok(listener)
}

/// Starts a thread with the name `name`.
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
