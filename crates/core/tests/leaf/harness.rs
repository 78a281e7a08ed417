//! Test harness: a leaf machine with one view, a clock and a log of its actions.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::placement::{Group, LimitPart};
use ladder_core::count::{self, Count};
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::leaf::{Action, Event, Machine, Settings};
use ladder_core::schema::catalogue::{Entry, Limits, Operation, Urgency};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::publication::Holding;
use ladder_core::schema::{call, target, wire};
use ladder_core::time::Instant;
use ladder_core::view::{Candidate, Peer, Server, Service, View};

pub(crate) const SERVICE: &str = "docks";
pub(crate) const INDEX: &str = "stations";

/// A call that the machine sent.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) connection: ConnectionKey,
    pub(crate) attempt: AttemptKey,
    pub(crate) request: target::Request,
    pub(crate) address: Arc<str>,
}

impl SentCall {
    /// The matching answer to the request.
    pub(crate) fn answer(&self) -> Outcome {
        Outcome::Answer(answer(&self.request, |shard| format!("{shard}: 3 free")))
    }

    /// A refusal of the request.
    pub(crate) fn refusal(&self, reason: Reason, retry_after_ms: u32) -> Outcome {
        refusal(&self.request, reason, retry_after_ms)
    }
}

/// The matching answer to a request, with the bodies of its parts computed by `body`.
pub(crate) fn answer(request: &target::Request, body: impl Fn(&str) -> String) -> target::Answer {
    let part =
        |shard: &String| call::Part { shard: shard.clone(), body: body(shard), response: None };
    target::Answer {
        id: request.id.clone(),
        index: request.index.clone(),
        version: request.version,
        parts: request.shards.iter().map(part).collect(),
        occupancy: None,
    }
}

pub(crate) fn refusal(request: &target::Request, reason: Reason, retry_after_ms: u32) -> Outcome {
    let (id, reason) = (request.id.clone(), reason.into());
    Outcome::Refusal(target::Refusal { id, reason, retry_after_ms })
}

/// Fixture that holds the machine under test, the current time, the logged actions and the open
/// connections.
pub(crate) struct Harness {
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    pub(crate) log: Vec<Action>,
    pub(crate) opened: Vec<(ConnectionKey, Arc<str>)>,
    query: u64,
}

pub(crate) fn settings() -> Settings {
    Settings::builder("porto-1", 7).seed(1).build()
}

pub(crate) fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: "127.0.0.1:1".into() }
}

/// A server with two slots that serves index version 1.
pub(crate) fn server(number: u8) -> Server {
    Server {
        name: format!("docks-{number}").into(),
        address: format!("10.0.0.{number}:80").into(),
        zone: "trindade".into(),
        incarnation: 1,
        leaving: false,
        evacuated: false,
        warmup: Duration::ZERO,
        slots: 2,
        share: 6,
        holdings: vec![holding(1)],
    }
}

pub(crate) fn holding(version: u64) -> Holding {
    Holding { index: INDEX.into(), version }
}

pub(crate) fn entry() -> Entry {
    let operation = |name: &str, unrepeatable, urgency: Urgency| Operation {
        name: name.into(),
        unrepeatable,
        urgency: urgency.into(),
        ..Operation::default()
    };
    Entry {
        service: SERVICE.into(),
        urgency: Urgency::Elevated.into(),
        limits: Some(Limits { queue: 100, extra_percent: 5, ..Limits::default() }),
        operations: vec![
            operation("sweep", false, Urgency::Unspecified),
            operation("check", false, Urgency::Urgent),
            operation("rounds", false, Urgency::Ordinary),
            operation("book", true, Urgency::Unspecified),
        ],
        ..Entry::default()
    }
}

/// A service that the instance under test owns.
pub(crate) fn service(servers: Vec<Server>) -> Service {
    let candidate = |name: &str, local| Candidate { peer: peer(name), live: true, local };
    Service {
        name: SERVICE.into(),
        entry: Arc::new(entry()),
        servers,
        candidates: vec![candidate("porto-1", true), candidate("porto-2", false)],
        sharer_count: 1,
        limit_part: LimitPart::default(),
        has_few_connections: false,
        keeps_idle_connection: true,
    }
}

