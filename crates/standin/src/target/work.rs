//! One request at a server: waiting, service, cancellation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladder_schema::call::Part;
use ladder_schema::outcome::Reason;
use ladder_schema::target::{Answer, Refusal, Request};
use tokio::sync::{Notify, SemaphorePermit};
use tokio::time::sleep;

use super::server::Server;
use crate::answer;

/// How a request ended.
pub(super) enum Outcome {
    /// It ran.
    Answer(Answer),
    /// It did not run and will not.
    Refusal(Refusal),
    /// It may have run.
    Failure(&'static str),
    /// It cannot be understood.
    Malformed(&'static str),
}

/// Answers a request. Dropping the future, as when the client closes the connection, gives slot
/// and queue place back.
pub(super) async fn serve(server: &Arc<Server>, request: Request) -> Outcome {
    if request.id.is_empty() {
        return Outcome::Malformed("id: is empty");
    }
    if server.state().fault.failing {
        return Outcome::Failure("told to fail");
    }
    if let Some(reason) = server.refusal(&request) {
        return refuse(server, request, reason);
    }
    let Some(open) = Open::new(server, &request.id) else {
        return Outcome::Malformed("id: another request with it is open");
    };
    match wait(server, &request, &open).await {
        Ok(slot) => run(server, request, &open, slot).await,
        Err(reason) => refuse(server, request, reason),
    }
}

/// Cancels an open request; any other identifier is ignored.
pub(super) fn cancel(server: &Server, id: &str) {
    if let Some(cancelled) = server.state().open.get(id) {
        // Keeps until it is waited for, so that a cancellation between queue and service counts.
        cancelled.notify_one();
    }
}

/// A request that can be cancelled.
struct Open<'a> {
    server: &'a Server,
    id: String,
    cancelled: Arc<Notify>,
}

impl<'a> Open<'a> {
    /// None when the identifier is in use.
    fn new(server: &'a Server, id: &str) -> Option<Self> {
        let cancelled = Arc::new(Notify::new());
        let mut state = server.state();
        if state.open.contains_key(id) {
            return None;
        }
        state.open.insert(id.to_owned(), Arc::clone(&cancelled));
        drop(state);
        Some(Self { server, id: id.to_owned(), cancelled })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.server.state().open.remove(&self.id);
    }
}

/// A place in the queue.
struct Place<'a> {
    server: &'a Server,
}

impl<'a> Place<'a> {
    /// None when the queue is full.
    fn new(server: &'a Server) -> Option<Self> {
        let mut state = server.state();
        if state.waiting >= server.settings().queue {
            return None;
        }
        state.waiting += 1;
        Some(Self { server })
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.server.state().waiting -= 1;
    }
}

/// Waits for a slot; the error says why the request does not get one.
async fn wait<'a>(
    server: &'a Server,
    request: &Request,
    open: &Open<'_>,
) -> Result<SemaphorePermit<'a>, Reason> {
    if let Ok(slot) = server.slots.try_acquire() {
        return Ok(slot);
    }
    let _place = Place::new(server).ok_or(Reason::TargetShed)?;
    let deadline = Duration::from_millis(request.deadline_ms.into());
    tokio::select! {
        biased;
        () = open.cancelled.notified() => Err(Reason::Cancelled),
        () = sleep(deadline) => Err(Reason::Cancelled),
        slot = server.slots.acquire() => slot.map_err(|_| Reason::TargetShed),
    }
}

/// Work in a slot; accounts for its time when dropped.
struct Work<'a> {
    server: &'a Server,
    begun: Instant,
    _slot: SemaphorePermit<'a>,
}

impl<'a> Work<'a> {
    /// Records the execution and draws its service time.
    fn new(server: &'a Server, request: &Request, slot: SemaphorePermit<'a>) -> (Self, Duration) {
        let mut state = server.state();
        state.executions.record(request);
        state.calls += 1;
        state.in_service += 1;
        let factor = server.slowdown(&state);
        let time = state.clock.draw(factor);
        let time = state.clock.shorten(time);
        let work = Self { server, begun: Instant::now(), _slot: slot };
        (work, time)
    }

    /// It was served to the end, which should have taken `time`.
    fn served(&self, time: Duration) {
        let late = self.begun.elapsed().saturating_sub(time);
        self.server.state().clock.overslept(late);
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        let mut state = self.server.state();
        state.in_service -= 1;
        state.busy += self.begun.elapsed();
    }
}

async fn run(
    server: &Arc<Server>,
    request: Request,
    open: &Open<'_>,
    slot: SemaphorePermit<'_>,
) -> Outcome {
    let (work, time) = Work::new(server, &request, slot);
    if let Some(down) = server.ends_at(&request) {
        server.end_for(down);
        // Its connections end with it, before anything is answered.
        return std::future::pending().await;
    }
    tokio::select! {
        biased;
        () = open.cancelled.notified() => return Outcome::Failure("cancelled in service"),
        () = sleep(time) => {}
    }
    work.served(time);
    drop(work);
    if server.state().fault.silent {
        open.cancelled.notified().await;
        return Outcome::Failure("cancelled without an answer");
    }
    Outcome::Answer(answer(request))
}

fn answer(request: Request) -> Answer {
    let parts = request.shards.into_iter().map(|shard| {
        let (index, version) = (&request.index, request.version);
        let body = answer::body(index, version, &shard, &request.key, &request.payload);
        Part { shard, body, response: None }
    });
    let parts = parts.collect();
    Answer {
        id: request.id,
        index: request.index,
        version: request.version,
        parts,
        occupancy: None,
    }
}

fn refuse(server: &Server, request: Request, reason: Reason) -> Outcome {
    let retry_after_ms = match reason {
        Reason::TargetShed => backlog_ms(server),
        _ => 0,
    };
    Outcome::Refusal(Refusal { id: request.id, reason: reason.into(), retry_after_ms })
}

/// Milliseconds of work in the queue; at least 1.
fn backlog_ms(server: &Server) -> u32 {
    let settings = server.settings();
    let slots = settings.server.as_ref().map_or(1, |server| server.slots);
    let waiting = server.state().waiting;
    let backlog_us = u64::from(waiting) * u64::from(settings.service_us) / u64::from(slots.max(1));
    u32::try_from(backlog_us / 1000).unwrap_or(u32::MAX).max(1)
}
