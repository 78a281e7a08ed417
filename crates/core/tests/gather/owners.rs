//! Owners that refuse, vanish or fall silent.

use std::time::Duration;

use ladder_core::gather::event::Caller;
use ladder_core::gather::{Action, Event};
use ladder_core::schema::call::Request;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::session::{
    Session, answer, answers, asked, covered, dropped, missing, refused, request, works,
};

fn receivers(actions: &[Action]) -> Vec<String> {
    let works = works(actions).into_iter();
    works.map(|(to, _)| to.to_string()).collect()
}

fn cancelled(actions: &[Action]) -> Vec<String> {
    let cancels = actions.iter().filter_map(|action| match action {
        Action::Cancel { to, .. } => Some(to.name.to_string()),
        _ => None,
    });
    cancels.collect()
}

/// The instance that owns s2 is replaced: its link breaks with the portion open. The portion goes
/// to the next candidate at once and the caller gets everything.
#[test]
fn broken_link_moves_repeatable_work() {
    let (mut session, _) = asked("sweep", &["c", "d"]);
    session.pass(3);
    let again = works(&session.link_down("e2"));
    assert_eq!(&*again[0].0, "e3");
    assert_eq!(again[0].1.extra_calls, 1);
    assert!(again[0].1.portions[0].repeated, "the lost owner's server may have it");
    let answer = answer(&session.reply("e3", covered(&again[0].1, "s2")));
    assert_eq!(answer.covered, ["c", "d"]);
    let next = session.call(request("k2", "sweep", &["c"]));
    assert_eq!(receivers(&next), ["e3"], "until the owner is heard of again");
}

/// The link breaks, or the owner refuses, in the two milliseconds before the deadline that are kept
/// for the answer: nothing is sent any more.
#[test]
fn nothing_is_sent_when_it_is_time_to_answer() {
    for broken in [true, false] {
        let (mut session, sent) = asked("sweep", &["c"]);
        session.now = session.now + Duration::from_millis(99);
        let out = match broken {
            true => session.link_down("e2"),
            false => session.reply("e2", refused(&sent[0].1, "s2", Reason::NotOwner)),
        };
        assert!(works(&out).is_empty());
        assert_eq!(answer(&out).covered.len(), 0);
    }
}

