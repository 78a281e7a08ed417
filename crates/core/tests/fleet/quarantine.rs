//! Quarantine of poison requests, which crash the servers that run them, across several instances.
//!
//! A poison request is open at every server that crashes; bystander requests are open at some of
//! them by chance.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use ladder_core::collections::Set;
use ladder_core::control::Event;
use ladder_core::control::quarantine::{
    ANSWER_IMMUNITY, Incarnation, MAX_REQUESTS, RETENTION, Standing, Undecided,
};
use ladder_core::control::settings::{Listing, Timing};
use ladder_core::control::state_change::StateChange;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::view::Quarantine;

use crate::simulation::{platform_with, ready_fleet_with};
use ladder_core::time::Instant;

use crate::extra_arrivals::Property;
use crate::harness::Fleet;

/// Maximum time after the third crash until every instance must refuse the request.
pub(crate) const CONTACT: Duration = Duration::from_secs(4);

pub(crate) const POISON: Fingerprint = Fingerprint(1);
const BYSTANDER: Fingerprint = Fingerprint(2);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn name(number: usize) -> String {
    format!("entry-{number}")
}

pub(crate) fn incarnation(number: u64) -> Incarnation {
    Incarnation { server: format!("docks-{number}").into(), number: 1 }
}

/// A crash of the numbered server at this time, with these requests, some of which were on trial.
pub(crate) fn crash_at(
    at: Instant,
    number: u64,
    requests: &[Fingerprint],
    trials: &[Fingerprint],
) -> Event {
    Event::Crashed {
        incarnation: incarnation(number),
        at,
        requests: requests.to_vec(),
        trials: trials.to_vec(),
    }
}

fn crash_event(number: u64, requests: &[Fingerprint]) -> Event {
    crash_at(Instant::default(), number, requests, &[])
}

fn refuses(fleet: &Fleet, name: &str, request: Fingerprint) -> bool {
    fleet.nodes[name].machine.view().quarantine.refused.contains(&request)
}

pub(crate) fn refused_everywhere(fleet: &Fleet, request: Fingerprint) -> bool {
    fleet.nodes.keys().all(|name| refuses(fleet, name, request))
}

pub(crate) fn refused_nowhere(fleet: &Fleet, request: Fingerprint) -> bool {
    !fleet.nodes.keys().any(|name| refuses(fleet, name, request))
}

/// A fleet whose instances are all ready and agree.
pub(crate) fn settled_fleet(instances: usize) -> Fleet {
    let mut fleet =
        ready_fleet_with(instances, 4, Timing { contact: CONTACT, ..Timing::default() });
    fleet.run(ms(2000));
    fleet
}

/// A settled fleet without a list of instances, whose platform answers a first read with a full
/// listing.
fn observed_fleet(instances: usize) -> Fleet {
    let mut fleet = platform_with(instances, 4);
    fleet.listing = Listing::Observed;
    fleet.sends_full_listing = true;
    fleet.seeds = (0..instances).map(|at| crate::fixtures::address(&name(at))).collect();
    for at in 0..instances {
        fleet.start(&name(at), "trindade");
    }
    fleet.run(ms(5000));
    fleet
}

/// Reports three crashes under the poison request, each to the instance numbered in `observers`.
fn crash_three_servers(fleet: &mut Fleet, observers: [usize; 3]) {
    for (number, observer) in (0..).zip(observers) {
        fleet.handle_event(&name(observer), crash_event(number, &[POISON]));
    }
}

/// Guards against a poison request that is sent again through instances that have not seen its
/// crashes.
#[test]
fn request_that_crashed_three_servers_is_refused_at_all_instances() {
    for instances in [3, 9, 60] {
        for observers in [[0, 0, 0], [0, 1, 2]] {
            let mut fleet = settled_fleet(instances);
            crash_three_servers(&mut fleet, observers);
            let description =
                format!("{instances} instances refuse the request whose crashes {observers:?} saw");
            fleet.run_until(&description, CONTACT, |fleet| refused_everywhere(fleet, POISON));
        }
    }
}

