//! Repair of a large publication.

use ladder_core::control::{Action, Event, Machine, Settings};
use ladder_core::schema::publication::{Kind, Page, Record};
use ladder_core::schema::wire::Frame;
use ladder_core::time::Instant;
use prost::Message;

use crate::publish;

const NAMES: [&str; 2] = ["entry-0", "entry-1"];
const NOW: Instant = Instant::from_millis(60_000);

fn machine(name: &str, records: Vec<Record>) -> Machine {
    let settings = Settings::builder(name, &publish::address(name)).build();
    let mut machine = Machine::new(settings, Instant::from_millis(1000));
    let page = Event::Page(Page { head: 0, records, ..Page::default() });
    machine.handle(Instant::from_millis(1000), page, &mut Vec::new());
    machine
}

/// Each of two instances has missed a change of a publication of 4,000 records. A digest shows the
/// buckets, but a bucket of such a size is large, and control may take little of the network: the
/// hashes of its parts go first, and far less than the bucket follows. Both end up equal.
#[test]
fn few_records_are_sent_for_few_that_differ() {
    let entry = |at: u64| publish::record(at, publish::entry(&format!("gate-{at}"), 10));
    let all: Vec<Record> = (1..=4000).map(entry).collect();
    let mut first = all.clone();
    first.push(publish::record(5000, publish::entry("gate-7", 20)));
    let mut second = all;
    second.push(publish::record(5001, publish::tombstone(Kind::Entry, "gate-9")));
    let mut machines = [machine(NAMES[0], first), machine(NAMES[1], second)];
    let mut frames: Vec<(usize, Frame)> = vec![(0, publish::frame(NAMES[1], "", 1))];
    let mut records = 0;
    let mut bytes = 0;
    for _ in 0..50 {
        let Some((to, mut frame)) = frames.pop() else {
            break;
        };
        // Only the second instance compares, so that each step of one exchange is needed.
        frame.digest = frame.digest.filter(|_| to == 0);
        records += frame.records.len();
        bytes = bytes.max(frame.encoded_len());
        let mut out = Vec::new();
        machines[to].handle(NOW, Event::Frame(Box::new(frame)), &mut out);
        for action in out {
            if let Action::Send { frame, .. } = action {
                frames.insert(0, (1 - to, *frame));
            }
        }
    }
    assert_eq!(publish::known(&machines[0]), publish::known(&machines[1]));
    assert!(records < 40, "{records} records were sent");
    assert!(bytes < 8192, "{bytes} bytes in one frame");
}
