//! Which requests are refused, and with what.

use ladder_core::gather::status;
use ladder_core::schema::call::Request;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::session::{Session, answer, request};

struct Case {
    name: &'static str,
    change: fn(&mut Request),
    reason: Reason,
    status: u16,
    detail: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "no key",
        change: |request| request.key.clear(),
        reason: Reason::Malformed,
        status: 400,
        detail: "key: 0 bytes; allowed: 1 to 128",
    },
    Case {
        name: "key too long",
        change: |request| request.key = "k".repeat(129),
        reason: Reason::TooLarge,
        status: 413,
        detail: "key: 129 bytes; allowed: 1 to 128",
    },
    Case {
        name: "payload too large",
        change: |request| request.payload = "p".repeat(65537),
        reason: Reason::TooLarge,
        status: 413,
        detail: "payload: 65537 bytes; allowed: 0 to 65536",
    },
    Case {
        name: "deadline too long",
        change: |request| request.deadline_ms = 60_001,
        reason: Reason::Malformed,
        status: 400,
        detail: "deadline_ms: 60001; allowed: 0 to 60000",
    },
    Case {
        name: "too many shards",
        change: |request| request.shards = vec!["a".to_owned(); 4097],
        reason: Reason::TooLarge,
        status: 413,
        detail: "shards: 4097 names; allowed: 0 to 4096",
    },
    Case {
        name: "shard twice",
        change: |request| request.shards = vec!["a".to_owned(); 2],
        reason: Reason::Malformed,
        status: 400,
        detail: "shards: a twice; allowed: each name once",
    },
    Case {
        name: "unknown index",
        change: |request| request.index = "fish".to_owned(),
        reason: Reason::UnknownIndex,
        status: 404,
        detail: "index: fish; it is not published",
    },
    Case {
        name: "unknown shard",
        change: |request| request.shards = vec!["a".to_owned(), "z".to_owned()],
        reason: Reason::UnknownShard,
        status: 404,
        detail: "shards: z; no published version has it",
    },
    Case {
        name: "unknown operation",
        change: |request| request.operation = "fly".to_owned(),
        reason: Reason::UnknownOperation,
        status: 404,
        detail: "operation: fly; the entry of service s1 does not list it",
    },
];

#[test]
fn refusals_name_field_value_and_range() {
    for case in CASES {
        let mut session = Session::new(&Fleet::default());
        let mut asked = request("k1", "sweep", &[]);
        (case.change)(&mut asked);
        let answer = answer(&session.call(asked));
        assert_eq!(answer.reason(), case.reason, "{}", case.name);
        assert_eq!(answer.verdict(), Verdict::NotRun, "{}", case.name);
        assert_eq!(status(&answer), case.status, "{}", case.name);
        assert_eq!(answer.detail, case.detail, "{}", case.name);
    }
}
