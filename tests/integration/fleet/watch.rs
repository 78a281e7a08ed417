//! Looks at the instances' status all the time, so that nothing is seen to go back in between.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_schema::status::Instance;

use super::{Fleet, http};

/// Between two looks at an instance.
const PERIOD: Duration = Duration::from_millis(25);

/// Watches all instances of a fleet.
pub(crate) struct Watch {
    stop: Arc<AtomicBool>,
    watchers: Vec<JoinHandle<Vec<Instance>>>,
}

impl Watch {
    /// Starts to look.
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses = fleet.run.instances.iter().map(|member| &member.admin_address);
        let watchers = addresses.cloned().map(|address| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || look(&address, &stop))
        });
        let watchers = watchers.collect();
        Self { stop, watchers }
    }

    /// Stops; checks that nothing went back; gives what was seen of each instance in order of time.
    pub(crate) fn finish(self) -> Vec<Vec<Instance>> {
        self.stop.store(true, Ordering::Relaxed);
        let seen = self.watchers.into_iter().map(|watcher| {
            let seen = watcher.join().expect("the watcher goes on");
            check_never_back(&seen);
            seen
        });
        seen.collect()
    }
}

fn look(address: &str, stop: &AtomicBool) -> Vec<Instance> {
    let mut seen = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if let Ok(response) = http::get(address, "/status") {
            seen.push(response.json());
        }
        thread::sleep(PERIOD);
    }
    seen
}

/// No instance's revision, nor that of any entry, went back while the process lived.
fn check_never_back(seen: &[Instance]) {
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
