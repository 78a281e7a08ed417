//! Tests of what may be sent again and what may not.

use std::time::Duration;

use ladder_core::link::{Action, Links};
use ladder_core::time::Instant;
use ladder_schema::publication::Record;
use ladder_schema::wire::Frame;

use super::network::Network;

/// Sends a request from instance 0 to a process that ends before it confirms it, and checks that its
/// successor gets only what is sent later.
fn check_that_successor_gets_later_frames_only(receiver: usize) {
    let mut network = Network::start(9);
    network.run(Duration::from_secs(3));
    let number = network.request(Duration::ZERO, 0, receiver);
    network.run(Duration::from_millis(5));
    assert_eq!(network.requests[&number].received, 1, "the process has received the request");
    network.restart_without_notice(receiver);
    network.run(Duration::from_secs(6));
    assert_eq!(network.requests[&number].received, 1, "its successor has not");
    let later = network.request(Duration::ZERO, 0, receiver);
    network.run(Duration::from_secs(1));
    assert_eq!(network.requests[&later].received, 1, "the successor gets what is sent to it");
    assert!(network.requests[&later].answered_at.is_some(), "and answers");
}

/// Guards against running a request twice: a process received it and ended, and its successor at the
/// same address received it again from a sender that had got no confirmation.
#[test]
fn frame_for_an_ended_process_does_not_reach_its_successor() {
    check_that_successor_gets_later_frames_only(1);
}

/// Guards against the same if the sender has received no frame of the ended process, and so knows no
/// incarnation by which to distinguish it from its successor.
#[test]
fn frame_for_an_unknown_process_does_not_reach_its_successor() {
    check_that_successor_gets_later_frames_only(5);
}

/// Guards against running a request twice: its connection was held up and taken for silent, the
/// request was sent again on another one, and then both arrived.
#[test]
fn frame_that_arrives_late_after_it_was_sent_again_is_dropped() {
    for size in [9, 66] {
        let mut network = Network::start(size);
        for from in 0..size {
            network.request(Duration::from_millis(2500), from, (from + size / 2) % size);
            network.request(Duration::from_millis(3010), from, (from + size / 2) % size);
        }
        network.run(Duration::from_secs(3));
        network.stall(Duration::from_secs(1), |_, _| true);
        network.run(Duration::from_secs(6));
        assert_ne!(network.replaced, [], "{size}: connections count as silent");
        for (number, request) in &network.requests {
            assert_eq!(request.received, 1, "{size}: request {number} is received once");
            assert!(request.answered_at.is_some(), "{size}: request {number} is answered");
        }
    }
}

/// Guards against closing a connection as unused that carries only confirmations: the first of them
/// was lost with it, and its peer took its own connection for silent.
#[test]
fn connection_for_confirmations_alone_is_kept() {
    let start = Instant::from_millis(100_000);
    let mut links = Links::new(start, Frame::default());
    let mut actions = Vec::new();
    let change = Frame {
        address: "peer".to_owned(),
        incarnation: 1,
        sequence: 1,
        records: vec![Record::default()],
        ..Frame::default()
    };
    links.receive(start, &change, &mut actions);
    links.check(start + Duration::from_millis(100), &mut actions);
    let Some(Action::Open { connection, .. }) = actions.first().cloned() else {
        panic!("a connection is opened for the confirmation: {actions:?}");
    };
    links.opened(connection);
    actions.clear();
    for seconds in 1..50 {
        links.check(start + Duration::from_secs(seconds), &mut actions);
    }
    assert_eq!(actions, [], "nothing is due");
}
