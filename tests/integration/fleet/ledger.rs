//! Ledgers of the targets: the executed requests, and checks that the verdicts of answers agree
//! with them.

use ladder_core::collections::Map;
use ladder_schema::outcome::Verdict;
use ladder_schema::standin::Ledger;
use ladder_standin::ledger::doubles;

use super::call::{BAGMATI, Exchange};
use super::{Fleet, http, wait_until};

/// Number of executions by request key and shard.
pub(crate) struct Executions {
    ledgers: Vec<Ledger>,
    counts: Map<(String, String), u32>,
}

impl Fleet {
    /// Reads the ledgers of all targets.
    pub(crate) fn executions(&self) -> Executions {
        let addresses = self.run.targets.iter().map(|process| &process.admin_address);
        let ledgers: Vec<Ledger> = addresses
            .map(|address| http::get(address, "/admin/ledger").expect("targets answer").json())
            .collect();
        let mut counts = Map::default();
        for execution in ledgers.iter().flat_map(|ledger| &ledger.executions) {
            for shard in &execution.shards {
                *counts.entry((execution.key.clone(), shard.clone())).or_default() +=
                    execution.count;
            }
        }
        Executions { ledgers, counts }
    }

    /// Reads the ledger of one server.
    pub(crate) fn ledger(&self, server: &str) -> Ledger {
        let path = format!("/admin/ledger?server={server}");
        http::get(self.admin_of(server), &path).expect("targets answer").json()
    }

    /// Returns the number of requests that a server has started to execute.
    pub(crate) fn calls(&self, server: &str) -> u64 {
        self.ledger(server).calls
    }

    /// Checks all requests of a run with the layout of Bagmati, whichever processes failed: no
    /// booking was executed twice, each answer belongs to its request and is true, and sweeps are
    /// complete.
    pub(crate) fn check(&self, exchanges: &[Exchange]) {
        self.wait_until_idle();
        let executions = self.executions();
        executions.check_none_executed_twice(BAGMATI.booking);
        let index = self.index(BAGMATI.index);
        for exchange in exchanges {
            exchange.check_belongs_to_request();
            executions.check_verdicts(exchange);
            if exchange.request.operation == BAGMATI.sweep {
                exchange.check_complete(&index);
            }
        }
    }

    /// Waits until no running instance has open queries or portions.
    pub(crate) fn wait_until_idle(&self) {
        wait_until("nothing is open", || {
            let mut seen = self.running().into_iter().map(|at| self.status(at));
            seen.all(|seen| seen.is_some_and(|one| one.open_queries + one.open_portions == 0))
        });
    }

    /// Checks that no server ever had more connections than its own limit and the limit of its
    /// catalogue entry, and that no server refused a connection.
    pub(crate) fn check_connections(&self) {
        for server in self.servers() {
            let ledger = self.ledger(&server.name);
            let limit = match self.connections(&server.service) {
                0 => server.connections,
                limit => limit.min(server.connections),
            };
            let (name, peak) = (&server.name, ledger.peak_connections);
            assert!(peak <= limit, "{name}: {peak} connections at once, limit {limit}");
            assert_eq!(ledger.refused_connections, 0, "{name} refused connections");
        }
    }
}

impl Executions {
    /// Returns the number of executions of one request at one shard.
    pub(crate) fn count(&self, key: &str, shard: &str) -> u32 {
        let key_and_shard = (key.to_owned(), shard.to_owned());
        self.counts.get(&key_and_shard).copied().unwrap_or(0)
    }

    /// Returns the number of executions of one request at all shards.
    pub(crate) fn count_of_key(&self, key: &str) -> u32 {
        let counts = self.counts.iter().filter(|((found, _), _)| found == key);
        counts.map(|(_, count)| count).sum()
    }

    /// Checks that no request of an unrepeatable operation was executed twice at any shard.
    pub(crate) fn check_none_executed_twice(&self, operation: &str) {
        assert_eq!(doubles(&self.ledgers, operation), [], "executed twice");
    }

    /// Checks that the verdicts of an answer, for the whole request and for each missing shard,
    /// agree with the executions.
    ///
    /// The ledgers can confirm or refute `NotRun` and `Ran`, but not `MayHaveRun`.
    pub(crate) fn check_verdicts(&self, exchange: &Exchange) {
        let (answer, key) = (exchange.answer(), &exchange.request.key);
        match answer.verdict() {
            Verdict::NotRun => assert!(self.count_of_key(key) == 0, "was executed: {answer:?}"),
            Verdict::Ran => assert!(self.count_of_key(key) > 0, "was not executed: {answer:?}"),
            Verdict::MayHaveRun => {}
            Verdict::Unspecified => panic!("no verdict: {answer:?}"),
        }
        for shard in &answer.covered {
            assert!(self.count(key, shard) > 0, "{shard} was not executed: {answer:?}");
        }
        let missing = answer.missing.iter();
        for missing in missing.filter(|missing| missing.verdict() == Verdict::NotRun) {
            let count = self.count(key, &missing.shard);
            assert_eq!(count, 0, "{} was executed: {answer:?}", missing.shard);
        }
    }
}
