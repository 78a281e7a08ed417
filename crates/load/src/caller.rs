//! Sends scheduled queries on time, through all instances in turn like a balancer.
//!
//! Each thread has a runtime, a connection pool and its own slice of the schedule. A query is sent
//! by a task of its own, so that none waits for another's answer, and its latency counts from the
//! scheduled time: a delay of this tool or of a full backlog shows in the figures. Timers are
//! exact to a millisecond.

use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use ladder_core::collections::Set;
use ladder_schema::call;

use crate::check::{self, Asked, Mistake};
use crate::plan::Plan;
use crate::rotation::Rotation;
use crate::schedule::Arrival;

/// How long after its deadline an answer may still arrive.
pub const GRACE: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than the servers' own idle limit, so that no request is written to a connection that
/// the other end is about to close: such a request would count as lost.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// What a caller got in the end.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer or refusal.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer without the bodies of its parts, which have been checked.
        answer: Box<call::Answer>,
        /// What is untrue in it.
        mistakes: Vec<Mistake>,
    },
    /// A response that is no answer.
    Undecodable {
        /// HTTP status.
        status: u16,
    },
    /// Nothing: the connection broke, no instance accepted it, or the time ran out.
    Lost {
        /// What the last attempt met.
        cause: String,
    },
}

/// One query and what became of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Position of its class in the plans.
    pub class: usize,
    /// Request key.
    pub key: String,
    /// Positions of its shards in the plan.
    pub shards: Vec<usize>,
    /// Scheduled time after the start.
    pub at: Duration,
    /// From the scheduled time to the end of the answer.
    pub latency: Duration,
    /// Requests that were written or may have been.
    pub attempts: u32,
    /// Instances that refused the connection.
    pub refusals: u32,
    /// The outcome.
    pub outcome: Outcome,
}

/// How queries are sent.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the instances.
    pub instances: Vec<String>,
    /// Start of the request keys.
    pub prefix: String,
    /// A query that was lost is asked once more through another instance.
    pub retries: bool,
    /// Instances are asked whether they are ready, as the platform's balancer does.
    pub checks: bool,
    /// Start of the schedule.
    pub start: Instant,
}

/// Sends `arrivals` and returns a record of each; runs inside an actix system.
pub async fn send(plans: Rc<[Plan]>, arrivals: Vec<Arrival>, options: Options) -> Vec<Record> {
    let rotation = Rotation::new(&options.instances);
    let checks = options.checks.then(|| actix_rt::spawn(rotation.clone().check()));
    let caller = Rc::new(Caller::new(plans, options, rotation));
    let mut open = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let due = caller.options.start + arrival.at;
        tokio::time::sleep_until(due.into()).await;
        let caller = Rc::clone(&caller);
        open.push(actix_rt::spawn(async move { caller.query(arrival).await }));
    }
    let mut records = Vec::with_capacity(open.len());
    for task in open {
        records.extend(task.await);
    }
    checks.iter().for_each(actix_rt::task::JoinHandle::abort);
    records
}

struct Caller {
    client: Client,
    plans: Rc<[Plan]>,
    options: Options,
    rotation: Rotation,
}

/// What one attempt at one instance gave.
enum Attempt {
    Refused(String),
    Broken(String),
    Response(u16, Vec<u8>),
}