/// Guards against a poison request that is sent to instances that were disconnected or have just
/// started.
#[test]
fn starting_and_reconnected_instances_learn_refused_requests() {
    let mut fleet = settled_fleet(9);
    fleet.partition_side = [name(7), name(8)].into();
    crash_three_servers(&mut fleet, [0, 1, 2]);
    fleet.run_until("the connected instances refuse it", CONTACT, |fleet| {
        (0..7).all(|at| refuses(fleet, &name(at), POISON))
    });
    assert!(
        (7..9).all(|at| !refuses(&fleet, &name(at), POISON)),
        "isolated instances must not know it yet"
    );
    fleet.partition_side.clear();
    fleet.run_until("the reconnected instances refuse it", CONTACT, |fleet| {
        refused_everywhere(fleet, POISON)
    });
    for at in 0..8 {
        fleet.kill(&name(at), true);
    }
    fleet.seeds = vec![crate::fixtures::address(&name(8))];
    fleet.incarnation = 2;
    for at in 0..4 {
        fleet.start(&name(at), "trindade");
    }
    fleet.run_until("the starting instances refuse it", CONTACT, |fleet| {
        refused_everywhere(fleet, POISON)
    });
}

/// Guards against a poison request that is never refused again because it was cleared once.
#[test]
fn request_that_crashes_servers_after_it_was_cleared_is_refused_again() {
    let mut fleet = settled_fleet(9);
    crash_three_servers(&mut fleet, [0, 1, 2]);
    fleet.run(CONTACT);
    for round in 1..=3 {
        fleet.handle_event(&name(3), Event::Cleared(POISON));
        fleet.run_until("the cleared request is served", CONTACT, |fleet| {
            refused_nowhere(fleet, POISON)
        });
        fleet.run(ms(30_000));
        for number in 0..3 {
            let crash = crash_at(fleet.now, 10 * round + number, &[POISON], &[]);
            fleet.handle_event(&name(number as usize), crash);
        }
        fleet.run_until("it is refused again", CONTACT, |fleet| refused_everywhere(fleet, POISON));
    }
}

/// Guards against refusing a popular request because a zone fails shortly after it was answered.
#[test]
fn answered_request_is_immune_to_crashes_for_ten_seconds() {
    let mut fleet = settled_fleet(9);
    fleet.handle_event(&name(0), Event::Cleared(POISON));
    fleet.run(ANSWER_IMMUNITY - ms(1000));
    for number in 0..9 {
        let crash = crash_at(fleet.now, number, &[POISON], &[]);
        fleet.handle_event(&name(number as usize), crash);
    }
    for _ in 0..CONTACT.as_millis() / 10 {
        fleet.run(ms(10));
        assert!(refused_nowhere(&fleet, POISON));
    }
}

/// Guards against refusing an answered request because of a crash under its trial that an instance saw
/// while it was cut off, in a later term than the answer.
#[test]
fn answer_overrules_an_earlier_crash_that_another_instance_reports_in_a_later_term() {
    let mut fleet = settled_fleet(3);
    fleet.partition_side = [name(2)].into();
    for number in 0..2 {
        fleet.handle_event(&name(2), crash_at(fleet.now, number, &[POISON], &[POISON]));
        fleet.handle_event(&name(2), Event::Refuted(incarnation(number)));
        fleet.run(ms(100));
    }
    fleet.handle_event(&name(2), crash_at(fleet.now, 2, &[POISON], &[POISON]));
    assert!(refuses(&fleet, &name(2), POISON));
    fleet.handle_event(&name(0), Event::Cleared(POISON));
    fleet.partition_side.clear();
    fleet.run(CONTACT);
    assert!(refused_nowhere(&fleet, POISON));
}

/// Guards against refusing a request soon after an operator released it, because it was answered or
/// its servers returned errors since.
#[test]
fn weaker_clearing_does_not_shorten_immunity() {
    for weaker in [Event::Cleared(POISON), Event::ClearedByErrors(POISON)] {
        let mut fleet = settled_fleet(3);
        fleet.handle_event(&name(0), Event::Released(POISON));
        fleet.run(ms(1000));
        fleet.handle_event(&name(0), weaker);
        fleet.run(RETENTION - ms(10_000));
        for number in 0..3 {
            let crash = crash_at(fleet.now, number, &[POISON], &[]);
            fleet.handle_event(&name(0), crash);
        }
        fleet.run(ms(500));
        assert!(refused_nowhere(&fleet, POISON));
    }
}

