//! Unrepeatable requests: records of request keys, verdicts, cancellations.

use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire;

use crate::bed::{Bed, Sent, cancel, peer, server, service, settings, work};

/// What becomes of the first delivery before the second arrives.
#[derive(Clone, Copy, Debug)]
enum First {
    None,
    Open,
    Answered,
    Lost,
    LateAnswer,
    Cancelled,
    RefusedLate,
}

struct Case {
    first: First,
    /// Attempt number of the second delivery; the first has 1.
    attempt: u32,
    runs: bool,
}

fn booking(query: u64, attempt: u32) -> wire::Work {
    wire::Work { key: "booking".into(), attempt, ..work(query, "book") }
}

/// Fills all slots, so that what comes next waits.
fn fill(bed: &mut Bed) -> Vec<Sent> {
    bed.sweeps(100..104);
    bed.sent()
}

fn first_delivery(bed: &mut Bed, first: First) {
    if let First::Cancelled = first {
        let filling = fill(bed);
        bed.work(booking(1, 1));
        bed.handle(cancel(1));
        bed.answer_all(filling);
        return;
    }
    if !matches!(first, First::None) {
        bed.work(booking(1, 1));
    }
    let Some(sent) = bed.sent().pop() else {
        return;
    };
    match first {
        First::Answered => bed.answer(&sent),
        First::Lost => bed.end(sent.attempt, Outcome::Lost),
        First::LateAnswer => {
            bed.handle(cancel(1));
            bed.answer(&sent);
        }
        First::RefusedLate => {
            bed.handle(cancel(1));
            bed.end(sent.attempt, sent.refusal(Reason::TargetShed, 0));
            bed.advance(50);
        }
        _ => {}
    }
}

/// A caller books a dock and hears nothing. It asks again through another entry, with the same key
/// and a higher attempt number. The booking runs a second time unless the owner refuses what it
/// cannot prove not to have run.
#[test]
fn second_delivery_of_a_key() {
    let case = |first, attempt, runs| Case { first, attempt, runs };
    let cases = [
        case(First::None, 0, true),
        case(First::None, 1, true),
        case(First::None, 2, false),
        case(First::Open, 1, false),
        case(First::Open, 2, false),
        case(First::Answered, 1, false),
        case(First::Answered, 2, false),
        case(First::Lost, 1, false),
        case(First::Lost, 2, false),
        case(First::LateAnswer, 2, false),
        case(First::Cancelled, 1, true),
        case(First::Cancelled, 2, true),
        case(First::Cancelled, 3, false),
        case(First::RefusedLate, 2, true),
    ];
    for case in cases {
        let mut bed = Bed::new();
        first_delivery(&mut bed, case.first);
        bed.log.clear();
        bed.work(booking(2, case.attempt));
        let name = format!("{:?}, then attempt {}", case.first, case.attempt);
        assert_eq!(bed.sent().len(), usize::from(case.runs), "{name}");
        let refused = [(Verdict::MayHaveRun, Reason::RepeatedKey)];
        let expected = if case.runs { &[][..] } else { &refused[..] };
        assert_eq!(bed.replies(), expected, "{name}");
    }
}

/// The owner refuses a booking "not run"; the entry sends it to the next candidate, where it runs.
/// The answer is lost and the caller asks again with attempt 2. The first owner's record must not
/// be taken as proof that attempt 1 ran nowhere.
#[test]
fn refused_here_is_no_proof_for_the_next_attempt() {
    let mut bed = Bed::new();
    fill(&mut bed);
    bed.work(booking(1, 1));
    bed.advance(499);
    assert!(bed.replies().contains(&(Verdict::NotRun, Reason::Deadline)));
    bed.answer_all(bed.sent());
    bed.log.clear();
    bed.work(booking(2, 2));
    assert_eq!(bed.replies(), [(Verdict::MayHaveRun, Reason::RepeatedKey)]);
    bed.log.clear();
    bed.work(booking(3, 1));
    assert_eq!(bed.sent().len(), 1);
}

