//! Sends scheduled queries on time and distributes them round-robin over the instances, as a load
//! balancer does.
//!
//! Each thread has an async runtime, a connection pool and its own part of the schedule. Each query
//! runs in its own task, so that no query waits for the answer to another. Latency counts from the
//! scheduled time, so it includes delays in this tool and in a full listen backlog. Timers are
//! accurate to one millisecond.

use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use ladder_core::collections::Set;
use ladder_schema::call;

use crate::check::{self, Mistake, SentQuery};
use crate::plan::Plan;
use crate::rotation::Rotation;
use crate::schedule::Arrival;

/// How long after the deadline of a query the caller still accepts its answer.
pub const ANSWER_GRACE: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which the client closes a connection. It is shorter than the idle timeout of the
/// servers, so that no request is written to a connection that the server is about to close: such a
/// request would count as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Final result of a query, as the caller sees it.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The response was an answer or a refusal.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Answer without the bodies of its parts, which are checked before they are removed.
        answer: Box<call::Answer>,
        /// Mistakes found in the answer.
        mistakes: Vec<Mistake>,
    },
    /// The response body could not be decoded as an answer.
    Undecodable {
        /// HTTP status of the response.
        status: u16,
    },
    /// No response: the connection broke, no instance accepted a connection, or the caller's
    /// timeout expired.
    Lost {
        /// Error of the last attempt.
        cause: String,
    },
}

/// Query that was sent, with its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// Position of the query's class in the list of plans.
    pub class: usize,
    /// Request key of the query.
    pub key: String,
    /// Positions of the query's shards in the plan of its class.
    pub shards: Vec<usize>,
    /// Scheduled send time, counted from the start of the schedule.
    pub start_offset: Duration,
    /// Time from the scheduled send time to the end of the response.
    pub latency: Duration,
    /// Number of requests for this query that were written or may have been written.
    pub attempts: u32,
    /// Number of connection attempts that instances refused for this query.
    pub connection_refusals: u32,
    /// Outcome of the query.
    pub outcome: Outcome,
}

/// Settings for sending queries.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the instances that receive the queries.
    pub instances: Vec<String>,
    /// Common prefix of all request keys of the run.
    pub key_prefix: String,
    /// Whether a lost query is sent once more, through another instance.
    pub retries: bool,
    /// Whether the health of each instance is checked, as the platform's load balancer does.
    pub health_checks: bool,
    /// Start time of the schedule.
    pub start: Instant,
}

/// Sends the queries in `arrivals` and returns a record of each; must run inside an actix system.
pub async fn send(plans: Rc<[Plan]>, arrivals: Vec<Arrival>, options: Options) -> Vec<Record> {
    let rotation = Rotation::new(&options.instances);
    let health_check_task =
        options.health_checks.then(|| actix_rt::spawn(rotation.clone().run_health_checks()));
    let caller = Rc::new(Caller::new(plans, options, rotation));
    let mut tasks = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let scheduled_time = caller.options.start + arrival.start_offset;
        tokio::time::sleep_until(scheduled_time.into()).await;
        let caller = Rc::clone(&caller);
        tasks.push(actix_rt::spawn(async move { caller.query(arrival).await }));
    }
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        records.extend(task.await);
    }
    health_check_task.iter().for_each(actix_rt::task::JoinHandle::abort);
    records
}

struct Caller {
    client: Client,
    plans: Rc<[Plan]>,
    options: Options,
    rotation: Rotation,
}

/// Result of sending a query to one instance.
enum Attempt {
    Refused(String),
    Broken(String),
    Response(u16, Vec<u8>),
}

