//! Limits the number of fleets that run at the same time.

use std::sync::{Condvar, Mutex, PoisonError};

/// Highest number of fleets that run at the same time in this test process.
const MAX_FLEETS: usize = 2;

static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Permit to run one fleet of processes; dropping it lets a waiting test start its fleet.
pub(crate) struct FleetPermit(());

impl FleetPermit {
    /// Waits until fewer than [`MAX_FLEETS`] fleets run, then takes a permit.
    pub(crate) fn acquire() -> Self {
        let running = RUNNING_FLEETS.lock().unwrap_or_else(PoisonError::into_inner);
        let running = FLEET_ENDED.wait_while(running, |running| *running >= MAX_FLEETS);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING_FLEETS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FLEET_ENDED.notify_one();
    }
}
