//! Settings that are read again while the daemon runs.

use std::fs;
use std::path::Path;
use std::time::{Duration, SystemTime};

use ladder_core::control::Event;
use ladder_schema::settings::Instance;
use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use super::{Error, Shared};
use crate::options::file;

/// Between looks at the file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// What a file looked like: it is read again when this differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    modified: SystemTime,
    bytes: u64,
}

impl Stamp {
    fn of(path: &Path) -> Option<Self> {
        let data = fs::metadata(path).ok()?;
        Some(Self { modified: data.modified().ok()?, bytes: data.len() })
    }
}

/// Reads the settings file again at SIGHUP and whenever it changes, until the process ends.
///
/// Without a handler SIGHUP ends a process: an operator who only asks it to read its settings would
/// cut every request in flight. Settings that are not usable are refused and the old ones kept.
///
/// # Errors
///
/// [`Error::Signal`] when the handler cannot be installed.
pub(super) async fn watch(shared: &Shared) -> Result<(), Error> {
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let mut settings = shared.options.instance.clone();
    let source = shared.options.source.as_deref();
    let mut seen = source.and_then(Stamp::of);
    loop {
        let signalled = timeout(LOOK, hangup.recv()).await.is_ok();
        let stamp = source.and_then(Stamp::of);
        if !signalled && stamp == seen {
            continue;
        }
        seen = stamp;
        let cause = if signalled { "signal" } else { "file" };
        match source.map(file::load) {
            None => info!(shared.log, "reload: no file to read"; "cause" => cause),
            Some(Ok(new)) => take(shared, &mut settings, new, cause),
            Some(Err(error)) => warn!(shared.log, "reload: settings refused, the old ones stay";
                "cause" => cause, "error" => %error),
        }
    }
}

/// Takes over what may change while the daemon runs, and names what needs a restart.
fn take(shared: &Shared, settings: &mut Instance, new: Instance, cause: &str) {
    let seeds = new.seeds.clone();
    let taken = settings.seeds != seeds;
    let rest = Instance { seeds: settings.seeds.clone(), ..new };
    info!(shared.log, "reload: settings read"; "cause" => cause, "seeds_changed" => taken,
        "needs_restart" => rest != *settings);
    if taken {
        shared.control.tell(Event::Seeds(seeds.iter().map(|seed| seed.as_str().into()).collect()));
        settings.seeds = seeds;
    }
}
