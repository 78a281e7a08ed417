//! The graceful stop.

use std::time::Duration;

use ladder_core::{control, gather, leaf};
use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use super::{Error, Shared, reload};

/// How long callers are still taken after the balancer is told, so that it notices first: most ask
/// every second and believe the second answer.
const NOTICE: Duration = Duration::from_millis(3000);
/// Between looks at what is still open.
const LOOK: Duration = Duration::from_millis(20);
/// How long new callers are still refused as not run before the process ends: a broken connection
/// would leave them without a verdict.
const LINGER: Duration = Duration::from_millis(1000);

/// Waits for SIGTERM, SIGINT or an operator's drain, then stops gracefully.
///
/// # Errors
///
/// [`Error::Signal`] when the handlers cannot be installed.
pub fn wait(shared: &Shared) -> Result<(), Error> {
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
        tokio::select! {
            _ = terminate.recv() => request(shared),
            _ = interrupt.recv() => request(shared),
            () = requested(shared) => {}
            ended = reload::watch(shared) => ended?,
        }
        drain(shared).await;
        Ok(())
    })
}

/// Begins the stop: the balancer is told to look elsewhere.
pub fn request(shared: &Shared) {
    shared.ready.drain();
}

/// Waits until a stop has begun.
async fn requested(shared: &Shared) {
    while !shared.ready.is_draining() {
        sleep(LOOK).await;
    }
}

/// Finishes what is in flight, within the bound of the settings.
///
/// Peers are told first, so that ownership moves while this instance still answers. New callers
/// are taken for a short notice, since the balancer learns late that the instance is not ready.
async fn drain(shared: &Shared) {
    info!(shared.log, "stop begins");
    let bound = Instant::now() + shared.options.times.drain;
    shared.control.tell(control::Event::Drain);
    sleep(NOTICE.min(shared.options.times.drain * 5 / 8)).await;
    shared.leaf.tell(leaf::Event::Drain);
    shared.gather.tell(gather::Event::Drain);
    loop {
        let open = open(shared).await;
        if open == 0 {
            info!(shared.log, "stop ends, nothing is open");
            break;
        }
        if Instant::now() >= bound {
            warn!(shared.log, "stop ends at its bound"; "open" => open);
            shared.gather.tell(gather::Event::Cut);
            break;
        }
        sleep(LOOK).await;
    }
    sleep(LINGER).await;
}

/// Requests and portions still open.
async fn open(shared: &Shared) -> usize {
    let queries = shared.gather.ask(gather::Machine::open).await.unwrap_or(0);
    let portions = shared.leaf.ask(leaf::Machine::open).await.unwrap_or(0);
    queries + portions
}
