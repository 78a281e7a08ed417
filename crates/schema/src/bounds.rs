//! Limits on sizes and counts that decoders and validation enforce.

/// Version of the protocol between instances.
pub const PROTOCOL: u32 = 1;
/// Maximum size of the body of a caller's request, in bytes.
pub const REQUEST_BYTES: usize = 128 * 1024;
/// Maximum length of a request key, in bytes.
pub const KEY_BYTES: usize = 128;
/// Maximum size of the payload of a request, in bytes.
pub const PAYLOAD_BYTES: usize = 64 * 1024;
/// Maximum length of a name in a caller's request, in the settings, and in published entries,
/// indexes and instances, in bytes.
pub const NAME_BYTES: usize = 128;
/// Maximum length of the name of a published server or evacuated zone, which is also the name of its
/// record, in bytes.
pub const RECORD_NAME_BYTES: usize = 2 * NAME_BYTES;
/// Maximum number of shards in one index.
pub const SHARDS: usize = 4096;
/// Longest deadline that a caller may request, in milliseconds.
pub const DEADLINE_MS: u32 = 60_000;
/// Longest time for which a forwarded message is open, in milliseconds. A route may allow more. The
/// outcomes of non-idempotent requests are kept for twice this time.
pub const FORWARD_MS: u32 = 300_000;
/// Maximum size of one frame of the protocol between instances, in bytes.
pub const FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of one published record, in bytes: a frame carries it to other instances whole.
pub const RECORD_BYTES: usize = FRAME_BYTES - 64 * 1024;
/// Maximum size of a target's answer, in bytes.
pub const ANSWER_BYTES: usize = 1024 * 1024;
/// Lowest connection limit of one server.
///
/// One connection is a reserve for the time in which the instances' views of the fleet differ. With
/// a limit of 1 there would be no reserve, and the instances could not keep to the limit.
pub const MIN_CONNECTIONS: u32 = 2;
/// Highest connection limit of one server.
pub const MAX_CONNECTIONS: u32 = 100_000;
/// Maximum number of slots (concurrent requests) of one server.
pub const MAX_SLOTS: u32 = 10_000;
/// Maximum number of operations in a catalogue entry.
pub const OPERATIONS: usize = 256;
/// Maximum length of a service's queue, in requests.
pub const QUEUE: u32 = 100_000;
/// Highest allowed setting for a service's extra calls (calls beyond the first one of a request),
/// per 100 first calls.
pub const EXTRA_PERCENT: u32 = 100;
