//! Tests of requests at a stand-in target: slots, queue, cancellation, deadlines and ledger.

use ladder_schema::outcome::Reason;
use ladder_schema::standin::{Fault, Ledger};
use ladder_schema::target::{Answer, Refusal, Request};
use ladder_standin::{answer, ledger};

use crate::client::{
    ENDLESS_SLOWDOWN, ServerPair, get, post, query_request, run_async, wait_until,
};

/// Starts two servers and occupies the only slot of the first with a request that does not complete
/// by itself.
async fn pair_with_occupied_slot()
-> (ServerPair, actix_rt::task::JoinHandle<Option<crate::client::Reply>>) {
    let pair = ServerPair::start();
    pair.set_fault(Fault { slowdown: ENDLESS_SLOWDOWN, ..Fault::default() }).await;
    let first = pair.send("first", 60_000);
    wait_until("service", async || pair.load().await.in_service == 1).await;
    (pair, first)
}

fn request_keys(ledger: &Ledger) -> Vec<&str> {
    let executions = ledger.executions.iter();
    executions.map(|execution| execution.key.as_str()).collect()
}

#[test]
fn answer_repeats_request_content() {
    run_async(async {
        let pair = ServerPair::start();
        let reply = post(&pair.url("/query"), &query_request("1")).await;
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

/// One booking is sent twice to one server and once, with fewer shards, to its replica. Guards
/// against repeated executions that a ledger check misses because shards are grouped differently,
/// and against reports of other requests.
#[test]
fn ledger_counts_repeated_executions() {
    run_async(async {
        let pair = ServerPair::start();
        let repeated_booking = |id: &str| Request {
            key: "booking".to_owned(),
            shards: vec!["north".to_owned(), "east".to_owned()],
            ..query_request(id)
        };
        let replica = Request { shards: vec!["north".to_owned()], ..repeated_booking("3") };
        for (server, request) in [
            (0, repeated_booking("1")),
            (0, repeated_booking("2")),
            (1, replica),
            (0, query_request("4")),
        ] {
            let reply = post(&pair.url_of(server, "/query"), &request).await;
            assert_eq!(reply.status, 200);
        }
        let all: Ledger = get(&pair.admin("/admin/ledger")).await.json();
        assert_eq!(all.calls, 4);
        let doubles = ledger::doubles(std::slice::from_ref(&all), "dock-booking");
        let counts =
            doubles.iter().map(|double| (double.key.as_str(), double.shard.as_str(), double.count));
        assert_eq!(counts.collect::<Vec<_>>(), [("booking", "east", 2), ("booking", "north", 3)]);
        assert!(ledger::doubles(&[all], "dock-availability").is_empty());

        let repeated: Ledger = get(&pair.admin("/admin/ledger?least=2")).await.json();
        assert_eq!(repeated.executions.len(), 1);
        assert_eq!(repeated.executions[0].server, "s-1");
        assert_eq!(repeated.executions[0].count, 2);
    });
}

/// The slower call of a hedge is cancelled during execution. Its slot must become free at once;
/// otherwise every hedge would cost a server the full service time. The status 500 reports that the
/// request may have been executed.
#[test]
fn cancelled_execution_frees_its_slot() {
    run_async(async {
        let (pair, first) = pair_with_occupied_slot().await;
        let waiting = pair.send("second", 60_000);
        wait_until("the queue", async || pair.load().await.queued == 1).await;
        pair.set_fault(Fault::default()).await;

        assert_eq!(post(&pair.url("/cancel?id=first"), &()).await.status, 200);
        assert_eq!(first.await.expect("no panic").expect("answered").status, 500);
        assert_eq!(waiting.await.expect("no panic").expect("answered").status, 200);
        assert_eq!(request_keys(&pair.ledger().await), ["key-first", "key-second"]);
    });
}

/// A client may close its connection instead of sending a cancellation. The request's slot must
/// become free at once as well.
#[test]
fn closed_connection_frees_its_slot() {
    run_async(async {
        let (pair, first) = pair_with_occupied_slot().await;
        first.abort();
        wait_until("the free slot", async || pair.load().await.in_service == 0).await;
        pair.set_fault(Fault::default()).await;
        assert_eq!(post(&pair.url("/query"), &query_request("second")).await.status, 200);
    });
}

/// Case of a request that is refused before it gets a slot: name of the case, deadline of the
/// request in milliseconds, number of requests queued before it, whether it is cancelled, expected
/// reason.
struct RefusalCase(&'static str, u32, u32, bool, Reason);

const REFUSAL_CASES: [RefusalCase; 3] = [
    RefusalCase("cancelled", 60_000, 0, true, Reason::Cancelled),
    RefusalCase("expired", 20, 0, false, Reason::Cancelled),
    RefusalCase("beyond the queue", 60_000, 2, false, Reason::TargetShed),
];

/// A refusal guarantees that the request was not executed and will not be, so that a caller may
/// repeat a non-idempotent request. The ledger must therefore never list a refused request.
#[test]
fn request_refused_in_queue_is_never_executed() {
    run_async(async {
        for RefusalCase(name, deadline_ms, queued_before, cancelled, reason) in REFUSAL_CASES {
            let (pair, _first) = pair_with_occupied_slot().await;
            for number in 0..queued_before {
                drop(pair.send(&format!("before-{number}"), 60_000));
                let length = number + 1;
                wait_until("the queue", async || pair.load().await.queued == length).await;
            }
            let waiting = pair.send("refused", deadline_ms);
            if cancelled {
                wait_until("the queue", async || pair.load().await.queued == 1).await;
                post(&pair.url("/cancel?id=refused"), &()).await;
            }
            let reply = waiting.await.expect("no panic").expect("answered");
            assert_eq!(reply.status, 503, "{name}");
            let refusal: Refusal = reply.json();
            assert_eq!(refusal.reason(), reason, "{name}");
            assert_eq!(refusal.id, "refused");

            pair.set_fault(Fault::default()).await;
            post(&pair.url("/cancel?id=first"), &()).await;
            wait_until("an idle server", async || {
                let load = pair.load().await;
                load.in_service == 0 && load.queued == 0
            })
            .await;
            let ledger = pair.ledger().await;
            assert!(!request_keys(&ledger).contains(&"key-refused"), "{name}");
            assert_eq!(ledger.calls, u64::from(queued_before) + 1, "{name}");
        }
    });
}

#[test]
fn invalid_requests_are_rejected() {
    run_async(async {
        let (pair, _first) = pair_with_occupied_slot().await;
        let no_id = post(&pair.url("/query"), &query_request("")).await;
        assert_eq!((no_id.status, no_id.body.as_slice()), (400, &b"id: is empty"[..]));
        assert_eq!(post(&pair.url("/query"), &query_request("first")).await.status, 400);
        assert_eq!(post(&pair.url("/query"), &"text").await.status, 400);
        assert_eq!(post(&pair.url("/cancel"), &()).await.status, 400);
        assert_eq!(get(&pair.admin("/admin/ledger?server=s-9")).await.status, 404);
        assert_eq!(pair.ledger().await.calls, 1);
    });
}
