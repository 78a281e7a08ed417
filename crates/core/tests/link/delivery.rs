//! Tests of what may be sent again and what may not.

use std::time::Duration;

use super::network::Network;

/// Guards against running a request twice: a process received it and ended, and its successor at the
/// same address received it again from a sender that had got no confirmation.
#[test]
fn frame_for_an_ended_process_does_not_reach_its_successor() {
    let mut network = Network::start(9);
    network.run(Duration::from_secs(3));
    let number = network.request(Duration::ZERO, 0, 1);
    network.run(Duration::from_millis(5));
    assert_eq!(network.requests[&number].received, 1, "the process has received the request");
    network.restart_without_notice(1);
    network.run(Duration::from_secs(6));
    assert_eq!(network.requests[&number].received, 1, "its successor has not");
    let later = network.request(Duration::ZERO, 0, 1);
    network.run(Duration::from_secs(1));
    assert_eq!(network.requests[&later].received, 1, "the successor gets what is sent to it");
    assert!(network.requests[&later].answered_at.is_some(), "and answers");
}
