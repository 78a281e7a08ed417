//! Reads the execution ledgers of the targets and checks answers against them.

use ladder_core::collections::Map;
use ladder_schema::outcome::Verdict;
use ladder_schema::standin::Ledger;
use ladder_standin::ledger::doubles;

use super::call::{BAGMATI, Exchange};
use super::{Fleet, http, wait_until};

/// Number of executions for each request key and shard, from the ledgers of all targets.
pub(crate) struct ExecutionCounts {
    ledgers: Vec<Ledger>,
    counts: Map<(String, String), u32>,
}

impl Fleet {
    /// Reads the execution ledgers of all target processes.
    pub(crate) fn read_executions(&self) -> ExecutionCounts {
        let addresses = self.run.targets.iter().map(|process| &process.admin_address);
        let ledgers: Vec<Ledger> = addresses
            .map(|address| {
                http::get(address, "/admin/ledger").expect("the target process replies").json()
            })
            .collect();
        let mut counts = Map::default();
        for execution in ledgers.iter().flat_map(|ledger| &ledger.executions) {
            for shard in &execution.shards {
                *counts.entry((execution.key.clone(), shard.clone())).or_default() +=
                    execution.count;
            }
        }
        ExecutionCounts { ledgers, counts }
    }

    /// Execution ledger of one server.
    pub(crate) fn ledger(&self, server: &str) -> Ledger {
        let path = format!("/admin/ledger?server={server}");
        http::get(self.admin_address_of(server), &path).expect("the target process replies").json()
    }

    /// Number of requests that a server has started to execute.
    pub(crate) fn started_requests(&self, server: &str) -> u64 {
        self.ledger(server).calls
    }

    /// Checks what must hold for all requests of a Bagmati fleet, whichever processes failed: no
    /// booking ran twice, each answer belongs to its request and its verdicts agree with the
    /// ledgers, and sweeps are complete.
    pub(crate) fn check_exchanges(&self, exchanges: &[Exchange]) {
        self.wait_until_idle();
        let executions = self.read_executions();
        executions.check_no_double_execution(BAGMATI.booking);
        let index = self.published_index(BAGMATI.index);
        for exchange in exchanges {
            exchange.check_matches_request();
            executions.check_verdicts(exchange);
            if exchange.request.operation == BAGMATI.sweep {
                exchange.check_complete(&index);
            }
        }
    }

    /// Waits until no running instance has open queries or portions.
    pub(crate) fn wait_until_idle(&self) {
        wait_until("no instance has open queries or portions", || {
            let mut statuses =
                self.running_instances().into_iter().map(|instance| self.status(instance));
            statuses.all(|status| {
                status.is_some_and(|status| status.open_queries + status.open_portions == 0)
            })
        });
    }

    /// Checks that no server ever had more connections than its own limit and the limit of its
    /// catalogue entry, and that no server refused a connection.
    pub(crate) fn check_connection_limits(&self) {
        for server in self.published_servers() {
            let ledger = self.ledger(&server.name);
            let limit = match self.connection_limit(&server.service) {
                0 => server.connections,
                limit => limit.min(server.connections),
            };
            let (name, peak) = (&server.name, ledger.peak_connections);
            assert!(peak <= limit, "{name}: {peak} connections at once, limit {limit}");
            assert_eq!(ledger.refused_connections, 0, "{name} refused connections");
        }
    }
}

impl ExecutionCounts {
    /// Number of executions of one request at a shard.
    pub(crate) fn count_at_shard(&self, key: &str, shard: &str) -> u32 {
        let key_and_shard = (key.to_owned(), shard.to_owned());
        self.counts.get(&key_and_shard).copied().unwrap_or(0)
    }

    /// Number of executions of one request at all shards together.
    pub(crate) fn count_for_key(&self, key: &str) -> u32 {
        let counts = self.counts.iter().filter(|((counted_key, _), _)| counted_key == key);
        counts.map(|(_, count)| count).sum()
    }

    /// Checks that no request of a non-idempotent operation ran twice at any shard.
    pub(crate) fn check_no_double_execution(&self, operation: &str) {
        assert_eq!(doubles(&self.ledgers, operation), [], "a non-idempotent request ran twice");
    }

    /// Checks that the verdicts of an answer, for the whole request and for each missing shard,
    /// agree with the ledgers.
    ///
    /// The ledgers can confirm or refute `NotRun` and `Ran`; `MayHaveRun` makes no claim.
    pub(crate) fn check_verdicts(&self, exchange: &Exchange) {
        let (answer, key) = (exchange.answer(), &exchange.request.key);
        match answer.verdict() {
            Verdict::NotRun => assert!(
                self.count_for_key(key) == 0,
                "ran although the verdict is NotRun: {answer:?}"
            ),
            Verdict::Ran => assert!(
                self.count_for_key(key) > 0,
                "did not run although the verdict is Ran: {answer:?}"
            ),
            Verdict::MayHaveRun => {}
            Verdict::Unspecified => panic!("the answer has no verdict: {answer:?}"),
        }
        for shard in &answer.covered {
            assert!(
                self.count_at_shard(key, shard) > 0,
                "{shard} is covered but did not run: {answer:?}"
            );
        }
        let missing = answer.missing.iter();
        for missing in missing.filter(|missing| missing.verdict() == Verdict::NotRun) {
            let count = self.count_at_shard(key, &missing.shard);
            assert_eq!(
                count, 0,
                "{} ran although the verdict is NotRun: {answer:?}",
                missing.shard
            );
        }
    }
}
