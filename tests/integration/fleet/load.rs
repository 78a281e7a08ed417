//! Callers that send requests until they are stopped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ladder_schema::call::Request;

use super::call::{BAGMATI, Exchange, send_request};
use super::wait_until;

/// Time between a caller's answer and its next request.
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(10);

/// Caller threads that send requests to several instances in rotation.
pub(crate) struct CallerLoad {
    stop: Arc<AtomicBool>,
    answer_count: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
}

impl CallerLoad {
    /// Starts `callers` threads; each sends the requests that `next_request` makes from the number
    /// of the caller and the number of the request.
    pub(crate) fn start(
        addresses: &[String],
        callers: usize,
        next_request: impl Fn(usize, usize) -> Request + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answer_count = Arc::new(AtomicUsize::new(0));
        let next_request = Arc::new(next_request);
        let callers = (0..callers).map(|caller| {
            let (stop, answer_count) = (Arc::clone(&stop), Arc::clone(&answer_count));
            let (addresses, next_request) = (addresses.to_vec(), Arc::clone(&next_request));
            thread::spawn(move || {
                let mut exchanges = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let number = exchanges.len();
                    let address = &addresses[(caller + number) % addresses.len()];
                    exchanges.push(send_request(address, next_request(caller, number)));
                    answer_count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(PAUSE_BETWEEN_REQUESTS);
                }
                exchanges
            })
        });
        let callers = callers.collect();
        Self { stop, answer_count, callers }
    }

    /// Starts callers that send sweeps; all request keys begin with `key_prefix`.
    pub(crate) fn start_sweeps(
        key_prefix: &'static str,
        addresses: &[String],
        callers: usize,
    ) -> Self {
        Self::start(addresses, callers, move |caller, number| {
            BAGMATI.sweep(&format!("{key_prefix}-{caller}-{number}"))
        })
    }

    /// Starts callers that send sweeps and bookings alternately. The bookings rotate over `shards`;
    /// all request keys begin with `key_prefix`.
    pub(crate) fn start_mixed(
        key_prefix: &'static str,
        addresses: &[String],
        callers: usize,
        shards: Vec<String>,
    ) -> Self {
        Self::start(addresses, callers, move |caller, number| {
            let key = format!("{key_prefix}-{caller}-{number}");
            match number % 2 {
                0 => BAGMATI.sweep(&key),
                _ => BAGMATI.booking(&key, &shards[(caller + number / 2) % shards.len()]),
            }
        })
    }

    /// Waits until the callers have received `answers` more answers.
    pub(crate) fn wait_for_answers(&self, answers: usize) {
        let goal = self.answer_count.load(Ordering::Relaxed) + answers;
        wait_until("callers receive the expected number of answers", || {
            self.answer_count.load(Ordering::Relaxed) >= goal
        });
    }

    /// Stops the callers and returns all requests with their outcomes.
    pub(crate) fn stop_and_collect(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let callers = self.callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("the caller thread does not panic"))
            .collect()
    }
}