/// Guards against refusing a popular request because the other instances do not learn that it was
/// answered again.
#[test]
fn renewed_clearing_reaches_all_instances() {
    let mut fleet = settled_fleet(9);
    let crash = |fleet: &mut Fleet, number| {
        let event = crash_at(fleet.now, number, &[POISON], &[]);
        fleet.handle_event(&name(1), event);
        fleet.run(ms(500));
        assert!(refused_nowhere(fleet, POISON), "after crash {number}");
    };
    fleet.handle_event(&name(0), Event::Cleared(POISON));
    fleet.run(ANSWER_IMMUNITY + ms(2000));
    crash(&mut fleet, 1);
    crash(&mut fleet, 2);
    fleet.handle_event(&name(0), Event::Cleared(POISON));
    fleet.run(ms(500));
    crash(&mut fleet, 3);
}

/// Replaces all instances but the first `survivors` at a time after they have learned of a refused
/// request, and checks that none is ready before it refuses the request too.
fn check_that_starting_instances_learn_refused_requests(survivors: usize, after: Duration) {
    let mut fleet = observed_fleet(9);
    crash_three_servers(&mut fleet, [0, 1, 2]);
    fleet.run(CONTACT + after);
    for at in survivors..9 {
        fleet.kill(&name(at), true);
    }
    fleet.incarnation = 2;
    for at in survivors..9 {
        fleet.start(&name(at), "trindade");
    }
    let is_ready = |fleet: &Fleet, at| fleet.nodes[&name(at)].machine.view().ready;
    for _ in 0..CONTACT.as_millis() {
        fleet.run(ms(1));
        for at in (survivors..9).filter(|at| is_ready(&fleet, *at)) {
            assert!(refuses(&fleet, &name(at), POISON), "{survivors} survivors, {after:?}: {at}");
        }
    }
    assert!((survivors..9).all(|at| is_ready(&fleet, at)), "{survivors} survivors, {after:?}");
}

/// Guards against an instance that has just started and serves a request that its peers refuse.
#[test]
fn starting_instance_is_not_ready_before_it_knows_the_refused_requests() {
    for survivors in [1, 4] {
        check_that_starting_instances_learn_refused_requests(survivors, Duration::ZERO);
    }
}

/// Guards against the same where the survivor is asked only before a first read of the platform, and
/// so without a digest.
#[test]
fn starting_instance_learns_refused_requests_whenever_it_starts() {
    for step in 1..=20 {
        check_that_starting_instances_learn_refused_requests(1, ms(37 * step));
    }
}

/// Reported events, and whether they must quarantine the poison request. The bystander request
/// must never be refused.
struct Case {
    name: &'static str,
    events: Vec<Event>,
    poison_refused: bool,
}

fn crashes_alone(range: std::ops::Range<u64>) -> impl Iterator<Item = Event> {
    range.map(|number| crash_event(number, &[POISON]))
}

fn crashes_with_bystander(range: std::ops::Range<u64>) -> impl Iterator<Item = Event> {
    range.map(|number| crash_event(number, &[POISON, BYSTANDER]))
}

fn case(name: &'static str, events: impl IntoIterator<Item = Event>, poison_refused: bool) -> Case {
    Case { name, events: events.into_iter().collect(), poison_refused }
}

