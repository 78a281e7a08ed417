//! Client of the stand-ins and settings of small ones.

use std::net::TcpListener;
use std::time::Duration;

use ladder_schema::publication::{Holding, Server};
use ladder_schema::standin::{Fault, Ledger, Target, Targets};
use ladder_schema::target::{Load, Request};
use ladder_standin::process::Process;
use ladder_standin::settings::Error;
use ladder_standin::target;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Slows a server of 1 ms down so much that no request ends by itself during a test.
pub(crate) const ENDLESS: u32 = 1_000_000;

/// Status and body of a response.
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

/// Runs a test that needs the runtime.
pub(crate) fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// HTTP client; each has connections of its own.
pub(crate) fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(60)).finish()
}

/// A request whose connection may break.
pub(crate) async fn attempt<T: Serialize>(
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
    attempt(&client(), "GET", url, &()).await.expect("answered")
}

pub(crate) async fn post<T: Serialize>(url: &str, body: &T) -> Reply {
    attempt(&client(), "POST", url, body).await.expect("answered")
}

/// IP number and port that are free.
pub(crate) fn address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Starts a stand-in. A free port may be taken by another test before the stand-in listens on it,
/// which shows as a mistake in an address; then others are tried.
pub(crate) fn started<T>(start: impl Fn() -> Result<T, Error>) -> T {
    let mut tries = (0..20).map(|_| start());
    tries.find_map(Result::ok).expect("free ports")
}

/// Waits for a condition; fails after a minute.
pub(crate) async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    for _ in 0..6000 {
        if condition().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not come");
}

/// Two running servers of one slot, two queue places and eight connections, `s-1` and `s-2`.
pub(crate) struct Pair {
    pub(crate) settings: Targets,
    _process: Process,
}

impl Pair {
    pub(crate) fn start() -> Self {
        started(|| {
            let settings = Targets {
                targets: ["s-1", "s-2"].map(small).to_vec(),
                seed: 7,
                admin_address: address(),
                threads: 2,
            };
            let copy = settings.clone();
            let process = Process::start(move || target::start(&copy))?;
            Ok(Self { settings, _process: process })
        })
    }

    /// URL at the first server.
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

    /// Sets the fault of the first server.
    pub(crate) async fn fault(&self, fault: Fault) {
        let reply = post(&self.admin("/admin/fault?server=s-1"), &fault).await;
        assert_eq!(reply.status, 200);
    }

    /// Ledger of the first server.
    pub(crate) async fn ledger(&self) -> Ledger {
        get(&self.admin("/admin/ledger?server=s-1")).await.json()
    }

    pub(crate) async fn load(&self) -> Load {
        let reply = attempt(&client(), "GET", &self.url("/load"), &()).await;
        reply.map(|reply| reply.json()).unwrap_or_default()
    }

    /// Sends a query to the first server in the background.
    pub(crate) fn send(
        &self,
        id: &str,
        deadline_ms: u32,
    ) -> actix_rt::task::JoinHandle<Option<Reply>> {
        let url = self.url("/query");
        let request = Request { deadline_ms, ..request(id) };
        actix_rt::spawn(async move { attempt(&client(), "POST", &url, &request).await })
    }
}

/// A target with mean service time of 1 ms.
pub(crate) fn small(name: &str) -> Target {
    Target {
        server: Some(Server {
            name: name.to_owned(),
            service: "s".to_owned(),
            address: address(),
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

/// A request with a key like its identifier.
pub(crate) fn request(id: &str) -> Request {
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
