//! Open calls of a test fixture, for property tests that end calls in any order.

use std::sync::Arc;

use bolero::TypeGenerator;
use ladder_core::collections::Map;
use ladder_core::leaf::event::{LaneKey, Outcome};
use ladder_core::schema::outcome::Reason;

use crate::bed::{Bed, Sent};

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
pub(crate) enum End {
    Answered,
    Lost,
    Shed,
}

/// Open calls of a fixture, and the server address of every connection opened so far.
#[derive(Default)]
pub(crate) struct Open {
    server_by_connection: Map<LaneKey, Arc<str>>,
    open_calls: Vec<Sent>,
}

impl Open {
    /// Ends one of the open calls, if there are any; `at` selects the call.
    pub(crate) fn end(&mut self, bed: &mut Bed, at: u8, end: End) {
        if self.open_calls.is_empty() {
            return;
        }
        let sent = self.open_calls.remove(usize::from(at) % self.open_calls.len());
        let outcome = match end {
            End::Answered => sent.answer(),
            End::Lost => Outcome::Lost,
            End::Shed => sent.refusal(Reason::TargetShed, 5),
        };
        bed.end(sent.attempt, outcome);
    }

    /// Records the servers of the fixture's connections, so that calls on connections that the
    /// fixture closes later can still be assigned to their servers.
    pub(crate) fn note(&mut self, bed: &Bed) {
        self.server_by_connection.extend(bed.opened.iter().cloned());
    }

    /// Adds the calls sent since the fixture's log was last cleared, and returns the addresses of
    /// their servers.
    pub(crate) fn take(&mut self, bed: &Bed) -> Vec<Arc<str>> {
        self.note(bed);
        let sent = bed.sent();
        let addresses =
            sent.iter().map(|sent| Arc::clone(&self.server_by_connection[&sent.lane])).collect();
        self.open_calls.extend(sent);
        self.open_calls.retain(|sent| bed.opened.iter().any(|(lane, _)| *lane == sent.lane));
        addresses
    }
}
