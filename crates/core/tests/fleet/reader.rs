//! Selection of the instances that read the platform, and timing of their reads.

use std::time::Duration;

use ladder_core::control::hash::Random;
use ladder_core::control::reader::{Reader, ReaderRank, Timing, listing_spread, reader_rank};
use ladder_core::time::Instant;

const TIMING: Timing = Timing { contact: Duration::from_secs(4) };

fn at_ms(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Rank of the first reader of its zone.
fn first_rank() -> ReaderRank {
    reader_rank("entry-1", std::iter::empty())
}

fn reader(random: &mut Random) -> Reader {
    Reader::new(at_ms(0), TIMING, random)
}

/// With 3,700 instances in 30 zones, the platform must see 60 watches, not 3,700.
#[test]
fn two_readers_in_each_zone() {
    let name = |number: usize| format!("entry-{number}");
    let zone = |number: usize| number % 30;
    let readers = (0..3700).filter(|&instance| {
        let names: Vec<String> = (0..3700)
            .filter(|&other| other != instance && zone(other) == zone(instance))
            .map(name)
            .collect();
        reader_rank(&name(instance), names.iter().map(String::as_str)).is_reader()
    });
    assert_eq!(readers.count(), 60);
}

/// While the platform is down, the pauses between reads grow up to a quarter of the contact time
/// and differ between instances, so that they do not all read at the same instant when it recovers.
/// No such read may wait for new records, because its answer could be lost.
#[test]
fn failures_back_off_with_jitter() {
    let mut longest_pauses = Vec::new();
    for seed in 0..20 {
        let mut random = Random::new(seed);
        let mut reader = reader(&mut random);
        let mut now = at_ms(0);
        let mut last_pause = Duration::ZERO;
        for failure in 0..10 {
            let read = reader.poll(now, first_rank(), TIMING, &mut random).expect("a read");
            assert_eq!(read.wait, Duration::ZERO, "failure {failure}");
            assert!(
                reader.poll(now, first_rank(), TIMING, &mut random).is_none(),
                "one read at a time"
            );
            reader.failed(now, TIMING, &mut random);
            let next_read = reader.next_wake(first_rank(), TIMING).expect("a retry");
            last_pause = next_read.since(now);
            assert!(last_pause >= TIMING.contact / 16 && last_pause <= TIMING.contact / 4);
            assert!(failure > 0 || last_pause <= TIMING.contact / 8, "the first pause is short");
            now = next_read;
        }
        assert!(last_pause >= TIMING.contact / 8, "the tenth failure waits long");
        longest_pauses.push(last_pause);
    }
    longest_pauses.sort();
    longest_pauses.dedup();
    assert!(longest_pauses.len() > 15, "jitter makes the pauses differ: {longest_pauses:?}");
}

/// Revisions received from peers must not move the cursor, because a record of a lower revision may
/// still be missing. After an incomplete page the next read starts at once.
#[test]
fn cursor_follows_only_answers_of_the_platform() {
    let mut random = Random::new(1);
    let mut reader = reader(&mut random);
    let read = reader.poll(at_ms(0), first_rank(), TIMING, &mut random).expect("at once");
    assert_eq!((read.after, read.wait), (0, Duration::ZERO));
    reader.answered(at_ms(1), Some(40), 90);
    let read = reader.poll(at_ms(1), first_rank(), TIMING, &mut random).expect("the rest");
    assert_eq!((read.after, read.wait), (40, Duration::ZERO));
    reader.answered(at_ms(2), Some(90), 90);
    let read = reader.poll(at_ms(2), first_rank(), TIMING, &mut random).expect("a watch");
    assert_eq!((read.after, read.wait), (90, TIMING.contact * 3 / 8));
    reader.answered(at_ms(9), None, 30);
    let read = reader.poll(at_ms(500), first_rank(), TIMING, &mut random).expect("a watch");
    assert_eq!(read.after, 90, "a stale replica does not move the cursor back");
}

/// An instance that is not a reader reads once at its start. It reads again only when no peer with
/// the same records has told it for long of a later answer of the platform, because its peers may
/// be cut off, or know no more than it does. That read leaves a quarter of the contact time.
#[test]
fn instance_without_up_to_date_peers_reads_the_platform() {
    let mut random = Random::new(3);
    let mut reader = reader(&mut random);
    assert!(reader.poll(at_ms(0), ReaderRank::LAST, TIMING, &mut random).is_some(), "the start");
    reader.answered(at_ms(1), Some(10), 10);
    for second in 1..60 {
        reader.note_peer_platform_age(at_ms(second * 1000), 1500);
        let read = reader.poll(at_ms(second * 1000 + 900), ReaderRank::LAST, TIMING, &mut random);
        assert!(read.is_none(), "a peer is up to date");
    }
    let wake = reader.next_wake(ReaderRank::LAST, TIMING).expect("a later read");
    let last_answer_at = at_ms(59_000) - Duration::from_millis(1499);
    let age = wake.since(last_answer_at);
    assert!(age >= TIMING.contact * 5 / 8 && age < TIMING.contact * 3 / 4, "{age:?}");
    assert!(reader.poll(wake, ReaderRank::LAST, TIMING, &mut random).is_some());
}

/// An instance takes over the cursor of a peer that has the same records, so that its next read
/// does not list all of them. It keeps its own one if it has read none yet or in another era.
#[test]
fn cursor_of_an_equal_peer_is_taken_over_within_one_era() {
    let mut random = Random::new(1);
    let mut reader = reader(&mut random);
    reader.note_peer_cursor(0, 90);
    let read = reader.poll(at_ms(0), first_rank(), TIMING, &mut random).expect("at once");
    assert_eq!(read.after, 0, "nothing was read yet");
    reader.enter_era(4);
    reader.caught_up(at_ms(1), 40);
    for (era, revision, cursor) in [(5, 90, 40), (4, 30, 40), (4, 70, 70)] {
        reader.note_peer_cursor(era, revision);
        assert_eq!(reader.cursor(), cursor, "era {era}, revision {revision}");
    }
}

/// When a reader first starts a read that gets an answer, if the answers to all reads that are open
/// at `lost_from` or started before `lost_until` are lost.
fn next_answerable_read(lost_from: Instant, lost_until: Instant, random: &mut Random) -> Instant {
    let mut reader = reader(random);
    let mut now = at_ms(0);
    loop {
        let read =
            reader.poll(now, first_rank(), TIMING, random).expect("a read at the requested time");
        let answer_at = now + read.wait;
        if now >= lost_until {
            return now;
        }
        if answer_at < lost_from {
            reader.caught_up(answer_at, 10);
        } else {
            reader.failed(answer_at + read.patience, TIMING, random);
        }
        now = reader.next_wake(first_rank(), TIMING).expect("a next read");
    }
}

/// Answers of the platform are lost for a while, starting at any moment of a reader's watch. The
/// last lost read, the wait for its late answer and the pause after it may take three quarters of
/// the contact time; the rest is left for the next answer and its broadcast. A reader that waited
/// for new records after a failure would exceed this limit, even where a shorter watch or fallback
/// readers keep the fleet as a whole within the contact time.
#[test]
fn next_read_after_lost_answers_within_three_quarters_of_contact_time() {
    let mut late = Vec::new();
    for lost_ms in [1, 500, 2600, 6000, 30_000] {
        for offset in 0..80 {
            let mut random = Random::new(offset);
            let lost_from = at_ms(20_000 + offset * 50);
            let lost_until = lost_from + Duration::from_millis(lost_ms);
            let delay = next_answerable_read(lost_from, lost_until, &mut random).since(lost_until);
            if delay > TIMING.contact * 3 / 4 {
                late.push((lost_ms, offset, delay));
            }
        }
    }
    assert!(late.is_empty(), "milliseconds of loss, offset, delay of the next read: {late:?}");
}

/// Guards against readers that all list at the same moment after the platform's store was restored:
/// 60 listings of 129 calls each would be refused by a platform that serves 2,000 calls a second.
#[test]
fn listings_after_lost_history_are_spread() {
    let spread = listing_spread(64_000, 30);
    let starts: Vec<Duration> = (0..60)
        .map(|seed| {
            let mut random = Random::new(seed);
            let mut reader = reader(&mut random);
            reader.poll(at_ms(0), first_rank(), TIMING, &mut random).expect("a read");
            reader.expired(at_ms(0), spread, &mut random);
            reader.next_wake(first_rank(), TIMING).expect("a listing").since(at_ms(0))
        })
        .collect();
    for second in 0..8 {
        let started = starts.iter().filter(|start| start.as_secs() == second).count();
        assert!(started * 129 <= 2000, "{started} listings start in second {second}");
    }
}
