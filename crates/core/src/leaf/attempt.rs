//! A call: one request that carries one portion to one server.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::target;

use super::event::{ConnectionKey, Outcome};
use super::kinds::WorkKind;
use super::portion::{Job, PortionKey};
use super::record;
use super::server::ServerKey;
use super::service::ServiceId;
use crate::collections::Set;
use crate::time::Instant;

/// An open call. The call occupies a slot of its server and a pooled connection even after its
/// portion has a reply.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Key of the call's portion; `None` once the portion has a reply.
    pub(super) portion: Option<PortionKey>,
    pub(super) service: ServiceId,
    /// Kind of work of the call, for call time estimates.
    pub(super) kind: WorkKind,
    pub(super) server: ServerKey,
    pub(super) connection: ConnectionKey,
    /// Identifier of the target request.
    pub(super) id: String,
    pub(super) job: Arc<Job>,
    pub(super) shards: Arc<[String]>,
    pub(super) sent: Instant,
    pub(super) timeout: Duration,
    /// Record of the request key; `Some` for non-idempotent requests only.
    pub(super) record: Option<record::Key>,
    /// Whether the answer is no longer needed because the portion already has a reply; never set
    /// for non-idempotent calls. An error or loss of such a call is not counted as a failure, and
    /// its call time is not learned.
    pub(super) abandoned: bool,
}

/// Difference between an answer and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mismatch {
    /// The answer is of another index or version.
    Version,
    /// The answer contains another request identifier or other shards.
    Request,
}

impl Attempt {
    /// Whether the call has used up its timeout.
    pub(super) fn timed_out(&self, now: Instant) -> bool {
        now.since(self.sent) >= self.timeout
    }

    /// Whether a call that ends with this outcome lost its connection before its timeout.
    pub(super) fn lost_connection(&self, now: Instant, outcome: &Outcome) -> bool {
        *outcome == Outcome::Lost && !self.timed_out(now)
    }

    /// Verifies that an answer belongs to this request.
    ///
    /// A connection that is out of step delivers the answer to another request; a server that
    /// changed its index between two requests delivers another version. Without this check either
    /// would become part of a caller's answer.
    pub(super) fn check(&self, answer: &target::Answer) -> Result<(), Mismatch> {
        if answer.id != self.id {
            return Err(Mismatch::Request);
        }
        let work = &self.job.work;
        if answer.index != work.index || answer.version != work.version {
            return Err(Mismatch::Version);
        }
        if !self.covers(answer) {
            return Err(Mismatch::Request);
        }
        Ok(())
    }

    /// Whether the answer contains exactly one part for each requested shard.
    fn covers(&self, answer: &target::Answer) -> bool {
        if answer.parts.len() != self.shards.len() {
            return false;
        }
        let same_order =
            answer.parts.iter().zip(self.shards.iter()).all(|(part, shard)| part.shard == *shard);
        same_order || self.covers_set(answer)
    }

    /// Whether every requested shard is among the parts, for an answer with as many parts as
    /// shards.
    fn covers_set(&self, answer: &target::Answer) -> bool {
        let parts: Set<&str> = answer.parts.iter().map(|part| part.shard.as_str()).collect();
        self.shards.iter().all(|shard| parts.contains(shard.as_str()))
    }
}