fn cases() -> Vec<Case> {
    let cleared = |request| [Event::Cleared(request)];
    vec![
        case("two servers only", crashes_alone(0..2), false),
        case("same crash seen several times", (0..5).flat_map(|_| crashes_alone(0..1)), false),
        case("both requests at each crash", crashes_with_bystander(0..9), false),
        case(
            "both at each crash, the bystander is answered",
            crashes_with_bystander(0..9).chain(cleared(BYSTANDER)),
            true,
        ),
        case(
            "three crashes alone, others together",
            crashes_alone(0..3).chain(crashes_with_bystander(3..9)),
            true,
        ),
        case(
            "the bystander is reported later",
            crashes_alone(0..2).chain(crashes_with_bystander(0..3)),
            false,
        ),
        case(
            "answered before the crashes",
            cleared(POISON).into_iter().chain(crashes_alone(0..9)),
            false,
        ),
        case("answered after the crashes", crashes_alone(0..9).chain(cleared(POISON)), false),
        case(
            "one crash is refuted",
            crashes_alone(0..3).chain([Event::Refuted(incarnation(1))]),
            false,
        ),
    ]
}

/// Guards against refusing requests that only happened to be open at a server crashed by a poison
/// request.
#[test]
fn bystanders_of_a_poison_request_are_not_refused() {
    for Case { name: case, events, poison_refused } in cases() {
        let mut fleet = settled_fleet(3);
        for (at, event) in events.into_iter().enumerate() {
            fleet.handle_event(&name(at % 3), event);
            fleet.run(ms(20));
        }
        fleet.run(CONTACT);
        let as_expected = match poison_refused {
            true => refused_everywhere(&fleet, POISON),
            false => refused_nowhere(&fleet, POISON),
        };
        assert!(as_expected, "{case}: the poison request");
        assert!(refused_nowhere(&fleet, BYSTANDER), "{case}: the bystander request");
    }
}

/// Guards against a crash of which an operator cannot see why it counts against no request.
#[test]
fn log_names_the_uncleared_requests_of_each_crash() {
    let mut fleet = settled_fleet(3);
    fleet.handle_event(&name(0), Event::Cleared(BYSTANDER));
    fleet.run(ms(500));
    fleet.handle_event(&name(0), crash_event(1, &[POISON, BYSTANDER]));
    fleet.handle_event(&name(0), crash_event(2, &[POISON, Fingerprint(3)]));
    fleet.handle_event(&name(0), crash_event(2, &[POISON, Fingerprint(3)]));
    fleet.run(ms(500));
    for node in fleet.nodes.values() {
        let crash = |change: &StateChange| match change {
            StateChange::ServerCrash { incarnation, suspects, .. } => {
                Some((incarnation.clone(), suspects.clone()))
            }
            _ => None,
        };
        let crashes: Vec<_> = node.state_changes.iter().filter_map(crash).collect();
        let expected =
            [(incarnation(1), vec![POISON]), (incarnation(2), vec![POISON, Fingerprint(3)])];
        assert_eq!(crashes, expected);
    }
}

/// Guards against a request that crashes servers and is neither refused nor logged, because it was
/// never alone at a crash.
#[test]
fn log_names_the_rivals_of_an_undecided_request_once() {
    let mut fleet = settled_fleet(3);
    for number in 0..6 {
        let rival = Fingerprint(10 + u128::from(number));
        fleet.handle_event(&name(0), crash_event(number, &[POISON, rival]));
        fleet.run(ms(500));
    }
    assert_eq!(fleet.nodes[&name(1)].machine.undecided_crashes(fleet.now).count, 6);
    for node in fleet.nodes.values() {
        let undecided = node.state_changes.iter().filter_map(|change| match change {
            StateChange::Undecided { undecided, .. } => Some(undecided.clone()),
            _ => None,
        });
        let rivals = (10..13).map(|rival| (Fingerprint(rival), 1)).collect();
        let incarnations = (0..3).map(incarnation).collect();
        let expected = Undecided { request: POISON, incarnations, rivals };
        assert_eq!(undecided.collect::<Vec<_>>(), [expected]);
    }
}

/// Guards against refusals that never expire, and against refusals that expire while the request
/// is still sent.
#[test]
fn refusal_expires_when_the_request_is_no_longer_sent() {
    let mut fleet = settled_fleet(3);
    crash_three_servers(&mut fleet, [0, 1, 2]);
    for _ in 0..3 {
        fleet.run(RETENTION / 2);
        fleet.handle_event(&name(1), Event::Asked(POISON));
        assert!(refuses(&fleet, &name(1), POISON), "while the request is still sent");
    }
    fleet.run(RETENTION * 2);
    assert!(refused_nowhere(&fleet, POISON));
}

