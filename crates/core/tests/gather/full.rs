//! What an instance does that holds as much as it may.

use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::session::{Session, answer, request, works};

/// Callers of every service get no answer, since one instance after another runs out of memory.
///
/// One service is stuck; callers keep coming and wait out their deadlines. The cause is that an
/// instance takes any number of requests: beyond a bound it has to refuse, and say when to return.
#[test]
fn full_instance_refuses_with_advice() {
    const OPEN: usize = 10_000;
    let mut session = Session::new(&Fleet::default());
    for number in 0..OPEN {
        let out = session.call(request(&format!("k{number}"), "check", &["c"]));
        assert!(!works(&out).is_empty(), "request {number} is taken");
    }
    let out = session.call(request("one too many", "check", &["c"]));
    let answer = answer(&out);
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert_eq!(answer.reason(), Reason::QueueFull);
    assert!(answer.retry_after_ms > 0);
    assert_eq!(session.machine.open(), OPEN);
}
