//! Targets: several servers in one process, each with slots, a queue, a connection limit, service
//! times with stragglers, and failures on request.
//!
//! Each server has a port of its own with `POST /query`, `POST /cancel?id=ID`, `GET /load` and
//! `GET /health`. One more port is for operators: `POST /admin/fault` and `GET /admin/ledger`.

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
use crate::settings::{Error, address};
use server::Server;

/// Threads when the settings name none.
const THREADS: u32 = 3;

/// Starts to serve; must be called within an actix system.
///
/// # Errors
///
/// [`Error::Field`] names the field of a mistake in the settings.
pub fn start(settings: &Targets) -> Result<Listener, Error> {
    check::targets(settings)?;
    let servers = servers(settings);
    let threads = match settings.threads {
        0 => THREADS,
        threads => threads,
    };
    let mut builder = Listener::build().workers(threads as usize).shutdown_timeout(1);
    for (position, server) in servers.iter().enumerate() {
        let field = format!("targets[{position}].server.address");
        let listen = address(&field, server.address())?;
        builder = listen_server(builder, listen, server)
            .map_err(|cause| Error::field(field, format!("{listen}: {cause}")))?;
    }
    let listen = address("admin_address", &settings.admin_address)?;
    let builder = listen_admin(builder, listen, servers)
        .map_err(|cause| Error::field("admin_address", format!("{listen}: {cause}")))?;
    Ok(builder.run())
}

fn servers(settings: &Targets) -> Vec<Arc<Server>> {
    let targets = settings.targets.iter().zip(0_u64..);
    let servers = targets.map(|(target, number)| {
        let seed = settings.seed.wrapping_mul(1_000_003).wrapping_add(number);
        Arc::new(Server::new(target.clone(), seed))
    });
    servers.collect()
}

fn listen_server(
    builder: ServerBuilder,
    listen: SocketAddr,
    server: &Arc<Server>,
) -> std::io::Result<ServerBuilder> {
    let name = server.name().to_owned();
    let server = Arc::clone(server);
    builder.bind(name, listen, move || api::factory(Arc::clone(&server)))
}

fn listen_admin(
    builder: ServerBuilder,
    listen: SocketAddr,
    servers: Vec<Arc<Server>>,
) -> std::io::Result<ServerBuilder> {
    let servers: Arc<[Arc<Server>]> = servers.into();
    builder.bind("admin", listen, move || {
        let servers = Arc::clone(&servers);
        http::open(move |request| admin::handle(Arc::clone(&servers), request))
    })
}
