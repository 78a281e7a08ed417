//! Processing of one request at a stand-in server: queueing, execution, cancellation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladder_schema::call::Part;
use ladder_schema::outcome::Reason;
use ladder_schema::target::{Answer, Refusal, Request};
use tokio::sync::{Notify, SemaphorePermit};
use tokio::time::sleep;

use super::server::Server;
use crate::answer;

/// Result of a request at a stand-in server.
pub(super) enum Outcome {
    /// The request was executed.
    Answer(Answer),
    /// The request was not executed and will not be.
    Refusal(Refusal),
    /// The request may have been executed.
    Failure(&'static str),
    /// The request is invalid.
    Malformed(&'static str),
}

/// Processes one request. Dropping the returned future, as happens when the client closes the
/// connection, frees the request's slot or place in the queue.
pub(super) async fn serve_request(server: &Arc<Server>, request: Request) -> Outcome {
    if request.id.is_empty() {
        return Outcome::Malformed("id: is empty");
    }
    if server.state().fault.failing {
        return Outcome::Failure("told to fail");
    }
    if let Some(reason) = server.refusal_reason(&request) {
        return build_refusal(server, request, reason);
    }
    let Some(open_request) = OpenRequest::new(server, &request.id) else {
        return Outcome::Malformed("id: another request with it is open");
    };
    match wait_for_slot(server, &request, &open_request).await {
        Ok(slot) => execute(server, request, &open_request, slot).await,
        Err(reason) => build_refusal(server, request, reason),
    }
}

/// Cancels the open request with this identifier. An identifier without an open request is ignored.
pub(super) fn cancel(server: &Server, id: &str) {
    if let Some(cancelled) = server.state().cancel_signals.get(id) {
        // `notify_one` stores the notification until the request waits for it, so that a
        // cancellation between queue and execution is not lost.
        cancelled.notify_one();
    }
}

/// Registration of an open request under its identifier, so that it can be cancelled; removed when
/// dropped.
struct OpenRequest<'a> {
    server: &'a Server,
    id: String,
    cancelled: Arc<Notify>,
}

impl<'a> OpenRequest<'a> {
    /// Registers a request. Returns `None` when another open request has the identifier.
    fn new(server: &'a Server, id: &str) -> Option<Self> {
        let cancelled = Arc::new(Notify::new());
        let mut state = server.state();
        if state.cancel_signals.contains_key(id) {
            return None;
        }
        state.cancel_signals.insert(id.to_owned(), Arc::clone(&cancelled));
        drop(state);
        Some(Self { server, id: id.to_owned(), cancelled })
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.server.state().cancel_signals.remove(&self.id);
    }
}

/// Place of a request in the server's queue; freed when dropped.
struct QueuePlace<'a> {
    server: &'a Server,
}

impl<'a> QueuePlace<'a> {
    /// Takes a place in the queue. Returns `None` when the queue is full.
    fn new(server: &'a Server) -> Option<Self> {
        let mut state = server.state();
        if state.queued >= server.settings().queue {
            return None;
        }
        state.queued += 1;
        Some(Self { server })
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.server.state().queued -= 1;
    }
}

/// Waits for a free slot. On failure, the error is the reason why the request gets no slot.
async fn wait_for_slot<'a>(
    server: &'a Server,
    request: &Request,
    open_request: &OpenRequest<'_>,
) -> Result<SemaphorePermit<'a>, Reason> {
    if let Ok(slot) = server.slots.try_acquire() {
        return Ok(slot);
    }
    let _place = QueuePlace::new(server).ok_or(Reason::TargetShed)?;
    let deadline = Duration::from_millis(request.deadline_ms.into());
    tokio::select! {
        biased;
        () = open_request.cancelled.notified() => Err(Reason::Cancelled),
        () = sleep(deadline) => Err(Reason::Cancelled),
        slot = server.slots.acquire() => slot.map_err(|_| Reason::TargetShed),
    }
}

/// Execution of a request in a slot; adds its time to the server's busy time when dropped.
struct Execution<'a> {
    server: &'a Server,
    started_at: Instant,
    _slot: SemaphorePermit<'a>,
}

impl<'a> Execution<'a> {
    /// Records the execution in the ledger and returns it with the duration to sleep as service
    /// time.
    fn new(server: &'a Server, request: &Request, slot: SemaphorePermit<'a>) -> (Self, Duration) {
        let mut state = server.state();
        state.executions.record(request);
        state.calls += 1;
        state.in_service += 1;
        let factor = server.slowdown(&state);
        let time = state.service_times.sample(factor);
        let time = state.service_times.compensate(time);
        let execution = Self { server, started_at: Instant::now(), _slot: slot };
        (execution, time)
    }

    /// Records that the execution completed. The time beyond `planned_time` counts as lateness.
    fn record_completion(&self, planned_time: Duration) {
        let lateness = self.started_at.elapsed().saturating_sub(planned_time);
        self.server.state().service_times.record_lateness(lateness);
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let mut state = self.server.state();
        state.in_service -= 1;
        state.busy_time += self.started_at.elapsed();
    }
}

async fn execute(
    server: &Arc<Server>,
    request: Request,
    open_request: &OpenRequest<'_>,
    slot: SemaphorePermit<'_>,
) -> Outcome {
    let (execution, time) = Execution::new(server, &request, slot);
    if let Some(down) = server.crash_duration(&request) {
        server.crash_for(down);
        // The crash closes the server's connections before any answer is sent.
        return std::future::pending().await;
    }
    tokio::select! {
        biased;
        () = open_request.cancelled.notified() => return Outcome::Failure("cancelled in service"),
        () = sleep(time) => {}
    }
    execution.record_completion(time);
    drop(execution);
    if server.state().fault.silent {
        open_request.cancelled.notified().await;
        return Outcome::Failure("cancelled without an answer");
    }
    Outcome::Answer(build_answer(request))
}

fn build_answer(request: Request) -> Answer {
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

fn build_refusal(server: &Server, request: Request, reason: Reason) -> Outcome {
    let retry_after_ms = match reason {
        Reason::TargetShed => backlog_ms(server),
        _ => 0,
    };
    Outcome::Refusal(Refusal { id: request.id, reason: reason.into(), retry_after_ms })
}

/// Returns the expected time to work off the queue, in milliseconds; at least 1.
fn backlog_ms(server: &Server) -> u32 {
    let settings = server.settings();
    let slots = settings.server.as_ref().map_or(1, |server| server.slots);
    let queued = server.state().queued;
    let backlog_us = u64::from(queued) * u64::from(settings.service_us) / u64::from(slots.max(1));
    u32::try_from(backlog_us / 1000).unwrap_or(u32::MAX).max(1)
}
