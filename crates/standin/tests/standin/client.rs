//! Test client of the stand-ins, and settings of small stand-ins.

use std::net::TcpListener;
use std::time::Duration;

use ladder_schema::publication::{Holding, Server};
use ladder_schema::standin::{Fault, Ledger, Target, Targets};
use ladder_schema::target::{Load, Request};
use ladder_standin::process::StandinThread;
use ladder_standin::settings::Error;
use ladder_standin::target;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Slowdown factor with which no request of a server with 1 ms service time completes during a
/// test.
pub(crate) const ENDLESS_SLOWDOWN: u32 = 1_000_000;

/// Status and body of an HTTP response.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&self.body)))
    }
}

/// Runs an asynchronous test on a new actix runtime.
pub(crate) fn run_async(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Creates an HTTP client with its own connections.
pub(crate) fn new_client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(60)).finish()
}

/// Sends a request with a JSON body. Returns `None` when the connection breaks.
pub(crate) async fn try_request<T: Serialize>(
    client: &awc::Client,
    method: &str,
    url: &str,
    body: &T,
) -> Option<Reply> {
    let method = method.parse().expect("a method");
    let body = serde_json::to_vec(body).expect("JSON");
    let request = client.request(method, format!("http://{url}"));
    let mut response = request.send_body(body).await.ok()?;
    let body = response.body().limit(64 << 20).await.ok()?;
    Some(Reply { status: response.status().as_u16(), body: body.to_vec() })
}

pub(crate) async fn get(url: &str) -> Reply {
    try_request(&new_client(), "GET", url, &()).await.expect("answered")
}

pub(crate) async fn post<T: Serialize>(url: &str, body: &T) -> Reply {
    try_request(&new_client(), "POST", url, body).await.expect("answered")
}

/// Returns an IP address and port that are free at the time of the call.
pub(crate) fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Starts a stand-in, with up to 20 attempts. Another test may take a free port before the stand-in
/// listens on it; `start` then fails with an error for the address, and is called again to try
/// other ports.
pub(crate) fn start_with_retries<T>(start: impl Fn() -> Result<T, Error>) -> T {
    let mut attempts = (0..20).map(|_| start());
    attempts.find_map(Result::ok).expect("free ports")
}

/// Waits until a condition holds, checked every 10 ms. Panics after 6000 checks, about one minute.
pub(crate) async fn wait_until(description: &str, condition: impl AsyncFn() -> bool) {
    for _ in 0..6000 {
        if condition().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{description} did not come");
}

/// Two running stand-in servers, `s-1` and `s-2`, each with one slot, a queue of two requests and a
/// limit of eight connections.
pub(crate) struct ServerPair {
    pub(crate) settings: Targets,
    _process: StandinThread,
}

impl ServerPair {
    pub(crate) fn start() -> Self {
        start_with_retries(|| {
            let settings = Targets {
                targets: ["s-1", "s-2"].map(small_target).to_vec(),
                seed: 7,
                admin_address: free_address(),
                threads: 2,
            };
            let target_settings = settings.clone();
            let process = StandinThread::start(move || target::start(&target_settings))?;
            Ok(Self { settings, _process: process })
        })
    }

    /// Returns the URL of a path at the first server.
    pub(crate) fn url(&self, path: &str) -> String {
        self.url_of(0, path)
    }

    pub(crate) fn url_of(&self, position: usize, path: &str) -> String {
        let server = self.settings.targets[position].server.as_ref();
        format!("{}{path}", server.expect("set").address)
    }

    pub(crate) fn admin(&self, path: &str) -> String {
        format!("{}{path}", self.settings.admin_address)
    }

    /// Sets the faults of the first server.
    pub(crate) async fn set_fault(&self, fault: Fault) {
        let reply = post(&self.admin("/admin/fault?server=s-1"), &fault).await;
        assert_eq!(reply.status, 200);
    }

    /// Returns the ledger of the first server.
    pub(crate) async fn ledger(&self) -> Ledger {
        get(&self.admin("/admin/ledger?server=s-1")).await.json()
    }

    pub(crate) async fn load(&self) -> Load {
        let reply = try_request(&new_client(), "GET", &self.url("/load"), &()).await;
        reply.map(|reply| reply.json()).unwrap_or_default()
    }

    /// Sends a query to the first server in a background task.
    pub(crate) fn send(
        &self,
        id: &str,
        deadline_ms: u32,
    ) -> actix_rt::task::JoinHandle<Option<Reply>> {
        let url = self.url("/query");
        let request = Request { deadline_ms, ..query_request(id) };
        actix_rt::spawn(async move { try_request(&new_client(), "POST", &url, &request).await })
    }
}

/// Settings of a target with one slot and a mean service time of 1 ms.
pub(crate) fn small_target(name: &str) -> Target {
    Target {
        server: Some(Server {
            name: name.to_owned(),
            service: "s".to_owned(),
            address: free_address(),
            incarnation: 1,
            slots: 1,
            connections: 8,
            holdings: vec![Holding { index: "docks".to_owned(), version: 3 }],
            ..Server::default()
        }),
        service_us: 1000,
        queue: 2,
        ..Target::default()
    }
}

/// Creates a request whose key is derived from its identifier.
pub(crate) fn query_request(id: &str) -> Request {
    Request {
        id: id.to_owned(),
        key: format!("key-{id}"),
        index: "docks".to_owned(),
        version: 3,
        shards: vec!["north".to_owned()],
        operation: "dock-booking".to_owned(),
        deadline_ms: 60_000,
        payload: "bay 4".to_owned(),
        message: None,
    }
}
