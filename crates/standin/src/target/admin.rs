//! Operators' interface of a process of targets: faults and ledgers.

use std::convert::Infallible;
use std::sync::Arc;

use actix_http::{Method, Request, StatusCode};
use ladder_schema::standin::{Fault, Ledger};

use super::executions::Filter;
use super::server::Server;
use crate::http::{self, Reply};

/// Answers `POST /admin/fault` and `GET /admin/ledger`; `?server=NAME` chooses one server.
///
/// A ledger of `?operation=NAME` lists only executions of that operation, one of `?least=N` only
/// those that were executed at least N times.
pub(super) async fn handle(
    servers: Arc<[Arc<Server>]>,
    mut request: Request,
) -> Result<Reply, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let reply = match (method, path.as_str()) {
        (Method::POST, "/admin/fault") => fault(&servers, &mut request).await,
        (Method::GET, "/admin/ledger") => ledger(&servers, &request),
        _ => Ok(http::empty(StatusCode::NOT_FOUND)),
    };
    Ok(reply.unwrap_or_else(|refusal| refusal))
}

async fn fault(servers: &[Arc<Server>], request: &mut Request) -> Result<Reply, Reply> {
    let fault: Fault = http::decode(request).await?;
    for server in chosen(servers, request)? {
        server.set_fault(fault.clone());
    }
    Ok(http::empty(StatusCode::OK))
}

/// Sums and concatenates the ledgers; the peak of connections is the highest of any server.
fn ledger(servers: &[Arc<Server>], request: &Request) -> Result<Reply, Reply> {
    let filter = Filter {
        operation: http::parameter(request, "operation").map(str::to_owned),
        least: u32::try_from(http::number(request, "least")?).unwrap_or(u32::MAX),
    };
    let mut sum = Ledger::default();
    for server in chosen(servers, request)? {
        let ledger = server.ledger(&filter);
        sum.executions.extend(ledger.executions);
        sum.peak_connections = sum.peak_connections.max(ledger.peak_connections);
        sum.refused_connections += ledger.refused_connections;
        sum.calls += ledger.calls;
        sum.busy_us += ledger.busy_us;
    }
    Ok(http::json(StatusCode::OK, &sum))
}

/// The servers that the request is about.
fn chosen<'a>(servers: &'a [Arc<Server>], request: &Request) -> Result<&'a [Arc<Server>], Reply> {
    let Some(name) = http::parameter(request, "server") else {
        return Ok(servers);
    };
    let position = servers.iter().position(|server| server.name() == name);
    let position = position.ok_or_else(|| {
        let text = format!("server: no \"{name}\" here");
        http::problem(StatusCode::NOT_FOUND, &text)
    })?;
    Ok(&servers[position..=position])
}
