//! Polls the status of the instances all the time, so that a value that goes back between two steps
//! of a test is detected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_schema::status::Instance;

use super::{Fleet, http};

/// Interval between two status requests to an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls the status of all instances of a fleet.
pub(crate) struct StatusMonitor {
    stop: Arc<AtomicBool>,
    pollers: Vec<JoinHandle<Vec<Instance>>>,
}

impl StatusMonitor {
    /// Starts to poll.
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses = fleet.run.instances.iter().map(|member| &member.admin_address);
        let pollers = addresses.cloned().map(|address| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || poll_status(&address, &stop))
        });
        let pollers = pollers.collect();
        Self { stop, pollers }
    }

    /// Stops polling, checks that no revision went back, and returns the statuses of each instance
    /// in order of time.
    pub(crate) fn finish(self) -> Vec<Vec<Instance>> {
        self.stop.store(true, Ordering::Relaxed);
        let seen = self.pollers.into_iter().map(|poller| {
            let seen = poller.join().expect("the polling thread does not panic");
            check_revisions_never_decrease(&seen);
            seen
        });
        seen.collect()
    }
}

fn poll_status(address: &str, stop: &AtomicBool) -> Vec<Instance> {
    let mut seen = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if let Ok(response) = http::get(address, "/status") {
            seen.push(response.json());
        }
        thread::sleep(POLL_INTERVAL);
    }
    seen
}

/// Checks that neither the revision of an instance nor that of any catalogue entry went back during
/// the life of its process.
fn check_revisions_never_decrease(seen: &[Instance]) {
    for pair in seen.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if before.incarnation != after.incarnation {
            continue;
        }
        let (name, was, is) = (&after.name, before.revision, after.revision);
        assert!(is >= was, "{name} went back from revision {was} to {is}");
        let services = after.services.iter();
        let entries: Map<&str, u64> = services.map(|s| (s.name.as_str(), s.revision)).collect();
        for service in &before.services {
            let is = entries.get(service.name.as_str()).copied().unwrap_or(0);
            let (entry, was) = (&service.name, service.revision);
            assert!(is >= was, "{name}: the entry {entry} went back from revision {was} to {is}");
        }
    }
}
