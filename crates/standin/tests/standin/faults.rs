//! Faults: how requests, load and health look under each.

use ladder_schema::outcome::Reason;
use ladder_schema::publication::Holding;
use ladder_schema::standin::Fault;
use ladder_schema::target::{Refusal, Request};

use crate::client::{ENDLESS, Pair, eventually, get, post, request, run};

/// A fault and how a request of version 3 ends under it.
struct Case {
    name: &'static str,
    fault: Fault,
    status: u16,
    reason: Reason,
    health: u16,
    leaving: bool,
}

fn cases() -> Vec<Case> {
    let newer = Holding { index: "docks".to_owned(), version: 4 };
    let fault = Fault::default;
    vec![
        Case {
            name: "leaving",
            fault: Fault { leaving: true, ..fault() },
            status: 503,
            reason: Reason::TargetLeaving,
            health: 503,
            leaving: true,
        },
        Case {
            name: "leaving, but says otherwise",
            fault: Fault { leaving: true, lying: true, ..fault() },
            status: 503,
            reason: Reason::TargetLeaving,
            health: 200,
            leaving: false,
        },
        Case {
            name: "shedding",
            fault: Fault { shedding: true, ..fault() },
            status: 503,
            reason: Reason::TargetShed,
            health: 200,
            leaving: false,
        },
        Case {
            name: "retired version",
            fault: Fault { holdings: vec![newer], ..fault() },
            status: 409,
            reason: Reason::VersionRetired,
            health: 200,
            leaving: false,
        },
    ]
}

#[test]
fn each_fault_refuses_with_its_reason() {
    run(async {
        let pair = Pair::start();
        for case in cases() {
            pair.fault(case.fault).await;
            let reply = post(&pair.url("/query"), &request("1")).await;
            assert_eq!(reply.status, case.status, "{}", case.name);
            let refusal: Refusal = reply.json();
            assert_eq!(refusal.reason(), case.reason, "{}", case.name);
            let health = get(&pair.url("/health")).await.status;
            assert_eq!(health, case.health, "{}", case.name);
            assert_eq!(pair.load().await.leaving, case.leaving, "{}", case.name);
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
        let slow = Fault { slowdown: ENDLESS, ..Fault::default() };
        pair.fault(slow).await;
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