/// A booking is at its owner when the link breaks. Nobody can tell whether it ran: it is not sent
/// again, and the caller hears so at once.
#[test]
fn broken_link_never_moves_a_booking() {
    let (mut session, _) = asked("book", &["c"]);
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

/// An owner stops without its link breaking, as a cut cable does. After the assumed limit of four
/// times 50 ms its portion also goes to the next candidate; whoever replies first is believed, the
/// other one is dropped.
#[test]
fn silent_owner_is_passed_over() {
    for (first, second) in [("e2", "e3"), ("e3", "e2")] {
        let (mut session, sent) = asked("check", &["a", "c"]);
        assert!(works(&session.pass(199)).is_empty());
        let again = works(&session.pass(1));
        assert_eq!(&*again[0].0, "e3");
        let reply = |from: &str| match from {
            "e2" => covered(&sent[1].1, "s2"),
            _ => covered(&again[0].1, "s2"),
        };
        assert!(session.reply(first, reply(first)).is_empty());
        let out = session.reply(second, reply(second));
        assert_eq!(out, [dropped(Reason::StaleAnswer)], "{second} is late");
        let answer = answer(&session.reply("e1", covered(&sent[0].1, "s1")));
        assert_eq!(answer.covered, ["a", "c"]);
    }
}

/// The silent owner's portion went to the next candidate, which refuses: the silent one may still
/// answer and is waited for. If the next one answers, the silent one is told to give up.
#[test]
fn silent_owner_is_waited_for_when_the_next_one_refuses() {
    let (mut session, sent) = asked("check", &["c"]);
    let again = works(&session.pass(200));
    let refusal = refused(&again[0].1, "s2", Reason::QueueFull);
    assert!(session.reply("e3", refusal).is_empty());
    let answer = answer(&session.reply("e2", covered(&sent[0].1, "s2")));
    assert_eq!(answer.covered, ["c"]);

    let (mut session, _) = asked("check", &["c"]);
    let again = works(&session.pass(200));
    let out = session.reply("e3", covered(&again[0].1, "s2"));
    assert_eq!(cancelled(&out), ["e2"]);
}

/// The same, with a booking: it stays where it is, and its caller hears at the end of its deadline
/// that it may have run.
#[test]
fn booking_stays_at_silent_owner() {
    let (mut session, _) = asked("book", &["c"]);
    session.give(Event::View(Fleet::default().without("e2").view()));
    let out = session.pass(500);
    assert!(works(&out).is_empty());
    assert_eq!(missing(&answer(&out)), "c:DEADLINE/MAY_HAVE_RUN");
}

/// An owner that has replied within 2 ms so far is waited for no longer than 30 ms. While it is
/// silent new queries pass it over; after a while one of them asks it as well, and its reply ends
/// the silence.
#[test]
fn silent_owner_is_probed_and_taken_back() {
    let mut session = Session::new(&Fleet::default());
    for _ in 0..40 {
        let sent = works(&session.call(request("k", "check", &["c"])));
        session.pass(2);
        session.reply("e2", covered(&sent[0].1, "s2"));
    }
    session.call(request("k", "check", &["c"]));
    assert_eq!(receivers(&serve(&mut session, 30, None)), ["e3"]);
    assert_eq!(receivers(&serve(&mut session, 0, Some("d"))), ["e3"], "passed over");
    session.pass(250);
    let booking = session.call(request("b", "book", &["d"]));
    assert_eq!(receivers(&booking), ["e3"], "a booking never probes");
    let probing = serve(&mut session, 0, Some("d"));
    assert_eq!(receivers(&probing), ["e3", "e2"], "probed");
    assert_eq!(receivers(&serve(&mut session, 0, Some("d"))), ["e3"], "one probe at a time");
    let probe = &works(&probing)[1].1;
    session.reply("e2", covered(probe, "s2"));
    assert_eq!(receivers(&serve(&mut session, 0, Some("d"))), ["e2"], "taken back");
}

/// Lets time pass, asks for a shard of s2 if one is named, and replies for e3.
fn serve(session: &mut Session, millis: u64, shard: Option<&str>) -> Vec<Action> {
    let mut out = session.pass(millis);
    if let Some(shard) = shard {
        out = session.call(request("k", "check", &[shard]));
    }
    for (_, work) in works(&out).iter().filter(|(to, _)| **to == *"e3") {
        session.reply("e3", covered(work, "s2"));
    }
    out
}

/// Both other instances fall silent at once: it is this one that is cut off or stalled. It sends
/// nothing a second time.
#[test]
fn silence_of_all_is_no_ones_fault_but_ours() {
    let (mut session, _) = asked("check", &["c", "e"]);
    assert!(works(&session.pass(390)).is_empty());
}

/// The silent owner never comes back, and the next candidate's queue is full: the caller hears at
/// the end of its deadline that the owner is lost, not merely that time ran out.
#[test]
fn lost_owner_is_named_at_the_deadline() {
    let (mut session, sent) = asked("check", &["a", "c"]);
    session.pass(1);
    session.reply("e1", covered(&sent[0].1, "s1"));
    let again = works(&session.pass(199));
    session.pass(1);
    session.reply("e3", refused(&again[0].1, "s2", Reason::QueueFull));
    let out = session.pass(199);
    assert_eq!(missing(&answer(&out)), "c:OWNER_LOST/MAY_HAVE_RUN");
    insta::assert_snapshot!(session.log);
}

/// An operation takes seconds, more than the assumed limit of 200 ms: it is not sent to the next
/// candidate before a sixteenth of its deadline, 1250 of 20000 ms, has passed.
#[test]
fn slow_operation_is_given_time() {
    let mut session = Session::new(&Fleet::default());
    let asked = Request { deadline_ms: 20_000, ..request("k1", "check", &["c"]) };
    session.call(asked);
    assert!(works(&session.pass(1249)).is_empty());
    assert_eq!(receivers(&session.pass(101)), ["e3"]);
}

/// The process did not run while the silence grew: its replies may wait unread. Nothing is sent a
/// second time before it has run for as long again.
#[test]
fn silence_while_asleep_proves_nothing() {
    let pause = Duration::from_millis(205);
    for (asleep, event) in [(230, Event::Tick), (205, Event::Paused(pause))] {
        let (mut session, _) = asked("check", &["c"]);
        session.now = session.now + Duration::from_millis(asleep);
        assert!(works(&session.give(event)).is_empty());
        assert!(works(&session.pass(160)).is_empty());
    }
}

/// The process sleeps for a second with a sweep open. On waking it first answers the caller, whose
/// time is over; the new view that comes with the waking moves nothing of that query.
#[test]
fn expired_queries_end_before_anything_is_sent() {
    let (mut session, _) = asked("check", &["c"]);
    session.now = session.now + Duration::from_secs(1);
    let out = session.give(Event::Paused(Duration::from_secs(1)));
    assert_eq!(missing(&answer(&out)), "c:PAUSED/MAY_HAVE_RUN");
    session.call(request("k2", "check", &["c"]));
    session.now = session.now + Duration::from_secs(1);
    let out = session.give(Event::View(Fleet::default().without("e2").view()));
    assert!(works(&out).is_empty());
    assert_eq!(missing(&answer(&out)), "c:DEADLINE/MAY_HAVE_RUN");
}

/// The membership gives the owner up while a sweep is open there: the sweep goes on elsewhere.
#[test]
fn view_without_owner_moves_repeatable_work() {
    let (mut session, _) = asked("check", &["c"]);
    let out = session.give(Event::View(Fleet::default().without("e2").view()));
    assert_eq!(receivers(&out), ["e3"]);
}

/// The caller hangs up: the owners are told, late replies are dropped, no answer is given.
#[test]
fn gone_caller_is_forgotten() {
    let (mut session, sent) = asked("check", &["c", "e"]);
    let out = session.give(Event::Gone(Caller(1)));
    assert_eq!(cancelled(&out), ["e2", "e3"]);
    let late = session.reply("e2", covered(&sent[0].1, "s2"));
    assert_eq!(late, [dropped(Reason::StaleAnswer)]);
    assert!(answers(&session.pass(500)).is_empty());
}
