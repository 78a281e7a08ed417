//! Requests through real processes without failures: answers, refusals and expired deadlines.

use ladder_schema::call::{Answer, Request};
use ladder_schema::outcome::{Reason, Verdict};
use ladder_standin::layout::user::User;

use crate::fleet::call::{Exchange, PORTO, send_request};
use crate::fleet::{Fleet, http, small_layout};

/// Request that must be refused, with the expected HTTP status and reason.
struct RefusalCase {
    request: Request,
    status: u16,
    reason: Reason,
}

fn refusal_cases() -> Vec<RefusalCase> {
    let case = |request, status, reason| RefusalCase { request, status, reason };
    let unknown_name = || "nowhere".to_owned();
    let index = Request { index: unknown_name(), ..PORTO.sweep("unknown-index") };
    let operation = Request { operation: unknown_name(), ..PORTO.sweep("unknown-operation") };
    let shard = Request { shards: vec![unknown_name()], ..PORTO.sweep("unknown-shard") };
    let large = "x".repeat(64 * 1024 + 1);
    let payload = Request { payload: large, ..PORTO.sweep("payload-too-large") };
    let deadline = Request { deadline_ms: 60_001, ..PORTO.sweep("deadline-too-long") };
    let repeated = Request { attempt: 2, ..PORTO.booking("repeated", "gate-finder-01") };
    vec![
        case(PORTO.sweep(""), 400, Reason::Malformed),
        case(deadline, 400, Reason::Malformed),
        case(payload, 413, Reason::TooLarge),
        case(index, 404, Reason::UnknownIndex),
        case(operation, 404, Reason::UnknownOperation),
        case(shard, 404, Reason::UnknownShard),
        case(repeated, 409, Reason::RepeatedKey),
    ]
}

/// Guards against faults on the normal path, on which all other integration tests rely. Each sweep
/// must be answered completely and belong to its request, each booking must run once, and a request
/// that cannot be served must be refused with its reason before any target receives it.
#[test]
fn requests_are_answered_or_refused_with_a_reason() {
    let fleet = Fleet::start(small_layout(User::Porto, 2));
    let index = fleet.published_index(PORTO.index);
    for instance in fleet.running_instances() {
        let sweep = send_request(
            &fleet.caller_address(instance),
            PORTO.sweep(&format!("sweep-{instance}")),
        );
        sweep.check_complete(&index);
        assert_eq!(sweep.answer().verdict(), Verdict::Ran);
        for shard in &index.shards {
            let key = format!("booking-{instance}-{}", shard.name);
            let booking =
                send_request(&fleet.caller_address(instance), PORTO.booking(&key, &shard.name));
            booking.check_complete(&index);
            assert_eq!(booking.answer().verdict(), Verdict::Ran);
            assert_eq!(fleet.read_executions().count_for_key(&key), 1);
        }
    }
    check_refusals(&fleet);
    check_short_deadlines(&fleet);
    fleet.read_executions().check_no_double_execution(PORTO.booking);
    fleet.check_connection_limits();
}

fn check_refusals(fleet: &Fleet) {
    let mut keys = Vec::new();
    for case in refusal_cases() {
        let exchange = send_request(&fleet.caller_address(0), case.request);
        let answer = exchange.answer();
        assert_eq!(exchange.status(), case.status, "{answer:?}");
        assert_eq!(answer.reason(), case.reason, "{answer:?}");
        keys.push(exchange.request.key.clone());
        // The instance does not know whether the first attempt of a repeated key ran, so it must
        // answer `MayHaveRun`.
        let expected = match case.reason {
            Reason::RepeatedKey => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        };
        assert_eq!(answer.verdict(), expected, "{answer:?}");
    }
    let bodies: [(&[u8], u16, Reason); 3] = [
        (b"{", 400, Reason::Malformed),
        (br#"{"key": "field", "nothing": 1}"#, 400, Reason::Malformed),
        (&[b' '; 128 * 1024 + 1], 413, Reason::TooLarge),
    ];
    for (body, status, reason) in bodies {
        let response = http::round_trip(&fleet.caller_address(0), "POST", "/query", body)
            .expect("the instance replies");
        let answer: Answer = response.json();
        assert_eq!((response.status, answer.reason()), (status, reason));
        assert_eq!(answer.verdict(), Verdict::NotRun);
    }
    let executions = fleet.read_executions();
    for key in keys {
        assert_eq!(executions.count_for_key(&key), 0, "the refused request {key:?} ran");
    }
}

/// Checks bookings with a deadline of 1 ms: each is answered, and none that is reported as not run
/// has run.
fn check_short_deadlines(fleet: &Fleet) {
    let exchanges = (0..20).map(|number| {
        let booking = PORTO.booking(&format!("expired-{number}"), "gate-finder-01");
        send_request(&fleet.caller_address(number % 2), Request { deadline_ms: 1, ..booking })
    });
    let exchanges: Vec<Exchange> = exchanges.collect();
    fleet.wait_until_idle();
    let executions = fleet.read_executions();
    for exchange in &exchanges {
        executions.check_verdicts(exchange);
        let answer = exchange.answer();
        if answer.verdict() == Verdict::Ran {
            continue;
        }
        let reasons =
            [Reason::Expired, Reason::Deadline, Reason::WouldMissDeadline, Reason::TargetTimeout];
        assert!(reasons.contains(&answer.reason()), "{answer:?}");
        assert!([429, 504].contains(&exchange.status()), "{answer:?}");
    }
}
