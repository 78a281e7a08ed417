//! Tests of catalogue changes while the platform fails and operators change the same entry.

use std::thread;

use ladder_schema::call::Request;
use ladder_schema::catalogue::Entry;
use ladder_schema::outcome::Reason;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Page, Record};
use ladder_schema::standin::Mode;
use ladder_standin::layout::user::User;

use crate::fleet::call::{ask, report_request};
use crate::fleet::load::Load;
use crate::fleet::watch::StatusMonitor;
use crate::fleet::{Fleet, http, layout, wait_until};

/// Number of races between two operators.
const RACES: u64 = 10;

/// Guards against serving a withdrawn operation again. The platform fails when only one instance
/// has read the withdrawal, and comes back with an old copy of the catalogue. Meanwhile an instance
/// is replaced, and its new process knows only that copy and its peers. The change must reach all
/// instances and stay in force, and the new process must not serve before it has the change.
#[test]
fn withdrawn_operation_stays_withdrawn_when_the_platform_returns_with_an_old_copy() {
    let mut fleet = Fleet::start_edited(layout(User::Bagmati, 4), &[1, 2, 3], |_| {});
    let watch = StatusMonitor::start(&fleet);
    let changed = fleet.publish(vec![Body::Entry(fleet.entry("report-desk", "summary"))]);
    wait_until("the change has reached one instance", || {
        fleet.status(0).is_some_and(|status| status.revision >= changed)
    });
    fleet.set_platform_mode(Mode { down: true, ..Mode::default() });
    fleet.wait_until_in_force(changed);
    fleet.restart_platform();
    let newcomer = 2;
    fleet.kill(newcomer);
    let platform = fleet.run.platform_address.clone();
    fleet.edit_settings(newcomer, |settings| settings.platform_address = platform);
    let callers = Load::start(&[fleet.caller_address(newcomer)], 2, |caller, number| {
        report_request("report", &format!("withdrawn-{caller}-{number}"))
    });
    fleet.restart(newcomer);
    wait_until("the newcomer is ready", || fleet.is_ready(newcomer));
    callers.wait_for_answers(100);
    let seen = watch.finish();
    check_withdrawn(callers);
    fleet.wait_until_settled();
    fleet.wait_until_in_force(changed);
    for at in fleet.running() {
        let answer =
            ask(&fleet.caller_address(at), report_request("summary", &format!("summary-{at}")));
        answer.check_complete(&fleet.index("report-desk"));
    }
    let last = seen[newcomer].last().expect("the new process was seen").incarnation;
    for status in seen[newcomer].iter().filter(|status| status.incarnation == last) {
        assert!(!status.ready || status.revision >= changed, "served by the old copy");
    }
}

/// Checks that no caller was served by the withdrawn operation.
fn check_withdrawn(callers: Load) {
    // A new process gives no answer at all before it listens.
    for exchange in callers.finish().iter().filter(|exchange| exchange.outcome.is_ok()) {
        let answer = exchange.answer();
        let reasons = [Reason::UnknownOperation, Reason::NotReady];
        assert!(answer.covered.is_empty(), "served by the withdrawn operation: {answer:?}");
        assert!(reasons.contains(&answer.reason()), "{answer:?}");
    }
}

/// Guards against a lost change, and against instances with different entries, when two operators
/// change the same entry at once from the same revision. One operator's change is rejected, and all
/// instances have the other operator's entry in the end.
#[test]
fn racing_operators_cannot_lose_a_change() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let watch = StatusMonitor::start(&fleet);
    let mut head = fleet.publish(Vec::new());
    for race in 0..RACES {
        head += 1;
        let names = [format!("left-{race}"), format!("right-{race}")];
        let statuses = names.clone().map(|name| publish(&fleet, head, &name));
        let statuses =
            statuses.map(|operator| operator.join().expect("the operator thread does not panic"));
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 409], "one change is accepted, the other rejected");
        let winner = usize::from(statuses[1] == 200);
        fleet.wait_until_in_force(head);
        for at in fleet.running() {
            let key = format!("race-{race}-{at}");
            let won = ask(&fleet.caller_address(at), report_request(&names[winner], &key));
            won.check_complete(&fleet.index("report-desk"));
            let lost = ask(&fleet.caller_address(at), report_request(&names[1 - winner], &key));
            assert_eq!(lost.answer().reason(), Reason::UnknownOperation);
        }
    }
    watch.finish();
}

/// Publishes an entry under a revision that the operator chose; returns the HTTP status of the
/// response.
fn publish(fleet: &Fleet, revision: u64, operation: &str) -> thread::JoinHandle<u16> {
    let body = Some(Body::Entry(fleet.entry("report-desk", operation)));
    let page = Page { head: 0, records: vec![Record { revision, body }], ..Page::default() };
    let address = fleet.run.platform_address.clone();
    thread::spawn(move || {
        let response = http::post(&address, "/admin/publish", &page);
        response.expect("the platform answers").status
    })
}

/// Guards against one invalid entry in a published page that blocks the changes of other services
/// or stops its own service. Only the invalid entry is refused and its reason shown on every
/// instance; the last valid one stays in force.
#[test]
fn invalid_entry_is_refused_alone() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let changed = |service, operation| Entry {
        owner: "another-owner".to_owned(),
        ..fleet.entry(service, operation)
    };
    let mut invalid_entry = fleet.entry("report-desk", "mistaken");
    invalid_entry.operations[0].deadline_ms = 0;
    let (valid_entry, last) =
        (changed("member-portal", "added"), changed("counter-desk-01", "eligibility"));
    let head = fleet.publish([valid_entry, invalid_entry, last].map(Body::Entry).into());
    fleet.wait_until_in_force(head);
    for at in fleet.running() {
        let refused = fleet.expect_status(at).refused;
        assert_eq!(refused.len(), 1, "{refused:?}");
        assert_eq!((refused[0].name.as_str(), refused[0].revision), ("report-desk", head - 1));
        assert!(refused[0].detail.contains("deadline_ms: 0 is outside 1 to 60000"), "{refused:?}");
        let kept = ask(&fleet.caller_address(at), report_request("report", &format!("kept-{at}")));
        kept.check_complete(&fleet.index("report-desk"));
        let added = report_request("added", &format!("added-{at}"));
        let added = Request { index: "member-portal".to_owned(), ..added };
        ask(&fleet.caller_address(at), added).check_complete(&fleet.index("member-portal"));
    }
}
