//! Tests of the refusals of invalid requests.

use ladder_core::gather::status;
use ladder_core::schema::call::Request;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::harness::{Harness, only_answer, request};

struct Case {
    change: fn(&mut Request),
    reason: Reason,
    status: u16,
    detail: &'static str,
}

const fn malformed(change: fn(&mut Request), detail: &'static str) -> Case {
    Case { change, reason: Reason::Malformed, status: 400, detail }
}

const fn large(change: fn(&mut Request), detail: &'static str) -> Case {
    Case { change, reason: Reason::TooLarge, status: 413, detail }
}

const fn unknown(reason: Reason, change: fn(&mut Request), detail: &'static str) -> Case {
    Case { change, reason, status: 404, detail }
}

const CASES: &[Case] = &[
    malformed(|r| r.key.clear(), "key: 0 bytes; allowed: 1 to 128"),
    large(|r| r.key = "k".repeat(129), "key: 129 bytes; allowed: 1 to 128"),
    large(|r| r.payload = "p".repeat(65537), "payload: 65537 bytes; allowed: 0 to 65536"),
    malformed(|r| r.deadline_ms = 60_001, "deadline_ms: 60001; allowed: 0 to 60000"),
    large(|r| r.shards = vec!["a".into(); 4097], "shards: 4097 names; allowed: 0 to 4096"),
    malformed(|r| r.shards = vec!["a".into(); 2], "shards: a twice; allowed: each name once"),
    unknown(Reason::UnknownIndex, |r| r.index = "fish".into(), "index: fish; it is not published"),
    unknown(
        Reason::UnknownShard,
        |r| r.shards = vec!["a".into(), "z".into()],
        "shards: z; no published version has it",
    ),
    unknown(
        Reason::UnknownOperation,
        |r| r.operation = "fly".into(),
        "operation: fly; the entry of service s1 does not list it",
    ),
];

#[test]
fn refusals_name_field_value_and_range() {
    for case in CASES {
        let mut harness = Harness::new(&Fleet::default());
        let mut asked = request("k1", "sweep", &[]);
        (case.change)(&mut asked);
        let answer = only_answer(&harness.call(asked));
        assert_eq!(answer.reason(), case.reason, "{}", case.detail);
        assert_eq!(answer.verdict(), Verdict::NotRun, "{}", case.detail);
        assert_eq!(status(&answer), case.status, "{}", case.detail);
        assert_eq!(answer.detail, case.detail);
    }
}