impl Caller {
    fn new(plans: Rc<[Plan]>, options: Options, rotation: Rotation) -> Self {
        let connector =
            Connector::new().limit(0).timeout(CONNECT_TIMEOUT).conn_keep_alive(KEEP_ALIVE);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client, plans, options, rotation }
    }

    async fn query(&self, arrival: Arrival) -> Record {
        let plan = &self.plans[arrival.class];
        let key = format!("{}-{}", self.options.prefix, arrival.sequence);
        let due = self.options.start + arrival.at;
        let mut request = request(plan, &arrival, &key);
        let mut turn = arrival.sequence as usize;
        let mut refusals = 0;
        let mut last = self.attempt(&request, &mut turn, &mut refusals, due).await;
        if self.options.retries && matches!(last, Attempt::Broken(_)) {
            request.attempt = 2;
            turn += 1;
            last = self.attempt(&request, &mut turn, &mut refusals, Instant::now()).await;
        }
        Record {
            class: arrival.class,
            latency: due.elapsed(),
            attempts: request.attempt,
            refusals,
            outcome: outcome(plan, &arrival, &request, last),
            key,
            shards: arrival.shards,
            at: arrival.at,
        }
    }

    /// Asks the instance whose turn it is; one that fails its health check or accepts no connection
    /// is passed over.
    async fn attempt(
        &self,
        request: &call::Request,
        turn: &mut usize,
        refusals: &mut u32,
        since: Instant,
    ) -> Attempt {
        let limit = Duration::from_millis(u64::from(request.deadline_ms)) + GRACE;
        let mut last = Attempt::Refused("no instance".to_owned());
        for _ in 0..self.rotation.len() {
            let address = self.rotation.next(turn);
            let exchange = self.exchange(address, request);
            let end = (since + limit).into();
            last = match tokio::time::timeout_at(end, exchange).await {
                Ok(attempt) => attempt,
                Err(_) => return Attempt::Broken(format!("no answer from {address} in time")),
            };
            if !matches!(last, Attempt::Refused(_)) {
                return last;
            }
            *turn += 1;
            *refusals += 1;
        }
        last
    }

    async fn exchange(&self, address: &str, request: &call::Request) -> Attempt {
        let url = format!("http://{address}/query");
        let mut response = match self.client.post(url).send_json(request).await {
            Ok(response) => response,
            Err(error) if is_unsent(&error) => {
                return Attempt::Refused(format!("{address}: {error}"));
            }
            Err(error) => return Attempt::Broken(format!("{address}: {error}")),
        };
        let status = response.status().as_u16();
        match response.body().limit(ANSWER_BYTES).await {
            Ok(body) => Attempt::Response(status, body.to_vec()),
            Err(error) => Attempt::Broken(format!("{address}: {error}")),
        }
    }
}

/// Whether the request was never written.
///
/// The client library reports a connection that ends before the response as the connect error
/// `Disconnected`, although the request was written. Taken for a refused connection it would be
/// sent again, and an unrepeatable request would run twice.
fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

fn request(plan: &Plan, arrival: &Arrival, key: &str) -> call::Request {
    let named = |shard: &usize| plan.shards[*shard].name.clone();
    call::Request {
        key: key.to_owned(),
        attempt: 1,
        index: plan.index.clone(),
        operation: plan.class.operation.clone(),
        shards: if plan.whole { Vec::new() } else { arrival.shards.iter().map(named).collect() },
        deadline_ms: plan.deadline_ms,
        unrepeatable: false,
        payload: format!("{}-{}", plan.class.name, arrival.sequence),
        message: None,
    }
}

fn outcome(plan: &Plan, arrival: &Arrival, request: &call::Request, last: Attempt) -> Outcome {
    let (status, body) = match last {
        Attempt::Refused(cause) | Attempt::Broken(cause) => return Outcome::Lost { cause },
        Attempt::Response(status, body) => (status, body),
    };
    let Ok(mut answer) = serde_json::from_slice::<call::Answer>(&body) else {
        return Outcome::Undecodable { status };
    };
    let names = arrival.shards.iter().map(|shard| plan.shards[*shard].name.as_str());
    let asked = Asked {
        key: &request.key,
        index: &request.index,
        shards: &names.collect::<Vec<_>>(),
        payload: &request.payload,
    };
    let mistakes = check::check(&asked, status, &answer);
    answer.parts = Vec::new();
    Outcome::Answered { status, answer: Box::new(answer), mistakes }
}

/// Services that a query's shards belong to.
pub fn services<'a>(plan: &'a Plan, record: &Record) -> Set<&'a str> {
    let service = |shard: &usize| plan.shards[*shard].service.as_str();
    record.shards.iter().map(service).collect()
}
