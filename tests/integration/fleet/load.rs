//! Callers that keep asking until they are told to stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ladder_schema::call::Request;

use super::call::{BAGMATI, Exchange, ask};
use super::until;

/// Between a caller's answer and its next request.
const PAUSE: Duration = Duration::from_millis(10);

/// Callers that ask through some instances in turn.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
}

impl Load {
    /// Starts `callers` that send, each for itself, what `next` makes of the caller's number and
    /// the request's.
    pub(crate) fn start(
        doors: &[String],
        callers: usize,
        next: impl Fn(usize, usize) -> Request + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let next = Arc::new(next);
        let callers = (0..callers).map(|caller| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            let (doors, next) = (doors.to_vec(), Arc::clone(&next));
            thread::spawn(move || {
                let mut exchanges = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let number = exchanges.len();
                    let door = &doors[(caller + number) % doors.len()];
                    exchanges.push(ask(door, next(caller, number)));
                    answered.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
                exchanges
            })
        });
        let callers = callers.collect();
        Self { stop, answered, callers }
    }

    /// Callers of sweeps; `name` begins their keys.
    pub(crate) fn sweeps(name: &'static str, doors: &[String], callers: usize) -> Self {
        Self::start(doors, callers, move |caller, number| {
            BAGMATI.sweep(&format!("{name}-{caller}-{number}"))
        })
    }

    /// Callers of sweeps and bookings by turns; the bookings go over `shards` in turn, `name`
    /// begins the keys.
    pub(crate) fn mixed(
        name: &'static str,
        doors: &[String],
        callers: usize,
        shards: Vec<String>,
    ) -> Self {
        Self::start(doors, callers, move |caller, number| {
            let key = format!("{name}-{caller}-{number}");
            match number % 2 {
                0 => BAGMATI.sweep(&key),
                _ => BAGMATI.booking(&key, &shards[(caller + number / 2) % shards.len()]),
            }
        })
    }

    /// Waits for this many more answers.
    pub(crate) fn until_more(&self, answers: usize) {
        let goal = self.answered.load(Ordering::Relaxed) + answers;
        until("callers get answers", || self.answered.load(Ordering::Relaxed) >= goal);
    }

    /// Stops and gives all requests with their outcomes.
    pub(crate) fn finish(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let callers = self.callers.into_iter();
        callers.flat_map(|caller| caller.join().expect("a caller goes on")).collect()
    }
}
