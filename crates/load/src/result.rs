//! Result of one run, as written to a file.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Shares of the answered at which a result gives the latency.
pub const SHARES: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995];

/// Figures of one class of queries, or of all.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// The comparison's last line is about this class.
    pub headline: bool,
    /// Queries scheduled after the warm-up.
    pub sent: u64,
    /// Answered with 200 or 206, also late.
    pub answered: u64,
    /// Answered with every shard asked.
    pub complete: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Median latency of the answered, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the answered, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the answered, in milliseconds.
    pub p999_ms: f64,
    /// Latency at each of [`SHARES`], in milliseconds.
    pub quantiles_ms: Vec<f64>,
    /// Share of the answered that are complete.
    pub complete_share: f64,
    /// Shards covered by answers, of those asked by all queries sent.
    pub coverage: f64,
    /// Complete answers in time, each second.
    pub goodput: f64,
    /// Answers in time, complete or partial, each second.
    pub answers_per_second: f64,
    /// Shards covered in time, each second.
    pub shards_per_second: f64,
    /// Executions in the ledgers of these queries, the warm-up included.
    pub calls: u64,
    /// Calls that these queries needed, the warm-up included: one for each service of a covered
    /// shard or of a missing one that may have run.
    pub needed: u64,
    /// Refused queries by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Missing shards of answers by reason.
    pub missing: BTreeMap<String, u64>,
    /// Queries by the verdict of their answer.
    pub verdicts: BTreeMap<String, u64>,
    /// Queries whose answer or refusal is untrue, the warm-up included.
    pub wrong: u64,
    /// Unrepeatable queries that ran more than once, the warm-up included.
    pub doubled: u64,
    /// Queries without an answer, the warm-up included.
    pub lost: u64,
    /// Queries that were asked a second time, the warm-up included.
    pub retried: u64,
}

/// Result of one run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Groups runs of one setting.
    pub label: String,
    /// Name of the mix.
    pub mix: String,
    /// Name of the schedule of faults.
    pub scenario: String,
    /// Share of the capacity.
    pub load: f64,
    /// Queries scheduled each second.
    pub rate: f64,
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the measured part in seconds.
    pub seconds: f64,
    /// Length of the warm-up in seconds.
    pub warmup: f64,
    /// Instances behind the balancer.
    pub instances: u64,
    /// Faults on the schedule.
    pub faults: Vec<String>,
    /// Figures by class.
    pub classes: Vec<Class>,
    /// Figures of all classes.
    pub overall: Class,
    /// Calls begun at the targets.
    pub calls: u64,
    /// Service time that the targets spent, of that which the needed calls take on average.
    pub busy_ratio: f64,
    /// Calls begun at the targets for each needed one.
    pub extra_load: f64,
    /// Most connections open at once at the server that came nearest to its limit.
    pub peak_connections: u32,
    /// The limit of that server.
    pub connection_limit: u32,
    /// Connections that the servers refused.
    pub refused_connections: u64,
    /// Connections that instances refused to the balancer.
    pub passed_over: u64,
    /// The first few wrong, doubled or lost queries, in words.
    pub samples: Vec<String>,
}

impl Run {
    /// Figures of the class that the comparison is about, or of all.
    pub fn headline(&self) -> &Class {
        let marked = self.classes.iter().find(|class| class.headline);
        marked.unwrap_or(&self.overall)
    }
}
