//! Server selection: leaving, retired index versions, shedding, failing and cold servers.

use ladder_core::leaf::Event;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::status::State;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::view::Server;

use crate::harness::{Harness, SentCall, holding, server, service, settings, view, work};

fn load_event(server: &str, load: target::Load) -> Event {
    Event::Load { server: server.into(), load: Some(load) }
}

fn load_report(incarnation: u64) -> target::Load {
    target::Load { incarnation, ..target::Load::default() }
}

fn server_state(harness: &Harness, name: &str) -> State {
    let status = harness.machine.status(harness.now);
    let found = status[0].servers.iter().find(|server| &*server.name == name);
    found.expect("a server").state
}

/// Sends sweeps of 10 ms, three at a time, and answers them, except that calls to `address` end
/// with `outcome`. Returns the number of calls to `address`.
fn run_sweeps(
    harness: &mut Harness,
    sweeps: u64,
    address: &str,
    outcome: fn(&SentCall) -> Outcome,
) -> usize {
    let mut calls_to_address = 0;
    for query in 0..sweeps {
        for number in 0..3 {
            harness
                .deliver_work(work(1000 * harness.now.as_micros() + 3 * query + number, "sweep"));
        }
        harness.end_each_call(|harness, sent| {
            if &*sent.address == address {
                calls_to_address += 1;
                harness.end_call(sent.attempt, outcome(sent));
            } else {
                harness.advance(10);
                harness.answer(sent);
            }
            harness.connect();
        });
        harness.log.clear();
    }
    calls_to_address
}

/// Source that reports docks-1 as leaving.
#[derive(Clone, Copy, Debug)]
enum LeavingSource {
    View,
    Report,
    Refusal,
}

/// A server leaves; one source reports it, the others lag and still report the server as live. New
/// work sent to the server would be refused, or lost when the server terminates.
#[test]
fn server_reported_leaving_by_any_source_gets_no_work() {
    for source in [LeavingSource::View, LeavingSource::Report, LeavingSource::Refusal] {
        let mut harness = Harness::new();
        match source {
            LeavingSource::View => {
                let leaving = Server { leaving: true, ..server(1) };
                harness.handle(view(service(vec![leaving, server(2)])));
            }
            LeavingSource::Report => {
                let leaving = target::Load { leaving: true, ..load_report(1) };
                harness.handle(load_event("docks-1", leaving));
            }
            LeavingSource::Refusal => {
                let refusal = |sent: &SentCall| sent.refusal(Reason::TargetLeaving, 0);
                run_sweeps(&mut harness, 2, "10.0.0.1:80", refusal);
            }
        }
        harness.handle(view(service(vec![server(1), server(2)])));
        harness.handle(load_event("docks-1", load_report(1)));
        assert_eq!(server_state(&harness, "docks-1"), State::Leaving, "{source:?}");
        let open = harness.opened.iter().filter(|(_, address)| &**address == "10.0.0.1:80");
        assert_eq!(open.count(), 0, "{source:?}");
        let calls_to_leaving = run_sweeps(&mut harness, 10, "10.0.0.1:80", SentCall::answer);
        assert_eq!(calls_to_leaving, 0, "{source:?}");

        let restarted = Server { incarnation: 2, ..server(1) };
        harness.handle(view(service(vec![restarted, server(2)])));
        assert_eq!(server_state(&harness, "docks-1"), State::Usable, "{source:?}");
    }
}

#[test]
fn work_without_usable_servers_is_refused_at_once() {
    let unusable =
        |leaving, version| Server { leaving, holdings: vec![holding(version)], ..server(1) };
    let cases = [
        (vec![], Reason::NoServer),
        (vec![unusable(true, 1)], Reason::NoServer),
        (vec![unusable(false, 2)], Reason::VersionRetired),
    ];
    for (servers, reason) in cases {
        let mut harness = Harness::connected(settings(), service(servers));
        harness.deliver_work(work(1, "sweep"));
        assert_eq!(harness.replies(), [(Verdict::NotRun, reason)]);
    }
}

