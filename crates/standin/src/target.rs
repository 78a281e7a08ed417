//! Stand-ins for targets: several servers in one process, each with slots, a queue, a connection
//! limit, service times with stragglers, and injected faults.
//!
//! Each server listens on its own port with `POST /query`, `POST /cancel?id=ID`, `GET /load` and
//! `GET /health`. One further port of the process is for operators: `POST /admin/fault` and
//! `GET /admin/ledger`.

mod admin;
mod api;
mod check;
mod executions;
mod server;
mod service;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;

use actix_server::{Server as Listener, ServerBuilder};
use ladder_schema::standin::Targets;

use crate::http;
use crate::settings::{Error, parse_address};
use server::Server;

/// Number of worker threads when the settings leave it at 0.
const DEFAULT_THREADS: u32 = 3;

/// Starts the target stand-ins of one process. Must be called within an actix system.
///
/// # Errors
///
/// [`Error::Field`] names the settings field with an invalid value.
pub fn start(settings: &Targets) -> Result<Listener, Error> {
    check::check_settings(settings)?;
    let servers = create_servers(settings);
    let threads = match settings.threads {
        0 => DEFAULT_THREADS,
        threads => threads,
    };
    let mut builder = Listener::build().workers(threads as usize).shutdown_timeout(1);
    for (position, server) in servers.iter().enumerate() {
        let field = format!("targets[{position}].server.address");
        let listen_address = parse_address(&field, server.address())?;
        builder = bind_server(builder, listen_address, server)
            .map_err(|cause| Error::field(field, format!("{listen_address}: {cause}")))?;
    }
    let listen_address = parse_address("admin_address", &settings.admin_address)?;
    let builder = bind_admin(builder, listen_address, servers)
        .map_err(|cause| Error::field("admin_address", format!("{listen_address}: {cause}")))?;
    Ok(builder.run())
}

fn create_servers(settings: &Targets) -> Vec<Arc<Server>> {
    let targets = settings.targets.iter().zip(0_u64..);
    let servers = targets.map(|(target, number)| {
        let seed = settings.seed.wrapping_mul(1_000_003).wrapping_add(number);
        Arc::new(Server::new(target.clone(), seed))
    });
    servers.collect()
}

fn bind_server(
    builder: ServerBuilder,
    listen_address: SocketAddr,
    server: &Arc<Server>,
) -> std::io::Result<ServerBuilder> {
    let name = server.name().to_owned();
    let server = Arc::clone(server);
    builder.bind(name, listen_address, move || api::factory(Arc::clone(&server)))
}

fn bind_admin(
    builder: ServerBuilder,
    listen_address: SocketAddr,
    servers: Vec<Arc<Server>>,
) -> std::io::Result<ServerBuilder> {
    let servers: Arc<[Arc<Server>]> = servers.into();
    builder.bind("admin", listen_address, move || {
        let servers = Arc::clone(&servers);
        http::unlimited_service(move |request| admin::handle(Arc::clone(&servers), request))
    })
}
