//! Reads and checks a settings file.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ladder_schema::bounds;
use ladder_schema::settings::{
    Admission, Aggregation, Allowance, Gathering, Instance, Listing, Placement, Startup, Strategy,
    Switch, Timing,
};

/// Smallest allowed `timing.graceS`, the time limit of a graceful shutdown, in seconds.
const MIN_GRACE_S: f64 = 0.5;
/// Allowed range of `cores`, the processor cores that the process may use.
const CORES_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1024.0;
/// Allowed range of `admission.targetUtilizationPercent`: the share of the servers' slots that
/// admitted sweeps may use.
const TARGET_UTILIZATION_RANGE_PERCENT: std::ops::RangeInclusive<u32> = 50..=100;
/// Largest allowed `admission.reservedPercent`: the share of the admitted sweeps that is reserved.
const MAX_RESERVED_PERCENT: u32 = 50;

/// Errors of loading a settings file.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// settings file {path:?} cannot be read: {error}
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// settings are not valid JSON for this program: {0}
    Malformed(serde_json::Error),
    /// settings are not usable: {0}
    Invalid(InvalidFields),
}

impl std::error::Error for Error {}

/// {field}: {value:?} is not allowed, only {allowed}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct InvalidField {
    /// JSON path of the field.
    pub field: String,
    /// Value of the field in the settings.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All invalid fields of one settings file, displayed on one line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFields(pub Vec<InvalidField>);

impl fmt::Display for InvalidFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|invalid_field| write!(f, "\n  {invalid_field}"))
    }
}

/// A time setting with its allowed range, in milliseconds.
struct TimeSetting {
    field: &'static str,
    value: u32,
    least: u32,
    most: u32,
}

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// [`Error`] if the file cannot be read or its settings are invalid; [`Error::Invalid`] lists every
/// invalid field.
pub fn load(path: &Path) -> Result<Instance, Error> {
    let text = fs::read_to_string(path)
        .map_err(|error| Error::Unreadable { path: path.to_owned(), error })?;
    parse(&text)
}

/// Parses and checks the settings in `text`.
///
/// # Errors
///
/// As [`load`].
pub fn parse(text: &str) -> Result<Instance, Error> {
    let instance: Instance = serde_json::from_str(text).map_err(Error::Malformed)?;
    let invalid_fields = check(&instance);
    if invalid_fields.is_empty() {
        Ok(instance)
    } else {
        Err(Error::Invalid(InvalidFields(invalid_fields)))
    }
}

/// Returns every invalid field of `instance`.
fn check(instance: &Instance) -> Vec<InvalidField> {
    let mut invalid_fields = Vec::new();
    for (field, value) in
        [("fleet", &instance.fleet), ("name", &instance.name), ("zone", &instance.zone)]
    {
        check_name(field, value, &mut invalid_fields);
    }
    for (field, value) in [
        ("callerAddress", &instance.caller_address),
        ("peerAddress", &instance.peer_address),
        ("adminAddress", &instance.admin_address),
        ("platformAddress", &instance.platform_address),
    ] {
        check_address(field, value, &mut invalid_fields);
    }
    for (index, seed) in instance.seeds.iter().enumerate() {
        check_address(&format!("seeds[{index}]"), seed, &mut invalid_fields);
    }
    if !instance.ready_address.is_empty() {
        check_address("readyAddress", &instance.ready_address, &mut invalid_fields);
    }
    for (index, zone) in instance.zones.iter().enumerate() {
        check_name(&format!("zones[{index}].name"), &zone.name, &mut invalid_fields);
        check_name(&format!("zones[{index}].region"), &zone.region, &mut invalid_fields);
    }
    check_cores(instance.cores, &mut invalid_fields);
    check_allowance(&instance.allowance.unwrap_or_default(), &mut invalid_fields);
    let strategy = instance.strategy.unwrap_or_default();
    check_strategy(&strategy, &mut invalid_fields);
    check_admission(&instance.admission.unwrap_or_default(), &strategy, &mut invalid_fields);
    check_timing(&instance.timing.unwrap_or_default(), &mut invalid_fields);
    invalid_fields
}

/// Checks that a name is not empty, within the length limit, and without blanks or control
/// characters.
fn check_name(field: &str, value: &str, invalid_fields: &mut Vec<InvalidField>) {
    let printable = value.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if value.is_empty() || value.len() > bounds::NAME_BYTES || !printable {
        invalid_fields.push(InvalidField {
            field: field.to_owned(),
            value: value.to_owned(),
            allowed: format!("1 to {} bytes without blanks", bounds::NAME_BYTES),
        });
    }
}

/// Checks that an address consists of an IP address and a port.
fn check_address(field: &str, value: &str, invalid_fields: &mut Vec<InvalidField>) {
    if value.parse::<SocketAddr>().is_err() {
        invalid_fields.push(InvalidField {
            field: field.to_owned(),
            value: value.to_owned(),
            allowed: "an IP number and a port, as in 127.0.0.1:8080".to_owned(),
        });
    }
}

/// Checks that the number of cores is in its range, or 0 for the default.
fn check_cores(cores: f64, invalid_fields: &mut Vec<InvalidField>) {
    if cores != 0.0 && !CORES_RANGE.contains(&cores) {
        invalid_fields.push(InvalidField {
            field: "cores".to_owned(),
            value: cores.to_string(),
            allowed: format!(
                "{} to {}, or 0 for the default",
                CORES_RANGE.start(),
                CORES_RANGE.end()
            ),
        });
    }
}