/// The servers drop the requested index version while queries run. The entry must be notified at
/// once that no replica serves the version, so that it can restart the query on the newer one.
#[test]
fn version_retired_by_all_servers_refuses_the_portion() {
    let mut harness = Harness::new();
    harness.deliver_work(work(1, "sweep"));
    for call in 0..2 {
        let sent = harness.sent();
        assert_eq!(sent.len(), call + 1);
        harness.end_call(sent[call].attempt, sent[call].refusal(Reason::VersionRetired, 0));
    }
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::VersionRetired)]);
}

#[test]
fn version_in_a_load_report_is_used_before_its_publication() {
    let mut harness = Harness::new();
    let with_version_2 = target::Load { holdings: vec![holding(2)], ..load_report(1) };
    harness.handle(load_event("docks-2", with_version_2));
    harness.deliver_work(wire::Work { version: 2, ..work(1, "sweep") });
    assert_eq!(&*harness.sent()[0].address, "10.0.0.2:80");
}

/// A server immediately answers every call with an error and reports that it is idle. Judged by
/// call times and load it would be the best choice and attract all work.
#[test]
fn server_with_fast_errors_becomes_suspect_and_recovers() {
    let mut harness = Harness::new();
    harness.learn_call_times(50, 10);
    let calls = run_sweeps(&mut harness, 100, "10.0.0.1:80", |_| Outcome::Error);
    assert!((3..=25).contains(&calls), "{calls} calls at the failing server");
    assert_eq!(server_state(&harness, "docks-1"), State::Suspect);

    harness.advance(10_000);
    harness.connect();
    let calls = run_sweeps(&mut harness, 100, "10.0.0.1:80", SentCall::answer);
    assert!(calls > 50, "{calls} calls at the recovered server");
    assert_eq!(server_state(&harness, "docks-1"), State::Usable);
}

/// One call at a server has failed. While the other server is idle, it is the better choice.
#[test]
fn after_one_failure_the_other_idle_server_is_selected() {
    let mut harness = Harness::new();
    harness.learn_call_times(50, 10);
    for query in 0..20 {
        let sent = harness.deliver_and_take_call(query, "book");
        if &*sent.address == "10.0.0.1:80" {
            harness.end_call(sent.attempt, Outcome::Error);
            harness.connect();
            break;
        }
        harness.answer(&sent);
    }
    for query in 100..110 {
        let sent = harness.deliver_and_take_call(query, "book");
        assert_eq!(&*sent.address, "10.0.0.2:80");
        harness.advance(10);
        harness.answer(&sent);
    }
}

/// The network of this instance fails and every call is lost. If all servers were avoided as
/// suspect, nothing would be sent any more and the recovery would go unnoticed.
#[test]
fn at_most_half_of_the_servers_are_suspect() {
    let mut harness = Harness::connected(settings(), service((1..=5).map(server).collect()));
    for query in 0..60 {
        harness.deliver_work(work(query, "sweep"));
        harness.end_each_call(|harness, sent| harness.end_call(sent.attempt, Outcome::Lost));
        harness.connect();
        harness.log.clear();
    }
    let status = harness.machine.status(harness.now);
    let suspect = |server: &&_| matches!(server, State::Suspect);
    let states: Vec<State> = status[0].servers.iter().map(|server| server.state).collect();
    assert_eq!(states.iter().filter(suspect).count(), 2, "{states:?}");
    harness.deliver_work(work(100, "sweep"));
    assert_eq!(harness.sent().len(), 1);
}

/// A server sheds and asks for a retry delay. Calling it before the delay has passed would add to
/// its overload.
#[test]
fn shedding_server_gets_no_calls_during_its_retry_delay() {
    let mut harness = Harness::new();
    let shed = |sent: &SentCall| sent.refusal(Reason::TargetShed, 300);
    let calls = run_sweeps(&mut harness, 8, "10.0.0.1:80", shed);
    assert!(calls <= 2, "{calls} calls at the shedding server");
    assert_eq!(server_state(&harness, "docks-1"), State::Shedding);
    harness.advance(400);
    assert!(run_sweeps(&mut harness, 20, "10.0.0.1:80", SentCall::answer) > 0);
}

