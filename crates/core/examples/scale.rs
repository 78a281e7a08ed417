//! Measures the cost of one daemon's decisions as the fleet grows: drives the control, gather and
//! leaf machines without sockets, with fixed seeds and on a virtual clock, and prints one table of
//! figures.
//!
//! `cargo run --release -p ladder-core --example scale`
//!
//! Processor time is the wall-clock time of the calls to the machine, as the median of several
//! repeats. Memory is the growth of `VmRSS`; each fleet size runs in its own process for this.
//!
//! The argument `PART` runs one part: `control`, `spread`, `rule`, `gather` or `leaf`. The
//! arguments `control INSTANCES` and `store INSTANCES` run one fleet size.

#[path = "scale/bench.rs"]
mod bench;
#[path = "scale/control.rs"]
mod control;
#[path = "scale/fleet.rs"]
mod fleet;
#[path = "scale/gather.rs"]
mod gather;
#[path = "scale/leaf.rs"]
mod leaf;
#[path = "scale/memory.rs"]
mod memory;
#[path = "scale/random.rs"]
mod random;
#[path = "scale/rule.rs"]
mod rule;
#[path = "scale/spread.rs"]
mod spread;
#[path = "scale/table.rs"]
mod table;

use std::process::Command;

use fleet::{SIZES, Size};
use table::Row;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        [] => measure_all(),
        ["control"] => SIZES.iter().for_each(measure_in_own_process),
        ["store", instances] => print_rows(control::store(&size(instances))),
        ["control", instances] => print_rows(control::measure(&size(instances))),
        ["spread"] => print_rows(spread::measure()),
        ["rule"] => print_rows(rule::measure()),
        ["gather"] => print_rows(gather::measure()),
        ["leaf"] => print_rows(leaf::measure()),
        _ => eprintln!(
            "arguments: [control [INSTANCES] | store INSTANCES | spread | rule | gather | leaf]"
        ),
    }
}

fn measure_all() {
    table::header();
    SIZES.iter().for_each(measure_in_own_process);
    print_rows(spread::measure());
    print_rows(rule::measure());
    print_rows(gather::measure());
    print_rows(leaf::measure());
}

fn print_rows(rows: Vec<Row>) {
    for row in rows {
        println!("{row}");
    }
}

fn size(instances: &str) -> Size {
    let is_named = |size: &&Size| size.instances.to_string() == instances;
    *SIZES.iter().find(is_named).unwrap_or(&SIZES[0])
}

/// Measures a fleet size in its own processes: in a shared process, memory that a smaller size
/// released would be reused by the next size and be missing from its growth of `VmRSS`.
fn measure_in_own_process(size: &Size) {
    let executable = std::env::current_exe().expect("the example has a path");
    let instances = size.instances.to_string();
    for part in ["store", "control"] {
        let status = Command::new(&executable).args([part, &instances]).status();
        let succeeded = status.is_ok_and(|status| status.success());
        assert!(succeeded, "{part} {instances} failed");
    }
}