impl Caller {
    fn new(plans: Rc<[Plan]>, options: Options, rotation: Rotation) -> Self {
        let connector =
            Connector::new().limit(0).timeout(CONNECT_TIMEOUT).conn_keep_alive(IDLE_TIMEOUT);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client, plans, options, rotation }
    }

    async fn query(&self, arrival: Arrival) -> Record {
        let plan = &self.plans[arrival.class];
        let key = format!("{}-{}", self.options.key_prefix, arrival.sequence);
        let scheduled_time = self.options.start + arrival.start_offset;
        let mut request = build_request(plan, &arrival, &key);
        let mut position = arrival.sequence as usize;
        let mut connection_refusals = 0;
        let mut attempt = self
            .try_instances(&request, &mut position, &mut connection_refusals, scheduled_time)
            .await;
        if self.options.retries && matches!(attempt, Attempt::Broken(_)) {
            request.attempt = 2;
            position += 1;
            attempt = self
                .try_instances(&request, &mut position, &mut connection_refusals, Instant::now())
                .await;
        }
        Record {
            class: arrival.class,
            latency: scheduled_time.elapsed(),
            attempts: request.attempt,
            connection_refusals,
            outcome: outcome_of(plan, &arrival, &request, attempt),
            key,
            shards: arrival.shards,
            start_offset: arrival.start_offset,
        }
    }

    /// Sends the request to the next instance of the rotation; skips instances that fail their
    /// health check or refuse the connection.
    async fn try_instances(
        &self,
        request: &call::Request,
        position: &mut usize,
        connection_refusals: &mut u32,
        start: Instant,
    ) -> Attempt {
        let timeout = Duration::from_millis(u64::from(request.deadline_ms)) + ANSWER_GRACE;
        let mut result = Attempt::Refused("no instance".to_owned());
        for _ in 0..self.rotation.len() {
            let address = self.rotation.next(position);
            let exchange = self.exchange(address, request);
            let deadline = (start + timeout).into();
            result = match tokio::time::timeout_at(deadline, exchange).await {
                Ok(attempt) => attempt,
                Err(_) => return Attempt::Broken(format!("no answer from {address} in time")),
            };
            if !matches!(result, Attempt::Refused(_)) {
                return result;
            }
            *position += 1;
            *connection_refusals += 1;
        }
        result
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
        match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(body) => Attempt::Response(status, body.to_vec()),
            Err(error) => Attempt::Broken(format!("{address}: {error}")),
        }
    }
}

/// Whether the error shows that the request was never written to a connection.
///
/// The client library reports a connection that ends before the response as the connect error
/// `Disconnected`, although the request was written. If this error counted as a refused connection,
/// the request would be sent again, and a non-idempotent request could run twice.
fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

fn build_request(plan: &Plan, arrival: &Arrival, key: &str) -> call::Request {
    let shard_name = |shard: &usize| plan.shards[*shard].name.clone();
    call::Request {
        key: key.to_owned(),
        attempt: 1,
        index: plan.index.clone(),
        operation: plan.class.operation.clone(),
        shards: if plan.whole_index {
            Vec::new()
        } else {
            arrival.shards.iter().map(shard_name).collect()
        },
        deadline_ms: plan.deadline_ms,
        unrepeatable: false,
        payload: format!("{}-{}", plan.class.name, arrival.sequence),
        message: None,
    }
}

fn outcome_of(
    plan: &Plan,
    arrival: &Arrival,
    request: &call::Request,
    attempt: Attempt,
) -> Outcome {
    let (status, body) = match attempt {
        Attempt::Refused(cause) | Attempt::Broken(cause) => return Outcome::Lost { cause },
        Attempt::Response(status, body) => (status, body),
    };
    let Ok(mut answer) = serde_json::from_slice::<call::Answer>(&body) else {
        return Outcome::Undecodable { status };
    };
    let names = arrival.shards.iter().map(|shard| plan.shards[*shard].name.as_str());
    let query = SentQuery {
        key: &request.key,
        index: &request.index,
        shards: &names.collect::<Vec<_>>(),
        payload: &request.payload,
    };
    let mistakes = check::find_mistakes(&query, status, &answer);
    answer.parts = Vec::new();
    Outcome::Answered { status, answer: Box::new(answer), mistakes }
}

/// Returns the services that the shards of a query belong to.
pub fn services_of<'a>(plan: &'a Plan, record: &Record) -> Set<&'a str> {
    let service = |shard: &usize| plan.shards[*shard].service.as_str();
    record.shards.iter().map(service).collect()
}