/// Guards against many poison requests at once: they must cause neither unbounded tables nor
/// instances that send each other the same state forever.
#[test]
fn quarantine_and_its_gossip_are_bounded() {
    let mut fleet = settled_fleet(3);
    let sent = |fleet: &Fleet| fleet.nodes.values().map(|node| node.frames_sent).sum::<usize>();
    let sent_before = sent(&fleet);
    fleet.run(ms(5000));
    let idle_frames = sent(&fleet) - sent_before;
    for request in 0..2 * MAX_REQUESTS as u64 {
        for number in 0..3 {
            let requests = [Fingerprint(u128::from(request) + 10)];
            fleet.handle_event(&name(0), crash_event(request * 3 + number, &requests));
        }
        fleet.run(ms(5));
    }
    fleet.run(ms(1000));
    let sent_before = sent(&fleet);
    fleet.run(ms(5000));
    let frames = sent(&fleet) - sent_before;
    assert!(frames <= 2 * idle_frames, "{frames} frames in 5 s, {idle_frames} before");
    for node in fleet.nodes.values() {
        assert!(node.machine.quarantined().count() <= 2 * MAX_REQUESTS);
        assert!(node.machine.view().quarantine.crashes.len() <= 64);
    }
}

/// Number of times that an instance logged the crash of an incarnation.
fn logged_crashes(fleet: &Fleet) -> BTreeMap<(&str, Incarnation), usize> {
    let mut logged = BTreeMap::new();
    for (name, node) in &fleet.nodes {
        for change in &node.state_changes {
            if let StateChange::ServerCrash { incarnation, .. } = change {
                *logged.entry((name.as_str(), incarnation.clone())).or_default() += 1;
            }
        }
    }
    logged
}

/// Guards against instances that flood each other with crashes after more servers have crashed than
/// they keep: a crash that was dropped came back, dated later by the time on the way, and replaced
/// another one.
#[test]
fn crashes_of_many_servers_are_exchanged_a_bounded_number_of_times() {
    let mut fleet = settled_fleet(12);
    let bytes_before = fleet.bytes;
    fleet.run(ms(10_000));
    let idle_bytes = fleet.bytes - bytes_before;
    fleet.extra_delay = ms(600);
    for number in 0..200 {
        let at = fleet.now;
        for observer in 0..3 {
            let requests = [POISON, Fingerprint(u128::from(number) + 10)];
            let event = crash_at(at, number, &requests, &[]);
            fleet.handle_event(&name((number as usize + observer * 4) % 12), event);
        }
        fleet.run(ms(12));
    }
    fleet.run(ms(5000));
    let bytes_before = fleet.bytes;
    fleet.run(ms(10_000));
    let bytes = fleet.bytes - bytes_before;
    assert!(bytes < 2 * idle_bytes, "{bytes} bytes in 10 s, {idle_bytes} before the crashes");
    for ((name, incarnation), count) in logged_crashes(&fleet) {
        assert_eq!(count, 1, "{name} takes the crash of {incarnation:?} for new");
    }
}

/// Guards against an instance that has room for a crash and does not take it from a peer because it
/// dropped the crash before: their digests would differ for good.
#[test]
fn dropped_crash_is_accepted_again_if_there_is_room() {
    let mut fleet = settled_fleet(2);
    let request = |number: u64| Fingerprint(u128::from(number) + 10);
    let knows = |fleet: &Fleet, number: u64| {
        let view = fleet.nodes[&name(0)].machine.view();
        view.quarantine.crashes.contains_key(&incarnation(number).server)
    };
    let crash = |fleet: &Fleet, number| crash_at(fleet.now, number, &[request(number)], &[]);
    let first = crash(&fleet, 0);
    fleet.handle_event(&name(0), first);
    fleet.run(ms(1500));
    fleet.partition_side = [name(1)].into();
    for number in 1..=64 {
        let next = crash(&fleet, number);
        fleet.handle_event(&name(0), next);
    }
    assert!(!knows(&fleet, 0), "dropped for the last one");
    // Of more than 64 cleared requests the first is forgotten with its crash.
    for number in 1..=65 {
        fleet.handle_event(&name(0), Event::Cleared(request(number)));
    }
    fleet.partition_side.clear();
    fleet.run(ms(10_000));
    assert!(knows(&fleet, 0), "there is room for one");
}