/// Checks that no limit on extra calls or on requests to servers in warm-up is negative. The
/// operators of the servers set them, so that none is too large.
fn check_allowance(allowance: &Allowance, invalid_fields: &mut Vec<InvalidField>) {
    for (field, value) in [
        ("allowance.extraRatio", allowance.extra_ratio),
        ("allowance.extraSlack", allowance.extra_slack),
        ("allowance.extraWindowS", allowance.extra_window_s),
        ("allowance.warmupOvershoot", allowance.warmup_overshoot),
        ("allowance.warmupSlack", allowance.warmup_slack),
    ] {
        check_not_negative(field, value, invalid_fields);
    }
}

/// Checks that a number is finite and not below zero.
fn check_not_negative(field: &str, value: f64, invalid_fields: &mut Vec<InvalidField>) {
    if !value.is_finite() || value < 0.0 {
        invalid_fields.push(InvalidField {
            field: field.to_owned(),
            value: value.to_string(),
            allowed: "0 or more".to_owned(),
        });
    }
}

/// Checks that partial aggregation is on only with direct placement: an owner instance already
/// calls the servers of its service itself and has nothing to collect from other instances. Also
/// checks that the settings that refine partial aggregation and observed listing are on only with
/// these.
fn check_strategy(strategy: &Strategy, invalid_fields: &mut Vec<InvalidField>) {
    let partial_aggregation = strategy.gathering() == Gathering::Near;
    let observed = strategy.listing() == Listing::Observed;
    if strategy.aggregation() == Aggregation::Zone && !partial_aggregation {
        let (value, other) = (Aggregation::Zone.as_str_name(), Aggregation::Fleet.as_str_name());
        let required = Gathering::Near.as_str_name();
        invalid_fields.push(requires("strategy.aggregation", value, other, required));
    }
    if strategy.startup() == Startup::Gradual && !observed {
        let (value, other) = (Startup::Gradual.as_str_name(), Startup::Immediate.as_str_name());
        let required = Listing::Observed.as_str_name();
        invalid_fields.push(requires("strategy.startup", value, other, required));
    }
    if partial_aggregation && strategy.placement() != Placement::Direct {
        invalid_fields.push(InvalidField {
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

/// Describes a setting that needs another one; without that one only `allowed` may be set.
fn requires(field: &str, value: &str, allowed: &str, required: &str) -> InvalidField {
    InvalidField {
        field: field.to_owned(),
        value: value.to_owned(),
        allowed: format!("{allowed} without {required}"),
    }
}

/// Checks that sweeps are admitted as a whole only with partial aggregation, whose replies report
/// the load of the servers, and that the shares are in their ranges.
fn check_admission(
    admission: &Admission,
    strategy: &Strategy,
    invalid_fields: &mut Vec<InvalidField>,
) {
    if admission.sweeps() == Switch::On && strategy.gathering() != Gathering::Near {
        let (on, off) = (Switch::On.as_str_name(), Switch::Off.as_str_name());
        let required = Gathering::Near.as_str_name();
        invalid_fields.push(requires("admission.sweeps", on, off, required));
    }
    let target = admission.target_utilization_percent;
    if target != 0 && !TARGET_UTILIZATION_RANGE_PERCENT.contains(&target) {
        invalid_fields.push(InvalidField {
            field: "admission.targetUtilizationPercent".to_owned(),
            value: target.to_string(),
            allowed: format!(
                "{} to {}, or 0 for the default",
                TARGET_UTILIZATION_RANGE_PERCENT.start(),
                TARGET_UTILIZATION_RANGE_PERCENT.end()
            ),
        });
    }
    if admission.reserved_percent > MAX_RESERVED_PERCENT {
        invalid_fields.push(InvalidField {
            field: "admission.reservedPercent".to_owned(),
            value: admission.reserved_percent.to_string(),
            allowed: format!("0 to {MAX_RESERVED_PERCENT}"),
        });
    }
}

/// Checks that the time limit of a graceful shutdown is 0 for none, or long enough to answer open
/// requests.
fn check_grace(grace_s: f64, invalid_fields: &mut Vec<InvalidField>) {
    let is_long_enough = grace_s.is_finite() && grace_s >= MIN_GRACE_S;
    if grace_s != 0.0 && !is_long_enough {
        invalid_fields.push(InvalidField {
            field: "timing.graceS".to_owned(),
            value: grace_s.to_string(),
            allowed: format!("{MIN_GRACE_S} s or more, or 0 for none"),
        });
    }
}

/// Checks that each time is in its range, or 0 for the default.
fn check_timing(timing: &Timing, invalid_fields: &mut Vec<InvalidField>) {
    check_grace(timing.grace_s, invalid_fields);
    check_not_negative("timing.contactMs", timing.contact_ms, invalid_fields);
    let setting = |field, value, least, most| TimeSetting { field, value, least, most };
    for TimeSetting { field, value, least, most } in [
        setting("timing.probeMs", timing.probe_ms, 50, 10_000),
        setting("timing.suspectMs", timing.suspect_ms, 100, 60_000),
        setting("timing.deadMs", timing.dead_ms, 100, 60_000),
        setting("timing.digestMs", timing.digest_ms, 50, 60_000),
        setting("timing.pauseMs", timing.pause_ms, 200, 60_000),
        setting("timing.drainMs", timing.drain_ms, 100, 600_000),
    ] {
        if value != 0 && !(least..=most).contains(&value) {
            invalid_fields.push(InvalidField {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("{least} to {most} ms, or 0 for the default"),
            });
        }
    }
}
