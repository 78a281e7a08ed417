//! Operators' HTTP: metrics, status, explanation of one request, drain, cuts for tests.

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use ladder_core::control::Event;
use ladder_schema::bounds;
use ladder_schema::status::Cut;

use super::{Shared, status};
use crate::http;

/// What the operators' interface offers.
const PATHS: &str = "GET /metrics, GET /status, GET /revision, GET /explain?key=KEY, POST /drain, \
     POST /release?request=FINGERPRINT, POST /cut\n";

/// Takes operators' requests.
#[derive(Clone)]
pub struct Door {
    shared: Shared,
}

impl Door {
    /// A door to the machines of `shared`.
    pub fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Answers one HTTP request.
    pub async fn handle(self, mut request: Request) -> Response<BoxBody> {
        match (request.method(), request.path()) {
            (&Method::GET, "/metrics") => http::text(StatusCode::OK, self.shared.metrics.text()),
            (&Method::GET, "/revision") => {
                let revision = self.shared.control.ask(|machine| machine.view().revision).await;
                http::text(StatusCode::OK, revision.unwrap_or_default().to_string())
            }
            (&Method::GET, "/status") => {
                http::json(StatusCode::OK, &status::instance(&self.shared).await)
            }
            (&Method::GET, "/explain") => self.explain(&request).await,
            (&Method::POST, "/drain") => {
                super::stop::request(&self.shared);
                http::text(StatusCode::ACCEPTED, "draining\n")
            }
            (&Method::POST, "/release") => self.release(&request),
            (&Method::POST, "/cut") => self.cut(&mut request).await,
            _ => http::text(StatusCode::NOT_FOUND, PATHS),
        }
    }

    /// Shows what happened to the requests of one key.
    async fn explain(&self, request: &Request) -> Response<BoxBody> {
        match http::parameter(request, "key") {
            Some(key) => {
                let explanation = status::explanation(&self.shared, key.to_owned()).await;
                http::json(StatusCode::OK, &explanation)
            }
            None => http::text(StatusCode::BAD_REQUEST, "name the key: /explain?key=KEY\n"),
        }
    }

    /// Lets requests be served again that are refused because servers ended under them.
    fn release(&self, request: &Request) -> Response<BoxBody> {
        let named = http::parameter(request, "request").unwrap_or_default();
        match named.parse() {
            Ok(fingerprint) => {
                self.shared.control.tell(Event::Released(fingerprint));
                http::text(StatusCode::ACCEPTED, "released\n")
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("request: {error}\n")),
        }
    }

    /// Replaces the cut links, where the settings allow it.
    async fn cut(&self, request: &mut Request) -> Response<BoxBody> {
        if !self.shared.options.instance.fault_injection {
            return http::text(StatusCode::FORBIDDEN, "faultInjection is off in the settings\n");
        }
        let body = match http::body(request, bounds::REQUEST_BYTES).await {
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
