//! The store of published records with stale, racing and invalid input.

use ladder_core::control::store::{Key, Outcome, Store};
use ladder_core::schema::catalogue::{Entry, Limits};
use ladder_core::schema::publication::{Kind, Record, State, record::Body};
use ladder_core::schema::wire::Digest;

use crate::fixtures::{entry, index, instance, operation, record, routes, server, tombstone};

/// Kind of outcome that a step of a case must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutcomeKind {
    Applied,
    Known,
    Stale,
    Refused,
}

struct Case {
    description: &'static str,
    records: Vec<(Record, OutcomeKind)>,
    /// Revision in force of `entry gate-1` at the end.
    in_force: Option<u64>,
}

/// A record that changes the queue limit of entry `gate-1`.
fn entry_change(revision: u64, queue: u32) -> Record {
    record(revision, entry("gate-1", queue))
}

fn withdrawal(revision: u64) -> Record {
    record(revision, tombstone(Kind::Entry, "gate-1"))
}

fn cases() -> Vec<Case> {
    use OutcomeKind::{Applied, Known, Refused, Stale};
    vec![
        Case {
            description: "A stale replica of the platform answers after a fresh one.",
            records: vec![
                (entry_change(7, 10), Applied),
                (entry_change(5, 20), Stale),
                (entry_change(7, 10), Known),
            ],
            in_force: Some(7),
        },
        Case {
            description: "Two changes race; the older arrives last.",
            records: vec![
                (entry_change(1, 10), Applied),
                (entry_change(3, 30), Applied),
                (entry_change(2, 20), Stale),
            ],
            in_force: Some(3),
        },
        Case {
            description: "A peer that missed the withdrawal sends the old entry again.",
            records: vec![
                (entry_change(1, 10), Applied),
                (withdrawal(4), Applied),
                (entry_change(1, 10), Stale),
                (entry_change(3, 10), Stale),
            ],
            in_force: Some(4),
        },
        Case {
            description: "A withdrawal arrives before the entry that it withdraws.",
            records: vec![
                (withdrawal(4), Applied),
                (entry_change(3, 10), Stale),
                (entry_change(6, 10), Applied),
            ],
            in_force: Some(6),
        },
        Case {
            description: "An invalid change is reported once; the last valid one stays in force.",
            records: vec![
                (entry_change(1, 10), Applied),
                (entry_change(2, 0), Refused),
                (entry_change(2, 0), Known),
                (entry_change(3, 30), Applied),
                (entry_change(2, 0), Stale),
            ],
            in_force: Some(3),
        },
        Case {
            description: "The first version of an entry is invalid.",
            records: vec![(entry_change(2, 0), Refused)],
            in_force: None,
        },
    ]
}

fn outcome_kind(outcome: &Outcome) -> OutcomeKind {
    match outcome {
        Outcome::Applied => OutcomeKind::Applied,
        Outcome::Known | Outcome::Confirmed => OutcomeKind::Known,
        Outcome::Stale => OutcomeKind::Stale,
        Outcome::Reused => panic!("no case reuses a revision"),
        Outcome::Refused(_) => OutcomeKind::Refused,
    }
}

#[test]
fn newest_valid_revision_is_in_force() {
    for case in cases() {
        let mut store = Store::default();
        for (number, (record, expected)) in case.records.iter().enumerate() {
            let actual = outcome_kind(&store.apply(record));
            assert_eq!(actual, *expected, "{}: step {number}", case.description);
        }
        let in_force = store.get(&Key::new(Kind::Entry, "gate-1"));
        let revision = in_force.map(|record| record.revision);
        assert_eq!(revision, case.in_force, "{}", case.description);
    }
}

