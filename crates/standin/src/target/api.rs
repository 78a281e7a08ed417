//! HTTP interface and connection handling of a stand-in server.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Method, Request, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_factory, fn_service};
use ladder_schema::outcome::Reason;
use tokio::time::sleep;

use super::server::Server;
use super::work::{self, Outcome};
use crate::http::{self, Reply};

/// Creates the service that handles the connections to a server, up to the server's limit.
pub(super) fn factory(
    server: Arc<Server>,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = Infallible, InitError = ()>
{
    fn_factory(move || {
        let server = Arc::clone(&server);
        let request_server = Arc::clone(&server);
        let http_factory =
            http::h1_service(move |request| handle(Arc::clone(&request_server), request));
        async move {
            let http_service = Rc::new(http_factory.new_service(()).await?);
            let serve = move |stream| {
                serve_connection(Arc::clone(&server), Rc::clone(&http_service), stream)
            };
            Ok(fn_service(serve))
        }
    })
}

/// Serves one connection until the client closes it or a fault makes the server dead. A connection
/// beyond the server's limit is closed at once.
async fn serve_connection<S>(
    server: Arc<Server>,
    http_service: Rc<S>,
    stream: TcpStream,
) -> Result<(), Infallible>
where
    S: Service<(TcpStream, Option<std::net::SocketAddr>)>,
{
    let Some(_connection) = server.accept_connection() else {
        return Ok(());
    };
    let serve_http = async {
        sleep(Duration::from_millis(server.settings().connect_ms.into())).await;
        let _ = http_service.call((stream, None)).await;
    };
    tokio::select! {
        // Checks first whether the server is dead. Otherwise, if a request arrives after the fault
        // was set and both are ready before this task runs, the request could still be served.
        biased;
        () = server.wait_until_dead() => {}
        () = serve_http => {}
    }
    Ok(())
}

async fn handle(server: Arc<Server>, mut request: Request) -> Result<Reply, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    Ok(match (method, path.as_str()) {
        (Method::POST, "/query") => handle_query(&server, &mut request).await,
        (Method::POST, "/cancel") => handle_cancel(&server, &request),
        (Method::GET, "/load") => http::json_response(StatusCode::OK, &server.load()),
        (Method::GET, "/health") => handle_health(&server),
        _ => http::empty_response(StatusCode::NOT_FOUND),
    })
}

async fn handle_query(server: &Arc<Server>, request: &mut Request) -> Reply {
    let query = match http::decode_body(request).await {
        Ok(query) => query,
        Err(error_response) => return error_response,
    };
    match work::serve_request(server, query).await {
        Outcome::Answer(answer) => http::json_response(StatusCode::OK, &answer),
        Outcome::Refusal(refusal) => http::json_response(http_status(refusal.reason()), &refusal),
        Outcome::Failure(text) => http::text_response(StatusCode::INTERNAL_SERVER_ERROR, text),
        Outcome::Malformed(text) => http::text_response(StatusCode::BAD_REQUEST, text),
    }
}

fn http_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::VersionRetired => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn handle_cancel(server: &Server, request: &Request) -> Reply {
    let Some(id) = http::query_parameter(request, "id") else {
        return http::text_response(StatusCode::BAD_REQUEST, "id: is missing");
    };
    work::cancel(server, id);
    http::empty_response(StatusCode::OK)
}

fn handle_health(server: &Server) -> Reply {
    if server.reports_healthy() {
        return http::empty_response(StatusCode::OK);
    }
    http::empty_response(StatusCode::SERVICE_UNAVAILABLE)
}