/// A service that the instance under test owns, with these limits in its catalogue entry.
pub(crate) fn limited(limits: Limits, servers: Vec<Server>) -> Service {
    let entry = Entry { limits: Some(limits), ..entry() };
    Service { entry: Arc::new(entry), ..service(servers) }
}

pub(crate) fn view(service: Service) -> Event {
    let mut view = View { ready: true, ..View::default() };
    view.insert(service);
    Event::View(Arc::new(view))
}

/// A work message of one portion with a budget of 500 ms.
pub(crate) fn work(query: u64, operation: &str) -> wire::Work {
    wire::Work {
        query,
        round: 1,
        key: format!("key-{query}"),
        attempt: 1,
        index: INDEX.into(),
        version: 1,
        operation: operation.into(),
        budget_us: 500_000,
        unrepeatable: operation == "book",
        portions: vec![wire::Portion {
            service: SERVICE.into(),
            shards: vec!["s1".into(), "s2".into()],
            repeated: false,
            eligible: None,
        }],
        ..wire::Work::default()
    }
}

/// Cancellation of a query by the entry instance of [`Harness::deliver_work`].
pub(crate) fn cancel(query: u64) -> Event {
    Event::Cancel { from: "porto-2".into(), cancel: wire::Cancel { query, incarnation: 9 } }
}

impl Harness {
    /// Creates a harness whose machine owns the service, without established connections.
    pub(crate) fn unconnected(settings: Settings, service: Service) -> Self {
        let mut harness = Self {
            machine: Machine::new(settings),
            now: Instant::from_millis(1000),
            log: Vec::new(),
            opened: Vec::new(),
            query: 1_000_000,
        };
        harness.handle(view(service));
        harness
    }

    /// Creates a harness whose machine owns a service of two servers, with all its connections
    /// established.
    pub(crate) fn new() -> Self {
        Self::connected(settings(), service(vec![server(1), server(2)]))
    }