/// The platform gives a revision out twice. The record that is dropped for it must not look like one
/// that is already in force.
#[test]
fn reused_revision_with_other_content_is_reported() {
    let mut store = Store::default();
    assert_eq!(store.apply(&entry_change(3, 10)), Outcome::Applied);
    assert_eq!(store.apply(&entry_change(3, 20)), Outcome::Reused);
    assert_eq!(store.apply(&entry_change(3, 10)), Outcome::Known);
}

struct InvalidRecord {
    body: Body,
    detail: &'static str,
}

fn invalid(body: Body, detail: &'static str) -> InvalidRecord {
    InvalidRecord { body, detail }
}

fn entry_with(change: impl FnOnce(&mut Entry)) -> Body {
    let Body::Entry(mut entry) = entry("gate-1", 10) else { unreachable!("built as an entry") };
    change(&mut entry);
    Body::Entry(entry)
}

/// An entry with operations of these names and deadlines in milliseconds.
fn operations(names_and_deadlines: &[(&str, u32)]) -> Body {
    let operations =
        names_and_deadlines.iter().map(|&(name, deadline_ms)| operation(name, deadline_ms));
    entry_with(|entry| entry.operations = operations.collect())
}

fn limits(queue: u32, extra_percent: u32, connections: u32) -> Body {
    let limits = Limits { queue, extra_percent, connections, ..Limits::default() };
    entry_with(|entry| entry.limits = Some(limits))
}

fn invalid_entries() -> Vec<InvalidRecord> {
    let duplicate_operation = operations(&[("find", 90), ("find", 80)]);
    let deadline_too_long = operations(&[("find", 60_001)]);
    vec![
        invalid(entry("", 10), "entry.service: is missing"),
        invalid(limits(200_000, 10, 0), "entry.limits.queue: 200000 is outside 1 to 100000"),
        invalid(limits(10, 101, 0), "entry.limits.extra_percent: 101 is outside 0 to 100"),
        invalid(limits(10, 10, 1), "entry.limits.connections: 1 is outside 2 to 100000"),
        invalid(operations(&[]), "entry.operations: 0 is outside 1 to 256"),
        invalid(duplicate_operation, "entry.operations: \"find\" stands twice"),
        invalid(deadline_too_long, "entry.operations[0].deadline_ms: 60001 is outside 1 to 60000"),
    ]
}

fn invalid_other_records() -> Vec<InvalidRecord> {
    let mut host_name_as_address = instance("entry-1", "trindade", State::Live);
    if let Body::Instance(instance) = &mut host_name_as_address {
        instance.peer_address = "localhost:80".to_owned();
    }
    let duplicate_shard = index("docks", 1, &["gate-1", "gate-1"]);
    let without_state = server("gate-1-0", "gate-1", 1, State::Unspecified);
    let without_version = tombstone(Kind::Index, "docks");
    vec![
        invalid(
            host_name_as_address,
            "instance.peer_address: \"localhost:80\" is not an IP number and port",
        ),
        invalid(index("docks", 1, &[]), "index.shards: 0 is outside 1 to 4096"),
        invalid(duplicate_shard, "index.shards: \"gate-1-shard\" stands twice"),
        invalid(without_state, "server.state: 0 is not one of STATE_LIVE, STATE_LEAVING"),
        invalid(
            without_version,
            "tombstone.name: \"docks\" is not an index name, @ and a version from 1",
        ),
    ]
}

/// If one of several published records is invalid, only that one is refused, and the error names
/// the field, its value and the values allowed.
#[test]
fn invalid_record_is_refused_without_affecting_others() {
    for InvalidRecord { body, detail } in
        invalid_entries().into_iter().chain(invalid_other_records())
    {
        let mut store = Store::default();
        let outcome = store.apply(&record(2, body));
        let Outcome::Refused(refusal) = outcome else {
            panic!("accepted in spite of this error: {detail}");
        };
        assert_eq!(refusal.detail, detail);
        assert_eq!(store.apply(&record(3, entry("gate-2", 10))), Outcome::Applied);
        assert_eq!(store.refused().count(), 1);
    }
}

