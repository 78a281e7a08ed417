//! A portion of a query: the shards of one service, from its arrival to its reply.

use std::sync::Arc;

use ladder_schema::outcome::Verdict;
use ladder_schema::wire;
use slotmap::new_key_type;

use super::collect::CollectionKey;
use super::event::AttemptKey;
use super::kinds::Kind;
use super::machine::Query;
use super::queue;
use super::record;
use super::server::ServerKey;
use super::service::ServiceId;
use super::siblings::SiblingsKey;
use super::trace::Trial;
use crate::eligible::Mark;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::Peer;

new_key_type! {
    /// A portion that has not been replied to.
    pub(super) struct PortionKey;
}

/// What all portions of one message of work share.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The entry's instance.
    pub(super) from: Peer,
    /// Incarnation of the entry's instance.
    pub(super) incarnation: u64,
    /// The caller's request key.
    pub(super) key: Arc<str>,
    /// What is asked and by whom; `None` when the entry does not tell.
    pub(super) fingerprint: Option<Fingerprint>,
    /// The work without its portions.
    pub(super) work: wire::Work,
    /// What its replies are collected in.
    pub(super) collection: Option<CollectionKey>,
    /// What its parts are compared in.
    pub(super) siblings: Option<SiblingsKey>,
}

impl Job {
    /// The query that the work belongs to.
    pub(super) fn query(&self) -> Query {
        Query {
            from: Arc::clone(&self.from.name),
            incarnation: self.incarnation,
            number: self.work.query,
        }
    }
}

/// A portion that has not been replied to.
#[derive(Clone, Debug)]
pub(super) struct Portion {
    /// What it shares with the other portions of the message.
    pub(super) job: Arc<Job>,
    /// Its service.
    pub(super) service: ServiceId,
    /// A server may have got it already through another instance.
    pub(super) repeated: bool,
    /// Servers that it may run on; `None`: any.
    pub(super) eligible: Option<Arc<[Mark]>>,
    /// The shards asked for.
    pub(super) shards: Arc<[String]>,
    /// When it arrived.
    pub(super) arrived: Instant,
    /// When it must have been replied to.
    pub(super) deadline: Instant,
    /// Its place in the queue.
    ///
    /// Invariant: `Some` exactly while the queue of its service holds it, and then `attempts` is
    /// empty.
    pub(super) place: Option<queue::Place>,
    /// It may be sent again only on proof that it did not run.
    pub(super) unrepeatable: bool,
    /// Its urgency class.
    pub(super) class: queue::Class,
    /// Its kind of work.
    pub(super) kind: Kind,
    /// When its answer must be there to be worth its full price.
    pub(super) timely_at: Option<Instant>,
    /// Open calls.
    pub(super) attempts: Vec<AttemptKey>,
    /// Servers it was sent to, for choosing another one.
    pub(super) tried: Vec<ServerKey>,
    /// Calls with what they were decided on, oldest first.
    pub(super) trials: Vec<Trial>,
    /// Calls made at targets.
    pub(super) calls: u32,
    /// Calls that ended without an answer.
    pub(super) failures: u32,
    /// Calls that are proved not to have run.
    pub(super) spared: u32,
    /// A call ended without proof that it did not run.
    pub(super) may_have_run: bool,
    /// A second copy was sent.
    pub(super) hedged: bool,
}

impl Portion {
    /// What can be said of it while no call is open.
    pub(super) fn verdict(&self) -> Verdict {
        match self.may_have_run {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Whether its route allows one more server to be asked.
    pub(super) fn may_go_out(&self) -> bool {
        let forward = self.job.work.forward.as_ref();
        forward.is_none_or(|forward| self.calls - self.spared < forward.attempts)
    }

    /// Name of its record.
    pub(super) fn record(&self) -> record::Name {
        record::Name { service: self.service, key: Arc::clone(&self.job.key) }
    }
}
