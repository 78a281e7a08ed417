//! Trials of sweep admission: 90 shards of three servers with two slots, large sweeps of 20 ms a
//! part, and urgent small sweeps beside them.

use crate::fleet::{KINDS, Layout, capacity};
use crate::simulation::{Faults, INSTANCES, Simulation, Tally};

pub(crate) const LARGE: usize = 0;
const SMALL: usize = 1;
/// Urgent small sweeps per second: less than a twentieth of the capacity.
const SMALL_RATE: f64 = 30.0;
/// Load with which each trial starts, as a share of the capacity.
const ORDINARY_LOAD: f64 = 0.7;

/// Runs ordinary load for a second, then `load` for 1.5 seconds, in which the share settles.
pub(crate) fn settled(load: f64, sweeps: bool, faults: Faults) -> Simulation {
    let rates = [capacity() * ORDINARY_LOAD, SMALL_RATE];
    let mut simulation = Simulation::new(rates, sweeps, faults);
    simulation.run(1000);
    simulation.rates[LARGE] = capacity() * load;
    simulation.run(1500);
    simulation
}

fn in_time_share(tally: &Tally) -> f64 {
    f64::from(tally.in_time) / f64::from((tally.in_time + tally.late).max(1))
}

/// Runs one trial for each input, all at the same time, and returns the results in order.
pub(crate) fn trials<T: Copy + Send + Sync, R: Send>(
    inputs: &[T],
    trial: impl Fn(T) -> R + Sync,
) -> Vec<R> {
    std::thread::scope(|scope| {
        let trial = &trial;
        let started: Vec<_> =
            inputs.iter().map(|input| scope.spawn(move || trial(*input))).collect();
        started.into_iter().map(|thread| thread.join().expect("a finished trial")).collect()
    })
}

/// Every sweep needs nearly all shards, and each shard can answer a different selection of the
/// sweeps in time: without admission hardly any sweep is answered in time at twice the capacity.
/// Sweeps that are refused as a whole cost no work, so the number answered in time must not fall.
#[test]
fn goodput_stays_in_overload() {
    let loads = [ORDINARY_LOAD, 1.2, 1.6, 2.0, 3.0];
    let tallies = trials(&loads, |load| settled(load, true, Faults::default()).run(2000));
    let mut most = 0;
    for (load, tally) in loads.iter().zip(&tallies) {
        println!("load {load}: {tally:?}");
        assert!(tally[LARGE].in_time * 10 >= most * 8, "{load}: {tally:?}, most {most}");
        assert!(in_time_share(&tally[SMALL]) >= 0.95, "{load}: {tally:?}");
        assert_eq!(tally[SMALL].refused, 0, "{load}: {tally:?}");
        most = most.max(tally[LARGE].in_time);
    }
    assert_eq!(tallies[0][LARGE].refused, 0, "ordinary load: {:?}", tallies[0]);
}

/// A share that stays low after an overload, or a backlog that is worked off first, would make
/// callers wait for no reason. Within two seconds all sweeps must be admitted and in time again.
#[test]
fn overload_ends_within_two_seconds() {
    let mut simulation = settled(2.0, true, Faults::default());
    let refused = simulation.refusals.len();
    assert!(refused > 100, "{refused} refused at twice the capacity");
    // A refused caller honours a delay of up to a third of its time.
    let longest = KINDS[LARGE].deadline.as_millis() as u32 / 3;
    let shortest = KINDS[LARGE].target.as_millis() as u32;
    for answer in &simulation.refusals {
        assert!((shortest..=longest).contains(&answer.retry_after_ms), "{answer:?}");
        assert_eq!(ladder_core::gather::status(answer), 503);
    }
    simulation.rates[LARGE] = capacity() * ORDINARY_LOAD;
    simulation.run(2000);
    let tally = simulation.run(1500);
    assert_eq!(tally[LARGE].refused, 0, "{tally:?}");
    assert!(in_time_share(&tally[LARGE]) >= 0.98, "{tally:?}");
}

/// What goes wrong in a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// One of three instances is lost, with the shares that it reported.
    SenderLost,
    /// One message in twenty with replies is lost, with the shares that they report.
    RepliesLost,
    /// One of three instances sends and reads neither field.
    OldPeer,
    /// One server stalls for longer than a latency objective.
    ServerStalled,
    /// Each instance sends its own sweeps to all servers.
    ManySenders,
    /// Each instance sends its own sweeps, and prefers the servers of its zone.
    ManyZones,
}

/// While an instance, replies or a server are missing, the other parts must keep most of the
/// sweeps in time; without admission under a tenth are.
#[test]
fn faults_in_overload_cost_only_their_part() {
    struct Case {
        fault: Fault,
        /// Minimum number of large sweeps answered in time, as a share of the capacity.
        min_share: f64,
    }
    let cases = [
        Case { fault: Fault::SenderLost, min_share: 0.5 },
        Case { fault: Fault::RepliesLost, min_share: 0.5 },
        Case { fault: Fault::OldPeer, min_share: 0.3 },
        Case { fault: Fault::ServerStalled, min_share: 0.5 },
        Case { fault: Fault::ManySenders, min_share: 0.5 },
        Case { fault: Fault::ManyZones, min_share: 0.5 },
    ];
    let faults: Vec<Fault> = cases.iter().map(|case| case.fault).collect();
    let tallies = trials(&faults, |fault| {
        let old =
            std::array::from_fn(|instance| fault == Fault::OldPeer && instance == INSTANCES - 1);
        let layout = match fault {
            Fault::ManySenders => Layout::ManySenders,
            Fault::ManyZones => Layout::ManyZones,
            _ => Layout::OneSender,
        };
        let mut simulation = settled(1.6, true, Faults { old, layout, ..Faults::default() });
        match fault {
            Fault::SenderLost => simulation.lose(0),
            Fault::RepliesLost => simulation.faults.reply_loss = 0.05,
            Fault::ServerStalled => {
                simulation.stalled.insert(0, simulation.now + 600_000);
            }
            Fault::OldPeer | Fault::ManySenders | Fault::ManyZones => {}
        }
        simulation.run(1000);
        simulation.run(2000)
    });
    for (Case { fault, min_share }, tally) in cases.into_iter().zip(&tallies) {
        println!("{fault:?}: {tally:?}");
        let in_time = f64::from(tally[LARGE].in_time) / (2.0 * capacity());
        assert!(in_time >= min_share, "{fault:?}: {in_time:.2} {tally:?}");
    }
}

/// A single pause of a server of 0.25 s must not have sweeps refused in ordinary load: their other
/// servers answer in time.
#[test]
fn pause_of_a_server_refuses_nothing() {
    let mut simulation = settled(ORDINARY_LOAD, true, Faults::default());
    simulation.stalled.insert(4, simulation.now + 250_000);
    let tally = simulation.run(2000);
    assert_eq!(tally[LARGE].refused, 0, "{tally:?}");
    assert!(in_time_share(&tally[LARGE]) >= 0.98, "{tally:?}");
}

/// Servers that pause every few seconds leave fewer slots and a few slow calls at any time. In
/// ordinary load neither must have sweeps refused.
#[test]
fn regular_pauses_refuse_nothing() {
    let pauses = Some((4_500_000, 200_000));
    for layout in [Layout::OneSender, Layout::ManyZones] {
        let mut simulation = settled(0.5, true, Faults { pauses, layout, ..Faults::default() });
        let tally = simulation.run(4000);
        println!("{layout:?} {tally:?}");
        assert_eq!(tally[LARGE].refused, 0, "{layout:?} {tally:?}");
    }
}
