//! Owners that refuse, vanish or fall silent.

use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::session::{Session, answer, covered, missing, request, works};

/// The instance that owns s2 is replaced: its link breaks with the portion open. The portion goes
/// to the next candidate at once and the caller gets everything.
#[test]
fn broken_link_moves_repeatable_work() {
    let mut session = Session::new(&Fleet::default());
    session.call(request("k1", "sweep", &["c", "d"]));
    session.pass(3);
    let again = works(&session.link_down("e2"));
    assert_eq!(&*again[0].0, "e3");
    assert_eq!(again[0].1.extra_calls, 1);
    let answer = answer(&session.reply("e3", covered(&again[0].1, "s2")));
    assert_eq!(answer.covered, ["c", "d"]);
}

/// A booking is at its owner when the link breaks. Nobody can tell whether it ran: it is not sent
/// again, and the caller hears so at once.
#[test]
fn broken_link_never_moves_a_booking() {
    let mut session = Session::new(&Fleet::default());
    session.call(request("k1", "book", &["c"]));
    let out = session.link_down("e2");
    assert!(works(&out).is_empty());
    let answer = answer(&out);
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(missing(&answer), "c:OWNER_LOST/MAY_HAVE_RUN");
    assert_eq!(answer.reason(), Reason::OwnerLost);
}

/// The membership already holds the owner dead when the query arrives: the next candidate gets it.
#[test]
fn dead_owner_is_passed_over() {
    let mut session = Session::new(&Fleet::default().without("e2"));
    let sent = works(&session.call(request("k1", "sweep", &["c"])));
    assert_eq!(&*sent[0].0, "e3");
}
