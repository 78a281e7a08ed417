//! Trials of requests that may crash servers, across several instances.
//!
//! All servers of a single service crash together, so that the requests beside a poison request are
//! not answered, and no crash has a single suspect.

use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::time::Instant;

use crate::harness::Fleet;
use crate::quarantine::{
    CONTACT, POISON, crash_at, ms, name, refused_everywhere, refused_nowhere, settled_fleet,
};

/// A request that is sent all the time, beside the poison request at each crash.
const POPULAR: Fingerprint = Fingerprint(2);
/// Refusal after the first failed trial, and after each further one.
const REFUSALS: [Duration; 3] =
    [Duration::from_secs(60), Duration::from_secs(300), Duration::from_secs(300)];
/// Longest time until each of nine instances had its turn.
const ALL_TURNS: Duration = Duration::from_secs(9 * 2);

/// Reports to an instance that a server crashed just now, with the requests on trial there.
fn crash(
    fleet: &mut Fleet,
    at: usize,
    number: u64,
    requests: &[Fingerprint],
    trials: &[Fingerprint],
) {
    let event = crash_at(fleet.now, number, requests, trials);
    fleet.handle_event(&name(at), event);
}

/// Three servers crash, each with the poison request and others that are not answered.
fn crash_service(fleet: &mut Fleet, first: u64, others: impl Fn(u64) -> Fingerprint) {
    for number in first..first + 3 {
        crash(fleet, number as usize % 3, number, &[POISON, others(number)], &[]);
        fleet.run(ms(20));
    }
}

fn bystander(number: u64) -> Fingerprint {
    Fingerprint(100 + u128::from(number))
}

fn is_on_trial(fleet: &Fleet, at: usize, request: Fingerprint) -> bool {
    fleet.nodes[&name(at)].machine.view().quarantine.trials.contains_key(&request)
}

/// Instances that may send the request now.
fn due(fleet: &Fleet, request: Fingerprint, now: Instant) -> Vec<usize> {
    let is_due = |at: &usize| {
        let view = fleet.nodes[&name(*at)].machine.view();
        view.quarantine.trials.get(&request).is_none_or(|trial| trial.is_due(now))
    };
    (0..fleet.nodes.len()).filter(is_due).collect()
}

/// Guards against a poison request that is sent on for ever, because others that were not answered
/// are at each of its crashes; and against refusing those others.
#[test]
fn request_at_three_crashes_is_on_trial_at_all_instances_and_its_bystanders_are_not() {
    for instances in [3, 9, 60] {
        let mut fleet = settled_fleet(instances);
        crash_service(&mut fleet, 0, bystander);
        fleet.run_until("the request is on trial", CONTACT, |fleet| {
            (0..instances).all(|at| is_on_trial(fleet, at, POISON))
        });
        for number in 0..3 {
            assert!((0..instances).all(|at| !is_on_trial(&fleet, at, bystander(number))));
        }
        assert!(refused_nowhere(&fleet, POISON), "no instance has tried it yet");
    }
}

/// Guards against several instances that try a request at the same time, each at the cost of a
/// server, and against an instance that never may.
#[test]
fn instances_take_turns_to_try_a_request() {
    let mut fleet = settled_fleet(9);
    crash_service(&mut fleet, 0, bystander);
    fleet.run(ms(500));
    let mut had_turn = [false; 9];
    for step in 0..ALL_TURNS.as_millis() as u64 / 10 {
        let due = due(&fleet, POISON, fleet.now + ms(10 * step));
        assert!(due.len() <= 1, "{due:?} at once");
        due.iter().for_each(|at| had_turn[*at] = true);
    }
    assert_eq!(had_turn, [true; 9]);
    let later = fleet.now + Duration::from_secs(60);
    assert_eq!(due(&fleet, POISON, later).len(), 9, "a request that is rarely sent is tried too");
}

/// Guards against a poison request that is served after a crash under its trial because other
/// requests were at that server too, and against trials that follow each other at short intervals.
#[test]
fn crash_under_a_trial_refuses_the_request_for_longer_each_time() {
    let mut fleet = settled_fleet(9);
    crash_service(&mut fleet, 0, bystander);
    fleet.run(ms(500));
    for (round, refusal) in (0..).zip(REFUSALS) {
        crash(&mut fleet, 4, 10 + round, &[POISON, bystander(10 + round)], &[POISON]);
        let crashed_at = fleet.now;
        fleet.run(CONTACT);
        assert!(refused_everywhere(&fleet, POISON), "round {round}");
        let next = (1..).map(|step| crashed_at + ms(100 * step));
        let mut next = next.skip_while(|now| due(&fleet, POISON, *now).is_empty());
        let next = next.next().expect("it is tried again").since(crashed_at);
        assert!(next >= refusal - ms(500) && next <= refusal + ms(2500), "{next:?}, {refusal:?}");
        for _ in 0..refusal.as_secs() / 30 {
            fleet.run(ms(30_000));
            fleet.handle_event(&name(5), Event::Asked(POISON));
        }
    }
}

