//! Checks of the settings of a process of stand-in targets.

use ladder_core::collections::Set;
use ladder_schema::publication::Server;
use ladder_schema::standin::{Target, Targets};

use crate::settings::{Error, check_range, parse_address};

const MAX_THREADS: u32 = 64;
const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 100_000;
const MAX_CONNECT_MS: u32 = 60_000;
const MAX_SERVICE_US: u32 = 60_000_000;
const MAX_STRAGGLER_FACTOR: u32 = 1000;
const MAX_QUEUE: u32 = 1_000_000;
const MAX_COLD_MS: u32 = 3_600_000;

/// Checks all settings of a process of stand-in targets and returns the first invalid field as an
/// error.
pub(super) fn check_settings(settings: &Targets) -> Result<(), Error> {
    parse_address("admin_address", &settings.admin_address)?;
    check_range("threads", settings.threads, 0, MAX_THREADS)?;
    if settings.targets.is_empty() {
        return Err(Error::field("targets", "is empty; name at least one"));
    }
    let mut names = Set::default();
    for (position, target) in settings.targets.iter().enumerate() {
        let field = format!("targets[{position}]");
        let server = target.server.as_ref();
        let server = server.ok_or_else(|| Error::field(format!("{field}.server"), "is missing"))?;
        check_server(&format!("{field}.server"), server)?;
        check_target(&field, target)?;
        if !names.insert(server.name.as_str()) {
            let problem = format!("\"{}\" stands twice", server.name);
            return Err(Error::field(format!("{field}.server.name"), problem));
        }
    }
    Ok(())
}

fn check_server(field: &str, server: &Server) -> Result<(), Error> {
    if server.name.is_empty() {
        return Err(Error::field(format!("{field}.name"), "is empty"));
    }
    parse_address(&format!("{field}.address"), &server.address)?;
    check_range(&format!("{field}.slots"), server.slots, 1, MAX_SLOTS)?;
    let connections = format!("{field}.connections");
    check_range(&connections, server.connections, 1, MAX_CONNECTIONS)
}

fn check_target(field: &str, target: &Target) -> Result<(), Error> {
    let bounds = [
        ("connect_ms", target.connect_ms, MAX_CONNECT_MS),
        ("service_us", target.service_us, MAX_SERVICE_US),
        ("straggler_permille", target.straggler_permille, 1000),
        ("straggler_factor", target.straggler_factor, MAX_STRAGGLER_FACTOR),
        ("queue", target.queue, MAX_QUEUE),
        ("cold_ms", target.cold_ms, MAX_COLD_MS),
    ];
    for (name, value, most) in bounds {
        check_range(&format!("{field}.{name}"), value, 0, most)?;
    }
    Ok(())
}
