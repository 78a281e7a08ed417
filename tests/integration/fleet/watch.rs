//! Polls the status of the instances throughout a test, so that a temporary decrease of a revision
//! is detected too.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_schema::status::Instance;

use super::{Fleet, http};

/// Time between two status requests to an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Threads that poll the status of all instances of a fleet.
pub(crate) struct StatusMonitor {
    stop: Arc<AtomicBool>,
    pollers: Vec<JoinHandle<Vec<Instance>>>,
}

impl StatusMonitor {
    /// Starts one polling thread for each instance.
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

    /// Stops polling, checks that no revision decreased and returns the statuses of each instance
    /// in order of time.
    pub(crate) fn stop_and_collect(self) -> Vec<Vec<Instance>> {
        self.stop.store(true, Ordering::Relaxed);
        let statuses = self.pollers.into_iter().map(|poller| {
            let statuses = poller.join().expect("the polling thread does not panic");
            check_revisions_never_decrease(&statuses);
            statuses
        });
        statuses.collect()
    }
}

fn poll_status(address: &str, stop: &AtomicBool) -> Vec<Instance> {
    let mut statuses = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if let Ok(response) = http::get(address, "/status") {
            statuses.push(response.json());
        }
        thread::sleep(POLL_INTERVAL);
    }
    statuses
}

/// Checks that neither the revision of an instance nor that of any catalogue entry decreased during
/// one life of the process.
fn check_revisions_never_decrease(statuses: &[Instance]) {
    for pair in statuses.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if before.incarnation != after.incarnation {
            continue;
        }
        let (name, previous, current) = (&after.name, before.revision, after.revision);
        assert!(current >= previous, "{name}: the revision decreased from {previous} to {current}");
        let services = after.services.iter();
        let entry_revisions: Map<&str, u64> =
            services.map(|s| (s.name.as_str(), s.revision)).collect();
        for service in &before.services {
            let current = entry_revisions.get(service.name.as_str()).copied().unwrap_or(0);
            let (entry, previous) = (&service.name, service.revision);
            assert!(
                current >= previous,
                "{name}: the revision of the entry {entry} decreased from {previous} to {current}"
            );
        }
    }
}
