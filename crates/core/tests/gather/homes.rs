//! Routes whose messages may go to some regions only.

use std::sync::Arc;

use ladder_core::eligible::Mark;
use ladder_core::gather::Action;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Work;

use crate::fleet::SELF;
use crate::near::{HERE, Place, message, refused, tell};
use crate::session::{answer, works};

/// A zone of the region `south`; the instance under test stands in `north`.
const FAR: &str = "campanha";

struct Case {
    name: &'static str,
    homes: &'static [&'static str],
    /// Zones of the servers of each part.
    zones: &'static [&'static str],
    /// Zones whose servers may be asked; none: the request is refused.
    asked: &'static [&'static str],
    /// Peers that may get parts of it.
    peers: &'static [&'static str],
}

impl Case {
    fn place(&self, scarce: bool) -> Place {
        Place {
            parts: vec![self.zones.to_vec(); 6],
            peers: vec![("e2", HERE), ("e3", FAR), ("e4", FAR)],
            scarce,
            homes: self.homes.to_vec(),
            ..Place::default()
        }
    }

    /// Checks what goes out; gives it.
    fn check(&self, actions: &[Action]) -> Vec<(Arc<str>, Work)> {
        let works = works(actions);
        for (to, work) in &works {
            assert!(**to == *SELF || self.peers.contains(&&**to), "{}: sent to {to}", self.name);
            for portion in &work.portions {
                let eligible = portion.eligible.as_ref().expect("servers are chosen");
                assert!(!eligible.servers.is_empty(), "{}", self.name);
                let servers = self.zones.iter().enumerate();
                for (number, _) in servers.filter(|(_, zone)| !self.asked.contains(zone)) {
                    let abroad = Mark::of(&format!("{}-{number}", portion.service)).0;
                    assert!(!eligible.servers.contains(&abroad), "{}: {eligible:?}", self.name);
                }
            }
        }
        works
    }
}

fn cases() -> Vec<Case> {
    let zones: &[&str] = &[HERE, FAR];
    vec![
        Case { name: "here", homes: &["north"], zones, asked: &[HERE], peers: &["e2"] },
        Case { name: "passed on", homes: &["south"], zones, asked: &[FAR], peers: &["e3", "e4"] },
        Case {
            name: "both",
            homes: &["north", "south"],
            zones,
            asked: zones,
            peers: &["e2", "e3", "e4"],
        },
        Case { name: "no server there", homes: &["south"], zones: &[HERE], asked: &[], peers: &[] },
        Case { name: "unknown region", homes: &["west"], zones, asked: &[], peers: &[] },
    ]
}

/// Guards against sending messages or their bodies out of the regions where they may go.
#[test]
fn messages_stay_in_their_homes() {
    for case in cases() {
        for (target, scarce) in [("/docks/1", false), ("/docks/1", true), ("/permit/1", false)] {
            let mut session = case.place(scarce).session();
            for number in 0..8 {
                let request = message(&format!("{target}-{number}"), target, 0);
                let actions = session.call(request);
                if case.asked.is_empty() {
                    let answer = answer(&actions);
                    let outcome = (answer.verdict(), answer.reason());
                    assert_eq!(outcome, (Verdict::NotRun, Reason::NoHome), "{}", case.name);
                    assert!(works(&actions).is_empty());
                    continue;
                }
                for (to, work) in case.check(&actions) {
                    let reason = Reason::ConnectFailed;
                    let replies = work.portions.iter();
                    let replies = replies.map(|portion| refused(&work, &portion.service, reason));
                    case.check(&tell(&mut session, &to, replies.collect()));
                }
            }
        }
    }
}
