//! Changes of the catalogue while the platform fails and operators race.

use std::thread;

use ladder_schema::call::Request;
use ladder_schema::catalogue::Entry;
use ladder_schema::outcome::Reason;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Page, Record};
use ladder_schema::standin::Mode;
use ladder_standin::layout::user::User;

use crate::fleet::call::{ask, report};
use crate::fleet::load::Load;
use crate::fleet::watch::Watch;
use crate::fleet::{Fleet, http, layout, until};

/// Races of operators.
const RACES: u64 = 10;

/// An operator withdraws an operation; the platform fails when a single instance has read the
/// change, and comes back with an old copy. An instance is replaced meanwhile and knows nothing but
/// that copy and its peers. Callers would be served by the withdrawn operation again, here or there.
/// The change must reach all, stay, and be the first thing that the newcomer serves by.
#[test]
fn platform_down_then_stale() {
    let mut fleet = Fleet::start_edited(layout(User::Bagmati, 4), &[1, 2, 3], |_| {});
    let watch = Watch::start(&fleet);
    let changed = fleet.publish(vec![Body::Entry(fleet.entry("report-desk", "summary"))]);
    until("the change has reached one instance", || {
        fleet.status(0).is_some_and(|status| status.revision >= changed)
    });
    fleet.mode(Mode { down: true, ..Mode::default() });
    fleet.until_in_force(changed);
    fleet.restart_platform();
    let newcomer = 2;
    fleet.kill(newcomer);
    let platform = fleet.run.platform_address.clone();
    fleet.edit(newcomer, |settings| settings.platform_address = platform);
    let callers = Load::start(&[fleet.door(newcomer)], 2, |caller, number| {
        report("report", &format!("withdrawn-{caller}-{number}"))
    });
    fleet.restart(newcomer);
    until("the newcomer is ready", || fleet.is_ready(newcomer));
    callers.until_more(100);
    let seen = watch.finish();
    check_withdrawn(callers);
    fleet.settle();
    fleet.until_in_force(changed);
    for at in fleet.running() {
        let answer = ask(&fleet.door(at), report("summary", &format!("summary-{at}")));
        answer.check_complete(&fleet.index("report-desk"));
    }
    let last = seen[newcomer].last().expect("it was seen").incarnation;
    for status in seen[newcomer].iter().filter(|status| status.incarnation == last) {
        assert!(!status.ready || status.revision >= changed, "served by the old copy");
    }
}

/// No caller was served by the withdrawn operation.
fn check_withdrawn(callers: Load) {
    // Before it listens, a new process gives no answer at all.
    for exchange in callers.finish().iter().filter(|exchange| exchange.outcome.is_ok()) {
        let answer = exchange.answer();
        let reasons = [Reason::UnknownOperation, Reason::NotReady];
        assert!(answer.covered.is_empty(), "served by the withdrawn operation: {answer:?}");
        assert!(reasons.contains(&answer.reason()), "{answer:?}");
    }
}

/// Two operators change the same entry at once, from the same revision. If both were told that
/// their change is accepted, one would be lost without a word; if instances took different ones,
/// callers would get other answers from each. One is told to look again, and all instances end with
/// the other's entry.
#[test]
fn racing_operators() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let watch = Watch::start(&fleet);
    let mut head = fleet.publish(Vec::new());
    for race in 0..RACES {
        head += 1;
        let names = [format!("left-{race}"), format!("right-{race}")];
        let statuses = names.clone().map(|name| publish(&fleet, head, &name));
        let statuses = statuses.map(|operator| operator.join().expect("an operator goes on"));
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 409], "one is accepted, the other told");
        let winner = usize::from(statuses[1] == 200);
        fleet.until_in_force(head);
        for at in fleet.running() {
            let key = format!("race-{race}-{at}");
            let won = ask(&fleet.door(at), report(&names[winner], &key));
            won.check_complete(&fleet.index("report-desk"));
            let lost = ask(&fleet.door(at), report(&names[1 - winner], &key));
            assert_eq!(lost.answer().reason(), Reason::UnknownOperation);
        }
    }
    watch.finish();
}

/// Publishes an entry under a revision of the operator's own; gives the status of the answer.
fn publish(fleet: &Fleet, revision: u64, operation: &str) -> thread::JoinHandle<u16> {
    let body = Some(Body::Entry(fleet.entry("report-desk", operation)));
    let page = Page { head: 0, records: vec![Record { revision, body }], ..Page::default() };
    let address = fleet.run.platform_address.clone();
    thread::spawn(move || {
        let response = http::post(&address, "/admin/publish", &page);
        response.expect("the platform answers").status
    })
}

/// An operator publishes a page in which one entry has a mistake. Callers of the other services
/// would miss their changes, or the service of the bad entry would stop. The bad entry is refused
/// alone and its reason shown on every instance; the last good one stays in force.
#[test]
fn bad_entry_among_good_ones() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let changed = |service, operation| Entry {
        owner: "another-owner".to_owned(),
        ..fleet.entry(service, operation)
    };
    let mut bad = fleet.entry("report-desk", "mistaken");
    bad.operations[0].deadline_ms = 0;
    let (good, last) =
        (changed("member-portal", "added"), changed("counter-desk-01", "eligibility"));
    let head = fleet.publish([good, bad, last].map(Body::Entry).into());
    fleet.until_in_force(head);
    for at in fleet.running() {
        let refused = fleet.view(at).refused;
        assert_eq!(refused.len(), 1, "{refused:?}");
        assert_eq!((refused[0].name.as_str(), refused[0].revision), ("report-desk", head - 1));
        assert!(refused[0].detail.contains("deadline_ms: 0 is outside 1 to 60000"), "{refused:?}");
        let kept = ask(&fleet.door(at), report("report", &format!("kept-{at}")));
        kept.check_complete(&fleet.index("report-desk"));
        let added = report("added", &format!("added-{at}"));
        let added = Request { index: "member-portal".to_owned(), ..added };
        ask(&fleet.door(at), added).check_complete(&fleet.index("member-portal"));
    }
}
