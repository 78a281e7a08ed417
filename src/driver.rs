//! Drives a state machine of the core: passes events in, carries out its actions, fires its timers
//! and detects process pauses.

use std::time::Duration;

use ladder_core::time::Instant;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::Clock;

/// Longest sleep of a driver. A process pause is noticed within this time.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Most events that are handled before their actions are carried out.
const MAX_EVENT_BATCH: usize = 256;

/// The interface of a state machine that a [`Driver`] runs.
pub trait Machine {
    /// Type of the events that the state machine handles.
    type Event;
    /// Type of the actions that the state machine requests: effects that the driver has to carry
    /// out.
    type Action;

    /// Handles one event and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Instant, event: Self::Event, actions: &mut Vec<Self::Action>);
    /// Returns the time at which the machine needs its next tick event, if it needs one.
    fn next_wake(&self) -> Option<Instant>;
    /// Returns the event that signals an expired timer.
    fn tick() -> Self::Event;
    /// Returns the event that signals that the process was paused for `gap`.
    fn paused(gap: Duration) -> Self::Event;
}

/// Carries out the actions of a state machine.
pub trait ActionExecutor<M: Machine> {
    /// Carries out and removes all `actions`; they result from events handled at `now`.
    fn execute(&mut self, now: Instant, actions: &mut Vec<M::Action>);
}

/// A closure that reads the state of a running machine and sends its result back itself.
pub type Inspection<M> = Box<dyn FnOnce(&M) + Send>;

/// Input that a driver receives from its handles.
pub enum Input<M: Machine> {
    /// An event that the machine has to handle.
    Event(M::Event),
    /// A closure that reads the state of the machine.
    Inspect(Inspection<M>),
}

/// Sends inputs to a driver from any thread.
pub struct Handle<M: Machine> {
    inputs: mpsc::UnboundedSender<Input<M>>,
}

impl<M: Machine> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { inputs: self.inputs.clone() }
    }
}

impl<M: Machine> Handle<M> {
    /// Sends an event to the machine; the event is discarded if the driver has ended.
    pub fn send(&self, event: M::Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Runs `inspect` on the machine in the driver's thread and returns the result, or `None` if
    /// the driver has ended.
    pub async fn inspect<T, F>(&self, inspect: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&M) -> T + Send + 'static,
    {
        let (sender, result) = tokio::sync::oneshot::channel();
        let inspect: Inspection<M> = Box::new(move |machine| {
            let _ = sender.send(inspect(machine));
        });
        self.inputs.send(Input::Inspect(inspect)).ok()?;
        result.await.ok()
    }
}

/// The receiving end of a [`Handle`].
pub type Inbox<M> = mpsc::UnboundedReceiver<Input<M>>;

/// Creates a handle and the inbox that receives its inputs.
pub fn channel<M: Machine>() -> (Handle<M>, Inbox<M>) {
    let (inputs, inbox) = mpsc::unbounded_channel();
    (Handle { inputs }, inbox)
}

/// A state machine together with the executor of its actions.
pub struct Driver<M, E> {
    /// The state machine that is driven.
    pub machine: M,
    /// Executor of the machine's actions.
    pub executor: E,
    /// Clock of the process.
    pub clock: Clock,
    /// A wake-up that is later than planned by more than this counts as a process pause.
    pub pause_threshold: Duration,
}

impl<M: Machine, E: ActionExecutor<M>> Driver<M, E> {
    /// Runs the machine until every handle is dropped.
    ///
    /// A process that was paused resumes with queued messages, open deadlines and an outdated view.
    /// The pause shows as a wake-up far later than planned. The machine receives the length of the
    /// gap before any event that arrived during the pause, so that it expires old requests and
    /// gives back its responsibilities before it acts on outdated state.
    pub async fn run(mut self, mut inbox: Inbox<M>) {
        let mut batch = Vec::with_capacity(MAX_EVENT_BATCH);
        let mut actions = Vec::new();
        loop {
            let planned = self.planned_wake();
            let sleep = planned.since(self.clock.now());
            let received = match timeout(sleep, inbox.recv_many(&mut batch, MAX_EVENT_BATCH)).await
            {
                Ok(0) => return,
                Ok(received) => received,
                Err(_) => 0,
            };
            let now = self.clock.now();
            let gap = now.since(planned);
            if gap > self.pause_threshold {
                self.machine.handle(now, M::paused(gap), &mut actions);
            }
            if received == 0 {
                self.machine.handle(now, M::tick(), &mut actions);
            }
            for input in batch.drain(..) {
                match input {
                    Input::Event(event) => self.machine.handle(now, event, &mut actions),
                    Input::Inspect(inspect) => inspect(&self.machine),
                }
            }
            self.executor.execute(now, &mut actions);
        }
    }

    /// Returns the time at which the machine next needs a tick, at most [`MAX_SLEEP`] from now.
    fn planned_wake(&self) -> Instant {
        let latest = self.clock.now() + MAX_SLEEP;
        self.machine.next_wake().map_or(latest, |wake| wake.min(latest))
    }
}
