//! Repair of differences in a large publication.

use ladder_core::control::{Action, Event, Machine, Settings};
use ladder_core::schema::publication::{Kind, Page, Record};
use ladder_core::schema::wire::Frame;
use ladder_core::time::Instant;
use prost::Message;

use crate::fixtures;

const NAMES: [&str; 2] = ["entry-0", "entry-1"];
const NOW: Instant = Instant::from_millis(60_000);

fn machine(name: &str, records: Vec<Record>) -> Machine {
    let settings = Settings::builder(name, &fixtures::address(name)).build();
    let mut machine = Machine::new(settings, Instant::from_millis(1000));
    let page = Event::Page(Page { head: 0, records, ..Page::default() });
    machine.handle(Instant::from_millis(1000), page, &mut Vec::new());
    machine
}

/// Each of two instances has missed one change of a publication of 4,000 records. A digest shows
/// which buckets differ, but a bucket of such a publication is large, and control traffic must stay
/// small. The hashes of the bucket's parts are therefore compared first, and far fewer records than
/// a bucket holds are sent. Both instances must end up with the same records.
#[test]
fn small_difference_transfers_few_records() {
    let entry = |at: u64| fixtures::record(at, fixtures::entry(&format!("gate-{at}"), 10));
    let common: Vec<Record> = (1..=4000).map(entry).collect();
    let mut first_records = common.clone();
    first_records.push(fixtures::record(5000, fixtures::entry("gate-7", 20)));
    let mut second_records = common;
    second_records.push(fixtures::record(5001, fixtures::tombstone(Kind::Entry, "gate-9")));
    let mut machines = [machine(NAMES[0], first_records), machine(NAMES[1], second_records)];
    let mut frames_in_flight: Vec<(usize, Frame)> = vec![(0, fixtures::frame(NAMES[1], "", 1))];
    let mut records_sent = 0;
    let mut max_frame_bytes = 0;
    for _ in 0..50 {
        let Some((to, mut frame)) = frames_in_flight.pop() else {
            break;
        };
        // Only the digests to the first instance are delivered, so that each step of one exchange
        // is needed.
        frame.digest = frame.digest.filter(|_| to == 0);
        records_sent += frame.records.len();
        max_frame_bytes = max_frame_bytes.max(frame.encoded_len());
        let mut out = Vec::new();
        machines[to].handle(NOW, Event::Frame(Box::new(frame)), &mut out);
        for action in out {
            if let Action::Send { frame, .. } = action {
                frames_in_flight.insert(0, (1 - to, *frame));
            }
        }
    }
    assert_eq!(fixtures::known_revisions(&machines[0]), fixtures::known_revisions(&machines[1]));
    assert!(records_sent < 40, "{records_sent} records were sent");
    assert!(max_frame_bytes < 8192, "{max_frame_bytes} bytes in one frame");
}
