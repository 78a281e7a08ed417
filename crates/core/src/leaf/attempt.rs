//! One sending of one portion to one server.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::target;

use super::event::LaneKey;
use super::kinds::Kind;
use super::portion::{Job, PortionKey};
use super::record;
use super::server::ServerKey;
use super::service::ServiceId;
use crate::collections::Set;
use crate::time::Instant;

/// A call that has not ended. It occupies a slot of its server and a lane even after its portion
/// was replied to.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// The portion; `None` once it was replied to.
    pub(super) portion: Option<PortionKey>,
    pub(super) service: ServiceId,
    /// Its kind of work.
    pub(super) kind: Kind,
    pub(super) server: ServerKey,
    pub(super) lane: LaneKey,
    /// The target request's identifier.
    pub(super) id: String,
    pub(super) job: Arc<Job>,
    pub(super) shards: Arc<[String]>,
    pub(super) sent: Instant,
    pub(super) timeout: Duration,
    /// Record of the request key, for the unrepeatable.
    pub(super) record: Option<record::Name>,
    /// The call takes so long that its server was told so already, or is no longer wanted.
    pub(super) given_up: bool,
}

/// How an answer differs from what was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mismatch {
    /// It is of another index or version.
    Version,
    /// It carries another identifier or other shards.
    Request,
}

impl Attempt {
    /// Compares an answer with what was asked.
    ///
    /// A connection that is out of step delivers an answer to another request; a server that
    /// changed its index between two requests delivers another version. Either would enter a
    /// caller's answer as if it belonged there.
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

    /// Whether the answer has exactly one part for each shard asked for.
    fn covers(&self, answer: &target::Answer) -> bool {
        if answer.parts.len() != self.shards.len() {
            return false;
        }
        let same_order =
            answer.parts.iter().zip(self.shards.iter()).all(|(part, shard)| part.shard == *shard);
        same_order || self.covers_set(answer)
    }

    /// Whether each shard asked for is among as many parts as there are shards.
    fn covers_set(&self, answer: &target::Answer) -> bool {
        let parts: Set<&str> = answer.parts.iter().map(|part| part.shard.as_str()).collect();
        self.shards.iter().all(|shard| parts.contains(shard.as_str()))
    }
}
