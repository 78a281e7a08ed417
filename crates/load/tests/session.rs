//! Tests of the caller against HTTP servers with scripted answers.

#[path = "fixture/entry.rs"]
mod entry;
#[path = "fixture/layout.rs"]
mod fixture;

use std::rc::Rc;
use std::time::{Duration, Instant};

use entry::{Behaviour, ClosedPort, TestInstance};
use ladder_load::caller::{self, Options, Outcome, Record};
use ladder_load::check::Mistake;
use ladder_load::mix::FanOut;
use ladder_load::plan::Plan;
use ladder_load::rotation::Rotation;
use ladder_load::schedule::Arrival;

const QUERIES: u64 = 40;
const QUERY_INTERVAL: Duration = Duration::from_millis(5);

fn arrivals() -> Vec<Arrival> {
    let arrival = |sequence: u64| Arrival {
        start_offset: QUERY_INTERVAL * sequence as u32,
        class: 0,
        shards: vec![0, 1],
        sequence,
    };
    (0..QUERIES).map(arrival).collect()
}

/// Sends the schedule to the test servers in turn; the first address of the rotation refuses
/// connections.
fn send(behaviours: &[Behaviour], retries: bool) -> Vec<Record> {
    actix_rt::System::new().block_on(async {
        let test_instances: Vec<TestInstance> =
            behaviours.iter().map(|behaviour| TestInstance::start(*behaviour)).collect();
        let closed = ClosedPort::new();
        let mut instances = vec![closed.address.clone()];
        instances.extend(test_instances.iter().map(|test_instance| test_instance.address.clone()));
        let options = Options {
            instances,
            key_prefix: "t".to_owned(),
            retries,
            health_checks: false,
            start: Instant::now() + QUERY_INTERVAL,
        };
        let plans: Rc<[Plan]> = fixture::plans(&[("sweep", FanOut::All, 1.0)]).into();
        let records = caller::send(plans, arrivals(), options).await;
        for test_instance in test_instances {
            test_instance.stop().await;
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

/// Guards against a load generator that waits for an answer before it sends the next query: it
/// hides a stall, because the queries that should have been sent during the stall are never timed.
/// The test server answers no query until the last one of the schedule has arrived, so a waiting
/// generator would never finish.
#[test]
fn queries_are_sent_on_schedule_without_waiting_for_answers() {
    let records = send(&[Behaviour::AnswerAfter(QUERIES)], false);
    assert_eq!(records.len() as u64, QUERIES);
    let last_offset = QUERY_INTERVAL * (QUERIES as u32 - 1);
    for record in &records {
        assert_eq!(mistakes(record), []);
        // The latency runs from the scheduled time until an answer that comes after the last query.
        assert!(record.latency + record.start_offset >= last_offset, "{record:?}");
    }
}

#[test]
fn instance_that_refuses_connections_is_skipped() {
    let records = send(&[Behaviour::Answer], false);
    // Every second query is assigned to the closed port first.
    let refusals: u64 = records.iter().map(|record| u64::from(record.connection_refusals)).sum();
    assert_eq!(refusals, QUERIES / 2);
    assert!(records.iter().all(|record| mistakes(record).is_empty()));
}

/// Guards against queries to instances that report that they are stopping: without the health
/// checks of the platform's load balancer, the generator would count failures during a fleet
/// replacement that real callers don't see.
#[test]
fn instance_that_is_not_ready_receives_no_queries() {
    actix_rt::System::new().block_on(async {
        let closed = ClosedPort::new();
        let test_instance = TestInstance::start(Behaviour::Answer);
        let rotation = Rotation::new(&[closed.address.clone(), test_instance.address.clone()]);
        rotation.check_once(&awc::Client::default()).await;
        for mut position in 0..4 {
            assert_eq!(rotation.next(&mut position), test_instance.address);
        }
        test_instance.stop().await;
    });
}

/// Guards against an undetected mix-up of two requests: the caller receives the answer to another
/// caller's query.
#[test]
fn answer_with_the_key_of_another_query_is_reported_as_wrong() {
    let records = send(&[Behaviour::WrongKey], false);
    let expected = [Mistake::ForeignKey, Mistake::ForeignBody];
    assert!(records.iter().all(|record| mistakes(record) == expected));
}

#[test]
fn broken_connection_loses_the_query_unless_the_caller_retries() {
    let records = send(&[Behaviour::BreakConnection], false);
    let lost = |record: &Record| matches!(record.outcome, Outcome::Lost { .. });
    assert!(records.iter().all(lost));
    assert!(records.iter().all(|record| record.attempts == 1));
    let records = send(&[Behaviour::BreakConnection, Behaviour::Answer], true);
    assert!(!records.iter().any(lost));
    assert!(records.iter().any(|record| record.attempts == 2));
}