/// Both servers refuse a booking as cancelled, which nobody did: they give up what waits too long.
/// The caller must not hear of a cancellation, and the owner must not remember the key as withdrawn
/// by its entry: that entry may have had it run elsewhere since.
#[test]
fn refused_as_cancelled_by_the_servers_alone() {
    let mut bed = Bed::new();
    bed.work(booking(1, 1));
    let calls = bed.each_sent(|bed, sent| {
        bed.end(sent.attempt, sent.refusal(Reason::Cancelled, 0));
    });
    assert!(calls > 1, "another server is asked");
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::TargetTimeout)]);
    bed.log.clear();
    bed.work(booking(2, 2));
    assert_eq!(bed.replies(), [(Verdict::MayHaveRun, Reason::RepeatedKey)]);
}

/// A cancellation overtakes its work. The entry has told its caller that the request was given up;
/// the copy that arrives later must not run.
#[test]
fn cancellation_that_overtakes_its_work() {
    for operation in ["sweep", "book"] {
        let mut bed = Bed::new();
        bed.handle(cancel(1));
        bed.work(work(1, operation));
        assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::Cancelled)]);
        assert!(bed.sent().is_empty());
    }
}

/// Two entries start in the same microsecond: a whole site comes back after a loss of power. Their
/// incarnations are equal and both count their queries from one. What one of them gives up must
/// end nothing of the other's, queued, sent or still to come.
#[test]
fn entries_of_equal_incarnation() {
    let other = |query| Event::Work {
        from: peer("porto-3"),
        incarnation: 9,
        work: wire::Work { key: format!("other-{query}"), ..work(query, "sweep") },
    };
    let mut bed = Bed::new();
    for query in [1, 2] {
        bed.work(work(query, "sweep"));
        bed.handle(other(query));
        // The first two are sent; what follows these waits.
        bed.sweeps(query * 100..query * 100 + 2);
    }
    for query in 1..=3 {
        bed.handle(cancel(query));
    }
    bed.handle(other(3));
    let cancelled =
        [(Verdict::MayHaveRun, Reason::Cancelled), (Verdict::NotRun, Reason::Cancelled)];
    assert_eq!(bed.replies(), cancelled, "only porto-2's");
    bed.each_sent(Bed::answer);
    let ran = bed.replies().split_off(cancelled.len());
    assert_eq!(ran, [(Verdict::Ran, Reason::Unspecified); 7]);
}

/// The caller has gone. A sweep is cancelled at its server; a booking is not, since a booking cut
/// halfway would leave its outcome unknown for good.
#[test]
fn only_repeatable_calls_are_cancelled_at_the_server() {
    for (operation, cancels) in [("sweep", 1), ("book", 0)] {
        let mut bed = Bed::new();
        bed.work(work(1, operation));
        bed.handle(cancel(1));
        let sent = bed.log.iter().filter(|action| matches!(action, Action::Cancel { .. }));
        assert_eq!(sent.count(), cancels, "{operation}");
        assert_eq!(bed.replies(), [(Verdict::MayHaveRun, Reason::Cancelled)]);
    }
}

/// The network delivers a frame twice. The second copy would run a second time and be replied to a
/// second time.
#[test]
fn duplicated_delivery_is_ignored() {
    for operation in ["sweep", "book"] {
        let mut bed = Bed::new();
        bed.work(work(1, operation));
        bed.work(work(1, operation));
        assert_eq!(bed.sent().len(), 1);
        bed.answer_first();
        bed.work(work(1, operation));
        assert_eq!(bed.sent().len(), 1);
        assert_eq!(bed.replies().len(), 1);
    }
}

/// A client library may leave the flag out. The catalogue says that bookings are unrepeatable, and
/// the owner must hold to it.
#[test]
fn catalogue_makes_an_operation_unrepeatable() {
    let mut bed = Bed::new();
    bed.work(wire::Work { unrepeatable: false, ..work(1, "book") });
    bed.end(bed.sent()[0].attempt, Outcome::Lost);
    assert_eq!(bed.sent().len(), 1);
    assert_eq!(bed.replies(), [(Verdict::MayHaveRun, Reason::TargetLost)]);
}

/// Records are bounded in age: after ten minutes a first attempt may run, a later one still not.
#[test]
fn records_expire() {
    for (attempt, runs) in [(1, true), (2, false)] {
        let mut bed = Bed::with(settings(), service(vec![server(1), server(2)]));
        bed.work(booking(1, 1));
        bed.answer_first();
        bed.advance(601_000);
        bed.connect();
        bed.log.clear();
        bed.work(booking(2, attempt));
        assert_eq!(bed.sent().len(), usize::from(runs), "attempt {attempt}");
    }
}
