//! Calls that are open at a bed, for tests that end them in any order.

use std::sync::Arc;

use bolero::TypeGenerator;
use ladder_core::collections::Map;
use ladder_core::leaf::event::{LaneKey, Outcome};
use ladder_core::schema::outcome::Reason;

use crate::bed::{Bed, Sent};

/// How a call ends.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
pub(crate) enum End {
    Answered,
    Lost,
    Shed,
}

/// Open calls, with the servers of all connections so far.
#[derive(Default)]
pub(crate) struct Open {
    servers: Map<LaneKey, Arc<str>>,
    calls: Vec<Sent>,
}

impl Open {
    /// Ends one of the calls, if any is open.
    pub(crate) fn end(&mut self, bed: &mut Bed, at: u8, end: End) {
        if self.calls.is_empty() {
            return;
        }
        let sent = self.calls.remove(usize::from(at) % self.calls.len());
        let outcome = match end {
            End::Answered => sent.answer(),
            End::Lost => Outcome::Lost,
            End::Shed => sent.refusal(Reason::TargetShed, 5),
        };
        bed.end(sent.attempt, outcome);
    }

    /// Notes the connections of the bed; those that it closes meanwhile are not lost.
    pub(crate) fn note(&mut self, bed: &Bed) {
        self.servers.extend(bed.opened.iter().cloned());
    }

    /// Takes the calls since the log was last cleared; gives the addresses of their servers.
    pub(crate) fn take(&mut self, bed: &Bed) -> Vec<Arc<str>> {
        self.note(bed);
        let sent = bed.sent();
        let servers = sent.iter().map(|sent| Arc::clone(&self.servers[&sent.lane])).collect();
        self.calls.extend(sent);
        self.calls.retain(|sent| bed.opened.iter().any(|(lane, _)| *lane == sent.lane));
        servers
    }
}
