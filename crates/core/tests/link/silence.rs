//! Tests of open connections that go silent for good while new ones work.

use std::time::Duration;

use ladder_core::link::Cause;

use super::network::{Network, Request};

/// Latency objective of a request, which is answered after 45 ms.
const OBJECTIVE: Duration = Duration::from_millis(100);
/// Number of other instances that each instance sends requests to at a time.
const REQUESTS: usize = 5;

/// Which connections go silent, by sender and receiver.
type Pattern = fn(usize, usize) -> bool;

struct Case {
    name: &'static str,
    size: usize,
    pattern: Pattern,
    /// How often, half a second apart.
    times: usize,
}

const CASES: &[Case] = &[
    Case { name: "all of 9", size: 9, pattern: |_, _| true, times: 1 },
    Case { name: "all of 66", size: 66, pattern: |_, _| true, times: 1 },
    Case { name: "one direction of 9", size: 9, pattern: |from, to| from < to, times: 1 },
    Case { name: "one direction of 66", size: 66, pattern: |from, to| from < to, times: 1 },
    Case { name: "half of 9", size: 9, pattern: is_every_other, times: 1 },
    Case { name: "half of 66", size: 66, pattern: is_every_other, times: 1 },
    Case {
        name: "those of one of 66",
        size: 66,
        pattern: |from, to| from == 7 || to == 7,
        times: 1,
    },
    Case { name: "none that is probed, of 66", size: 66, pattern: is_unprobed, times: 1 },
    Case { name: "all of 9, twice", size: 9, pattern: |_, _| true, times: 2 },
    Case { name: "all of 66, twice", size: 66, pattern: |_, _| true, times: 2 },
];

fn is_every_other(from: usize, to: usize) -> bool {
    (from * 31 + to * 17) % 5 < 3 && !(from + to).is_multiple_of(3)
}

fn is_unprobed(from: usize, to: usize) -> bool {
    (to + 66 - from) % 66 > 3
}

/// Schedules requests of each instance to some others over a time.
fn schedule_requests(network: &mut Network, time: Duration) {
    let size = network.size();
    let interval = Duration::from_millis(400);
    for from in 0..size {
        let mut after = interval * from as u32 / size as u32;
        while after < time {
            for distance in 0..REQUESTS {
                let to = (from + 1 + (distance * 13 + from) % (size - 1)) % size;
                network.request(after, from, to);
            }
            after += interval;
        }
    }
}

/// Share of the requests sent in a span that were answered within their latency objective.
fn share_in_time(network: &Network, from: Duration, until: Duration) -> f64 {
    let start = ladder_core::time::Instant::from_millis(1000);
    let is_in_span = |request: &&Request| (from..until).contains(&request.sent_at.since(start));
    let requests: Vec<&Request> = network.requests.values().filter(is_in_span).collect();
    let is_in_time = |request: &&&Request| {
        request.answered_at.is_some_and(|at| at.since(request.sent_at) <= OBJECTIVE)
    };
    requests.iter().filter(is_in_time).count() as f64 / requests.len() as f64
}

/// Guards against losing most requests for seconds after many connections fell silent at once: a
/// frame was taken for sent, and its connection for sound, until a probe had waited for two seconds.
#[test]
fn requests_are_served_again_at_once_after_connections_fell_silent() {
    for case in CASES {
        let mut network = Network::start(case.size);
        schedule_requests(&mut network, Duration::from_secs(10));
        network.run(Duration::from_secs(4));
        for _ in 0..case.times {
            network.silence(case.pattern);
            network.run(Duration::from_millis(500));
        }
        network.run(Duration::from_secs(8));
        let name = case.name;
        let before = share_in_time(&network, Duration::from_secs(2), Duration::from_millis(3900));
        let window = share_in_time(&network, Duration::from_secs(4), Duration::from_secs(6));
        let after = share_in_time(&network, Duration::from_secs(6), Duration::from_secs(8));
        assert!(before > 0.999, "{name}: {before} before the silence");
        assert!(window >= 0.7, "{name}: {window} in the two seconds after the silence");
        assert!(after > 0.999, "{name}: {after} in the two seconds after that");
        for (number, request) in &network.requests {
            assert_eq!(request.received, 1, "{name}: request {number} is received once");
            assert!(request.answered_at.is_some(), "{name}: request {number} is answered");
        }
        assert!(network.replaced.contains(&Cause::Silent), "{name}: a connection found silent");
    }
}

/// Guards against a storm of new connections after a silence: each pair needs two at the most, in
/// each direction one that replaces the silent one.
#[test]
fn each_silent_connection_is_replaced_once() {
    for size in [9, 66] {
        let mut network = Network::start(size);
        schedule_requests(&mut network, Duration::from_secs(10));
        network.run(Duration::from_secs(4));
        let opened = network.opened;
        network.silence(|_, _| true);
        network.run(Duration::from_secs(8));
        let again = network.opened - opened;
        assert!(again <= opened * 5 / 4, "{size}: {again} opened after {opened}");
    }
}

/// Guards against replacing connections to peers of a build that does not confirm frames as if they
/// were silent, and against leaving those connections silent.
#[test]
fn connections_to_an_older_build_are_replaced_only_if_silent() {
    let mut network = Network::start(9);
    network.older_builds.insert(4);
    network.run(Duration::from_secs(8));
    assert_eq!(network.replaced, [], "nothing is silent");
    network.silence(|_, to| to == 4);
    network.run(Duration::from_secs(4));
    assert!(network.replaced.contains(&Cause::Silent), "{:?}", network.replaced);
}

/// Guards against waiting for the answer to a verification whose own connection fell silent, too: a
/// second after the last silence, each pair finds its connection within a second.
#[test]
fn requests_are_served_again_after_repeated_silences() {
    for size in [9, 66] {
        let mut network = Network::start(size);
        for from in 0..size {
            network.request(Duration::from_secs(4), from, (from + size / 2) % size);
            network.request(Duration::from_millis(6200), from, (from + size / 2) % size);
        }
        network.run(Duration::from_secs(4));
        for _ in 0..16 {
            network.silence(|_, _| true);
            network.run(Duration::from_millis(70));
        }
        network.run(Duration::from_secs(6));
        for (number, request) in &network.requests {
            let time = request.answered_at.map(|at| at.since(request.sent_at));
            let is_prompt = time.is_some_and(|time| time <= Duration::from_secs(1));
            let is_later = number.is_multiple_of(2);
            assert!(time.is_some(), "{size}: request {number} is answered");
            assert!(!is_later || is_prompt, "{size}: request {number} is answered after {time:?}");
        }
    }
}
