//! Catalogue changes during failures of the platform and concurrent changes by operators.

use std::thread;

use ladder_schema::call::Request;
use ladder_schema::catalogue::Entry;
use ladder_schema::outcome::Reason;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Page, Record};
use ladder_schema::standin::Mode;
use ladder_standin::layout::user::User;

use crate::fleet::call::{report_desk_request, send_request};
use crate::fleet::load::CallerLoad;
use crate::fleet::watch::StatusMonitor;
use crate::fleet::{Fleet, http, small_layout, wait_until};

/// Number of times that two operators publish concurrently.
const RACE_COUNT: u64 = 10;

/// Guards against a withdrawn operation being served again. An operator withdraws an operation, the
/// platform fails once a single instance has read the change, and then restarts with an old copy.
/// One instance is restarted meanwhile and knows only that old copy and its peers. The change must
/// reach all instances, must never be undone, and the restarted instance must not become ready
/// without it.
#[test]
fn withdrawn_operation_stays_withdrawn_after_platform_restores_old_copy() {
    let mut fleet = Fleet::start_with(small_layout(User::Bagmati, 4), &[1, 2, 3], |_| {});
    let monitor = StatusMonitor::start(&fleet);
    let changed_revision =
        fleet.publish(vec![Body::Entry(fleet.entry_with_operation("report-desk", "summary"))]);
    wait_until("one instance has applied the change", || {
        fleet.status(0).is_some_and(|status| status.revision >= changed_revision)
    });
    fleet.set_platform_mode(Mode { down: true, ..Mode::default() });
    fleet.wait_for_revision(changed_revision);
    fleet.restart_platform();
    let restarted = 2;
    fleet.kill(restarted);
    let platform = fleet.run.platform_address.clone();
    fleet.edit_settings(restarted, |settings| settings.platform_address = platform);
    let callers = CallerLoad::start(&[fleet.caller_address(restarted)], 2, |caller, number| {
        report_desk_request("report", &format!("withdrawn-{caller}-{number}"))
    });
    fleet.restart(restarted);
    wait_until("the restarted instance is ready", || fleet.is_ready(restarted));
    callers.wait_for_answers(100);
    let instance_statuses = monitor.stop_and_collect();
    check_withdrawn_operation_not_executed(callers);
    fleet.wait_until_settled();
    fleet.wait_for_revision(changed_revision);
    for instance in fleet.running_instances() {
        let answer = send_request(
            &fleet.caller_address(instance),
            report_desk_request("summary", &format!("summary-{instance}")),
        );
        answer.check_complete(&fleet.published_index("report-desk"));
    }
    let last_incarnation =
        instance_statuses[restarted].last().expect("the instance reported its status").incarnation;
    for status in
        instance_statuses[restarted].iter().filter(|status| status.incarnation == last_incarnation)
    {
        assert!(
            !status.ready || status.revision >= changed_revision,
            "the instance was ready with the old catalogue"
        );
    }
}

/// Checks that no caller's request was executed by the withdrawn operation.
fn check_withdrawn_operation_not_executed(callers: CallerLoad) {
    // Requests sent before the restarted process listens get no answer and are skipped.
    for exchange in callers.stop_and_collect().iter().filter(|exchange| exchange.outcome.is_ok()) {
        let answer = exchange.answer();
        let reasons = [Reason::UnknownOperation, Reason::NotReady];
        assert!(answer.covered.is_empty(), "the withdrawn operation was executed: {answer:?}");
        assert!(reasons.contains(&answer.reason()), "{answer:?}");
    }
}

/// Guards against a lost update. Two operators change the same catalogue entry at the same time
/// from the same revision. If both changes were accepted, one would be lost silently, or instances
/// would apply different ones and answer callers differently. One change must be rejected, and all
/// instances must apply the other.
#[test]
fn one_of_two_concurrent_changes_is_rejected() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 3));
    let monitor = StatusMonitor::start(&fleet);
    let mut head = fleet.publish(Vec::new());
    for race in 0..RACE_COUNT {
        head += 1;
        let names = [format!("left-{race}"), format!("right-{race}")];
        let statuses = names.clone().map(|name| spawn_publish(&fleet, head, &name));
        let statuses =
            statuses.map(|operator| operator.join().expect("the publishing thread does not panic"));
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 409], "one change is accepted, the other rejected");
        let accepted = usize::from(statuses[1] == 200);
        fleet.wait_for_revision(head);
        for instance in fleet.running_instances() {
            let key = format!("race-{race}-{instance}");
            let accepted_answer = send_request(
                &fleet.caller_address(instance),
                report_desk_request(&names[accepted], &key),
            );
            accepted_answer.check_complete(&fleet.published_index("report-desk"));
            let rejected_answer = send_request(
                &fleet.caller_address(instance),
                report_desk_request(&names[1 - accepted], &key),
            );
            assert_eq!(rejected_answer.answer().reason(), Reason::UnknownOperation);
        }
    }
    monitor.stop_and_collect();
}

