//! Load of callers that send requests until they are stopped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ladder_schema::call::Request;

use super::call::{BAGMATI, Exchange, ask};
use super::wait_until;

/// Pause between an answer to a caller and the caller's next request.
const PAUSE: Duration = Duration::from_millis(10);

/// Callers that send requests to several instances in turn.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
}

impl Load {
    /// Starts `callers` callers. Each sends the requests that `next` creates from the caller's
    /// number and the request's number.
    pub(crate) fn start(
        caller_addresses: &[String],
        callers: usize,
        next: impl Fn(usize, usize) -> Request + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let next = Arc::new(next);
        let callers = (0..callers).map(|caller| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            let (caller_addresses, next) = (caller_addresses.to_vec(), Arc::clone(&next));
            thread::spawn(move || {
                let mut exchanges = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let number = exchanges.len();
                    let caller_address =
                        &caller_addresses[(caller + number) % caller_addresses.len()];
                    exchanges.push(ask(caller_address, next(caller, number)));
                    answered.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
                exchanges
            })
        });
        let callers = callers.collect();
        Self { stop, answered, callers }
    }

    /// Starts callers that send sweeps; `name` is the prefix of their request keys.
    pub(crate) fn sweeps(name: &'static str, caller_addresses: &[String], callers: usize) -> Self {
        Self::start(caller_addresses, callers, move |caller, number| {
            BAGMATI.sweep(&format!("{name}-{caller}-{number}"))
        })
    }

    /// Starts callers that alternate between sweeps and bookings; the bookings use the `shards` in
    /// turn, and `name` is the prefix of the request keys.
    pub(crate) fn mixed(
        name: &'static str,
        caller_addresses: &[String],
        callers: usize,
        shards: Vec<String>,
    ) -> Self {
        Self::start(caller_addresses, callers, move |caller, number| {
            let key = format!("{name}-{caller}-{number}");
            match number % 2 {
                0 => BAGMATI.sweep(&key),
                _ => BAGMATI.booking(&key, &shards[(caller + number / 2) % shards.len()]),
            }
        })
    }

    /// Waits until the callers have received `answers` more answers.
    pub(crate) fn wait_for_answers(&self, answers: usize) {
        let target_count = self.answered.load(Ordering::Relaxed) + answers;
        wait_until("callers get answers", || self.answered.load(Ordering::Relaxed) >= target_count);
    }

    /// Stops the callers and returns all requests with their results.
    pub(crate) fn finish(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let callers = self.callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("the caller thread does not panic"))
            .collect()
    }
}