/// A step of the test: an observation of an instance, a network cut or a wait in milliseconds. The
/// numbers select among the servers and requests of the test.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Crashed {
        server: u8,
        first: u8,
        second: u8,
    },
    Refuted {
        server: u8,
    },
    Cleared {
        request: u8,
    },
    Asked {
        request: u8,
    },
    /// Disconnects this instance from the others until another one is disconnected instead.
    Isolated,
    Wait(u8),
}

fn request(number: u8) -> Fingerprint {
    Fingerprint(u128::from(number % 4))
}

/// Guards against instances that disagree on which requests are refused, and against refusing
/// answered requests.
#[test]
fn any_order_of_events_leads_to_the_same_quarantine() {
    check_quarantine(ladder_property::check(60));
}

/// The first input that failed with trials: an instance that is cut off reports a crash under a trial
/// of a request that the others had answered, in a later term.
#[test]
fn quarantine_is_the_same_in_the_first_failed_input_with_trials() {
    check_quarantine(ladder_property::replay(88_395_381_608_221_066_747_968_823_639_013_919_999));
}

/// The second one: instances that cleared a request for different reasons took each other's entries
/// for equal, so that one of them never learned that it was answered.
#[test]
fn quarantine_is_the_same_in_the_second_failed_input_with_trials() {
    check_quarantine(ladder_property::replay(175_090_708_159_091_526_197_480_453_896_882_292_898));
}

fn check_quarantine(property: Property) {
    property
        .with_generator(bolero::produce::<Vec<(u8, Step)>>().with().len(0_usize..=40))
        .for_each(|steps| {
            let mut fleet = settled_fleet(3);
            let mut cleared: Set<Fingerprint> = Set::default();
            for (at, step) in steps {
                let at = name(usize::from(at % 3));
                let event = match *step {
                    Step::Crashed { server, first, second } => {
                        let requests = [request(first), request(second)];
                        // A request is on trial at every fourth server.
                        let trials = &requests[..usize::from(server % 4 == 0)];
                        crash_at(fleet.now, u64::from(server % 8), &requests, trials)
                    }
                    Step::Refuted { server } => Event::Refuted(incarnation(u64::from(server % 8))),
                    Step::Cleared { request: number } => {
                        cleared.insert(request(number));
                        Event::Cleared(request(number))
                    }
                    Step::Asked { request: number } => Event::Asked(request(number)),
                    Step::Isolated => {
                        fleet.partition_side = [at].into();
                        continue;
                    }
                    Step::Wait(millis) => {
                        fleet.run(ms(u64::from(millis)));
                        continue;
                    }
                };
                fleet.handle_event(&at, event);
            }
            fleet.partition_side.clear();
            fleet.run(ms(20_000));
            let quarantine_of = |at: usize| {
                let view = fleet.nodes[&name(at)].machine.view();
                let mut quarantine = Quarantine::clone(&view.quarantine);
                // Each instance dates a crash by the age that was reported to it, so the times
                // differ.
                quarantine.crashes.values_mut().for_each(|crash| crash.at = Instant::default());
                // Each instance has a turn of its own.
                for trial in quarantine.trials.values_mut() {
                    (trial.start, trial.turn) = (Instant::default(), 0);
                }
                quarantine
            };
            for at in 0..3 {
                assert_eq!(quarantine_of(at), quarantine_of(0), "instance {at}");
                assert!(
                    quarantine_of(at).refused.is_disjoint(&cleared),
                    "an answered request is refused"
                );
            }
            let entries = fleet.nodes[&name(0)].machine.quarantined();
            let quarantined = entries.filter(|(_, entry)| entry.standing == Standing::Quarantined);
            assert_eq!(quarantined.count(), quarantine_of(0).refused.len());
        });
}
