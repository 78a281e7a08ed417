//! Requests at a target: slots, queue, cancellation, deadlines, ledger.

use ladder_schema::outcome::Reason;
use ladder_schema::standin::{Fault, Ledger};
use ladder_schema::target::{Answer, Refusal, Request};
use ladder_standin::{answer, ledger};

use crate::client::{ENDLESS, Pair, eventually, get, post, request, run};

/// Fills the only slot of the first server with a request that does not end by itself.
async fn occupied() -> (Pair, actix_rt::task::JoinHandle<Option<crate::client::Reply>>) {
    let pair = Pair::start();
    pair.fault(Fault { slowdown: ENDLESS, ..Fault::default() }).await;
    let first = pair.send("first", 60_000);
    eventually("service", async || pair.load().await.in_service == 1).await;
    (pair, first)
}

fn keys(ledger: &Ledger) -> Vec<&str> {
    let executions = ledger.executions.iter();
    executions.map(|execution| execution.key.as_str()).collect()
}

#[test]
fn an_answer_repeats_what_was_asked() {
    run(async {
        let pair = Pair::start();
        let reply = post(&pair.url("/query"), &request("1")).await;
        assert_eq!(reply.status, 200);
        let answer: Answer = reply.json();
        assert_eq!((answer.id.as_str(), answer.version), ("1", 3));
        assert_eq!(answer.parts.len(), 1);
        assert_eq!(answer.parts[0].shard, "north");
        assert_eq!(answer.parts[0].body, "docks@3/north/key-1/bay 4");
        let body = answer::body("docks", 3, "north", "key-1", "bay 4");
        assert_eq!(answer.parts[0].body, body);
    });
}

/// A cyclist's booking is sent twice to one server and, with the shards in another grouping, once
/// to its replica. Whoever checks the run must see three executions of it, and only of it.
#[test]
fn the_ledger_counts_doubled_executions() {
    run(async {
        let pair = Pair::start();
        let twice = |id: &str| Request {
            key: "booking".to_owned(),
            shards: vec!["north".to_owned(), "east".to_owned()],
            ..request(id)
        };
        let replica = Request { shards: vec!["north".to_owned()], ..twice("3") };
        for (server, request) in [(0, twice("1")), (0, twice("2")), (1, replica), (0, request("4"))]
        {
            let reply = post(&pair.url_of(server, "/query"), &request).await;
            assert_eq!(reply.status, 200);
        }
        let all: Ledger = get(&pair.admin("/admin/ledger")).await.json();
        assert_eq!(all.calls, 4);
        let doubles = ledger::doubles(std::slice::from_ref(&all), "dock-booking");
        let counts = doubles.iter().map(|one| (one.key.as_str(), one.shard.as_str(), one.count));
        assert_eq!(counts.collect::<Vec<_>>(), [("booking", "east", 2), ("booking", "north", 3)]);
        assert!(ledger::doubles(&[all], "dock-availability").is_empty());

        let repeated: Ledger = get(&pair.admin("/admin/ledger?least=2")).await.json();
        assert_eq!(repeated.executions.len(), 1);
        assert_eq!(repeated.executions[0].server, "s-1");
        assert_eq!(repeated.executions[0].count, 2);
    });
}

/// The loser of a hedge is cancelled while it runs. Its slot must be free at once, or every hedge
/// would cost a server the whole service time. Its answer says that it may have run.
#[test]
fn a_cancelled_execution_frees_its_slot() {
    run(async {
        let (pair, first) = occupied().await;
        let waiting = pair.send("second", 60_000);
        eventually("the queue", async || pair.load().await.queued == 1).await;
        pair.fault(Fault::default()).await;

        assert_eq!(post(&pair.url("/cancel?id=first"), &()).await.status, 200);
        assert_eq!(first.await.expect("no panic").expect("answered").status, 500);
        assert_eq!(waiting.await.expect("no panic").expect("answered").status, 200);
        assert_eq!(keys(&pair.ledger().await), ["key-first", "key-second"]);
    });
}

/// A client that gives up closes its connection, in place of a cancellation. The slot must be free
/// at once as well.
#[test]
fn a_dropped_connection_frees_its_slot() {
    run(async {
        let (pair, first) = occupied().await;
        first.abort();
        eventually("the free slot", async || pair.load().await.in_service == 0).await;
        pair.fault(Fault::default()).await;
        assert_eq!(post(&pair.url("/query"), &request("second")).await.status, 200);
    });
}

/// How a request that waits for a slot ends without one: name of the case, the request's deadline
/// in milliseconds, requests that fill the queue before it, whether it is cancelled, the reason.
struct Waiting(&'static str, u32, u32, bool, Reason);

const WAITING: [Waiting; 3] = [
    Waiting("cancelled", 60_000, 0, true, Reason::Cancelled),
    Waiting("expired", 20, 0, false, Reason::Cancelled),
    Waiting("beyond the queue", 60_000, 2, false, Reason::TargetShed),
];

/// A refusal promises that the request did not run and will not. A caller repeats an unrepeatable
/// request on the strength of it, so the ledger must never show a request that was refused.
#[test]
fn a_request_refused_in_the_queue_never_runs() {
    run(async {
        for Waiting(name, deadline_ms, before, cancelled, reason) in WAITING {
            let (pair, _first) = occupied().await;
            for number in 0..before {
                drop(pair.send(&format!("before-{number}"), 60_000));
                let length = number + 1;
                eventually("the queue", async || pair.load().await.queued == length).await;
            }
            let waiting = pair.send("refused", deadline_ms);
            if cancelled {
                eventually("the queue", async || pair.load().await.queued == 1).await;
                post(&pair.url("/cancel?id=refused"), &()).await;
            }
            let reply = waiting.await.expect("no panic").expect("answered");
            assert_eq!(reply.status, 503, "{name}");
            let refusal: Refusal = reply.json();
            assert_eq!(refusal.reason(), reason, "{name}");
            assert_eq!(refusal.id, "refused");

            pair.fault(Fault::default()).await;
            post(&pair.url("/cancel?id=first"), &()).await;
            eventually("an idle server", async || {
                let load = pair.load().await;
                load.in_service == 0 && load.queued == 0
            })
            .await;
            let ledger = pair.ledger().await;
            assert!(!keys(&ledger).contains(&"key-refused"), "{name}");
            assert_eq!(ledger.calls, u64::from(before) + 1, "{name}");
        }
    });
}

#[test]
fn requests_that_cannot_be_understood_are_told_so() {
    run(async {
        let (pair, _first) = occupied().await;
        let no_id = post(&pair.url("/query"), &request("")).await;
        assert_eq!((no_id.status, no_id.body.as_slice()), (400, &b"id: is empty"[..]));
        assert_eq!(post(&pair.url("/query"), &request("first")).await.status, 400);
        assert_eq!(post(&pair.url("/query"), &"text").await.status, 400);
        assert_eq!(post(&pair.url("/cancel"), &()).await.status, 400);
        assert_eq!(get(&pair.admin("/admin/ledger?server=s-9")).await.status, 404);
        assert_eq!(pair.ledger().await.calls, 1);
    });
}
