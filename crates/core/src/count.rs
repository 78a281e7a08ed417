//! Counter increments that the core requests from the shell.

use ladder_schema::outcome::Reason;

/// Kind of event that is counted, for a request, call, answer, frame or record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A caller's request, or a portion of it, was refused.
    Refusal,
    /// A repeatable request was sent again.
    Retry,
    /// A hedged call was sent while the first call was open.
    Hedge,
    /// A message was dropped.
    Drop,
    /// Another set of servers was selected for a portion that is sent again.
    Reselection,
    /// A call was sent for a request under which servers are reported to have crashed.
    SuspectCall,
    /// A part of a sweep was sent, with zonal aggregation; the reason is that of the crossing.
    ZoneCall(Crossing),
}

/// Whether a part of a sweep was sent to another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Crossing {
    /// A call went to a server of the own zone.
    None,
    /// A call went to a server of another zone.
    Server,
    /// A work message went to an instance of another zone.
    Peer,
}

/// One increment of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Count {
    /// Kind of the counted event.
    pub event: Event,
    /// Reason of the counted event.
    pub reason: Reason,
}

/// Event of a pooled connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Connection {
    /// The connection was established.
    Opened,
    /// The connection could not be established, or the server ended it outside of a call.
    Reset,
    /// The instance closed the connection, or the connection ended with its call.
    Closed,
}
