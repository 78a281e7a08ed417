//! Result of one run, as written to a result file.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Quantiles at which a result lists the latency of the answered queries.
pub const LATENCY_QUANTILES: [f64; 10] =
    [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995];

/// Figures of one query class, or of all classes together.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Class {
    /// Name of the query class.
    pub name: String,
    /// Whether the summary line of a comparison reports on this query class.
    pub headline: bool,
    /// Number of queries scheduled after the warm-up.
    pub sent: u64,
    /// Number of queries answered with HTTP status 200 or 206, including late answers.
    pub answered: u64,
    /// Number of queries whose answer covers all shards asked.
    pub complete: u64,
    /// Number of queries answered after their deadline.
    pub late: u64,
    /// Median latency of the answered queries, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile latency of the answered queries, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile latency of the answered queries, in milliseconds.
    pub p999_ms: f64,
    /// Latency of the answered queries at each of [`LATENCY_QUANTILES`], in milliseconds.
    pub quantiles_ms: Vec<f64>,
    /// Share of the answered queries whose answer is complete.
    pub complete_share: f64,
    /// Shards covered by answers, as a share of the shards asked by all queries sent.
    pub coverage: f64,
    /// Complete answers before the deadline, per second.
    pub goodput: f64,
    /// Complete and partial answers before the deadline, per second.
    pub answers_per_second: f64,
    /// Shards covered by answers before the deadline, per second.
    pub shards_per_second: f64,
    /// Number of executions of these queries in the target ledgers, including the warm-up.
    pub calls: u64,
    /// Number of calls that these queries needed, including the warm-up: one for each service with
    /// a shard that was covered, or is missing but may have run.
    pub needed: u64,
    /// Number of refused queries by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of shards missing from answers, by reason.
    pub missing: BTreeMap<String, u64>,
    /// Number of queries by the verdict of their answer.
    pub verdicts: BTreeMap<String, u64>,
    /// Number of queries whose answer or refusal is wrong, including the warm-up.
    pub wrong: u64,
    /// Number of non-idempotent queries that ran more than once, including the warm-up.
    pub doubled: u64,
    /// Number of queries without a response, including the warm-up.
    pub lost: u64,
    /// Number of queries that were sent a second time, including the warm-up.
    pub retried: u64,
}

/// Result of one run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Label of the run; runs that are compared as one configuration have the same label.
    pub label: String,
    /// Name of the mix of query classes.
    pub mix: String,
    /// Name of the fault schedule.
    pub scenario: String,
    /// Load of the run, as a share of the capacity.
    pub load: f64,
    /// Scheduled queries per second.
    pub rate: f64,
    /// Seed of the query schedule.
    pub seed: u64,
    /// Length of the measured part in seconds.
    pub seconds: f64,
    /// Length of the warm-up in seconds.
    pub warmup: f64,
    /// Number of instances that the load balancer sends queries to.
    pub instances: u64,
    /// Faults that the run injects, each as `AT_S:KIND:NAME`.
    pub faults: Vec<String>,
    /// Figures of each query class.
    pub classes: Vec<Class>,
    /// Figures of all query classes together.
    pub overall: Class,
    /// Number of calls that the targets started.
    pub calls: u64,
    /// Service time that the targets spent, divided by the average service time of the needed
    /// calls.
    pub busy_ratio: f64,
    /// Number of calls that the targets started, divided by the number of needed calls.
    pub extra_load: f64,
    /// Largest number of simultaneous connections at the server that came closest to its connection
    /// limit.
    pub peak_connections: u32,
    /// Connection limit of the server that came closest to its limit.
    pub connection_limit: u32,
    /// Number of connections that the servers refused.
    pub refused_connections: u64,
    /// Number of connections that instances refused to the load balancer.
    pub passed_over: u64,
    /// Descriptions of the first few queries that were wrong, repeated although non-idempotent, or
    /// lost.
    pub samples: Vec<String>,
}

impl Run {
    /// Returns the figures of the headline query class, or of all classes if none is marked.
    pub fn headline(&self) -> &Class {
        let marked = self.classes.iter().find(|class| class.headline);
        marked.unwrap_or(&self.overall)
    }
}
