//! The whole path through real processes.

use ladder_schema::call::{Answer, Request};
use ladder_schema::outcome::{Reason, Verdict};
use ladder_standin::layout::user::User;

use crate::fleet::call::{Exchange, PORTO, ask};
use crate::fleet::{Fleet, http, layout};

/// A request that is refused, and how.
struct Refused {
    request: Request,
    status: u16,
    reason: Reason,
}

fn refused() -> Vec<Refused> {
    let case = |request, status, reason| Refused { request, status, reason };
    let nowhere = || "nowhere".to_owned();
    let index = Request { index: nowhere(), ..PORTO.sweep("unknown-index") };
    let operation = Request { operation: nowhere(), ..PORTO.sweep("unknown-operation") };
    let shard = Request { shards: vec![nowhere()], ..PORTO.sweep("unknown-shard") };
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

/// A commuter looks for a dock at all stations and books one: the sweep comes back whole and is
/// the commuter's own, the booking runs once. What cannot be served is refused with its reason,
/// before any target hears of it. Nothing fails here; it is the path that all other proofs use.
#[test]
fn whole_path() {
    let fleet = Fleet::start(layout(User::Porto, 2));
    let index = fleet.index(PORTO.index);
    for at in fleet.running() {
        let sweep = ask(&fleet.door(at), PORTO.sweep(&format!("sweep-{at}")));
        sweep.check_complete(&index);
        assert_eq!(sweep.answer().verdict(), Verdict::Ran);
        for shard in &index.shards {
            let key = format!("booking-{at}-{}", shard.name);
            let booking = ask(&fleet.door(at), PORTO.booking(&key, &shard.name));
            booking.check_complete(&index);
            assert_eq!(booking.answer().verdict(), Verdict::Ran);
            assert_eq!(fleet.executed().of_key(&key), 1);
        }
    }
    check_refusals(&fleet);
    check_expired(&fleet);
    fleet.executed().check_no_doubles(PORTO.booking);
    fleet.check_connections();
}

fn check_refusals(fleet: &Fleet) {
    let mut keys = Vec::new();
    for case in refused() {
        let exchange = ask(&fleet.door(0), case.request);
        let answer = exchange.answer();
        assert_eq!(exchange.status(), case.status, "{answer:?}");
        assert_eq!(answer.reason(), case.reason, "{answer:?}");
        keys.push(exchange.request.key.clone());
        // What the first attempt did is not known here.
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
        let response = http::exchange(&fleet.door(0), "POST", "/query", body).expect("an answer");
        let answer: Answer = response.json();
        assert_eq!((response.status, answer.reason()), (status, reason));
        assert_eq!(answer.verdict(), Verdict::NotRun);
    }
    let executed = fleet.executed();
    for key in keys {
        assert_eq!(executed.of_key(&key), 0, "{key:?} ran");
    }
}

/// A deadline that nothing can meet: nobody is kept waiting, and what is said not to have run did
/// not run.
fn check_expired(fleet: &Fleet) {
    let exchanges = (0..20).map(|number| {
        let booking = PORTO.booking(&format!("expired-{number}"), "gate-finder-01");
        ask(&fleet.door(number % 2), Request { deadline_ms: 1, ..booking })
    });
    let exchanges: Vec<Exchange> = exchanges.collect();
    fleet.until_idle();
    let executed = fleet.executed();
    for exchange in &exchanges {
        executed.check_verdicts(exchange);
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