/// While a server drains, one source reports it as leaving, but a lagging source lists the same
/// incarnation as live again. The server must stay leaving until a new incarnation is published.
#[test]
fn leaving_state_lasts_until_a_new_incarnation() {
    let is_leaving = |store: &Store| {
        let server = store.server("gate-1-0").expect("published");
        store.is_marked_leaving(server)
    };
    let published = |revision, incarnation, state| {
        record(revision, server("gate-1-0", "gate-1", incarnation, state))
    };
    let mut store = Store::default();
    assert!(!store.mark_leaving("gate-1-0", 1), "the server has no record yet");
    store.apply(&published(1, 1, State::Live));
    assert!(!is_leaving(&store));
    assert!(store.mark_leaving("gate-1-0", 1), "a load report reports it as leaving");
    assert!(!store.mark_leaving("gate-1-0", 1), "the same report again");
    store.apply(&published(2, 1, State::Live));
    assert!(is_leaving(&store), "a stale list has it as live again");
    store.apply(&published(3, 2, State::Live));
    assert!(!is_leaving(&store), "a new incarnation is published");
    assert!(!store.mark_leaving("gate-1-0", 1), "a late report about the old incarnation");
    store.apply(&published(4, 2, State::Leaving));
    store.apply(&published(5, 2, State::Live));
    assert!(is_leaving(&store), "the list once had it as leaving");
}

/// Guards against new work for a server that left: its entry of before is written once more after
/// its removal, because the store carries a write out late.
#[test]
fn entry_written_after_the_removal_of_a_leaving_server_gets_no_work() {
    let published = |revision, incarnation, state| {
        record(revision, server("gate-1-0", "gate-1", incarnation, state))
    };
    let mut store = Store::default();
    store.apply(&published(1, 7, State::Live));
    store.apply(&published(2, 7, State::Leaving));
    store.apply(&record(3, tombstone(Kind::Server, "gate-1-0")));
    store.apply(&published(4, 7, State::Live));
    assert!(store.server("gate-1-0").is_some_and(|server| store.is_marked_leaving(server)));
    store.apply(&published(5, 8, State::Live));
    assert!(store.server("gate-1-0").is_some_and(|server| !store.is_marked_leaving(server)));
    store.apply(&record(6, tombstone(Kind::Server, "gate-1-0")));
    store.apply(&published(7, 8, State::Live));
    assert!(
        store.server("gate-1-0").is_some_and(|server| !store.is_marked_leaving(server)),
        "a server whose entry expired returns"
    );
}

fn records_from(steps: &[(u8, u8, u8)]) -> Vec<Record> {
    let record_of = |(number, &(kind, key, incarnation)): (usize, &(u8, u8, u8))| {
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
        record(number as u64 + 1, body)
    };
    steps.iter().enumerate().map(record_of).collect()
}

/// Transfers differing buckets in both directions until both stores are equal.
fn reconcile(one: &mut Store, other: &mut Store) {
    for _ in 0..3 {
        transfer(one, other);
        transfer(other, one);
    }
}

fn transfer(from: &Store, to: &mut Store) {
    let buckets = from.differing_buckets(&to.digest(true));
    for record in from.records_of(&buckets) {
        to.apply(&record);
    }
    for departure in from.departures_of(&buckets) {
        to.mark_leaving(&departure.server, departure.incarnation);
    }
}

fn contents(store: &Store) -> Vec<(Key, u64)> {
    let records = store.records();
    records.map(|(key, record)| (key.clone(), record.revision)).collect()
}

