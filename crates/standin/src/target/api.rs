//! A server's HTTP interface and its connections.

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

/// Serves connections within the server's limit.
pub(super) fn factory(
    server: Arc<Server>,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = Infallible, InitError = ()>
{
    fn_factory(move || {
        let server = Arc::clone(&server);
        let handled = Arc::clone(&server);
        let http = http::service(move |request| handle(Arc::clone(&handled), request));
        async move {
            let http = Rc::new(http.new_service(()).await?);
            let connect = move |stream| connection(Arc::clone(&server), Rc::clone(&http), stream);
            Ok(fn_service(connect))
        }
    })
}

/// Serves one connection until the client closes it or the server dies. A connection beyond the
/// limit is closed at once.
async fn connection<S>(
    server: Arc<Server>,
    http: Rc<S>,
    stream: TcpStream,
) -> Result<(), Infallible>
where
    S: Service<(TcpStream, Option<std::net::SocketAddr>)>,
{
    let Some(_connection) = server.connect() else {
        return Ok(());
    };
    let served = async {
        sleep(Duration::from_millis(server.settings().connect_ms.into())).await;
        let _ = http.call((stream, None)).await;
    };
    tokio::select! {
        // Death first: a request that arrives after the fault was set must not be served any more
        // because both became ready before this task ran.
        biased;
        () = server.died() => {}
        () = served => {}
    }
    Ok(())
}

async fn handle(server: Arc<Server>, mut request: Request) -> Result<Reply, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    Ok(match (method, path.as_str()) {
        (Method::POST, "/query") => query(&server, &mut request).await,
        (Method::POST, "/cancel") => cancel(&server, &request),
        (Method::GET, "/load") => http::json(StatusCode::OK, &server.load()),
        (Method::GET, "/health") => health(&server),
        _ => http::empty(StatusCode::NOT_FOUND),
    })
}

async fn query(server: &Arc<Server>, request: &mut Request) -> Reply {
    let query = match http::decode(request).await {
        Ok(query) => query,
        Err(refusal) => return refusal,
    };
    match work::serve(server, query).await {
        Outcome::Answer(answer) => http::json(StatusCode::OK, &answer),
        Outcome::Refusal(refusal) => http::json(refused(refusal.reason()), &refusal),
        Outcome::Failure(text) => http::problem(StatusCode::INTERNAL_SERVER_ERROR, text),
        Outcome::Malformed(text) => http::problem(StatusCode::BAD_REQUEST, text),
    }
}

fn refused(reason: Reason) -> StatusCode {
    match reason {
        Reason::VersionRetired => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn cancel(server: &Server, request: &Request) -> Reply {
    let Some(id) = http::parameter(request, "id") else {
        return http::problem(StatusCode::BAD_REQUEST, "id: is missing");
    };
    work::cancel(server, id);
    http::empty(StatusCode::OK)
}

fn health(server: &Server) -> Reply {
    if server.healthy() {
        return http::empty(StatusCode::OK);
    }
    http::empty(StatusCode::SERVICE_UNAVAILABLE)
}
