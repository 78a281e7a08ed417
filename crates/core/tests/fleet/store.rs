//! The store of published records under stale, racing and bad input.

use ladder_core::control::store::{Key, Outcome, Store};
use ladder_core::schema::catalogue::{Entry, Limits};
use ladder_core::schema::publication::{Kind, Record, State, record::Body};

use crate::publish::{entry, index, instance, operation, record, server, tombstone};

/// Which step of a case does what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Applied,
    Known,
    Stale,
    Refused,
}

struct Case {
    story: &'static str,
    records: Vec<(Record, Step)>,
    /// Revision in force of `entry gate-1` at the end.
    in_force: Option<u64>,
}

/// A change of the entry to this queue limit.
fn put(revision: u64, queue: u32) -> Record {
    record(revision, entry("gate-1", queue))
}

fn withdrawn(revision: u64) -> Record {
    record(revision, tombstone(Kind::Entry, "gate-1"))
}

fn cases() -> Vec<Case> {
    use Step::{Applied, Known, Refused, Stale};
    vec![
        Case {
            story: "A stale replica of the platform answers after a fresh one.",
            records: vec![(put(7, 10), Applied), (put(5, 20), Stale), (put(7, 10), Known)],
            in_force: Some(7),
        },
        Case {
            story: "Two changes race; the older arrives last.",
            records: vec![(put(1, 10), Applied), (put(3, 30), Applied), (put(2, 20), Stale)],
            in_force: Some(3),
        },
        Case {
            story: "A peer that slept through the withdrawal offers the old entry again.",
            records: vec![
                (put(1, 10), Applied),
                (withdrawn(4), Applied),
                (put(1, 10), Stale),
                (put(3, 10), Stale),
            ],
            in_force: Some(4),
        },
        Case {
            story: "A withdrawal arrives before the entry that it withdraws.",
            records: vec![(withdrawn(4), Applied), (put(3, 10), Stale), (put(6, 10), Applied)],
            in_force: Some(6),
        },
        Case {
            story: "A bad change leaves the last good one in force and is reported once.",
            records: vec![
                (put(1, 10), Applied),
                (put(2, 0), Refused),
                (put(2, 0), Known),
                (put(3, 30), Applied),
                (put(2, 0), Stale),
            ],
            in_force: Some(3),
        },
        Case {
            story: "The first version of an entry is bad.",
            records: vec![(put(2, 0), Refused)],
            in_force: None,
        },
    ]
}

fn step_of(outcome: &Outcome) -> Step {
    match outcome {
        Outcome::Applied => Step::Applied,
        Outcome::Known => Step::Known,
        Outcome::Stale => Step::Stale,
        Outcome::Refused(_) => Step::Refused,
    }
}

#[test]
fn newest_good_revision_wins() {
    for case in cases() {
        let mut store = Store::default();
        for (at, (record, expected)) in case.records.iter().enumerate() {
            let step = step_of(&store.apply(record));
            assert_eq!(step, *expected, "{} step {at}", case.story);
        }
        let in_force = store.get(&Key::new(Kind::Entry, "gate-1"));
        let revision = in_force.map(|record| record.revision);
        assert_eq!(revision, case.in_force, "{}", case.story);
    }
}

struct Bad {
    body: Body,
    detail: &'static str,
}

fn bad(body: Body, detail: &'static str) -> Bad {
    Bad { body, detail }
}

fn entry_with(change: impl FnOnce(&mut Entry)) -> Body {
    let Body::Entry(mut entry) = entry("gate-1", 10) else { unreachable!("built as an entry") };
    change(&mut entry);
    Body::Entry(entry)
}

/// An entry with operations of these names and deadlines in milliseconds.
fn operations(listed: &[(&str, u32)]) -> Body {
    let listed = listed.iter().map(|&(name, deadline_ms)| operation(name, deadline_ms));
    entry_with(|entry| entry.operations = listed.collect())
}

fn limits(queue: u32, extra_percent: u32, connections: u32) -> Body {
    let limits = Limits { queue, extra_percent, connections, ..Limits::default() };
    entry_with(|entry| entry.limits = Some(limits))
}

fn bad_entries() -> Vec<Bad> {
    let doubled = operations(&[("find", 90), ("find", 80)]);
    let late = operations(&[("find", 60_001)]);
    vec![
        bad(entry("", 10), "entry.service: is missing"),
        bad(limits(200_000, 10, 0), "entry.limits.queue: 200000 is outside 1 to 100000"),
        bad(limits(10, 101, 0), "entry.limits.extra_percent: 101 is outside 0 to 100"),
        bad(limits(10, 10, 1), "entry.limits.connections: 1 is outside 2 to 100000"),
        bad(operations(&[]), "entry.operations: 0 is outside 1 to 256"),
        bad(doubled, "entry.operations: \"find\" stands twice"),
        bad(late, "entry.operations[0].deadline_ms: 60001 is outside 1 to 60000"),
    ]
}

