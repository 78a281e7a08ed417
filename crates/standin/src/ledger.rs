//! Reading of targets' ledgers by a checker.

use ladder_core::collections::Map;
use ladder_schema::standin::{Execution, Ledger};

/// What was executed more often than once, over all servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Double {
    /// The caller's request key.
    pub key: String,
    /// The operation.
    pub operation: String,
    /// The shard.
    pub shard: String,
    /// Executions; 2 or more.
    pub count: u32,
}

/// Requests of one operation that were executed more often than once, in order of key and shard.
///
/// Each shard is looked at by itself, so that a second execution is also seen when it asked for
/// the shards in other groups.
pub fn doubles(ledgers: &[Ledger], operation: &str) -> Vec<Double> {
    let executions = ledgers.iter().flat_map(|ledger| &ledger.executions);
    let executions = executions.filter(|execution| execution.operation == operation);
    let mut counts: Map<(&str, &str), u32> = Map::default();
    for execution in executions {
        add(&mut counts, execution);
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

fn add<'a>(counts: &mut Map<(&'a str, &'a str), u32>, execution: &'a Execution) {
    for shard in &execution.shards {
        *counts.entry((&execution.key, shard)).or_default() += execution.count;
    }
}
