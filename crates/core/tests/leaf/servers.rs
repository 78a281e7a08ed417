//! Choice of servers: leaving, retired versions, shedding, failing, cold.

use ladder_core::leaf::Event;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::status::State;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::view::Server;

use crate::bed::{Bed, Sent, holding, server, service, settings, view, work};

fn load(server: &str, load: target::Load) -> Event {
    Event::Load { server: server.into(), load: Some(load) }
}

fn report(incarnation: u64) -> target::Load {
    target::Load { incarnation, ..target::Load::default() }
}

fn state(bed: &Bed, name: &str) -> State {
    let status = bed.machine.status(bed.now);
    let found = status[0].servers.iter().find(|server| &*server.name == name);
    found.expect("a server").state
}

/// Sends and answers sweeps of 10 ms, three at once; the calls to this address end as told.
fn drive(bed: &mut Bed, sweeps: u64, address: &str, outcome: fn(&Sent) -> Outcome) -> usize {
    let mut there = 0;
    for query in 0..sweeps {
        for copy in 0..3 {
            bed.work(work(1000 * bed.now.as_micros() + 3 * query + copy, "sweep"));
        }
        bed.each_sent(|bed, sent| {
            if &*sent.address == address {
                there += 1;
                bed.end(sent.attempt, outcome(sent));
            } else {
                bed.advance(10);
                bed.answer(sent);
            }
            bed.connect();
        });
        bed.log.clear();
    }
    there
}

/// Which source says that docks-1 leaves.
#[derive(Clone, Copy, Debug)]
enum Source {
    View,
    Report,
    Refusal,
}

/// A server leaves. One source knows it, the others lag and go on calling it live. New work sent
/// there is refused or cut when it goes.
#[test]
fn leaving_from_any_source_wins() {
    for source in [Source::View, Source::Report, Source::Refusal] {
        let mut bed = Bed::new();
        match source {
            Source::View => {
                let leaving = Server { leaving: true, ..server(1) };
                bed.handle(view(service(vec![leaving, server(2)])));
            }
            Source::Report => {
                let leaving = target::Load { leaving: true, ..report(1) };
                bed.handle(load("docks-1", leaving));
            }
            Source::Refusal => {
                let refusal = |sent: &Sent| sent.refusal(Reason::TargetLeaving, 0);
                drive(&mut bed, 2, "10.0.0.1:80", refusal);
            }
        }
        bed.handle(view(service(vec![server(1), server(2)])));
        bed.handle(load("docks-1", report(1)));
        assert_eq!(state(&bed, "docks-1"), State::Leaving, "{source:?}");
        let open = bed.opened.iter().filter(|(_, address)| &**address == "10.0.0.1:80");
        assert_eq!(open.count(), 0, "{source:?}");
        let there = drive(&mut bed, 10, "10.0.0.1:80", Sent::answer);
        assert_eq!(there, 0, "{source:?}");

        let started = Server { incarnation: 2, ..server(1) };
        bed.handle(view(service(vec![started, server(2)])));
        assert_eq!(state(&bed, "docks-1"), State::Usable, "{source:?}");
    }
}

#[test]
fn without_servers_work_is_refused_at_once() {
    let gone = |leaving, version| Server { leaving, holdings: vec![holding(version)], ..server(1) };
    let cases = [
        (vec![], Reason::NoServer),
        (vec![gone(true, 1)], Reason::NoServer),
        (vec![gone(false, 2)], Reason::VersionRetired),
    ];
    for (servers, reason) in cases {
        let mut bed = Bed::with(settings(), service(servers));
        bed.work(work(1, "sweep"));
        assert_eq!(bed.replies(), [(Verdict::NotRun, reason)]);
    }
}

/// The servers drop the pinned version while queries run. The entry must hear at once that no
/// replica serves it, so that it can restart the query on the newer version.
#[test]
fn version_retired_midway() {
    let mut bed = Bed::new();
    bed.work(work(1, "sweep"));
    for call in 0..2 {
        let sent = bed.sent();
        assert_eq!(sent.len(), call + 1);
        bed.end(sent[call].attempt, sent[call].refusal(Reason::VersionRetired, 0));
    }
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::VersionRetired)]);
}

#[test]
fn reported_version_is_used_before_it_is_published() {
    let mut bed = Bed::new();
    let loaded = target::Load { holdings: vec![holding(2)], ..report(1) };
    bed.handle(load("docks-2", loaded));
    bed.work(wire::Work { version: 2, ..work(1, "sweep") });
    assert_eq!(&*bed.sent()[0].address, "10.0.0.2:80");
}

/// A server answers every call with an error at once and reports that it is idle. By its call times
/// and its load it would be the best choice and would attract all work.
#[test]
fn fast_errors_attract_nothing() {
    let mut bed = Bed::new();
    bed.teach(50, 10);
    let there = drive(&mut bed, 100, "10.0.0.1:80", |_| Outcome::Error);
    assert!((3..=25).contains(&there), "{there} calls at the failing server");
    assert_eq!(state(&bed, "docks-1"), State::Suspect);

    bed.advance(10_000);
    bed.connect();
    let there = drive(&mut bed, 100, "10.0.0.1:80", Sent::answer);
    assert!(there > 50, "{there} calls at the recovered server");
    assert_eq!(state(&bed, "docks-1"), State::Usable);
}

