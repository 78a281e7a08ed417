//! Selection of the log lines of one request from the logs of all instances.

use sycamoreladder::ctl::request_log::request_lines;

/// Log lines of two instances as a log collector delivers them: out of order, with a prefix, mixed
/// with lines of other requests and with text that is no log line.
const LOGS: &str = r#"
 4.2 edge-2 {"msg":"answered","level":"INFO","ts":"2026-01-01T00:00:02Z","instance":"edge-2","missing":1,"id":"a"}
 4.1 edge-1 {"msg":"call","level":"INFO","ts":"2026-01-01T00:00:01Z","instance":"edge-1","server":"i-1","took_us":null,"id":"a"}
 4.1 edge-1 {"msg":"call","level":"INFO","ts":"2026-01-01T00:00:01Z","instance":"edge-1","server":"i-2","id":"ab"}
 4.1 edge-1 {"msg":"server state changed","level":"INFO","ts":"2026-01-01T00:00:00Z","instance":"edge-1","server":"a"}
 4.1 edge-1 {"msg":"cut sho
"#;

/// Guards against missing, unsorted or unrelated lines when an engineer looks up a request id in
/// the logs of a fleet: exactly the lines of this request must come out, in order of time.
#[test]
fn lines_of_one_request_are_selected_and_sorted_by_time() {
    let lines = request_lines("a", LOGS);
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:01Z edge-1 call: server=i-1",
            "2026-01-01T00:00:02Z edge-2 answered: missing=1",
        ]
    );
    assert!(request_lines("unknown", LOGS).is_empty());
}