    pub(crate) fn connected(settings: Settings, service: Service) -> Self {
        let mut harness = Self::unconnected(settings, service);
        harness.connect();
        harness
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.now, event, &mut out);
        for action in &out {
            match action {
                Action::Open { connection, address, .. } => {
                    self.opened.push((*connection, Arc::clone(address)));
                }
                Action::Close(connection) => self.opened.retain(|(open, _)| open != connection),
                _ => {}
            }
        }
        self.log.append(&mut out);
    }

    /// Establishes every connection that the machine requested.
    pub(crate) fn connect(&mut self) {
        let log = std::mem::take(&mut self.log);
        for action in log {
            match action {
                Action::Open { connection, .. } => self.handle(Event::Opened(connection)),
                other => self.log.push(other),
            }
        }
    }

    /// Closes every established or requested connection; returns the number of closed connections.
    pub(crate) fn close_all_connections(&mut self) -> usize {
        let connections = std::mem::take(&mut self.opened);
        for (connection, _) in &connections {
            self.handle(Event::Closed(*connection));
        }
        connections.len()
    }

    /// Advances the clock and sends ticks at the times that the machine requested.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(at) = self.machine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    pub(crate) fn deliver_work(&mut self, work: wire::Work) {
        self.handle(Event::Work { from: peer("porto-2"), incarnation: 9, work });
    }

    pub(crate) fn end_call(&mut self, attempt: AttemptKey, outcome: Outcome) {
        if !matches!(outcome, Outcome::Answer(_) | Outcome::Refusal(_)) {
            let connection = self.connection_of(attempt);
            self.opened.retain(|(open, _)| Some(*open) != connection);
        }
        self.handle(Event::Ended { attempt, outcome });
    }

    /// Clears the log, delivers work for one query and returns the first call.
    pub(crate) fn deliver_and_take_call(&mut self, query: u64, operation: &str) -> SentCall {
        self.log.clear();
        self.deliver_work(work(query, operation));
        self.sent().remove(0)
    }

    pub(crate) fn answer(&mut self, sent: &SentCall) {
        self.end_call(sent.attempt, sent.answer());
    }

    /// Answers the first call since the log was last cleared.
    pub(crate) fn answer_first(&mut self) {
        self.answer(&self.sent()[0]);
    }

    pub(crate) fn answer_all(&mut self, calls: impl IntoIterator<Item = SentCall>) {
        for sent in calls {
            self.answer(&sent);
        }
    }

    /// Passes each sent call to `end`, including calls that result from those ends; returns the
    /// number of calls.
    pub(crate) fn end_each_call(&mut self, mut end: impl FnMut(&mut Self, &SentCall)) -> usize {
        let mut handled = 0;
        while let Some(sent) = self.sent().get(handled) {
            handled += 1;
            end(self, sent);
        }
        handled
    }

    /// Delivers sweeps with these query numbers.
    pub(crate) fn deliver_sweeps(&mut self, queries: impl IntoIterator<Item = u64>) {
        for query in queries {
            self.deliver_work(work(query, "sweep"));
        }
    }

    fn connection_of(&self, wanted: AttemptKey) -> Option<ConnectionKey> {
        self.log.iter().find_map(|action| match action {
            Action::Send { connection, attempt, .. } if *attempt == wanted => Some(*connection),
            _ => None,
        })
    }

    fn filter_log<T>(&self, pick: impl FnMut(&Action) -> Option<T>) -> Vec<T> {
        self.log.iter().filter_map(pick).collect()
    }

    /// Calls sent since the log was last cleared.
    pub(crate) fn sent(&self) -> Vec<SentCall> {
        let address_of = |wanted: &ConnectionKey| {
            let found = self.opened.iter().find(|(connection, _)| connection == wanted);
            found.map_or_else(|| "closed".into(), |(_, address)| Arc::clone(address))
        };
        self.filter_log(|action| match action {
            Action::Send { connection, attempt, request, .. } => {
                let (request, address) = (request.clone(), address_of(connection));
                Some(SentCall { connection: *connection, attempt: *attempt, request, address })
            }
            _ => None,
        })
    }

    /// Verdict and reason of each reply since the log was last cleared.
    pub(crate) fn replies(&self) -> Vec<(Verdict, Reason)> {
        self.filter_log(|action| match action {
            Action::Reply { reply, .. } => Some((reply.verdict(), reply.reason())),
            _ => None,
        })
    }

    pub(crate) fn counted(&self, event: count::Event, reason: Reason) -> usize {
        let wanted = Action::Count(Count { event, reason });
        self.log.iter().filter(|action| **action == wanted).count()
    }

    /// Answers `count` sweeps one at a time after `millis` each, so that the machine learns call
    /// times, and clears the log.
    pub(crate) fn learn_call_times(&mut self, count: usize, millis: u64) {
        for _ in 0..count {
            self.query += 1;
            let sent = self.deliver_and_take_call(self.query, "sweep");
            self.advance(millis);
            self.answer(&sent);
        }
        self.log.clear();
    }

    /// Connections of the load report requests since the log was last cleared.
    pub(crate) fn probed_connections(&self) -> Vec<ConnectionKey> {
        self.filter_log(|action| match action {
            Action::Probe { connection, .. } => Some(*connection),
            _ => None,
        })
    }

    /// Retry delay in the latest reply, in milliseconds.
    pub(crate) fn last_retry_after_ms(&self) -> u32 {
        let retry_delays = self.filter_log(|action| match action {
            Action::Reply { reply, .. } => Some(reply.retry_after_ms),
            _ => None,
        });
        *retry_delays.last().expect("a reply")
    }

    /// Sends 4000 sweeps, one per millisecond, to servers that take `call_ms` milliseconds per
    /// call, and returns the queries that were accepted.
    pub(crate) fn run_overload(&mut self, call_ms: u64) -> Vec<u64> {
        let mut running: Vec<(Instant, SentCall)> = Vec::new();
        let mut accepted = Vec::new();
        for query in 0..4000 {
            self.log.clear();
            self.deliver_work(work(query, "sweep"));
            if self.replies().is_empty() {
                accepted.push(query);
            }
            let due = self.now + Duration::from_millis(call_ms);
            running.extend(self.sent().into_iter().map(|sent| (due, sent)));
            self.advance(1);
            let finished: Vec<_> = running.extract_if(.., |(due, _)| *due <= self.now).collect();
            for (_, sent) in finished {
                self.log.clear();
                self.answer(&sent);
                let due = self.now + Duration::from_millis(call_ms);
                running.extend(self.sent().into_iter().map(|sent| (due, sent)));
            }
        }
        accepted
    }
}

/// The part of one of so many instances with equal parts in the limits of the fleet.
pub(crate) fn one_of(size: u32) -> LimitPart {
    LimitPart::equal(Group { size, position: 0 })
}