/// Two stores receive the same records in different orders, some twice and some never, mixed with
/// departures. The revision of a key never decreases, and the exchange of digests makes both stores
/// equal.
#[test]
fn stores_converge_despite_reordering_loss_and_duplicates() {
    ladder_property::check(1500).with_type::<(Vec<(u8, u8, u8)>, Vec<u8>, Vec<u8>)>().for_each(
        |(steps, first, second)| {
            let records = records_from(steps);
            let mut stores = [Store::default(), Store::default()];
            for (store, order) in stores.iter_mut().zip([first, second]) {
                for &choice in order {
                    apply_step(store, &records, choice);
                }
            }
            let [one, other] = &mut stores;
            reconcile(one, other);
            assert_eq!(contents(one), contents(other));
            assert_eq!(one.digest(true), other.digest(true));
            assert_eq!(one.digest(false), other.digest(false));
        },
    );
}

/// Records of a store that is restored from a copy between some changes. The copy lacks the last
/// changes, whose revisions are given out again.
fn records_over_eras(steps: &[(u8, u8, u8, u8)]) -> Vec<Record> {
    let (mut era, mut revision, mut version) = (1, 0, 0);
    let mut records = Vec::new();
    for &(kind, key, incarnation, lost) in steps {
        if lost % 4 == 0 {
            era += 1;
            revision -= u64::from(lost / 4 % 8).min(revision);
        }
        revision += 1;
        version += 1;
        let name = format!("gate-{}", key % 3);
        let body = match kind % 4 {
            0 => server(&name, "gate", u64::from(incarnation % 3), State::Live),
            1 => tombstone(Kind::Server, &name),
            2 => entry(&name, u32::from(incarnation % 3) + 1),
            _ => routes(version),
        };
        records.push(Record { era, ..record(revision, body) });
    }
    records
}

/// Guards against instances that keep different records of one revision: the store gives revisions
/// out again, and two instances receive different parts of both histories.
#[test]
fn stores_converge_over_eras() {
    ladder_property::check(1500).with_type::<(Vec<(u8, u8, u8, u8)>, Vec<u8>, Vec<u8>)>().for_each(
        |(steps, first, second)| {
            let records = records_over_eras(steps);
            let mut stores = [Store::default(), Store::default()];
            for (store, order) in stores.iter_mut().zip([first, second]) {
                let chosen = order.iter().filter_map(|&choice| records.get(usize::from(choice)));
                chosen.for_each(|record| drop(store.apply(record)));
            }
            let [one, other] = &mut stores;
            reconcile(one, other);
            assert_eq!(bodies(one), bodies(other));
            assert_eq!(one.digest(true), other.digest(true));
        },
    );
}

fn bodies(store: &Store) -> Vec<(u64, Option<Body>)> {
    store.records().map(|(_, record)| (record.revision, record.body.clone())).collect()
}

fn apply_step(store: &mut Store, records: &[Record], choice: u8) {
    if choice > 200 {
        store.mark_leaving(&format!("gate-{}", choice % 4), u64::from(choice % 3));
        return;
    }
    let Some(record) = records.get(usize::from(choice) % records.len().max(1)) else {
        return;
    };
    let revision_before = store.get(&Key::of(record)).map_or(0, |in_force| in_force.revision);
    store.apply(record);
    let revision_after = store.get(&Key::of(record)).map_or(0, |in_force| in_force.revision);
    assert!(revision_after >= revision_before);
}

/// Guards against a permanent exchange with builds that send no hashes of contents: equal records
/// must look equal to them, and different ones must not.
#[test]
fn digests_without_contents_compare_revisions() {
    let [mut one, mut other] = [Store::default(), Store::default()];
    one.apply(&Record { era: 3, ..entry_change(7, 10) });
    other.apply(&entry_change(7, 10));
    for (revision, differs) in [(7, false), (8, true)] {
        other.apply(&entry_change(revision, 10));
        let total = Digest { whole_contents: 0, ..other.total_digest() };
        let buckets = Digest { whole_contents: 0, ..other.digest(false) };
        assert_eq!(one.lacks_buckets(&total), differs, "revision {revision}");
        assert_eq!(one.differing_buckets(&buckets).len(), usize::from(differs));
    }
}
