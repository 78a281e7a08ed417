//! Tests of the faults of a stand-in server: its replies to requests, load and health under each.

use ladder_schema::outcome::Reason;
use ladder_schema::publication::Holding;
use ladder_schema::standin::Fault;
use ladder_schema::target::{Refusal, Request};

use crate::client::{
    ENDLESS_SLOWDOWN, ServerPair, get, post, query_request, run_async, wait_until,
};

/// One case of a fault and the expected replies: name of the case, fault, HTTP status and refusal
/// reason of a request for version 3, HTTP status of `/health`, and whether `/load` reports that
/// the server is leaving.
struct FaultCase(&'static str, Fault, u16, Reason, u16, bool);

fn cases() -> [FaultCase; 4] {
    let leaving = Fault { leaving: true, ..Fault::default() };
    let lying = Fault { lying: true, ..leaving.clone() };
    let shedding = Fault { shedding: true, ..Fault::default() };
    let newer_version = Holding { index: "docks".to_owned(), version: 4 };
    let retired = Fault { holdings: vec![newer_version], ..Fault::default() };
    [
        FaultCase("leaving", leaving, 503, Reason::TargetLeaving, 503, true),
        FaultCase("leaving, but says otherwise", lying, 503, Reason::TargetLeaving, 200, false),
        FaultCase("shedding", shedding, 503, Reason::TargetShed, 200, false),
        FaultCase("retired version", retired, 409, Reason::VersionRetired, 200, false),
    ]
}

#[test]
fn each_fault_refuses_requests_with_its_reason() {
    run_async(async {
        let pair = ServerPair::start();
        for FaultCase(name, fault, status, reason, health, leaving) in cases() {
            pair.set_fault(fault).await;
            let reply = post(&pair.url("/query"), &query_request("1")).await;
            assert_eq!(reply.status, status, "{name}");
            assert_eq!(reply.json::<Refusal>().reason(), reason, "{name}");
            assert_eq!(get(&pair.url("/health")).await.status, health, "{name}");
            assert_eq!(pair.load().await.leaving, leaving, "{name}");
        }
        assert_eq!(pair.ledger().await.calls, 0);
        pair.set_fault(Fault::default()).await;
        assert_eq!(post(&pair.url("/query"), &query_request("1")).await.status, 200);
    });
}

/// A failing server returns errors fast and reports no load, so that load balancing by load prefers
/// it. The stand-in must report an idle server even while an earlier request is still in service.
#[test]
fn failing_server_reports_idle_load() {
    run_async(async {
        let pair = ServerPair::start();
        pair.set_fault(Fault { slowdown: ENDLESS_SLOWDOWN, ..Fault::default() }).await;
        let _busy = pair.send("busy", 60_000);
        wait_until("service", async || pair.load().await.in_service == 1).await;
        pair.set_fault(Fault { failing: true, ..Fault::default() }).await;
        assert_eq!(post(&pair.url("/query"), &query_request("1")).await.status, 500);
        assert_eq!(pair.load().await.in_service, 0);
        assert_eq!(get(&pair.url("/health")).await.status, 200);
        assert_eq!(pair.ledger().await.calls, 1);
    });
}

/// A silent server executes a request and never answers, so that the sender cannot know whether the
/// request was executed. The slot must become free, and the ledger must list the execution.
#[test]
fn silent_server_executes_request_without_answer() {
    run_async(async {
        let pair = ServerPair::start();
        pair.set_fault(Fault { silent: true, ..Fault::default() }).await;
        let unanswered = pair.send("1", 60_000);
        wait_until("the execution", async || pair.ledger().await.calls == 1).await;
        wait_until("the free slot", async || pair.load().await.in_service == 0).await;
        assert!(!unanswered.is_finished());
        post(&pair.url("/cancel?id=1"), &()).await;
        let reply = unanswered.await.expect("no panic").expect("answered");
        assert_eq!(reply.status, 500);
    });
}

/// While an old index version is being retired, a server must serve the newer version and the old
/// one.
#[test]
fn fault_holdings_replace_served_versions() {
    run_async(async {
        let pair = ServerPair::start();
        let holdings = [3, 4].map(|version| Holding { index: "docks".to_owned(), version });
        pair.set_fault(Fault { holdings: holdings.to_vec(), ..Fault::default() }).await;
        for version in [3, 4] {
            let request = Request { version, ..query_request("1") };
            assert_eq!(post(&pair.url("/query"), &request).await.status, 200);
        }
        assert_eq!(pair.load().await.holdings, holdings);
    });
}
