//! The story of a request from the logs of all instances.

use sycamoreladder::ctl::story::story;

/// Lines of two instances as a collector hands them over: out of order, with words before them, among
/// lines of other requests and lines that are none.
const LOGS: &str = r#"
 4.2 edge-2 {"msg":"answered","level":"INFO","ts":"2026-01-01T00:00:02Z","instance":"edge-2","missing":1,"id":"a"}
 4.1 edge-1 {"msg":"call","level":"INFO","ts":"2026-01-01T00:00:01Z","instance":"edge-1","server":"i-1","took_us":null,"id":"a"}
 4.1 edge-1 {"msg":"call","level":"INFO","ts":"2026-01-01T00:00:01Z","instance":"edge-1","server":"i-2","id":"ab"}
 4.1 edge-1 {"msg":"server turned","level":"INFO","ts":"2026-01-01T00:00:00Z","instance":"edge-1","server":"a"}
 4.1 edge-1 {"msg":"cut sho
"#;

/// An on-call engineer has an id and the logs of a fleet. What they say of it comes in order of time,
/// and nothing that is about another request.
#[test]
fn lines_of_one_request_in_order() {
    let lines = story("a", LOGS);
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:01Z edge-1 call: server=i-1",
            "2026-01-01T00:00:02Z edge-2 answered: missing=1",
        ]
    );
    assert!(story("unknown", LOGS).is_empty());
}
