//! Checks of the targets' settings.

use ladder_core::collections::Set;
use ladder_schema::publication::Server;
use ladder_schema::standin::{Target, Targets};

use crate::settings::{Error, address, within};

const THREADS: u32 = 64;
const SLOTS: u32 = 10_000;
const CONNECTIONS: u32 = 100_000;
const CONNECT_MS: u32 = 60_000;
const SERVICE_US: u32 = 60_000_000;
const STRAGGLER_FACTOR: u32 = 1000;
const QUEUE: u32 = 1_000_000;
const COLD_MS: u32 = 3_600_000;

/// The first mistake in the settings.
pub(super) fn targets(settings: &Targets) -> Result<(), Error> {
    address("admin_address", &settings.admin_address)?;
    within("threads", settings.threads, 0, THREADS)?;
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
    address(&format!("{field}.address"), &server.address)?;
    within(&format!("{field}.slots"), server.slots, 1, SLOTS)?;
    let connections = format!("{field}.connections");
    within(&connections, server.connections, 1, CONNECTIONS)
}

fn check_target(field: &str, target: &Target) -> Result<(), Error> {
    let bounds = [
        ("connect_ms", target.connect_ms, CONNECT_MS),
        ("service_us", target.service_us, SERVICE_US),
        ("straggler_permille", target.straggler_permille, 1000),
        ("straggler_factor", target.straggler_factor, STRAGGLER_FACTOR),
        ("queue", target.queue, QUEUE),
        ("cold_ms", target.cold_ms, COLD_MS),
    ];
    for (name, value, most) in bounds {
        within(&format!("{field}.{name}"), value, 0, most)?;
    }
    Ok(())
}
