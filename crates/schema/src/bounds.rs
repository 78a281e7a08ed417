//! Bounds on sizes and counts that every decoder and validation holds to.

/// Version of the messages between instances.
pub const PROTOCOL: u32 = 1;
/// Bytes in a caller's request body.
pub const REQUEST_BYTES: usize = 128 * 1024;
/// Bytes in a request key.
pub const KEY_BYTES: usize = 128;
/// Bytes in a request's payload.
pub const PAYLOAD_BYTES: usize = 64 * 1024;
/// Bytes in a name: service, server, instance, zone, index, shard, operation.
pub const NAME_BYTES: usize = 128;
/// Shards in one index.
pub const SHARDS: usize = 4096;
/// Longest deadline a caller may ask for, in milliseconds.
pub const DEADLINE_MS: u32 = 60_000;
/// Bytes in one frame between instances.
pub const FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Bytes in one published value.
pub const RECORD_BYTES: usize = 1024 * 1024;
/// Bytes in a target's answer.
pub const ANSWER_BYTES: usize = 1024 * 1024;
/// Operations in a catalogue entry.
pub const OPERATIONS: usize = 256;
/// Requests in a service's queue.
pub const QUEUE: u32 = 100_000;
/// Extra calls per hundred first calls.
pub const EXTRA_PERCENT: u32 = 100;
