//! A portion of a query: the shards of one service, from arrival to reply.

use std::sync::Arc;

use ladder_schema::outcome::Verdict;
use ladder_schema::wire;
use slotmap::new_key_type;

use super::aggregate::AggregationKey;
use super::event::{AttemptKey, ConnectionKey};
use super::kinds::WorkKind;
use super::machine::Query;
use super::queue;
use super::record;
use super::server::ServerKey;
use super::service::ServiceId;
use super::siblings::SiblingsKey;
use super::trace::CallTrace;
use crate::eligible::ServerHash;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::Peer;

new_key_type! {
    /// Key of a portion without a reply yet.
    pub(super) struct PortionKey;
}

/// State that all portions of one work message share.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The entry instance of the query.
    pub(super) from: Peer,
    /// Incarnation of the entry instance.
    pub(super) incarnation: u64,
    /// The caller's request key.
    pub(super) key: Arc<str>,
    /// Fingerprint of the request's content and caller; `None` if the entry instance did not send
    /// one.
    pub(super) fingerprint: Option<Fingerprint>,
    /// The work message without its portions.
    pub(super) work: wire::Work,
    /// Partial aggregation that gathers the replies; `None` if the entry wants each reply on its
    /// own.
    pub(super) aggregation: Option<AggregationKey>,
    /// Group in which the progress of the sweep's portions is compared.
    pub(super) siblings: Option<SiblingsKey>,
}

impl Job {
    /// Identity of the query that the work belongs to.
    pub(super) fn query(&self) -> Query {
        Query {
            from: Arc::clone(&self.from.name),
            incarnation: self.incarnation,
            number: self.work.query,
        }
    }
}

/// A portion without a reply yet.
#[derive(Clone, Debug)]
pub(super) struct Portion {
    /// State shared with the other portions of the same work message.
    pub(super) job: Arc<Job>,
    /// Service that runs the portion.
    pub(super) service: ServiceId,
    /// Whether a server may have received the portion already through another instance.
    pub(super) repeated: bool,
    /// Servers that the portion may run on; `None`: any server of the service.
    pub(super) eligible: Option<Arc<[ServerHash]>>,
    /// Shards requested from the service.
    pub(super) shards: Arc<[String]>,
    /// Time at which the portion arrived.
    pub(super) arrived: Instant,
    /// Time by which the portion must have a reply.
    pub(super) deadline: Instant,
    /// The portion's position in the queue.
    ///
    /// Invariant: `Some` exactly while the queue of the service contains the portion, and then
    /// `attempts` is empty.
    pub(super) queue_position: Option<queue::Position>,
    /// Whether the portion is non-idempotent: it may be sent again only on proof that it did not
    /// run.
    pub(super) unrepeatable: bool,
    /// Urgency class of the portion.
    pub(super) class: queue::Class,
    /// Kind of work of the portion, for call time estimates.
    pub(super) kind: WorkKind,
    /// Time by which the answer must be at the entry to have its full value.
    pub(super) timely_at: Option<Instant>,
    /// Open calls of the portion.
    pub(super) attempts: Vec<AttemptKey>,
    /// Servers that the portion was sent to, so that a retry selects another one.
    pub(super) tried_servers: Vec<ServerKey>,
    /// Connections that have carried a call of the portion.
    pub(super) used_connections: Vec<ConnectionKey>,
    /// Calls of the portion with the inputs of each decision, oldest first.
    pub(super) call_traces: Vec<CallTrace>,
    /// Number of calls made to targets for the portion.
    pub(super) calls: u32,
    /// Number of the portion's calls that reached no target, because their connection was broken.
    pub(super) unsent: u32,
    /// Number of the portion's calls that ended without an answer.
    pub(super) failures: u32,
    /// Number of the portion's calls that are proved not to have run.
    pub(super) proved_not_run: u32,
    /// Whether one of the portion's calls ended without proof that it did not run.
    pub(super) may_have_run: bool,
    /// Whether a hedged call was sent for the portion.
    pub(super) hedged: bool,
}

impl Portion {
    /// Whether no second server may get the portion if a first one may have run it.
    pub(super) fn runs_once(&self) -> bool {
        self.unrepeatable || self.job.work.on_trial
    }

    /// Verdict on the portion while none of its calls is open.
    pub(super) fn verdict(&self) -> Verdict {
        match self.may_have_run {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Whether the portion is a message to a single service.
    pub(super) fn is_single(&self) -> bool {
        self.job.work.forward.as_ref().is_some_and(|forward| !forward.part)
    }

    /// Whether the attempt limit of the portion's route allows one more call.
    pub(super) fn may_be_sent_again(&self) -> bool {
        let forward = self.job.work.forward.as_ref();
        forward.is_none_or(|forward| self.calls - self.proved_not_run < forward.attempts)
    }

    /// Key under which the outcome of the portion is recorded.
    pub(super) fn record(&self) -> record::Key {
        record::Key { service: self.service, key: Arc::clone(&self.job.key) }
    }
}
