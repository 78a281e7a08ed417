//! Tests of what verifications of connections may cost.

use std::time::Duration;

use ladder_core::link::{Action, Links};
use ladder_core::time::Instant;
use ladder_schema::wire::{Frame, Probe};

use super::network::Network;

/// Guards against opening a connection to each of thousands of peers at the same moment, when this
/// instance is cut off from all of them.
#[test]
fn verifications_at_a_time_are_bounded() {
    let start = Instant::from_millis(1000);
    let mut links = Links::new(start, Frame::default());
    let mut actions = Vec::new();
    for peer in 0..500 {
        let probes = vec![Probe { number: peer + 1 }];
        let frame = Frame { probes, ..Frame::default() };
        links.send(start, &format!("peer-{peer}"), frame, &mut actions);
    }
    for action in std::mem::take(&mut actions) {
        if let Action::Open { connection, .. } = action {
            links.opened(connection);
        }
    }
    for step in 1..=100 {
        links.check(start + Duration::from_millis(10 * step), &mut actions);
    }
    let opened = actions.iter().filter(|action| matches!(action, Action::Open { .. })).count();
    let redials = actions.iter().filter(|action| matches!(action, Action::Close(_))).count();
    assert_eq!(opened - redials, 64, "second connections that are open or being opened");
}

/// Guards against verifying the connection to a slow peer again and again: each frame that it
/// confirms late would open another connection.
#[test]
fn connection_to_a_slow_peer_is_verified_at_most_once_a_second() {
    let mut network = Network::start(9);
    network.run(Duration::from_secs(3));
    let opened = network.opened;
    for _ in 0..20 {
        network.pause(0, Duration::from_millis(280));
        network.run(Duration::from_millis(300));
    }
    // Three peers probe the slow one, and it probes three; each verification needs a second connection
    // and another one for the answer.
    let most = 6 * 2 * (6 + 1);
    let again = network.opened - opened;
    assert!(again <= most, "{again} opened in six seconds");
    assert_eq!(network.replaced, [], "nothing is silent");
}

/// Guards against a connection that is replaced for ever: frames that were given up, as the peer did
/// not answer for long, left a gap that the peer went on reporting.
#[test]
fn frames_that_were_given_up_leave_no_gap() {
    let mut network = Network::start(9);
    network.run(Duration::from_secs(3));
    network.silence(|from, to| from == 0 || to == 0);
    network.pause(0, Duration::from_secs(8));
    network.run(Duration::from_secs(10));
    network.replaced.clear();
    let requests: Vec<u64> =
        (1..9).map(|peer| network.request(Duration::from_secs(2), peer, 0)).collect();
    network.run(Duration::from_secs(8));
    assert_eq!(network.replaced, [], "connections replaced after all is well");
    let is_answered = |number| network.requests[number].answered_at.is_some();
    assert!(requests.iter().all(is_answered), "requests are answered");
}

/// Guards against waiting for a second connection whose first packet got lost.
#[test]
fn verification_whose_connection_attempt_is_lost_is_dialled_again() {
    let mut network = Network::start(9);
    for from in 0..9 {
        network.request(Duration::from_secs(3), from, (from + 4) % 9);
    }
    network.run(Duration::from_millis(2900));
    network.silence(|_, _| true);
    network.loses_dials = true;
    network.run(Duration::from_millis(400));
    network.loses_dials = false;
    network.run(Duration::from_millis(1200));
    let is_answered = |request: &super::network::Request| request.answered_at.is_some();
    assert!(network.requests.values().all(is_answered), "requests are answered within 1.5 s");
}

/// Guards against opening connections to a peer that does not answer for long, one after the other.
#[test]
fn connection_to_a_paused_peer_is_verified_once_in_three_seconds() {
    let mut network = Network::start(9);
    network.run(Duration::from_secs(3));
    let opened = network.opened;
    network.pause(0, Duration::from_secs(12));
    network.run(Duration::from_millis(11_900));
    // Three peers probe the paused one; a verification uses three connections, one after the other.
    let again = network.opened - opened;
    assert!(again <= 3 * 12 / 3 * 3, "{again} opened in twelve seconds");
}
