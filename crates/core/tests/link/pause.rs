//! Tests of processes that are paused or slow, which must not count as silent connections.

use std::time::Duration;

use ladder_core::link::{Action, Links};
use ladder_core::time::Instant;
use ladder_schema::wire::{Frame, Probe};
use prost::Message;

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
        // Each peer that waits for the paused process verifies its connection once in three seconds,
        // with three connections at most; the answers need one each.
        let verifications = number_of_peers * (1 + case.pause.as_secs() as usize / 3);
        let again = network.opened - opened;
        assert!(again <= verifications * 4, "{}: {again} opened for {number_of_peers}", case.name);
        let answered = network.requests.values().all(|request| request.answered_at.is_some());
        assert!(answered, "{}: requests are answered", case.name);
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn opened(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Open { .. })).count()
}

/// Guards against a process that was paused and takes its own connections for silent, before it has
/// read the confirmations that arrived meanwhile.
#[test]
fn time_in_which_the_process_was_paused_does_not_count() {
    let start = Instant::from_millis(1000);
    let mut links = Links::new(start, Frame::default());
    let mut actions = Vec::new();
    let probes = vec![Probe { number: 1 }];
    links.send(start, "peer", Frame { probes, ..Frame::default() }, &mut actions);
    let Some(Action::Open { connection, .. }) = actions.first().cloned() else {
        panic!("a connection is opened: {actions:?}");
    };
    links.opened(connection);
    links.check(start + ms(50), &mut actions);
    actions.clear();
    links.check(start + ms(2000), &mut actions);
    links.check(start + ms(2050), &mut actions);
    assert_eq!(opened(&actions), 0, "no verification right after the pause");
    for at in (2100..2350).step_by(50) {
        links.check(start + ms(at), &mut actions);
    }
    assert_eq!(opened(&actions), 1, "a verification once the frame is overdue without the pause");
}

/// Guards against an answer that reports frames as lost that have just arrived: the request overtook
/// them on another connection, as the receiver had been paused.
#[test]
fn request_is_answered_after_the_frames_that_it_overtook() {
    let start = Instant::from_millis(1000);
    let mut links = Links::new(start, Frame::default());
    let frame = |sequence, verification| Frame {
        address: "peer".to_owned(),
        incarnation: 1,
        sequence,
        verification,
        probes: if sequence > 0 { vec![Probe { number: sequence }] } else { Vec::new() },
        received_until: 1,
        ..Frame::default()
    };
    let mut actions = Vec::new();
    links.receive(start, &frame(1, 0), &mut actions);
    links.receive(start + ms(10), &frame(0, 5), &mut actions);
    links.check(start + ms(11), &mut actions);
    links.receive(start + ms(15), &frame(2, 0), &mut actions);
    links.check(start + ms(40), &mut actions);
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { bytes, .. } => Some(Frame::decode(bytes.clone()).expect("an encoded frame")),
        _ => None,
    });
    let answers: Vec<Frame> = sent.filter(|frame| frame.verified == 5).collect();
    let until: Vec<u64> = answers.iter().map(|frame| frame.received_until).collect();
    assert_eq!(until, [2], "frames that the answer reports");
}
