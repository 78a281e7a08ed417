//! Faults: how requests, load and health look under each.

use ladder_schema::outcome::Reason;
use ladder_schema::publication::Holding;
use ladder_schema::standin::Fault;
use ladder_schema::target::{Refusal, Request};

use crate::client::{ENDLESS, Pair, eventually, get, post, request, run};

/// Name of a fault, the fault, status and reason of a request of version 3 under it, status of
/// health, and whether the load says that the server leaves.
struct Case(&'static str, Fault, u16, Reason, u16, bool);

fn cases() -> [Case; 4] {
    let leaving = Fault { leaving: true, ..Fault::default() };
    let lying = Fault { lying: true, ..leaving.clone() };
    let shedding = Fault { shedding: true, ..Fault::default() };
    let newer = Holding { index: "docks".to_owned(), version: 4 };
    let retired = Fault { holdings: vec![newer], ..Fault::default() };
    [
        Case("leaving", leaving, 503, Reason::TargetLeaving, 503, true),
        Case("leaving, but says otherwise", lying, 503, Reason::TargetLeaving, 200, false),
        Case("shedding", shedding, 503, Reason::TargetShed, 200, false),
        Case("retired version", retired, 409, Reason::VersionRetired, 200, false),
    ]
}

#[test]
fn each_fault_refuses_with_its_reason() {
    run(async {
        let pair = Pair::start();
        for Case(name, fault, status, reason, health, leaving) in cases() {
            pair.fault(fault).await;
            let reply = post(&pair.url("/query"), &request("1")).await;
            assert_eq!(reply.status, status, "{name}");
            assert_eq!(reply.json::<Refusal>().reason(), reason, "{name}");
            assert_eq!(get(&pair.url("/health")).await.status, health, "{name}");
            assert_eq!(pair.load().await.leaving, leaving, "{name}");
        }
        assert_eq!(pair.ledger().await.calls, 0);
        pair.fault(Fault::default()).await;
        assert_eq!(post(&pair.url("/query"), &request("1")).await.status, 200);
    });
}

/// A server answers errors fast and reports no load, and so attracts everything that looks for an
/// idle server. It must look idle although a request from before is still in service.
#[test]
fn a_failing_server_looks_idle() {
    run(async {
        let pair = Pair::start();
        pair.fault(Fault { slowdown: ENDLESS, ..Fault::default() }).await;
        let _busy = pair.send("busy", 60_000);
        eventually("service", async || pair.load().await.in_service == 1).await;
        pair.fault(Fault { failing: true, ..Fault::default() }).await;
        assert_eq!(post(&pair.url("/query"), &request("1")).await.status, 500);
        assert_eq!(pair.load().await.in_service, 0);
        assert_eq!(get(&pair.url("/health")).await.status, 200);
        assert_eq!(pair.ledger().await.calls, 1);
    });
}

/// A silent server does the work and its answer never comes: the worst case for whoever has to
/// say whether the request ran. The slot is free again, and the ledger shows the execution.
#[test]
fn a_silent_server_executes_and_does_not_answer() {
    run(async {
        let pair = Pair::start();
        pair.fault(Fault { silent: true, ..Fault::default() }).await;
        let unanswered = pair.send("1", 60_000);
        eventually("the execution", async || pair.ledger().await.calls == 1).await;
        eventually("the free slot", async || pair.load().await.in_service == 0).await;
        assert!(!unanswered.is_finished());
        post(&pair.url("/cancel?id=1"), &()).await;
        let reply = unanswered.await.expect("no panic").expect("answered");
        assert_eq!(reply.status, 500);
    });
}

/// A newer version is served beside the old one while the old one is being retired.
#[test]
fn holdings_replace_the_versions_served() {
    run(async {
        let pair = Pair::start();
        let holdings = [3, 4].map(|version| Holding { index: "docks".to_owned(), version });
        pair.fault(Fault { holdings: holdings.to_vec(), ..Fault::default() }).await;
        for version in [3, 4] {
            let request = Request { version, ..request("1") };
            assert_eq!(post(&pair.url("/query"), &request).await.status, 200);
        }
        assert_eq!(pair.load().await.holdings, holdings);
    });
}
