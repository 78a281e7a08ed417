//! Test of an instance at its limit of open queries.

use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::harness::{Harness, only_answer, request, sent_work};

/// Guards against running out of memory when one service is stuck and its callers wait for their
/// deadlines.
///
/// An instance that accepted any number of requests would fail, and the next ones after it, so
/// that callers of all services would get no answer. Beyond the limit, an instance must refuse
/// with a retry delay.
#[test]
fn full_instance_refuses_with_retry_delay() {
    const MAX_OPEN_QUERIES: usize = 10_000;
    let mut harness = Harness::new(&Fleet::default());
    for number in 0..MAX_OPEN_QUERIES {
        let out = harness.call(request(&format!("k{number}"), "check", &["c"]));
        assert!(!sent_work(&out).is_empty(), "request {number} is taken");
    }
    let out = harness.call(request("one too many", "check", &["c"]));
    let answer = only_answer(&out);
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert_eq!(answer.reason(), Reason::QueueFull);
    assert!(answer.retry_after_ms > 0);
    assert_eq!(harness.machine.open(), MAX_OPEN_QUERIES);
}
