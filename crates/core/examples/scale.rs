//! What one daemon's decisions cost as the fleet grows: drives the three machines without sockets,
//! from fixed seeds and on a virtual clock, and prints one table of figures.
//!
//! `cargo run --release -p ladder-core --example scale`
//!
//! Processor time is wall time around the machine's calls, the median of repeats. Memory is the
//! growth of `VmRSS`; for that each size runs in a process of its own. `-- PART` runs one part
//! (`control`, `spread`, `rule`, `gather`, `leaf`), `-- control INSTANCES` and `-- store INSTANCES`
//! one size.

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
        [] => all(),
        ["control"] => SIZES.iter().for_each(in_own_process),
        ["store", instances] => print(control::store(&size(instances))),
        ["control", instances] => print(control::measure(&size(instances))),
        ["spread"] => print(spread::measure()),
        ["rule"] => print(rule::measure()),
        ["gather"] => print(gather::measure()),
        ["leaf"] => print(leaf::measure()),
        _ => eprintln!(
            "arguments: [control [INSTANCES] | store INSTANCES | spread | rule | gather | leaf]"
        ),
    }
}

fn all() {
    table::header();
    SIZES.iter().for_each(in_own_process);
    print(spread::measure());
    print(rule::measure());
    print(gather::measure());
    print(leaf::measure());
}

fn print(rows: Vec<Row>) {
    for row in rows {
        println!("{row}");
    }
}

fn size(instances: &str) -> Size {
    let named = |size: &&Size| size.instances.to_string() == instances;
    *SIZES.iter().find(named).unwrap_or(&SIZES[0])
}

/// Memory that a smaller size gave back would be counted as free by the next.
fn in_own_process(size: &Size) {
    let own = std::env::current_exe().expect("the example has a path");
    let instances = size.instances.to_string();
    for part in ["store", "control"] {
        let status = Command::new(&own).args([part, &instances]).status();
        let done = status.is_ok_and(|status| status.success());
        assert!(done, "{part} {instances} failed");
    }
}