/// One call at a server has failed. While the other is idle it is the better choice.
#[test]
fn one_failure_makes_the_other_server_the_better_choice() {
    let mut bed = Bed::new();
    bed.teach(50, 10);
    for query in 0..20 {
        let sent = bed.ask(query, "book");
        if &*sent.address == "10.0.0.1:80" {
            bed.end(sent.attempt, Outcome::Error);
            bed.connect();
            break;
        }
        bed.answer(&sent);
    }
    for query in 100..110 {
        let sent = bed.ask(query, "book");
        assert_eq!(&*sent.address, "10.0.0.2:80");
        bed.advance(10);
        bed.answer(&sent);
    }
}

/// The network of this instance fails and every call is lost. Were all servers held back, nothing
/// would be sent any more and the recovery would go unnoticed.
#[test]
fn never_more_than_half_are_suspect() {
    let mut bed = Bed::with(settings(), service((1..=5).map(server).collect()));
    for query in 0..60 {
        bed.work(work(query, "sweep"));
        bed.each_sent(|bed, sent| bed.end(sent.attempt, Outcome::Lost));
        bed.connect();
        bed.log.clear();
    }
    let status = bed.machine.status(bed.now);
    let suspect = |server: &&_| matches!(server, State::Suspect);
    let states: Vec<State> = status[0].servers.iter().map(|server| server.state).collect();
    assert_eq!(states.iter().filter(suspect).count(), 2, "{states:?}");
    bed.work(work(100, "sweep"));
    assert_eq!(bed.sent().len(), 1);
}

/// A server sheds and says when to come back. Asking it again before that adds to its trouble.
#[test]
fn shedding_server_is_left_alone() {
    let mut bed = Bed::new();
    let shed = |sent: &Sent| sent.refusal(Reason::TargetShed, 300);
    let there = drive(&mut bed, 8, "10.0.0.1:80", shed);
    assert!(there <= 2, "{there} calls at the shedding server");
    assert_eq!(state(&bed, "docks-1"), State::Shedding);
    bed.advance(400);
    assert!(drive(&mut bed, 20, "10.0.0.1:80", Sent::answer) > 0);
}

/// One server sheds all it gets, without advice; both slots of the other are busy for a while. A
/// commuter's sweep would miss these docks although the busy server has them in time: it went back
/// to the shedding server after each short pause until its tries were used up.
#[test]
fn work_that_was_shed_waits_for_the_busy_replica() {
    let mut bed = Bed::new();
    bed.sweeps(1..=4);
    let mut ended = 0;
    for step in 0..40 {
        for sent in bed.sent().split_off(ended) {
            let shedding = &*sent.address == "10.0.0.1:80";
            ended += 1;
            if shedding {
                bed.end(sent.attempt, sent.refusal(Reason::TargetShed, 0));
            }
        }
        bed.advance(10);
        if step == 30 {
            let busy: Vec<Sent> = bed.sent();
            let busy = busy.iter().filter(|sent| &*sent.address == "10.0.0.2:80");
            busy.for_each(|sent| bed.answer(sent));
        }
    }
    let shed = (Verdict::NotRun, Reason::TargetShed);
    assert!(!bed.replies().contains(&shed), "{:?}", bed.replies());
}

#[test]
fn all_servers_shedding_past_the_deadline_refuses_with_advice() {
    let mut bed = Bed::new();
    bed.work(work(1, "sweep"));
    for call in 0..2 {
        let sent = bed.sent();
        bed.end(sent[call].attempt, sent[call].refusal(Reason::TargetShed, 1500));
    }
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::TargetShed)]);
    assert!(bed.retry_after() >= 1500);
}

/// A server has just started and is slow. It gets half its slots, and no second copies, which are
/// sent for the sake of speed.
#[test]
fn cold_server_gets_less() {
    let mut bed = Bed::new();
    bed.teach(200, 10);
    let cold = target::Load { cold: true, ..report(1) };
    bed.handle(load("docks-1", cold));
    assert_eq!(state(&bed, "docks-1"), State::Cold);
    bed.sweeps(0..6);
    let there = |bed: &Bed| {
        let sent = bed.sent();
        sent.iter().filter(|sent| &*sent.address == "10.0.0.1:80").count()
    };
    assert_eq!((bed.sent().len(), there(&bed)), (3, 1));
    for sent in bed.sent() {
        if &*sent.address == "10.0.0.1:80" {
            bed.answer(&sent);
        }
    }
    bed.advance(50);
    assert!(there(&bed) <= 2, "no second copy at the cold server");
}

/// Connections to all servers fail. Work is refused with its reason instead of waiting until its
/// deadline.
#[test]
fn unreachable_servers_refuse_at_once() {
    let mut bed = Bed::cold(settings(), service(vec![server(1)]));
    bed.work(work(1, "sweep"));
    for _ in 0..20 {
        bed.close_all();
        if !bed.replies().is_empty() {
            break;
        }
        bed.advance(50);
    }
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::ConnectFailed)]);
    assert_eq!(state(&bed, "docks-1"), State::Unreachable);
}

/// A server does not answer the question for its load report. Further questions would occupy one
/// connection after the other.
#[test]
fn load_reports_are_asked_for_once_a_second_and_one_at_a_time() {
    for (answers, expected) in [(true, 18..=22), (false, 2..=2)] {
        let mut bed = Bed::new();
        let mut probes = 0;
        for _ in 0..100 {
            bed.log.clear();
            bed.advance(100);
            let probed = bed.probed();
            probes += probed.len();
            for lane in probed.into_iter().filter(|_| answers) {
                bed.handle(Event::Opened(lane));
            }
        }
        assert!(expected.contains(&probes), "{probes} questions");
    }
}
