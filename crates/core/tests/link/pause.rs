//! Tests of processes that are paused or slow, which must not count as silent connections.

use std::time::Duration;

use super::network::Network;

struct Case {
    name: &'static str,
    pause: Duration,
    size: usize,
}

const CASES: &[Case] = &[
    Case { name: "short pause of one of 9", pause: Duration::from_millis(300), size: 9 },
    Case { name: "pause of one of 9", pause: Duration::from_secs(1), size: 9 },
    Case { name: "pause of one of 66", pause: Duration::from_secs(1), size: 66 },
    Case { name: "long pause of one of 66", pause: Duration::from_secs(4), size: 66 },
];

/// Guards against taking a paused process for silent connections: every peer would open new ones at
/// the same moment, and the process itself would take all of its connections for silent.
#[test]
fn pause_replaces_no_connection() {
    for case in CASES {
        let mut network = Network::start(case.size);
        let number_of_peers = case.size - 1;
        for peer in 1..case.size {
            network.request(Duration::from_secs(2), 0, peer);
            network.request(Duration::from_millis(2500), peer, 0);
            network.request(Duration::from_millis(4100), peer, 0);
        }
        network.run(Duration::from_secs(4));
        let opened = network.opened;
        network.pause(0, case.pause);
        network.run(case.pause + Duration::from_secs(3));
        assert_eq!(network.replaced, [], "{}: connections replaced", case.name);
        // Each peer that waits for the paused process verifies its connection, once in three seconds,
        // and the answer needs another connection.
        let verifications = number_of_peers * 2 * (1 + case.pause.as_secs() as usize / 3);
        let again = network.opened - opened;
        assert!(again <= verifications, "{}: {again} opened for {number_of_peers}", case.name);
        let answered = network.requests.values().all(|request| request.answered_at.is_some());
        assert!(answered, "{}: requests are answered", case.name);
    }
}
