//! The targets' ledgers: what ran, and whether the answers say so.

use ladder_core::collections::Map;
use ladder_schema::outcome::Verdict;
use ladder_schema::standin::Ledger;
use ladder_standin::ledger::doubles;

use super::call::{BAGMATI, Exchange};
use super::{Fleet, http, until};

/// Executions by request key and shard.
pub(crate) struct Executed {
    ledgers: Vec<Ledger>,
    counts: Map<(String, String), u32>,
}

impl Fleet {
    /// Reads all ledgers.
    pub(crate) fn executed(&self) -> Executed {
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
        Executed { ledgers, counts }
    }

    /// The ledger of one server.
    pub(crate) fn ledger(&self, server: &str) -> Ledger {
        let path = format!("/admin/ledger?server={server}");
        http::get(self.admin_of(server), &path).expect("targets answer").json()
    }

    /// Requests that a server has started on.
    pub(crate) fn calls(&self, server: &str) -> u64 {
        self.ledger(server).calls
    }

    /// What must hold of all requests of a run of Bagmati, whatever failed: no booking ran twice,
    /// each answer is its own and true, and sweeps are complete.
    pub(crate) fn check(&self, exchanges: &[Exchange]) {
        self.until_idle();
        let executed = self.executed();
        executed.check_no_doubles(BAGMATI.booking);
        let index = self.index(BAGMATI.index);
        for exchange in exchanges {
            exchange.check_own();
            executed.check_verdicts(exchange);
            if exchange.request.operation == BAGMATI.sweep {
                exchange.check_complete(&index);
            }
        }
    }

    /// Waits until no running instance has work in hand.
    pub(crate) fn until_idle(&self) {
        until("nothing is open", || {
            let mut seen = self.running().into_iter().map(|at| self.status(at));
            seen.all(|seen| seen.is_some_and(|one| one.open_queries + one.open_portions == 0))
        });
    }

    /// No server ever had more connections than its limit and its entry's, or refused one.
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

impl Executed {
    /// Executions of one request at a shard.
    pub(crate) fn count(&self, key: &str, shard: &str) -> u32 {
        let place = (key.to_owned(), shard.to_owned());
        self.counts.get(&place).copied().unwrap_or(0)
    }

    /// Executions of one request at all shards.
    pub(crate) fn of_key(&self, key: &str) -> u32 {
        let counts = self.counts.iter().filter(|((found, _), _)| found == key);
        counts.map(|(_, count)| count).sum()
    }

    /// No request of an unrepeatable operation ran twice at any shard.
    pub(crate) fn check_no_doubles(&self, operation: &str) {
        assert_eq!(doubles(&self.ledgers, operation), [], "doubled");
    }

    /// The verdicts of an answer, of the whole and of each missing shard, agree with what ran.
    ///
    /// `NotRun` and `Ran` claim something that the ledger shows or refutes; `MayHaveRun` does not.
    pub(crate) fn check_verdicts(&self, exchange: &Exchange) {
        let (answer, key) = (exchange.answer(), &exchange.request.key);
        match answer.verdict() {
            Verdict::NotRun => assert!(self.of_key(key) == 0, "ran after all: {answer:?}"),
            Verdict::Ran => assert!(self.of_key(key) > 0, "did not run: {answer:?}"),
            Verdict::MayHaveRun => {}
            Verdict::Unspecified => panic!("no verdict: {answer:?}"),
        }
        for shard in &answer.covered {
            assert!(self.count(key, shard) > 0, "{shard} did not run: {answer:?}");
        }
        let missing = answer.missing.iter();
        for missing in missing.filter(|missing| missing.verdict() == Verdict::NotRun) {
            let count = self.count(key, &missing.shard);
            assert_eq!(count, 0, "{} ran after all: {answer:?}", missing.shard);
        }
    }
}
