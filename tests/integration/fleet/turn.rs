//! Limits the number of fleets that run at the same time.

use std::sync::{Condvar, Mutex, PoisonError};

/// Largest number of fleets that run at the same time.
const MAX_FLEETS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static PERMIT_RETURNED: Condvar = Condvar::new();

/// Permit to run a fleet; returned when dropped.
pub(crate) struct FleetPermit(());

impl FleetPermit {
    /// Waits until another fleet may run and returns its permit.
    pub(crate) fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let running = PERMIT_RETURNED.wait_while(running, |running| *running >= MAX_FLEETS);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        PERMIT_RETURNED.notify_one();
    }
}
