//! What a server executed, counted by request.

use ladder_core::collections::Map;
use ladder_schema::standin::Execution;
use ladder_schema::target::Request;

/// What makes two executions the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    request: String,
    operation: String,
    /// Invariant: sorted.
    shards: Vec<String>,
}

/// Number of executions of each request.
#[derive(Debug, Default)]
pub(super) struct Executions {
    counts: Map<Key, u32>,
}

/// Which executions to list.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    /// Only of this operation.
    pub(super) operation: Option<String>,
    /// Only with at least this count.
    pub(super) least: u32,
}

impl Executions {
    pub(super) fn record(&mut self, request: &Request) {
        let mut shards = request.shards.clone();
        shards.sort();
        let key =
            Key { request: request.key.clone(), operation: request.operation.clone(), shards };
        *self.counts.entry(key).or_default() += 1;
    }

    /// The executions that pass the filter, in order of key, operation and shards.
    pub(super) fn list(&self, server: &str, filter: &Filter) -> Vec<Execution> {
        let counts = self.counts.iter();
        let wanted = counts.filter(|(key, count)| filter.passes(key, **count));
        let mut executions: Vec<Execution> = wanted
            .map(|(key, count)| Execution {
                server: server.to_owned(),
                key: key.request.clone(),
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
    fn passes(&self, key: &Key, count: u32) -> bool {
        let operation = self.operation.as_ref();
        count >= self.least && operation.is_none_or(|operation| *operation == key.operation)
    }
}
