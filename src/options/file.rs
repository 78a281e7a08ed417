//! Reads and checks a settings file.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ladder_schema::bounds;
use ladder_schema::settings::{Allowance, Gathering, Instance, Placement, Strategy, Timing};

/// Allowed bounds of a stop in seconds.
const GRACE_S: std::ops::RangeInclusive<f64> = 0.5..=600.0;
/// Allowed processor cores.
const CORES: std::ops::RangeInclusive<f64> = 0.001..=1024.0;
/// How many times its published rate a server that warms up may get.
const OVERSHOOT: std::ops::RangeInclusive<f64> = 1.0..=100.0;
/// Longest window over which operators count extra calls, in seconds.
const LONGEST_WINDOW_S: u32 = 3600;

/// Why settings are not usable.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// settings file {path:?} cannot be read: {error}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// settings are not valid JSON for this program: {0}
    Malformed(serde_json::Error),
    /// settings are not usable: {0}
    Invalid(Mistakes),
}

impl std::error::Error for Error {}

/// {field}: {value:?} is not allowed, only {allowed}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Mistake {
    /// Path of the field.
    pub field: String,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// Everything that is wrong with one file, a line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistakes(pub Vec<Mistake>);

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|mistake| write!(f, "\n  {mistake}"))
    }
}

/// Allowed range of a time in milliseconds.
struct Range {
    field: &'static str,
    value: u32,
    least: u32,
    most: u32,
}

/// Reads and checks the file at `path`.
///
/// # Errors
///
/// [`Error`]; [`Error::Invalid`] names every mistake at once.
pub fn load(path: &Path) -> Result<Instance, Error> {
    let text = fs::read_to_string(path)
        .map_err(|error| Error::Unreadable { path: path.to_owned(), error })?;
    parse(&text)
}

/// Parses and checks settings.
///
/// # Errors
///
/// As [`load`].
pub fn parse(text: &str) -> Result<Instance, Error> {
    let instance: Instance = serde_json::from_str(text).map_err(Error::Malformed)?;
    let mistakes = check(&instance);
    if mistakes.is_empty() { Ok(instance) } else { Err(Error::Invalid(Mistakes(mistakes))) }
}

/// Every mistake in `instance`.
fn check(instance: &Instance) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for (field, value) in
        [("fleet", &instance.fleet), ("name", &instance.name), ("zone", &instance.zone)]
    {
        check_name(field, value, &mut mistakes);
    }
    for (field, value) in [
        ("callerAddress", &instance.caller_address),
        ("peerAddress", &instance.peer_address),
        ("adminAddress", &instance.admin_address),
        ("platformAddress", &instance.platform_address),
    ] {
        check_address(field, value, &mut mistakes);
    }
    for (index, seed) in instance.seeds.iter().enumerate() {
        check_address(&format!("seeds[{index}]"), seed, &mut mistakes);
    }
    if !instance.ready_address.is_empty() {
        check_address("readyAddress", &instance.ready_address, &mut mistakes);
    }
    for (index, zone) in instance.zones.iter().enumerate() {
        check_name(&format!("zones[{index}].name"), &zone.name, &mut mistakes);
        check_name(&format!("zones[{index}].region"), &zone.region, &mut mistakes);
    }
    check_cores(instance.cores, &mut mistakes);
    check_allowance(&instance.allowance.unwrap_or_default(), &mut mistakes);
    check_strategy(&instance.strategy.unwrap_or_default(), &mut mistakes);
    check_timing(&instance.timing.unwrap_or_default(), &mut mistakes);
    mistakes
}

/// Names are not empty, bounded and printable.
fn check_name(field: &str, value: &str, mistakes: &mut Vec<Mistake>) {
    let printable = value.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if value.is_empty() || value.len() > bounds::NAME_BYTES || !printable {
        mistakes.push(Mistake {
            field: field.to_owned(),
            value: value.to_owned(),
            allowed: format!("1 to {} bytes without blanks", bounds::NAME_BYTES),
        });
    }
}

