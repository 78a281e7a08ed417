//! Loggers by settings, and the lines about decisions.

mod lines;

use std::time::Duration;

use ladder_core::control::belief::Belief;
use ladder_schema::settings::{Format, Level, Log};
use slog::{Drain, Logger, info, o, warn};

pub use lines::Lines;

/// A logger to standard output as `settings` ask: JSON lines or text for people.
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
            Logger::root(detached(drain).filter_level(level).fuse(), values)
        }
        Format::Json | Format::Unspecified => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            Logger::root(detached(drain).filter_level(level).fuse(), values)
        }
    }
}

/// Lines that wait for whoever reads the log; beyond it lines are dropped and counted in the log.
const WAITING: usize = 512;

/// Writes from a thread of its own: a reader of the log that stands still would otherwise stop all
/// threads that have something to say, and with them every request.
fn detached<D>(drain: D) -> slog_async::Async
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(WAITING).build()
}

/// Writes a change of what an instance believes.
pub fn belief(log: &Logger, belief: &Belief) {
    match belief {
        Belief::PlatformLost { revision, failure } => {
            warn!(log, "platform lost"; "revision" => revision, "failures" => failure.failures,
                "waited_ms" => millis(failure.waited), "again_in_ms" => millis(failure.pause));
        }
        Belief::PlatformRegained { revision, silence } => {
            info!(log, "platform regained"; "revision" => revision,
                "silent_ms" => millis(*silence));
        }
        Belief::Records { from, revision, count, withdrawn } => {
            let from = if from.is_empty() { "platform" } else { from };
            info!(log, "records in force"; "from" => from, "revision" => revision,
                "records" => count, "withdrawn" => withdrawn);
        }
        Belief::Doubted { count, live } => {
            warn!(log, "withdrawals doubted"; "servers" => count, "live" => live);
        }
        Belief::Routes { version, revision } => {
            info!(log, "routes in force"; "version" => version, "revision" => revision);
        }
        Belief::Outlived { before, now } => {
            warn!(log, "generation raised"; "before" => before, "now" => now);
        }
        Belief::Quarantine { request, standing, cause, incarnations, from } => {
            let from = if from.is_empty() { "here" } else { from };
            let incarnations = incarnations
                .iter()
                .map(|incarnation| format!("{}/{}", incarnation.server, incarnation.number));
            warn!(log, "quarantine changed"; "fingerprint" => %request, "standing" => ?standing,
                "cause" => ?cause,
                "servers" => incarnations.collect::<Vec<_>>().join(" "), "from" => from);
        }
        Belief::Evacuation { zone, evacuated, revision, servers } => {
            warn!(log, "evacuation changed"; "zone" => &**zone, "evacuated" => evacuated,
                "revision" => revision, "servers" => servers);
        }
        Belief::Member { name, before, now } => {
            info!(log, "member turned"; "member" => &**name, "before" => ?before, "now" => ?now);
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Writes that a server is held back because of its outcomes, or not any more.
pub fn server(log: &Logger, name: &str, suspect: bool, failure_rate: f64) {
    let standing = if suspect { "held back" } else { "trusted again" };
    info!(log, "server turned"; "server" => name, "standing" => standing,
        "failure_rate" => format!("{failure_rate:.2}"));
}