fn bad_others() -> Vec<Bad> {
    let mut addressed = instance("entry-1", "trindade", State::Live);
    if let Body::Instance(instance) = &mut addressed {
        instance.peer_address = "localhost:80".to_owned();
    }
    let doubled = index("docks", 1, &["gate-1", "gate-1"]);
    let stateless = server("gate-1-0", "gate-1", 1, State::Unspecified);
    let nameless = tombstone(Kind::Index, "docks");
    vec![
        bad(addressed, "instance.peer_address: \"localhost:80\" is not an IP number and port"),
        bad(index("docks", 1, &[]), "index.shards: 0 is outside 1 to 4096"),
        bad(doubled, "index.shards: \"gate-1-shard\" stands twice"),
        bad(stateless, "server.state: 0 is not one of STATE_LIVE, STATE_LEAVING"),
        bad(nameless, "tombstone.name: \"docks\" is not an index name, @ and a version from 1"),
    ]
}

/// An operator publishes several entries at once and one is bad. Only that one is refused, and the
/// message names field, value and what is allowed.
#[test]
fn bad_records_are_refused_alone() {
    for Bad { body, detail } in bad_entries().into_iter().chain(bad_others()) {
        let mut store = Store::default();
        let outcome = store.apply(&record(2, body));
        let Outcome::Refused(refusal) = outcome else {
            panic!("accepted although {detail}");
        };
        assert_eq!(refusal.detail, detail);
        assert_eq!(store.apply(&record(3, entry("gate-2", 10))), Outcome::Applied);
        assert_eq!(store.refused().count(), 1);
    }
}

/// A server drains: one source says leaving, a lagging one says live again for the same process.
/// Work must not return to it until it was started anew.
#[test]
fn leaving_sticks_to_an_incarnation() {
    let listed = |store: &Store| {
        let server = store.server("gate-1-0").expect("published");
        store.departed(server)
    };
    let published = |revision, incarnation, state| {
        record(revision, server("gate-1-0", "gate-1", incarnation, state))
    };
    let mut store = Store::default();
    assert!(!store.depart("gate-1-0", 1), "nothing is known of the server yet");
    store.apply(&published(1, 1, State::Live));
    assert!(!listed(&store));
    assert!(store.depart("gate-1-0", 1), "a load report says leaving");
    assert!(!store.depart("gate-1-0", 1), "known by now");
    store.apply(&published(2, 1, State::Live));
    assert!(listed(&store), "the list says live again");
    store.apply(&published(3, 2, State::Live));
    assert!(!listed(&store), "a new process");
    assert!(!store.depart("gate-1-0", 1), "late news of the old process");
    store.apply(&published(4, 2, State::Leaving));
    store.apply(&published(5, 2, State::Live));
    assert!(listed(&store), "the list said leaving once");
}

fn arbitrary(seed: &[(u8, u8, u8)]) -> Vec<Record> {
    let one = |(at, &(kind, key, incarnation)): (usize, &(u8, u8, u8))| {
        let name = format!("gate-{}", key % 4);
        let incarnation = u64::from(incarnation % 3);
        let state = if kind % 2 == 0 { State::Live } else { State::Leaving };
        let body = match kind % 6 {
            0 | 1 => server(&name, "gate", incarnation, state),
            2 => entry(&name, u32::from(key % 3)),
            3 => tombstone(Kind::Entry, &name),
            4 => tombstone(Kind::Server, &name),
            _ => index("docks", incarnation, &["gate-1"]),
        };
        record(at as u64 + 1, body)
    };
    seed.iter().enumerate().map(one).collect()
}

/// Exchanges digests and records between two stores until both are silent.
fn reconcile(one: &mut Store, other: &mut Store) {
    for _ in 0..3 {
        transfer(one, other);
        transfer(other, one);
    }
}

fn transfer(from: &Store, to: &mut Store) {
    let buckets = from.differing(&to.digest());
    for record in from.records_of(&buckets) {
        to.apply(&record);
    }
    for departure in from.departures_of(&buckets) {
        to.depart(&departure.server, departure.incarnation);
    }
}

fn contents(store: &Store) -> Vec<(Key, u64)> {
    let records = store.records();
    records.map(|(key, record)| (key.clone(), record.revision)).collect()
}

/// Two instances receive the same records in different orders, some twice and some never, with
/// departures seen in between. No revision of any key ever goes back, and one exchange of digests
/// makes both equal.
#[test]
fn any_order_loss_and_repetition_converges() {
    ladder_property::check(1500).with_type::<(Vec<(u8, u8, u8)>, Vec<u8>, Vec<u8>)>().for_each(
        |(seed, first, second)| {
            let records = arbitrary(seed);
            let mut stores = [Store::default(), Store::default()];
            for (store, order) in stores.iter_mut().zip([first, second]) {
                for &at in order {
                    deliver(store, &records, at);
                }
            }
            let [one, other] = &mut stores;
            reconcile(one, other);
            assert_eq!(contents(one), contents(other));
            assert_eq!(one.digest(), other.digest());
        },
    );
}

fn deliver(store: &mut Store, records: &[Record], at: u8) {
    if at > 200 {
        store.depart(&format!("gate-{}", at % 4), u64::from(at % 3));
        return;
    }
    let Some(record) = records.get(usize::from(at) % records.len().max(1)) else {
        return;
    };
    let before = store.get(&Key::of(record)).map_or(0, |known| known.revision);
    store.apply(record);
    let after = store.get(&Key::of(record)).map_or(0, |known| known.revision);
    assert!(after >= before);
}
