//! Tests of routes whose messages may be sent to some regions only.

use std::sync::Arc;

use ladder_core::eligible::ServerHash;
use ladder_core::gather::Action;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Work;

use crate::fleet::SELF;
use crate::harness::{only_answer, sent_work};
use crate::partial_aggregation::{
    LOCAL_ZONE, ViewFixture, deliver_replies, message, refusal_reply,
};

/// A zone of the region `south`; the instance under test is in `north`.
const SOUTH_ZONE: &str = "campanha";

struct Case {
    name: &'static str,
    homes: &'static [&'static str],
    /// Zones of the servers of each part.
    zones: &'static [&'static str],
    /// Zones whose servers may be called; if empty, the request is refused.
    reachable_zones: &'static [&'static str],
    /// Peers that may receive parts of the message.
    peers: &'static [&'static str],
}

impl Case {
    fn fixture(&self, has_few_connections: bool) -> ViewFixture {
        ViewFixture {
            parts: vec![self.zones.to_vec(); 6],
            peers: vec![("e2", LOCAL_ZONE), ("e3", SOUTH_ZONE), ("e4", SOUTH_ZONE)],
            has_few_connections,
            homes: self.homes.to_vec(),
            ..ViewFixture::default()
        }
    }

    /// Checks that work is sent to permitted peers and servers only; returns the work.
    fn check(&self, actions: &[Action]) -> Vec<(Arc<str>, Work)> {
        let works = sent_work(actions);
        for (to, work) in &works {
            assert!(**to == *SELF || self.peers.contains(&&**to), "{}: sent to {to}", self.name);
            for portion in &work.portions {
                let eligible = portion.eligible.as_ref().expect("servers are chosen");
                assert!(!eligible.servers.is_empty(), "{}", self.name);
                let servers = self.zones.iter().enumerate();
                for (number, _) in servers.filter(|(_, zone)| !self.reachable_zones.contains(zone))
                {
                    let outside = ServerHash::of(&format!("{}-{number}", portion.service)).0;
                    assert!(!eligible.servers.contains(&outside), "{}: {eligible:?}", self.name);
                }
            }
        }
        works
    }
}

fn cases() -> Vec<Case> {
    let zones: &[&str] = &[LOCAL_ZONE, SOUTH_ZONE];
    vec![
        Case {
            name: "here",
            homes: &["north"],
            zones,
            reachable_zones: &[LOCAL_ZONE],
            peers: &["e2"],
        },
        Case {
            name: "passed on to another region",
            homes: &["south"],
            zones,
            reachable_zones: &[SOUTH_ZONE],
            peers: &["e3", "e4"],
        },
        Case {
            name: "both regions",
            homes: &["north", "south"],
            zones,
            reachable_zones: zones,
            peers: &["e2", "e3", "e4"],
        },
        Case {
            name: "no server in the region",
            homes: &["south"],
            zones: &[LOCAL_ZONE],
            reachable_zones: &[],
            peers: &[],
        },
        Case { name: "unknown region", homes: &["west"], zones, reachable_zones: &[], peers: &[] },
    ]
}

/// Guards against sending messages or their bodies out of the regions to which they are
/// restricted.
#[test]
fn messages_stay_in_home_regions() {
    for case in cases() {
        for (target, has_few_connections) in
            [("/docks/1", false), ("/docks/1", true), ("/permit/1", false)]
        {
            let mut harness = case.fixture(has_few_connections).harness();
            for number in 0..8 {
                let request = message(&format!("{target}-{number}"), target, 0);
                let actions = harness.call(request);
                if case.reachable_zones.is_empty() {
                    let answer = only_answer(&actions);
                    let outcome = (answer.verdict(), answer.reason());
                    assert_eq!(outcome, (Verdict::NotRun, Reason::NoHome), "{}", case.name);
                    assert!(sent_work(&actions).is_empty());
                    continue;
                }
                for (to, work) in case.check(&actions) {
                    let reason = Reason::ConnectFailed;
                    let replies = work.portions.iter();
                    let replies =
                        replies.map(|portion| refusal_reply(&work, &portion.service, reason));
                    case.check(&deliver_replies(&mut harness, &to, replies.collect()));
                }
            }
        }
    }
}
