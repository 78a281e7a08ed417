//! The platform's configuration service: published records for reads and watches.
//!
//! `GET /v1/records?after=REVISION&wait_ms=MS` answers the records above a revision and waits up
//! to the given time when there are none. Operators publish with `POST /admin/publish`, choose a
//! failure with `POST /admin/mode` and read the number of calls with `GET /admin/counts`.

mod store;

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::{Method, Request, StatusCode};
use actix_server::Server;
use ladder_schema::publication::Page;
use ladder_schema::standin::{Counts, Mode, Platform};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::http::{self, Reply};
use crate::settings::{Error, address};
use store::Store;

/// Longest wait of a watch.
const WAIT: Duration = Duration::from_secs(60);

/// Threads that serve; a waiting watch holds none.
const THREADS: usize = 2;

/// Starts to serve; must be called within an actix system.
///
/// # Errors
///
/// [`Error::Field`] names the field of a mistake in the settings.
pub fn start(settings: &Platform) -> Result<Server, Error> {
    let listen = address("address", &settings.address)?;
    let mut store = Store::default();
    store
        .publish(settings.records.clone())
        .map_err(|refusal| Error::field("records", refusal.to_string()))?;
    let platform = Arc::new(Service::new(store));
    let factory = move || {
        let platform = Arc::clone(&platform);
        http::open(move |request| handle(Arc::clone(&platform), request))
    };
    let server = Server::build()
        .workers(THREADS)
        .shutdown_timeout(1)
        .bind("platform", listen, factory)
        .map_err(|cause| Error::field("address", format!("{listen}: {cause}")))?;
    Ok(server.run())
}

async fn handle(platform: Arc<Service>, mut request: Request) -> Result<Reply, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let reply = match (method, path.as_str()) {
        (Method::GET, "/v1/records") => platform.records(&request).await,
        (Method::POST, "/admin/publish") => platform.publish(&mut request).await,
        (Method::POST, "/admin/mode") => platform.mode(&mut request).await,
        (Method::GET, "/admin/counts") => Ok(platform.counts()),
        _ => Ok(http::empty(StatusCode::NOT_FOUND)),
    };
    Ok(reply.unwrap_or_else(|refusal| refusal))
}

/// What readers get at one moment.
enum Reading {
    /// The service is down.
    Down,
    /// The records above the revision asked for, possibly none.
    Page(Page),
}

/// Published records and the failure in force.
struct State {
    store: Store,
    /// What readers see in place of `store` while the mode is stale.
    ///
    /// Invariant: set exactly while `mode.stale`.
    snapshot: Option<Store>,
    mode: Mode,
    calls: u64,
}

struct Service {
    state: Mutex<State>,
    /// Changes with every publication and mode, and wakes the waiting watches.
    generation: watch::Sender<u64>,
}

impl Service {
    fn new(store: Store) -> Self {
        let state = State { store, snapshot: None, mode: Mode::default(), calls: 0 };
        Self { state: Mutex::new(state), generation: watch::Sender::new(0) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changed(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    async fn records(&self, request: &Request) -> Result<Reply, Reply> {
        let slow = self.count();
        let after = http::number(request, "after")?;
        let wait = Duration::from_millis(http::number(request, "wait_ms")?).min(WAIT);
        sleep(slow).await;
        Ok(match self.watch(after, wait).await {
            Reading::Down => http::empty(StatusCode::SERVICE_UNAVAILABLE),
            Reading::Page(page) => http::json(StatusCode::OK, &page),
        })
    }

    /// Counts a call and gives the delay in force.
    fn count(&self) -> Duration {
        let mut state = self.state();
        state.calls += 1;
        Duration::from_millis(state.mode.slow_ms.into())
    }

    async fn watch(&self, after: u64, wait: Duration) -> Reading {
        let deadline = Instant::now() + wait;
        // Subscribed before the first read, so that no change between read and wait is missed.
        let mut generation = self.generation.subscribe();
        loop {
            match self.read(after) {
                Reading::Page(page) if page.records.is_empty() => {}
                reading => return reading,
            }
            if timeout_at(deadline, generation.changed()).await.is_err() {
                return self.read(after);
            }
        }
    }

    fn read(&self, after: u64) -> Reading {
        let state = self.state();
        if state.mode.down {
            return Reading::Down;
        }
        let store = state.snapshot.as_ref().unwrap_or(&state.store);
        Reading::Page(store.page(after))
    }

    async fn publish(&self, request: &mut Request) -> Result<Reply, Reply> {
        let page: Page = http::decode(request).await?;
        let head = self
            .state()
            .store
            .publish(page.records)
            .map_err(|refusal| http::problem(refusal.status(), &refusal.to_string()))?;
        self.changed();
        let page = Page { head, ..Page::default() };
        Ok(http::json(StatusCode::OK, &page))
    }

    async fn mode(&self, request: &mut Request) -> Result<Reply, Reply> {
        let mode: Mode = http::decode(request).await?;
        self.state().change(mode);
        self.changed();
        Ok(http::empty(StatusCode::OK))
    }

    fn counts(&self) -> Reply {
        let calls = self.state().calls;
        http::json(StatusCode::OK, &Counts { calls })
    }
}

impl State {
    /// A stale mode set again keeps the snapshot of its first setting.
    fn change(&mut self, mode: Mode) {
        self.snapshot = match self.snapshot.take() {
            _ if !mode.stale => None,
            Some(snapshot) => Some(snapshot),
            None => Some(self.store.clone()),
        };
        self.mode = mode;
    }
}
