//! Test of the answers at the time limit of the graceful shutdown.

use ladder_core::gather::Event;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::harness::{only_answer, start_request};

/// Guards against a booking that runs twice because its caller saw a broken connection and sent
/// the booking again.
///
/// An instance shuts down while requests are open, and its process ends at the time limit. Each
/// open request must be answered with its verdict before.
#[test]
fn shutdown_limit_answers_open_requests() {
    for operation in ["check", "book"] {
        let (mut harness, _) = start_request(operation, &["c"]);
        harness.deliver(Event::Drain);
        let out = harness.deliver(Event::Cut);
        let answer = only_answer(&out);
        assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{operation}");
        assert_eq!(answer.missing.len(), 1, "{operation}");
        assert_eq!(answer.missing[0].reason(), Reason::Draining, "{operation}");
        assert_eq!(harness.machine.open(), 0, "{operation}");
    }
}
