//! Stand-in for the platform's configuration service, which serves published records for reads and
//! watches.
//!
//! `GET /v1/records?after=REVISION&wait_ms=MS` returns the records above a revision. When there are
//! none, the response waits up to the given time for a publication. Operators publish records with
//! `POST /admin/publish`, choose a failure mode with `POST /admin/mode` and read the number of
//! calls with `GET /admin/counts`. `POST /admin/restore?copy=REVISION` restores the store from a
//! copy that lacks all records above a revision; a watch after a revision that the store then does
//! not have gets 410.

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
use crate::settings::{Error, parse_address};
use store::Store;

/// Longest time that a watch may wait for a publication.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Number of threads that serve requests. A waiting watch occupies no thread.
const WORKER_THREADS: usize = 2;

/// Starts the platform stand-in. Must be called within an actix system.
///
/// # Errors
///
/// [`Error::Field`] names the settings field with an invalid value.
pub fn start(settings: &Platform) -> Result<Server, Error> {
    let listen = parse_address("address", &settings.address)?;
    let mut store = Store::default();
    store
        .publish(settings.records.clone())
        .map_err(|error| Error::field("records", error.to_string()))?;
    let platform = Arc::new(PlatformService::new(store));
    let factory = move || {
        let platform = Arc::clone(&platform);
        http::unlimited_service(move |request| handle(Arc::clone(&platform), request))
    };
    let server = Server::build()
        .workers(WORKER_THREADS)
        .shutdown_timeout(1)
        .bind("platform", listen, factory)
        .map_err(|cause| Error::field("address", format!("{listen}: {cause}")))?;
    Ok(server.run())
}

async fn handle(platform: Arc<PlatformService>, mut request: Request) -> Result<Reply, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let reply = match (method, path.as_str()) {
        (Method::GET, "/v1/records") => platform.handle_records(&request).await,
        (Method::POST, "/admin/publish") => platform.handle_publish(&mut request).await,
        (Method::POST, "/admin/restore") => platform.handle_restore(&request),
        (Method::POST, "/admin/mode") => platform.handle_mode(&mut request).await,
        (Method::GET, "/admin/counts") => Ok(platform.handle_counts()),
        _ => Ok(http::empty_response(StatusCode::NOT_FOUND)),
    };
    Ok(reply.unwrap_or_else(|error_response| error_response))
}

/// Result of a read of the published records.
enum ReadResult {
    /// The failure mode makes the platform unavailable.
    Down,
    /// The store does not have the requested revision.
    Gone,
    /// The records above the requested revision, possibly none.
    Page(Page),
}

/// Published records, current failure mode and call counter of the platform stand-in.
struct PlatformState {
    store: Store,
    /// Copy of `store` that is served to readers while the mode is stale.
    ///
    /// Invariant: `Some` exactly while `mode.stale` is set.
    snapshot: Option<Store>,
    mode: Mode,
    calls: u64,
}

struct PlatformService {
    state: Mutex<PlatformState>,
    /// Counter that grows with every publication and change of mode. A change of the
    /// counter wakes the waiting watches.
    changes: watch::Sender<u64>,
}

impl PlatformService {
    fn new(store: Store) -> Self {
        let state = PlatformState { store, snapshot: None, mode: Mode::default(), calls: 0 };
        Self { state: Mutex::new(state), changes: watch::Sender::new(0) }
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_watches(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    async fn handle_records(&self, request: &Request) -> Result<Reply, Reply> {
        let delay = self.count_call();
        let after = http::number_parameter(request, "after")?;
        let max_wait =
            Duration::from_millis(http::number_parameter(request, "wait_ms")?).min(MAX_WATCH_WAIT);
        sleep(delay).await;
        Ok(match self.watch(after, max_wait).await {
            ReadResult::Down => http::empty_response(StatusCode::SERVICE_UNAVAILABLE),
            ReadResult::Gone => http::empty_response(StatusCode::GONE),
            ReadResult::Page(page) => http::json_response(StatusCode::OK, &page),
        })
    }

    /// Counts a read call and returns the response delay of the current mode.
    fn count_call(&self) -> Duration {
        let mut state = self.state();
        state.calls += 1;
        Duration::from_millis(state.mode.slow_ms.into())
    }

    async fn watch(&self, after: u64, max_wait: Duration) -> ReadResult {
        let deadline = Instant::now() + max_wait;
        // Subscribes before the first read, so that a change between read and wait is not missed.
        let mut changes = self.changes.subscribe();
        loop {
            match self.read(after) {
                ReadResult::Page(page) if page.records.is_empty() => {}
                result => return result,
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                return self.read(after);
            }
        }
    }

    fn read(&self, after: u64) -> ReadResult {
        let state = self.state();
        if state.mode.down {
            return ReadResult::Down;
        }
        let store = state.snapshot.as_ref().unwrap_or(&state.store);
        // A stale replica serves what it has.
        if !state.mode.stale && !store.has(after) {
            return ReadResult::Gone;
        }
        ReadResult::Page(store.page(after))
    }

    async fn handle_publish(&self, request: &mut Request) -> Result<Reply, Reply> {
        let page: Page = http::decode_body(request).await?;
        let head = self
            .state()
            .store
            .publish(page.records)
            .map_err(|error| http::text_response(error.status(), &error.to_string()))?;
        self.wake_watches();
        let page = Page { head, ..Page::default() };
        Ok(http::json_response(StatusCode::OK, &page))
    }

    fn handle_restore(&self, request: &Request) -> Result<Reply, Reply> {
        let copy = http::number_parameter(request, "copy")?;
        self.state().store.restore(copy);
        self.wake_watches();
        Ok(http::empty_response(StatusCode::OK))
    }

    async fn handle_mode(&self, request: &mut Request) -> Result<Reply, Reply> {
        let mode: Mode = http::decode_body(request).await?;
        self.state().set_mode(mode);
        self.wake_watches();
        Ok(http::empty_response(StatusCode::OK))
    }

    fn handle_counts(&self) -> Reply {
        let calls = self.state().calls;
        http::json_response(StatusCode::OK, &Counts { calls })
    }
}

impl PlatformState {
    /// Sets the failure mode. When the mode was stale already and stays stale, the existing
    /// snapshot is kept.
    fn set_mode(&mut self, mode: Mode) {
        self.snapshot = match self.snapshot.take() {
            _ if !mode.stale => None,
            Some(snapshot) => Some(snapshot),
            None => Some(self.store.clone()),
        };
        self.mode = mode;
    }
}
