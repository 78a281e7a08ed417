//! Open calls of a test harness, for property tests that end calls in any order.

use std::sync::Arc;

use bolero::TypeGenerator;
use ladder_core::collections::Map;
use ladder_core::leaf::event::{ConnectionKey, Outcome};
use ladder_core::schema::outcome::Reason;

use crate::harness::{Harness, SentCall};

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
pub(crate) enum End {
    Answered,
    Lost,
    Shed,
}

/// Open calls of a harness, and the server address of every connection opened so far.
#[derive(Default)]
pub(crate) struct OpenCalls {
    server_by_connection: Map<ConnectionKey, Arc<str>>,
    open_calls: Vec<SentCall>,
}

impl OpenCalls {
    /// Ends one of the open calls, if there are any; `at` selects the call.
    pub(crate) fn end_call(&mut self, harness: &mut Harness, at: u8, end: End) {
        if self.open_calls.is_empty() {
            return;
        }
        let sent = self.open_calls.remove(usize::from(at) % self.open_calls.len());
        let outcome = match end {
            End::Answered => sent.answer(),
            End::Lost => Outcome::Lost,
            End::Shed => sent.refusal(Reason::TargetShed, 5),
        };
        harness.end_call(sent.attempt, outcome);
    }

    /// Records the servers of the harness's connections, so that calls on connections that the
    /// harness closes later can still be assigned to their servers.
    pub(crate) fn record_connections(&mut self, harness: &Harness) {
        self.server_by_connection.extend(harness.opened.iter().cloned());
    }

    /// Adds the calls sent since the harness's log was last cleared, and returns the addresses of
    /// their servers.
    pub(crate) fn add_sent_calls(&mut self, harness: &Harness) -> Vec<Arc<str>> {
        self.record_connections(harness);
        let sent = harness.sent();
        let addresses = sent
            .iter()
            .map(|sent| Arc::clone(&self.server_by_connection[&sent.connection]))
            .collect();
        self.open_calls.extend(sent);
        self.open_calls.retain(|sent| {
            harness.opened.iter().any(|(connection, _)| *connection == sent.connection)
        });
        addresses
    }
}