/// One server sheds all its calls without a retry delay, and both slots of the other server are
/// busy for a while. A sweep must wait for the busy server, which can answer in time, and must not
/// use up its attempts at the shedding server.
#[test]
fn shed_work_waits_for_the_busy_replica() {
    let mut harness = Harness::new();
    harness.deliver_sweeps(1..=4);
    let mut seen = 0;
    for step in 0..40 {
        for sent in harness.sent().split_off(seen) {
            let shedding = &*sent.address == "10.0.0.1:80";
            seen += 1;
            if shedding {
                harness.end_call(sent.attempt, sent.refusal(Reason::TargetShed, 0));
            }
        }
        harness.advance(10);
        if step == 30 {
            let busy: Vec<SentCall> = harness.sent();
            let busy = busy.iter().filter(|sent| &*sent.address == "10.0.0.2:80");
            busy.for_each(|sent| harness.answer(sent));
        }
    }
    let shed = (Verdict::NotRun, Reason::TargetShed);
    assert!(!harness.replies().contains(&shed), "{:?}", harness.replies());
}

#[test]
fn shedding_beyond_the_deadline_refuses_with_retry_delay() {
    let mut harness = Harness::new();
    harness.deliver_work(work(1, "sweep"));
    for call in 0..2 {
        let sent = harness.sent();
        harness.end_call(sent[call].attempt, sent[call].refusal(Reason::TargetShed, 1500));
    }
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::TargetShed)]);
    assert!(harness.last_retry_after_ms() >= 1500);
}

/// A server has just started and is slow. It must get half its slots and no hedged calls, which are
/// meant to save time.
#[test]
fn cold_server_gets_half_its_slots_and_no_hedged_calls() {
    let mut harness = Harness::new();
    harness.learn_call_times(200, 10);
    let cold = target::Load { cold: true, ..load_report(1) };
    harness.handle(load_event("docks-1", cold));
    assert_eq!(server_state(&harness, "docks-1"), State::Cold);
    harness.deliver_sweeps(0..6);
    let calls_to_cold = |harness: &Harness| {
        let sent = harness.sent();
        sent.iter().filter(|sent| &*sent.address == "10.0.0.1:80").count()
    };
    assert_eq!((harness.sent().len(), calls_to_cold(&harness)), (3, 1));
    for sent in harness.sent() {
        if &*sent.address == "10.0.0.1:80" {
            harness.answer(&sent);
        }
    }
    harness.advance(50);
    assert!(calls_to_cold(&harness) <= 2, "no hedged call at the cold server");
}

/// Connections to all servers fail. Work must be refused with that reason instead of waiting until
/// its deadline.
#[test]
fn work_for_unreachable_servers_is_refused_at_once() {
    let mut harness = Harness::unconnected(settings(), service(vec![server(1)]));
    harness.deliver_work(work(1, "sweep"));
    for _ in 0..20 {
        harness.close_all_connections();
        if !harness.replies().is_empty() {
            break;
        }
        harness.advance(50);
    }
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::ConnectFailed)]);
    assert_eq!(server_state(&harness, "docks-1"), State::Unreachable);
}

/// A server does not reply to a load report request. Further requests would occupy one connection
/// after the other.
#[test]
fn load_reports_are_requested_once_a_second_and_one_at_a_time() {
    for (answers, expected) in [(true, 18..=22), (false, 2..=2)] {
        let mut harness = Harness::new();
        let mut probes = 0;
        for _ in 0..100 {
            harness.log.clear();
            harness.advance(100);
            let probed = harness.probed_connections();
            probes += probed.len();
            for connection in probed.into_iter().filter(|_| answers) {
                harness.handle(Event::Opened(connection));
            }
        }
        assert!(expected.contains(&probes), "{probes} load report requests");
    }
}