/// Addresses are an IP number and a port.
fn check_address(field: &str, value: &str, mistakes: &mut Vec<Mistake>) {
    if value.parse::<SocketAddr>().is_err() {
        mistakes.push(Mistake {
            field: field.to_owned(),
            value: value.to_owned(),
            allowed: "an IP number and a port, as in 127.0.0.1:8080".to_owned(),
        });
    }
}

/// Cores are 0 for the default or within their range.
fn check_cores(cores: f64, mistakes: &mut Vec<Mistake>) {
    if cores != 0.0 && !CORES.contains(&cores) {
        mistakes.push(Mistake {
            field: "cores".to_owned(),
            value: cores.to_string(),
            allowed: format!("{} to {}, or 0 for the default", CORES.start(), CORES.end()),
        });
    }
}

/// The share of extra calls is one.
fn check_allowance(allowance: &Allowance, mistakes: &mut Vec<Mistake>) {
    if !(0.0..=1.0).contains(&allowance.extra_ratio) {
        mistakes.push(Mistake {
            field: "allowance.extraRatio".to_owned(),
            value: allowance.extra_ratio.to_string(),
            allowed: "0 to 1".to_owned(),
        });
    }
    let overshoot = allowance.warmup_overshoot;
    if overshoot != 0.0 && !OVERSHOOT.contains(&overshoot) {
        mistakes.push(Mistake {
            field: "allowance.warmupOvershoot".to_owned(),
            value: overshoot.to_string(),
            allowed: format!("{} to {}, or 0 for 1", OVERSHOOT.start(), OVERSHOOT.end()),
        });
    }
    if allowance.extra_window_s > LONGEST_WINDOW_S {
        mistakes.push(Mistake {
            field: "allowance.extraWindowS".to_owned(),
            value: allowance.extra_window_s.to_string(),
            allowed: format!("0 to {LONGEST_WINDOW_S}"),
        });
    }
}

/// Parts are collected for instances that ask servers themselves; an owner asks its own already.
fn check_strategy(strategy: &Strategy, mistakes: &mut Vec<Mistake>) {
    let near = strategy.gathering() == Gathering::Near;
    if near && strategy.placement() != Placement::Direct {
        mistakes.push(Mistake {
            field: "strategy.gathering".to_owned(),
            value: Gathering::Near.as_str_name().to_owned(),
            allowed: format!(
                "{} without {}",
                Gathering::Own.as_str_name(),
                Placement::Direct.as_str_name()
            ),
        });
    }
}

/// The bound of a stop is 0 for none or long enough to answer what is open.
fn check_grace(grace_s: f64, mistakes: &mut Vec<Mistake>) {
    if grace_s != 0.0 && !GRACE_S.contains(&grace_s) {
        mistakes.push(Mistake {
            field: "timing.graceS".to_owned(),
            value: grace_s.to_string(),
            allowed: format!("{} to {} s, or 0 for none", GRACE_S.start(), GRACE_S.end()),
        });
    }
}

/// Times are 0 for the default or within their range.
fn check_timing(timing: &Timing, mistakes: &mut Vec<Mistake>) {
    check_grace(timing.grace_s, mistakes);
    let range = |field, value, least, most| Range { field, value, least, most };
    for Range { field, value, least, most } in [
        range("timing.probeMs", timing.probe_ms, 50, 10_000),
        range("timing.suspectMs", timing.suspect_ms, 100, 60_000),
        range("timing.deadMs", timing.dead_ms, 100, 60_000),
        range("timing.digestMs", timing.digest_ms, 50, 60_000),
        range("timing.pauseMs", timing.pause_ms, 200, 60_000),
        range("timing.drainMs", timing.drain_ms, 100, 600_000),
        range("timing.contactMs", timing.contact_ms, 800, 60_000),
    ] {
        if value != 0 && !(least..=most).contains(&value) {
            mistakes.push(Mistake {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("{least} to {most} ms, or 0 for the default"),
            });
        }
    }
}
