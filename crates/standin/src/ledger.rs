//! Detection of repeated executions in the targets' ledgers.

use ladder_core::collections::Map;
use ladder_schema::standin::{Execution, Ledger};

/// One shard of a request that was executed more than once, counted over all servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Double {
    /// Request key that the caller chose.
    pub key: String,
    /// Name of the request's operation.
    pub operation: String,
    /// Name of the shard.
    pub shard: String,
    /// Number of executions, at least 2.
    pub count: u32,
}

/// Returns the requests of one operation that were executed more than once, sorted by request key
/// and shard.
///
/// Executions are counted per shard, so that a repeated execution is also found when it groups the
/// shards differently than the first one.
pub fn doubles(ledgers: &[Ledger], operation: &str) -> Vec<Double> {
    let executions = ledgers.iter().flat_map(|ledger| &ledger.executions);
    let executions = executions.filter(|execution| execution.operation == operation);
    let mut counts: Map<(&str, &str), u32> = Map::default();
    for execution in executions {
        add_execution(&mut counts, execution);
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    let mut doubles: Vec<Double> = repeated
        .map(|((key, shard), count)| Double {
            key: key.to_owned(),
            operation: operation.to_owned(),
            shard: shard.to_owned(),
            count,
        })
        .collect();
    doubles.sort_by(|a, b| (&a.key, &a.shard).cmp(&(&b.key, &b.shard)));
    doubles
}

fn add_execution<'a>(counts: &mut Map<(&'a str, &'a str), u32>, execution: &'a Execution) {
    for shard in &execution.shards {
        *counts.entry((&execution.key, shard)).or_default() += execution.count;
    }
}
