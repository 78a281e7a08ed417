//! Checks a caller's request against the bounds of the interface.

use ladder_schema::bounds::{DEADLINE_MS, KEY_BYTES, NAME_BYTES, PAYLOAD_BYTES, SHARDS};
use ladder_schema::call;
use ladder_schema::outcome::Reason;

use crate::collections::Set;

/// Why a request is refused before any of it is sent: it has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The reason that is counted.
    pub(crate) reason: Reason,
    /// Names the field, its value and what is allowed.
    pub(crate) detail: String,
}

impl Refusal {
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into() }
    }
}

/// Checks every field that can be checked without a view.
pub(crate) fn check(request: &call::Request) -> Result<(), Refusal> {
    length("key", request.key.len(), KEY_BYTES)?;
    if request.message.is_none() {
        length("index", request.index.len(), NAME_BYTES)?;
        length("operation", request.operation.len(), NAME_BYTES)?;
    }
    at_most("payload", request.payload.len(), PAYLOAD_BYTES, "bytes")?;
    at_most("shards", request.shards.len(), SHARDS, "names")?;
    deadline(request.deadline_ms)?;
    shards(&request.shards)
}

fn length(field: &str, bytes: usize, most: usize) -> Result<(), Refusal> {
    if bytes == 0 {
        let detail = format!("{field}: 0 bytes; allowed: 1 to {most}");
        return Err(Refusal::new(Reason::Malformed, detail));
    }
    if bytes > most {
        let detail = format!("{field}: {bytes} bytes; allowed: 1 to {most}");
        return Err(Refusal::new(Reason::TooLarge, detail));
    }
    Ok(())
}

fn at_most(field: &str, size: usize, most: usize, unit: &str) -> Result<(), Refusal> {
    if size <= most {
        return Ok(());
    }
    let detail = format!("{field}: {size} {unit}; allowed: 0 to {most}");
    Err(Refusal::new(Reason::TooLarge, detail))
}

fn deadline(deadline_ms: u32) -> Result<(), Refusal> {
    if deadline_ms <= DEADLINE_MS {
        return Ok(());
    }
    let detail = format!("deadline_ms: {deadline_ms}; allowed: 0 to {DEADLINE_MS}");
    Err(Refusal::new(Reason::Malformed, detail))
}

fn shards(names: &[String]) -> Result<(), Refusal> {
    let mut seen = Set::default();
    for name in names {
        length("shards", name.len(), NAME_BYTES)?;
        if !seen.insert(name.as_str()) {
            let detail = format!("shards: {name} twice; allowed: each name once");
            return Err(Refusal::new(Reason::Malformed, detail));
        }
    }
    Ok(())
}
