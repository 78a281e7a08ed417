//! Number of executions of each request at one stand-in server.

use ladder_core::collections::Map;
use ladder_schema::standin::Execution;
use ladder_schema::target::Request;

/// Identifies a request: two executions with the same key count as executions of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ExecutionKey {
    request_key: String,
    operation: String,
    /// Names of the requested shards.
    ///
    /// Invariant: sorted.
    shards: Vec<String>,
}

/// Number of executions of each request at one server.
#[derive(Debug, Default)]
pub(super) struct Executions {
    counts: Map<ExecutionKey, u32>,
}

/// Selects the executions that a ledger lists.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    /// If set, only executions of this operation are listed.
    pub(super) operation: Option<String>,
    /// Only requests with at least this number of executions are listed.
    pub(super) min_count: u32,
}

impl Executions {
    pub(super) fn record(&mut self, request: &Request) {
        let mut shards = request.shards.clone();
        shards.sort();
        let key = ExecutionKey {
            request_key: request.key.clone(),
            operation: request.operation.clone(),
            shards,
        };
        *self.counts.entry(key).or_default() += 1;
    }

    /// Returns the executions that match the filter, sorted by request key, operation and shards.
    pub(super) fn list(&self, server: &str, filter: &Filter) -> Vec<Execution> {
        let counts = self.counts.iter();
        let matching = counts.filter(|(key, count)| filter.matches(key, **count));
        let mut executions: Vec<Execution> = matching
            .map(|(key, count)| Execution {
                server: server.to_owned(),
                key: key.request_key.clone(),
                operation: key.operation.clone(),
                shards: key.shards.clone(),
                count: *count,
            })
            .collect();
        executions.sort_by(|a, b| {
            let a = (&a.key, &a.operation, &a.shards);
            a.cmp(&(&b.key, &b.operation, &b.shards))
        });
        executions
    }
}

impl Filter {
    fn matches(&self, key: &ExecutionKey, count: u32) -> bool {
        let operation = self.operation.as_ref();
        count >= self.min_count && operation.is_none_or(|operation| *operation == key.operation)
    }
}
