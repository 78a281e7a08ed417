//! The graceful shutdown of an instance.

use std::time::Duration;

use ladder_core::{control, gather, leaf};
use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use super::{Error, Shared, reload};

/// How long new requests are still accepted after the instance reports that it is not ready, so
/// that the load balancer notices first: most load balancers check every second and react to the
/// second failed check.
const NOT_READY_NOTICE: Duration = Duration::from_millis(3000);
/// Interval between checks for open work and for the start of a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long new requests are still refused as not executed before the process ends. A broken
/// connection would leave their callers without a verdict.
const REFUSAL_PERIOD: Duration = Duration::from_millis(1000);

/// Waits for SIGTERM, SIGINT or an operator's drain request, then stops gracefully.
///
/// # Errors
///
/// [`Error::Signal`] if a signal handler cannot be installed.
pub fn wait(shared: &Shared) -> Result<(), Error> {
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
        tokio::select! {
            _ = terminate.recv() => begin(shared),
            _ = interrupt.recv() => begin(shared),
            () = begun(shared) => {}
            ended = reload::watch(shared) => ended?,
        }
        drain(shared).await;
        Ok(())
    })
}

/// Starts the graceful shutdown: the instance reports to the load balancer that it is not ready.
pub fn begin(shared: &Shared) {
    shared.ready.start_draining();
}

/// Waits until the instance is marked as draining.
async fn begun(shared: &Shared) {
    while !shared.ready.is_draining() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Finishes the work in flight, within the drain timeout of the settings.
///
/// Peers are informed first, so that ownership of services moves to them while this instance still
/// answers. New requests are accepted for a short time, since the load balancer learns late that
/// the instance is not ready.
async fn drain(shared: &Shared) {
    info!(shared.log, "graceful shutdown begins");
    let deadline = Instant::now() + shared.options.times.drain_timeout;
    shared.control.send(control::Event::Drain);
    sleep(NOT_READY_NOTICE.min(shared.options.times.drain_timeout * 5 / 8)).await;
    shared.leaf.send(leaf::Event::Drain);
    shared.gather.send(gather::Event::Drain);
    loop {
        let open = count_open(shared).await;
        if open == 0 {
            info!(shared.log, "graceful shutdown ends: no open work");
            break;
        }
        if Instant::now() >= deadline {
            warn!(shared.log, "graceful shutdown ends: drain timeout expired with open work";
                "open" => open);
            shared.gather.send(gather::Event::Cut);
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    sleep(REFUSAL_PERIOD).await;
    finish_responses(shared, deadline + REFUSAL_PERIOD).await;
}

/// Waits until all responses are written, at most until `deadline`.
async fn finish_responses(shared: &Shared, deadline: Instant) {
    while shared.unwritten_responses.count() > 0 {
        if Instant::now() >= deadline {
            warn!(shared.log, "graceful shutdown ends: callers have not read their responses";
                "responses" => shared.unwritten_responses.count());
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of open queries and portions.
async fn count_open(shared: &Shared) -> usize {
    let queries = shared.gather.inspect(gather::Machine::open).await.unwrap_or(0);
    let portions = shared.leaf.inspect(leaf::Machine::open).await.unwrap_or(0);
    queries + portions
}
