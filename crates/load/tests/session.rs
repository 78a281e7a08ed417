//! Whole runs against a small entry that answers by script.

#[path = "fixture/entry.rs"]
mod entry;
#[path = "fixture/layout.rs"]
mod fixture;

use std::rc::Rc;
use std::time::{Duration, Instant};

use entry::{Closed, Entry, Script};
use ladder_load::caller::{self, Options, Outcome, Record};
use ladder_load::check::Mistake;
use ladder_load::mix::Fan;
use ladder_load::plan::Plan;
use ladder_load::rotation::Rotation;
use ladder_load::schedule::Arrival;

const QUERIES: u64 = 40;
const GAP: Duration = Duration::from_millis(5);

fn arrivals() -> Vec<Arrival> {
    let arrival = |sequence: u64| Arrival {
        at: GAP * sequence as u32,
        class: 0,
        shards: vec![0, 1],
        sequence,
    };
    (0..QUERIES).map(arrival).collect()
}

/// Sends the schedule to the entries in turn, the first of which accepts no connection.
fn send(scripts: &[Script], retries: bool) -> Vec<Record> {
    actix_rt::System::new().block_on(async {
        let entries: Vec<Entry> = scripts.iter().map(|script| Entry::start(*script)).collect();
        let closed = Closed::new();
        let mut instances = vec![closed.address.clone()];
        instances.extend(entries.iter().map(|entry| entry.address.clone()));
        let options = Options {
            instances,
            prefix: "t".to_owned(),
            retries,
            checks: false,
            start: Instant::now() + GAP,
        };
        let plans: Rc<[Plan]> = fixture::plans(&[("sweep", Fan::All, 1.0)]).into();
        let records = caller::send(plans, arrivals(), options).await;
        for entry in entries {
            entry.stop().await;
        }
        records
    })
}

fn mistakes(record: &Record) -> &[Mistake] {
    match &record.outcome {
        Outcome::Answered { mistakes, .. } => mistakes,
        other => panic!("not answered: {other:?}"),
    }
}

/// A caller's tool that waits for an answer before it sends the next query hides a stall: the
/// queries that should have been sent meanwhile are never timed. The entry here holds every query
/// until the last one of the schedule has arrived, so a tool that waits would never get there.
#[test]
fn queries_are_sent_on_schedule_while_none_is_answered() {
    let records = send(&[Script::HoldUntil(QUERIES)], false);
    assert_eq!(records.len() as u64, QUERIES);
    let last = GAP * (QUERIES as u32 - 1);
    for record in &records {
        assert_eq!(mistakes(record), []);
        // From the scheduled time to an answer after the last query was sent.
        assert!(record.latency + record.at >= last, "{record:?}");
    }
}

#[test]
fn an_instance_that_refuses_connections_is_passed_over() {
    let records = send(&[Script::Answer], false);
    // Every second query meets the closed instance first.
    let refusals: u64 = records.iter().map(|record| u64::from(record.refusals)).sum();
    assert_eq!(refusals, QUERIES / 2);
    assert!(records.iter().all(|record| mistakes(record).is_empty()));
}

/// A fleet that is replaced looks worse than it is: callers are sent to instances that are stopping
/// and have said so, since the tool does not ask as the platform's balancer does.
#[test]
fn an_instance_that_is_not_ready_is_left_out() {
    actix_rt::System::new().block_on(async {
        let closed = Closed::new();
        let entry = Entry::start(Script::Answer);
        let rotation = Rotation::new(&[closed.address.clone(), entry.address.clone()]);
        rotation.check_once(&awc::Client::default()).await;
        for mut turn in 0..4 {
            assert_eq!(rotation.next(&mut turn), entry.address);
        }
        entry.stop().await;
    });
}

/// A caller gets another caller's answer: the entry mixed up two requests.
#[test]
fn a_crossed_answer_is_wrong() {
    let records = send(&[Script::Crossed], false);
    let crossed = [Mistake::ForeignKey, Mistake::ForeignBody];
    assert!(records.iter().all(|record| mistakes(record) == crossed));
}

#[test]
fn a_broken_connection_loses_the_query_unless_the_caller_asks_again() {
    let records = send(&[Script::Break], false);
    let lost = |record: &Record| matches!(record.outcome, Outcome::Lost { .. });
    assert!(records.iter().all(lost));
    assert!(records.iter().all(|record| record.attempts == 1));
    let records = send(&[Script::Break, Script::Answer], true);
    assert!(!records.iter().any(lost));
    assert!(records.iter().any(|record| record.attempts == 2));
}
