//! What callers are told when the graceful stop comes to its bound.

use ladder_core::gather::Event;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::session::{Session, answer, request};

struct Case {
    operation: &'static str,
    verdict: Verdict,
}

/// A caller sees its connection break and asks again, and a booking runs twice.
///
/// An instance is told to stop while requests are open; the bound passes and the process ends.
/// The cause would be a stop that says nothing of the requests it cuts: each has to be answered
/// with its verdict first.
#[test]
fn bound_answers_everything_open_with_its_verdict() {
    let cases = [
        Case { operation: "check", verdict: Verdict::MayHaveRun },
        Case { operation: "book", verdict: Verdict::MayHaveRun },
    ];
    for case in cases {
        let mut session = Session::new(&Fleet::default());
        session.call(request("k1", case.operation, &["c"]));
        session.give(Event::Drain);
        let out = session.give(Event::Cut);
        let answer = answer(&out);
        assert_eq!(answer.verdict(), case.verdict, "{}", case.operation);
        assert_eq!(answer.missing.len(), 1, "{}", case.operation);
        assert_eq!(answer.missing[0].reason(), Reason::Draining, "{}", case.operation);
        assert_eq!(session.machine.open(), 0, "{}", case.operation);
    }
}