/// Publishes a catalogue entry under a given revision from its own thread; the thread returns the
/// HTTP status.
fn spawn_publish(fleet: &Fleet, revision: u64, operation: &str) -> thread::JoinHandle<u16> {
    let body = Some(Body::Entry(fleet.entry_with_operation("report-desk", operation)));
    let page = Page {
        head: 0,
        records: vec![Record { revision, body, ..Record::default() }],
        ..Page::default()
    };
    let address = fleet.run.platform_address.clone();
    thread::spawn(move || {
        let response = http::post(&address, "/admin/publish", &page);
        response.expect("the platform replies").status
    })
}

/// Guards against one invalid catalogue entry blocking others. An operator publishes a page in
/// which one entry is invalid; other services could miss their changes, or the service of the
/// invalid entry could stop. Only the invalid entry must be refused, every instance must report the
/// reason, and the last valid entry of that service must stay in force.
#[test]
fn invalid_entry_does_not_block_valid_entries() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 3));
    let changed_entry = |service, operation| Entry {
        owner: "another-owner".to_owned(),
        ..fleet.entry_with_operation(service, operation)
    };
    let mut bad = fleet.entry_with_operation("report-desk", "mistaken");
    bad.operations[0].deadline_ms = 0;
    let (good, last) =
        (changed_entry("member-portal", "added"), changed_entry("counter-desk-01", "eligibility"));
    let head = fleet.publish([good, bad, last].map(Body::Entry).into());
    fleet.wait_for_revision(head);
    for instance in fleet.running_instances() {
        let refused = fleet.expect_status(instance).refused;
        assert_eq!(refused.len(), 1, "{refused:?}");
        assert_eq!((refused[0].name.as_str(), refused[0].revision), ("report-desk", head - 1));
        assert!(refused[0].detail.contains("deadline_ms: 0 is outside 1 to 60000"), "{refused:?}");
        let kept = send_request(
            &fleet.caller_address(instance),
            report_desk_request("report", &format!("kept-{instance}")),
        );
        kept.check_complete(&fleet.published_index("report-desk"));
        let added = report_desk_request("added", &format!("added-{instance}"));
        let added = Request { index: "member-portal".to_owned(), ..added };
        send_request(&fleet.caller_address(instance), added)
            .check_complete(&fleet.published_index("member-portal"));
    }
}

/// Guards against a change that no instance puts in force because the restored platform gave its
/// revision out before, and against an instance that keeps what was lost.
#[test]
fn change_after_a_store_drill_is_in_force_everywhere() {
    let fleet = Fleet::start_with(small_layout(User::Bagmati, 4), &[], |_| {});
    let operation = |name: &str| Body::Entry(fleet.entry_with_operation("report-desk", name));
    let copy = fleet.publish(vec![operation("kept")]);
    let lost = fleet.publish((0..5).map(|_| operation("lost")).collect());
    fleet.wait_for_revision(lost);
    fleet.restore_store(copy);
    let written = fleet.publish(vec![operation("written")]);
    assert!(written < lost);
    wait_until("all instances know the new era and its change", || {
        fleet.running_instances().into_iter().all(|instance| {
            let status = fleet.status(instance);
            status.is_some_and(|status| status.era == 2 && status.revision == written)
        })
    });
    for instance in fleet.running_instances() {
        let [written, lost] = ["written", "lost"].map(|name| {
            let request = report_desk_request(name, &format!("{name}-{instance}"));
            send_request(&fleet.caller_address(instance), request)
        });
        written.check_complete(&fleet.published_index("report-desk"));
        assert_eq!(lost.answer().reason(), Reason::UnknownOperation);
    }
}
