//! The operators' HTTP interface: metrics, status, explanation of one request, release from
//! quarantine, drain, and cut links for failure tests.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use ladder_core::control::Event;
use ladder_core::control::store::Refusal;
use ladder_schema::bounds;
use ladder_schema::status::Cut;

use super::{Shared, status};
use crate::http;

/// Response to an unknown path: the methods and paths of the operators' interface.
const USAGE: &str = "GET /metrics, GET /status, GET /revision, GET /explain?key=KEY, POST /drain, \
     POST /release?request=FINGERPRINT, POST /cut\n";

/// Handles the HTTP requests of operators.
#[derive(Clone)]
pub struct AdminApi {
    shared: Shared,
}

impl AdminApi {
    /// Creates the operators' interface to the machines of `shared`.
    pub fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Answers one HTTP request.
    pub async fn handle(self, mut request: Request) -> Response<BoxBody> {
        match (request.method(), request.path()) {
            (&Method::GET, "/metrics") => http::text(StatusCode::OK, self.metrics().await),
            (&Method::GET, "/revision") => {
                let revision = self.shared.control.inspect(|machine| machine.view().revision).await;
                http::text(StatusCode::OK, revision.unwrap_or_default().to_string())
            }
            (&Method::GET, "/status") => {
                http::json(StatusCode::OK, &status::instance(&self.shared).await)
            }
            (&Method::GET, "/explain") => self.explain(&request).await,
            (&Method::POST, "/drain") => {
                super::stop::begin(&self.shared);
                http::text(StatusCode::ACCEPTED, "draining\n")
            }
            (&Method::POST, "/release") => self.release(&request),
            (&Method::POST, "/cut") => self.cut(&mut request).await,
            _ => http::text(StatusCode::NOT_FOUND, USAGE),
        }
    }

    /// Returns all metrics, with the state of the records and of the budgets as of now.
    async fn metrics(&self) -> String {
        let now = self.shared.clock.now();
        let inspected = self.shared.control.inspect(move |machine| {
            let refused_version = machine.refused_routes(now).map_or(0, refused_version);
            (machine.platform_age(now), refused_version, machine.undecided_crashes(now))
        });
        if let Some((age, refused_version, undecided)) = inspected.await {
            age.inspect(|age| self.shared.metrics.records_age(*age));
            self.shared.metrics.refused_routes_version(refused_version);
            self.shared.metrics.undecided_crashes(undecided);
        }
        let services = self.shared.leaf.inspect(move |machine| machine.status(now)).await;
        services.inspect(|services| self.shared.metrics.budgets(services));
        self.shared.metrics.text()
    }

    /// Returns the recorded steps of the requests with one key.
    async fn explain(&self, request: &Request) -> Response<BoxBody> {
        match http::query_parameter(request, "key") {
            Some(key) => {
                let explanation = status::explanation(&self.shared, key.to_owned()).await;
                http::json(StatusCode::OK, &explanation)
            }
            None => http::text(StatusCode::BAD_REQUEST, "name the key: /explain?key=KEY\n"),
        }
    }

    /// Releases a request from quarantine: it is executed again although server processes crashed
    /// during it.
    fn release(&self, request: &Request) -> Response<BoxBody> {
        let fingerprint = http::query_parameter(request, "request").unwrap_or_default();
        match fingerprint.parse() {
            Ok(fingerprint) => {
                self.shared.control.send(Event::Released(fingerprint));
                http::text(StatusCode::ACCEPTED, "released\n")
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("request: {error}\n")),
        }
    }

    /// Replaces the set of cut links, if the settings allow fault injection.
    async fn cut(&self, request: &mut Request) -> Response<BoxBody> {
        if !self.shared.options.instance.fault_injection {
            return http::text(StatusCode::FORBIDDEN, "faultInjection is off in the settings\n");
        }
        let body = match http::read_body(request, bounds::REQUEST_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match serde_json::from_slice::<Cut>(&body) {
            Ok(cut) => {
                self.shared.cut.replace(cut.addresses);
                http::text(StatusCode::OK, "cut\n")
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Version of refused routes in metrics: at least 1, as 0 means that none are refused. A version
/// that cannot be read counts as 1.
fn refused_version((refusal, _): (&Refusal, Duration)) -> u64 {
    refusal.version.max(1)
}
