//! Drives a state machine of the core: events in, actions out, timers, detection of suspensions.

use std::time::Duration;

use ladder_core::time::Instant;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::Clock;

/// Longest sleep of a driver: a suspension is noticed within this time.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Events handled before their actions are carried out.
const BATCH: usize = 256;

/// A state machine as the driver sees it.
pub trait Machine {
    /// What it is told.
    type Event;
    /// What it asks for.
    type Action;

    /// Takes one event and appends what follows from it.
    fn handle(&mut self, now: Instant, event: Self::Event, out: &mut Vec<Self::Action>);
    /// When it wants a tick.
    fn next_wake(&self) -> Option<Instant>;
    /// The event for a passed timer.
    fn tick() -> Self::Event;
    /// The event for a suspension of this length.
    fn paused(gap: Duration) -> Self::Event;
}

/// Carries out the actions of a machine.
pub trait Performer<M: Machine> {
    /// Carries out and removes `actions`, which follow from events at `now`.
    fn perform(&mut self, now: Instant, actions: &mut Vec<M::Action>);
}

/// A question to a running machine; it carries its own way to answer.
pub type Question<M> = Box<dyn FnOnce(&M) + Send>;

/// What a driver receives.
pub enum Input<M: Machine> {
    /// An event for the machine.
    Event(M::Event),
    /// A question about its state.
    Question(Question<M>),
}

/// The way to a driver from any thread.
pub struct Handle<M: Machine> {
    inputs: mpsc::UnboundedSender<Input<M>>,
}

impl<M: Machine> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { inputs: self.inputs.clone() }
    }
}

impl<M: Machine> Handle<M> {
    /// Tells the machine; nothing happens when its driver has ended.
    pub fn tell(&self, event: M::Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Asks the machine; `None` when its driver has ended.
    pub async fn ask<T, F>(&self, question: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&M) -> T + Send + 'static,
    {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let question: Question<M> = Box::new(move |machine| {
            let _ = answer.send(question(machine));
        });
        self.inputs.send(Input::Question(question)).ok()?;
        answered.await.ok()
    }
}

/// The receiving end of a [`Handle`].
pub type Inbox<M> = mpsc::UnboundedReceiver<Input<M>>;

/// A handle and its inbox.
pub fn channel<M: Machine>() -> (Handle<M>, Inbox<M>) {
    let (inputs, inbox) = mpsc::unbounded_channel();
    (Handle { inputs }, inbox)
}

/// A machine with what carries out its actions.
pub struct Driver<M, P> {
    /// The machine.
    pub machine: M,
    /// Carries out its actions.
    pub performer: P,
    /// The process's clock.
    pub clock: Clock,
    /// A wake-up later than planned by this much counts as a suspension.
    pub pause: Duration,
}

impl<M: Machine, P: Performer<M>> Driver<M, P> {
    /// Runs until every handle is dropped.
    ///
    /// A process that was suspended wakes with queued messages, open deadlines and an old view. It
    /// shows as a wake-up far later than planned. The machine is told of the gap before any event
    /// that waited meanwhile, so it expires and stands down before it acts on old knowledge.
    pub async fn run(mut self, mut inbox: Inbox<M>) {
        let mut batch = Vec::with_capacity(BATCH);
        let mut actions = Vec::new();
        loop {
            let planned = self.planned_wake();
            let pause = planned.since(self.clock.now());
            let received = match timeout(pause, inbox.recv_many(&mut batch, BATCH)).await {
                Ok(0) => return,
                Ok(received) => received,
                Err(_) => 0,
            };
            let now = self.clock.now();
            let gap = now.since(planned);
            if gap > self.pause {
                self.machine.handle(now, M::paused(gap), &mut actions);
            }
            if received == 0 {
                self.machine.handle(now, M::tick(), &mut actions);
            }
            for input in batch.drain(..) {
                match input {
                    Input::Event(event) => self.machine.handle(now, event, &mut actions),
                    Input::Question(question) => question(&self.machine),
                }
            }
            self.performer.perform(now, &mut actions);
        }
    }

    /// The machine's next wake, at most one heartbeat away.
    fn planned_wake(&self) -> Instant {
        let latest = self.clock.now() + HEARTBEAT;
        self.machine.next_wake().map_or(latest, |wake| wake.min(latest))
    }
}
