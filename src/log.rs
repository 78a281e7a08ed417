//! Creates the logger of an instance and writes the log lines about decisions.

mod request_log;

use std::time::Duration;

use ladder_core::control::quarantine::{Cause, Undecided};
use ladder_core::control::state_change::{PlatformChange, StateChange};
use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::ShareChange;
use ladder_core::leaf::event::Clearance;
use ladder_schema::settings::{Format, Level, Log};
use slog::{Drain, Logger, info, o, warn};

pub use request_log::RequestLog;

/// Creates a logger to standard output with the level and format of `settings`: JSON lines or
/// human-readable text.
pub fn logger(settings: &Log, instance: &str) -> Logger {
    let level = match settings.level() {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info | Level::Unspecified => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    let values = o!("instance" => instance.to_owned());
    match settings.format() {
        Format::Human => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(asynchronous(drain).filter_level(level).fuse(), values)
        }
        Format::Json | Format::Unspecified => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            Logger::root(asynchronous(drain).filter_level(level).fuse(), values)
        }
    }
}

/// Most lines that wait to be written to standard output. Further lines are dropped, and the number
/// of dropped lines is logged.
const MAX_WAITING_LINES: usize = 512;

/// Writes log lines on a separate thread. If the reader of standard output stops reading, direct
/// writes would block every thread that logs, and with it every request.
fn asynchronous<D>(drain: D) -> slog_async::Async
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(MAX_WAITING_LINES).build()
}

/// Logs that sweeps of a route are no longer all admitted, or that they are again.
pub fn share_change(log: &Logger, change: &ShareChange) {
    let route = &*change.route;
    match &change.service {
        _ if !change.notable => {}
        Some(service) => {
            warn!(log, "sweeps limited"; "route" => route,
                "share" => change.share.fraction(), "limited_by" => &**service);
        }
        None => info!(log, "sweeps no longer limited"; "route" => route),
    }
}

/// Logs a change in the state that the control machine keeps.
pub fn state_change(log: &Logger, state_change: &StateChange) {
    match state_change {
        StateChange::Platform(change) => platform_change(log, change),
        StateChange::Records { from, revision, count, withdrawn } => {
            let from = if from.is_empty() { "platform" } else { from };
            info!(log, "records in force"; "from" => from, "revision" => revision,
                "records" => count, "withdrawn" => withdrawn);
        }
        StateChange::RecordsDropped { from, count, key, revision, in_force } => {
            let from = if from.is_empty() { "platform" } else { from };
            info!(log, "records dropped"; "from" => from, "records" => count,
                "first" => %key, "revision" => revision, "in_force" => in_force);
        }
        StateChange::WithdrawalsDeferred { count, live } => {
            warn!(log, "withdrawals of servers deferred as implausible"; "servers" => count,
                "live" => live);
        }
        StateChange::Routes { version, before, revision, from, platform_age } => {
            let from = if from.is_empty() { "platform" } else { from };
            info!(log, "routes in force"; "version" => version, "revision" => revision,
                "before" => before, "from" => from,
                "platform_age_ms" => platform_age.map(whole_millis));
        }
        StateChange::GenerationRaised { before, now } => {
            warn!(log, "generation raised"; "before" => before, "now" => now);
        }
        StateChange::ServerCrash { incarnation, suspects, from } => {
            let from = if from.is_empty() { "here" } else { from };
            info!(log, "server crash reported"; "server" => &*incarnation.server,
                "incarnation" => incarnation.number, "suspects" => list(suspects),
                "from" => from);
        }
        StateChange::Undecided { undecided: Undecided { request, incarnations, rivals }, from } => {
            let from = if from.is_empty() { "here" } else { from };
            let rivals = rivals.iter().map(|(request, crashes)| format!("{request}:{crashes}"));
            warn!(log, "crashes undecided"; "fingerprint" => %request,
                "servers" => list(incarnations), "rivals" => list(rivals), "from" => from);
        }
        StateChange::Quarantine { request, standing, cause, incarnations, from } => {
            let from = if from.is_empty() { "here" } else { from };
            warn!(log, "quarantine changed"; "fingerprint" => %request, "standing" => ?standing,
                "cause" => ?cause, "servers" => list(incarnations), "from" => from);
        }
        StateChange::Evacuation { zone, evacuated, revision, servers } => {
            warn!(log, "evacuation changed"; "zone" => &**zone, "evacuated" => evacuated,
                "revision" => revision, "servers" => servers);
        }
        StateChange::CountTrusted { age, members } => {
            info!(log, "count of instances trusted"; "age_ms" => whole_millis(*age),
                "members" => members);
        }
        StateChange::Member { name, before, now } => {
            info!(log, "member state changed"; "member" => &**name,
                "before" => ?before, "now" => ?now);
        }
    }
}

/// Formats items as a list, separated by spaces.
pub fn list(items: impl IntoIterator<Item = impl ToString>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(" ")
}

/// Logs a change of what the platform answers.
fn platform_change(log: &Logger, change: &PlatformChange) {
    match change {
        PlatformChange::Lost { revision, failure } => {
            warn!(log, "platform unreachable"; "revision" => revision,
                "failures" => failure.failures, "waited_ms" => whole_millis(failure.waited),
                "again_in_ms" => whole_millis(failure.pause));
        }
        PlatformChange::Regained { revision, silence } => {
            info!(log, "platform reachable again"; "revision" => revision,
                "silent_ms" => whole_millis(*silence));
        }
        PlatformChange::Listed { era, revision, count, changed, waiting } => {
            info!(log, "platform listed"; "era" => era, "revision" => revision,
                "records" => count, "changed" => changed, "waiting" => waiting);
        }
        PlatformChange::EraChanged { before, now, revision, from } => {
            let from = if from.is_empty() { "platform" } else { from };
            warn!(log, "platform restored from a copy"; "from" => from, "era_before" => before,
                "era" => now, "revision" => revision);
        }
        PlatformChange::Outdated { era, known, failure } => {
            warn!(log, "outdated answer of the platform ignored"; "era" => era, "known" => known,
                "again_in_ms" => whole_millis(failure.pause));
        }
    }
}

pub(crate) fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Logs that a server is held back because of failed calls, or that it is used normally again.
pub fn server_standing(log: &Logger, name: &str, suspect: bool, failure_rate: f64) {
    let standing = if suspect { "held back" } else { "trusted again" };
    info!(log, "server state changed"; "server" => name, "standing" => standing,
        "failure_rate" => format!("{failure_rate:.2}"));
}

/// Logs that a server's response cleared a request of crashing servers; without a response, it was
/// answered before it was suspected.
pub fn request_cleared(
    log: &Logger,
    request: Fingerprint,
    cause: Cause,
    response: Option<&Clearance>,
) {
    info!(log, "request cleared"; "fingerprint" => %request, "cause" => ?cause,
        "server" => response.map(|response| &*response.server),
        "status" => response.map(|response| response.status),
        "took_us" => response.map(|response| response.took.as_micros() as u64));
}
