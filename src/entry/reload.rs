//! Reloads the settings file while the daemon runs.

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

/// Interval between checks of the settings file, which may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Modification time and size of the settings file; the file is read again if either differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
}

impl FileVersion {
    fn of(path: &Path) -> Option<Self> {
        let data = fs::metadata(path).ok()?;
        Some(Self { modified: data.modified().ok()?, bytes: data.len() })
    }
}

/// Reads the settings file again on SIGHUP and whenever the file changes, until the process ends.
///
/// Without a handler, SIGHUP terminates the process, and an operator who only wants a reload would
/// abort every request in flight. Invalid settings are rejected and the old ones are kept.
///
/// # Errors
///
/// [`Error::Signal`] if the signal handler cannot be installed.
pub(super) async fn watch(shared: &Shared) -> Result<(), Error> {
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let mut settings = shared.options.instance.clone();
    let settings_path = shared.options.settings_path.as_deref();
    let mut last_version = settings_path.and_then(FileVersion::of);
    loop {
        let signalled = timeout(FILE_CHECK_INTERVAL, hangup.recv()).await.is_ok();
        let version = settings_path.and_then(FileVersion::of);
        if !signalled && version == last_version {
            continue;
        }
        last_version = version;
        let cause = if signalled { "signal" } else { "file" };
        match settings_path.map(file::load) {
            None => info!(shared.log, "reload: no settings file to read"; "cause" => cause),
            Some(Ok(new)) => apply(shared, &mut settings, new, cause),
            Some(Err(error)) => warn!(shared.log, "reload: settings refused, old ones kept";
                "cause" => cause, "error" => %error),
        }
    }
}

/// Applies the settings that may change at run time (the seeds) and logs whether other changes need
/// a restart.
fn apply(shared: &Shared, settings: &mut Instance, new: Instance, cause: &str) {
    let seeds = new.seeds.clone();
    let seeds_changed = settings.seeds != seeds;
    let with_old_seeds = Instance { seeds: settings.seeds.clone(), ..new };
    info!(shared.log, "reload: settings read"; "cause" => cause, "seeds_changed" => seeds_changed,
        "needs_restart" => with_old_seeds != *settings);
    if seeds_changed {
        shared.control.send(Event::Seeds(seeds.iter().map(|seed| seed.as_str().into()).collect()));
        settings.seeds = seeds;
    }
}
