//! Which instances read the platform, and when.

use std::time::Duration;

use ladder_core::control::hash::Random;
use ladder_core::control::reader::{Place, Reader, Timing, place};
use ladder_core::time::Instant;

const TIMING: Timing = Timing { digest: Duration::from_secs(1), contact: Duration::from_secs(4) };

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Place of the first reader of its zone.
fn first() -> Place {
    place("entry-1", std::iter::empty())
}

fn reader(random: &mut Random) -> Reader {
    Reader::new(at(0), TIMING.digest, random)
}

/// 3,700 instances in 30 zones: the platform must see 60 watches, not 3,700.
#[test]
fn two_readers_in_each_zone() {
    let name = |number: usize| format!("entry-{number}");
    let zone = |number: usize| number % 30;
    let readers = (0..3700).filter(|&own| {
        let names: Vec<String> =
            (0..3700).filter(|&other| other != own && zone(other) == zone(own)).map(name).collect();
        place(&name(own), names.iter().map(String::as_str)).is_reader()
    });
    assert_eq!(readers.count(), 60);
}

/// The platform is down. Pauses grow up to a quarter of the time within which it has to be heard of
/// once it is back, and differ between instances, so that they do not all come back in the same
/// instant. No read waits for news, whose answer could be lost.
#[test]
fn failures_back_off_with_jitter() {
    let mut waits = Vec::new();
    for seed in 0..20 {
        let mut random = Random::new(seed);
        let mut reader = reader(&mut random);
        let mut now = at(0);
        let mut last = Duration::ZERO;
        for failure in 0..10 {
            let read = reader.poll(now, first(), TIMING, &mut random).expect("a read");
            assert_eq!(read.wait, Duration::ZERO, "failure {failure}");
            assert!(reader.poll(now, first(), TIMING, &mut random).is_none(), "one read at a time");
            reader.failed(now, TIMING, &mut random);
            let next = reader.next_wake(first(), TIMING).expect("a retry");
            last = next.since(now);
            assert!(last >= TIMING.contact / 16 && last <= TIMING.contact / 4);
            assert!(failure > 0 || last <= TIMING.contact / 8, "the first pause is short");
            now = next;
        }
        assert!(last >= TIMING.contact / 8, "the tenth failure waits long");
        waits.push(last);
    }
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 15, "jitter spreads the instances: {waits:?}");
}

/// A revision learnt from a peer does not move the cursor: the one before it may still be missing.
/// A page cut short by the platform is read on at once.
#[test]
fn cursor_follows_the_platform_alone() {
    let mut random = Random::new(1);
    let mut reader = reader(&mut random);
    let read = reader.poll(at(0), first(), TIMING, &mut random).expect("at once");
    assert_eq!((read.after, read.wait), (0, Duration::ZERO));
    reader.answered(at(1), Some(40), 90);
    let read = reader.poll(at(1), first(), TIMING, &mut random).expect("the rest");
    assert_eq!((read.after, read.wait), (40, Duration::ZERO));
    reader.answered(at(2), Some(90), 90);
    let read = reader.poll(at(2), first(), TIMING, &mut random).expect("a watch");
    assert_eq!((read.after, read.wait), (90, TIMING.contact * 3 / 8));
    reader.answered(at(9), None, 30);
    let read = reader.poll(at(500), first(), TIMING, &mut random).expect("a watch");
    assert_eq!(read.after, 90, "a stale replica does not move the cursor back");
}

/// An instance that the rule did not choose reads once at its start, and again only when no digest
/// of any peer has come for long: it may be cut off from all readers.
#[test]
fn cut_off_instance_reads_itself() {
    let mut random = Random::new(3);
    let mut reader = reader(&mut random);
    assert!(reader.poll(at(0), Place::LAST, TIMING, &mut random).is_some(), "the start");
    reader.answered(at(1), Some(10), 10);
    for second in 1..60 {
        reader.heard_digest(at(second * 1000));
        let read = reader.poll(at(second * 1000 + 500), Place::LAST, TIMING, &mut random);
        assert!(read.is_none(), "digests come");
    }
    let wake = reader.next_wake(Place::LAST, TIMING).expect("a later read");
    let silence = wake.since(at(59_000));
    assert!(silence >= TIMING.digest * 5 && silence <= TIMING.digest * 10);
    assert!(reader.poll(wake, Place::LAST, TIMING, &mut random).is_some());
}

/// When a reader next starts a read whose answer can come, if the answers of all that it starts from
/// `lost` to `back` and of what is open then never do.
fn heard_again(lost: Instant, back: Instant, random: &mut Random) -> Instant {
    let mut reader = reader(random);
    let mut now = at(0);
    loop {
        let read = reader.poll(now, first(), TIMING, random).expect("a read when it asked for it");
        let answered = now + read.wait;
        if now >= back {
            return now;
        }
        if answered < lost {
            reader.caught_up(answered, 10);
        } else {
            reader.failed(answered + read.patience, TIMING, random);
        }
        now = reader.next_wake(first(), TIMING).expect("a next read");
    }
}

/// Answers of the platform are lost for a while, from any moment of a reader's wait on. The last read that
/// is lost, the patience with it and the pause after it take three quarters of the time of contact, so that
/// the rest is left for the next answer and its spread. A reader that waited for news after a failure would
/// take longer, also where a shorter wait or others that stand in keep a fleet within the whole time.
#[test]
fn next_read_follows_in_three_quarters_of_the_contact() {
    let mut late = Vec::new();
    for silence in [1, 500, 2600, 6000, 30_000] {
        for phase in 0..80 {
            let mut random = Random::new(phase);
            let lost = at(20_000 + phase * 50);
            let back = lost + Duration::from_millis(silence);
            let after = heard_again(lost, back, &mut random).since(back);
            if after > TIMING.contact * 3 / 4 {
                late.push((silence, phase, after));
            }
        }
    }
    assert!(late.is_empty(), "silence, phase, next read after: {late:?}");
}
