//! Checks a caller's request against the limits of the interface.

use ladder_schema::bounds::{DEADLINE_MS, KEY_BYTES, NAME_BYTES, PAYLOAD_BYTES, SHARDS};
use ladder_schema::call;
use ladder_schema::outcome::Reason;

use crate::collections::Set;

/// Reason and message of a request that is refused before any of it is sent, so that none of it
/// has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Reason of the refusal, as counted in metrics and returned to the caller.
    pub(crate) reason: Reason,
    /// Message that names the field, its value and the allowed range.
    pub(crate) detail: String,
}

impl Refusal {
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into() }
    }
}

/// Checks every field of a request that can be checked without a view.
pub(crate) fn check_request(request: &call::Request) -> Result<(), Refusal> {
    check_length("key", request.key.len(), KEY_BYTES)?;
    if request.message.is_none() {
        check_length("index", request.index.len(), NAME_BYTES)?;
        check_length("operation", request.operation.len(), NAME_BYTES)?;
        check_deadline(request.deadline_ms)?;
    }
    check_upper_bound("payload", request.payload.len(), PAYLOAD_BYTES, "bytes")?;
    check_upper_bound("shards", request.shards.len(), SHARDS, "names")?;
    check_shards(&request.shards)
}

fn check_length(field: &str, bytes: usize, most: usize) -> Result<(), Refusal> {
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

fn check_upper_bound(field: &str, size: usize, most: usize, unit: &str) -> Result<(), Refusal> {
    if size <= most {
        return Ok(());
    }
    let detail = format!("{field}: {size} {unit}; allowed: 0 to {most}");
    Err(Refusal::new(Reason::TooLarge, detail))
}

fn check_deadline(deadline_ms: u32) -> Result<(), Refusal> {
    if deadline_ms <= DEADLINE_MS {
        return Ok(());
    }
    let detail = format!("deadline_ms: {deadline_ms}; allowed: 0 to {DEADLINE_MS}");
    Err(Refusal::new(Reason::Malformed, detail))
}

fn check_shards(names: &[String]) -> Result<(), Refusal> {
    let mut seen = Set::default();
    for name in names {
        check_length("shards", name.len(), NAME_BYTES)?;
        if !seen.insert(name.as_str()) {
            let detail = format!("shards: {name} twice; allowed: each name once");
            return Err(Refusal::new(Reason::Malformed, detail));
        }
    }
    Ok(())
}
