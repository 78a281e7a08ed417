//! Keeps the number of fleets that run at once low.

use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets at once.
const MOST: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run a fleet until it is dropped.
pub(crate) struct Turn(());

impl Turn {
    /// Waits for a turn.
    pub(crate) fn take() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let running = ENDED.wait_while(running, |running| *running >= MOST);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