/// Guards against a request that is refused because it was alone at three crashes, and is tried in every
/// turn from then on, since its first trial follows too soon after the crashes to be counted.
#[test]
fn first_trial_counts_also_soon_after_the_crashes() {
    let mut fleet = settled_fleet(9);
    for number in 0..3 {
        crash(&mut fleet, 0, number, &[POISON], &[]);
    }
    fleet.run(ms(3000));
    assert!(refused_everywhere(&fleet, POISON));
    crash(&mut fleet, 4, 10, &[POISON], &[POISON]);
    fleet.run(ms(500));
    for seconds in 1..55 {
        let now = fleet.now + Duration::from_secs(seconds);
        assert!(due(&fleet, POISON, now).is_empty(), "tried again after {seconds} s");
    }
}

/// Guards against refusing a popular request because it is beside a poison request at each crash.
#[test]
fn popular_request_beside_a_poison_request_is_served_once_its_trial_is_answered() {
    let mut fleet = settled_fleet(9);
    crash_service(&mut fleet, 0, |_| POPULAR);
    fleet.run(ms(500));
    assert!((0..9).all(|at| is_on_trial(&fleet, at, POPULAR)));
    fleet.handle_event(&name(2), Event::Cleared(POPULAR));
    fleet.run_until("it is served", CONTACT, |fleet| {
        (0..9).all(|at| !is_on_trial(fleet, at, POPULAR) && is_on_trial(fleet, at, POISON))
    });
    crash(&mut fleet, 1, 10, &[POISON, POPULAR], &[POISON]);
    fleet.run_until("the other is refused", CONTACT, |fleet| refused_everywhere(fleet, POISON));
    assert!(refused_nowhere(&fleet, POPULAR));
    assert!((0..9).all(|at| !is_on_trial(&fleet, at, POPULAR)));
}

/// Guards against two poison requests that are never refused, because they come together each time.
#[test]
fn two_requests_that_always_crash_servers_together_are_both_refused() {
    let mut fleet = settled_fleet(9);
    crash_service(&mut fleet, 0, |_| POPULAR);
    fleet.run(ms(500));
    crash(&mut fleet, 0, 10, &[POISON], &[POISON]);
    crash(&mut fleet, 1, 11, &[POPULAR], &[POPULAR]);
    fleet.run_until("both are refused", CONTACT, |fleet| {
        refused_everywhere(fleet, POISON) && refused_everywhere(fleet, POPULAR)
    });
}

/// Guards against blaming a harmless request whose trial was at the server that crashed under the
/// trial of another request.
#[test]
fn crash_under_two_trials_decides_neither() {
    let mut fleet = settled_fleet(9);
    crash_service(&mut fleet, 0, |_| POPULAR);
    fleet.run(ms(500));
    crash(&mut fleet, 0, 10, &[POISON, POPULAR], &[POISON, POPULAR]);
    fleet.run(CONTACT);
    assert!(refused_nowhere(&fleet, POISON) && refused_nowhere(&fleet, POPULAR));
    assert!((0..9).all(|at| is_on_trial(&fleet, at, POISON) && is_on_trial(&fleet, at, POPULAR)));
}

/// Guards against a long refusal after a single trial that two instances made at once, or whose
/// report came late from an instance that was cut off.
#[test]
fn simultaneous_trials_count_once() {
    let mut fleet = settled_fleet(9);
    crash_service(&mut fleet, 0, bystander);
    fleet.run(ms(500));
    fleet.partition_side = [name(8)].into();
    crash(&mut fleet, 3, 10, &[POISON], &[POISON]);
    let crashed_at = fleet.now;
    fleet.run(ms(800));
    crash(&mut fleet, 8, 11, &[POISON], &[POISON]);
    fleet.run(ms(3000));
    fleet.partition_side.clear();
    fleet.run_until("all refuse it", CONTACT * 2, |fleet| refused_everywhere(fleet, POISON));
    fleet.run(CONTACT);
    let in_two_minutes = due(&fleet, POISON, crashed_at + Duration::from_secs(125));
    assert_eq!(in_two_minutes.len(), 9, "the first refusal is over everywhere");
}
