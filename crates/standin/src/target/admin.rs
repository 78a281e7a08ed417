//! Operators' HTTP interface of a process of stand-in targets: faults and ledgers.

use std::convert::Infallible;
use std::sync::Arc;

use actix_http::{Method, Request, StatusCode};
use ladder_schema::standin::{Fault, Ledger};

use super::executions::Filter;
use super::server::Server;
use crate::http::{self, Reply};

/// Handles `POST /admin/fault` and `GET /admin/ledger`. `?server=NAME` selects one server; without
/// it, the request applies to all.
///
/// For the ledger, `?operation=NAME` lists only executions of that operation, and `?least=N` only
/// requests that were executed at least N times.
pub(super) async fn handle(
    servers: Arc<[Arc<Server>]>,
    mut request: Request,
) -> Result<Reply, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let reply = match (method, path.as_str()) {
        (Method::POST, "/admin/fault") => handle_fault(&servers, &mut request).await,
        (Method::GET, "/admin/ledger") => handle_ledger(&servers, &request),
        _ => Ok(http::empty_response(StatusCode::NOT_FOUND)),
    };
    Ok(reply.unwrap_or_else(|error_response| error_response))
}

async fn handle_fault(servers: &[Arc<Server>], request: &mut Request) -> Result<Reply, Reply> {
    let fault: Fault = http::decode_body(request).await?;
    for server in selected_servers(servers, request)? {
        server.set_fault(fault.clone());
    }
    Ok(http::empty_response(StatusCode::OK))
}

/// Returns one ledger for all selected servers: executions are concatenated and counters summed;
/// `peak_connections` is the highest peak of a single server.
fn handle_ledger(servers: &[Arc<Server>], request: &Request) -> Result<Reply, Reply> {
    let filter = Filter {
        operation: http::query_parameter(request, "operation").map(str::to_owned),
        min_count: u32::try_from(http::number_parameter(request, "least")?).unwrap_or(u32::MAX),
    };
    let mut combined = Ledger::default();
    for server in selected_servers(servers, request)? {
        let ledger = server.ledger(&filter);
        combined.executions.extend(ledger.executions);
        combined.peak_connections = combined.peak_connections.max(ledger.peak_connections);
        combined.refused_connections += ledger.refused_connections;
        combined.calls += ledger.calls;
        combined.busy_us += ledger.busy_us;
    }
    Ok(http::json_response(StatusCode::OK, &combined))
}

/// Returns the servers that the request applies to.
fn selected_servers<'a>(
    servers: &'a [Arc<Server>],
    request: &Request,
) -> Result<&'a [Arc<Server>], Reply> {
    let Some(name) = http::query_parameter(request, "server") else {
        return Ok(servers);
    };
    let position = servers.iter().position(|server| server.name() == name);
    let position = position.ok_or_else(|| {
        let text = format!("server: no \"{name}\" here");
        http::text_response(StatusCode::NOT_FOUND, &text)
    })?;
    Ok(&servers[position..=position])
}
