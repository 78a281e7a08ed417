//! Memory of this process.

use std::fs;

/// Resident memory in megabytes.
pub(crate) fn resident() -> f64 {
    field("VmRSS:")
}

/// The most resident memory so far, in megabytes.
pub(crate) fn peak() -> f64 {
    field("VmHWM:")
}

fn field(name: &str) -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .and_then(|number| number.parse::<f64>().ok())
        .map_or(f64::NAN, |number| number / 1024.0)
}
