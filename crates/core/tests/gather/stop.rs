//! What callers are told when the graceful stop comes to its bound.

use ladder_core::gather::Event;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::session::{answer, asked};

/// A caller sees its connection break and asks again, and a booking runs twice.
///
/// An instance is told to stop while requests are open; the bound passes and the process ends.
/// The cause would be a stop that says nothing of the requests it cuts: each has to be answered
/// with its verdict first.
#[test]
fn bound_answers_everything_open_with_its_verdict() {
    for operation in ["check", "book"] {
        let (mut session, _) = asked(operation, &["c"]);
        session.give(Event::Drain);
        let out = session.give(Event::Cut);
        let answer = answer(&out);
        assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{operation}");
        assert_eq!(answer.missing.len(), 1, "{operation}");
        assert_eq!(answer.missing[0].reason(), Reason::Draining, "{operation}");
        assert_eq!(session.machine.open(), 0, "{operation}");
    }
}
