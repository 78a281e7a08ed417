//! Decides whether a server may get new work. Every call is checked against this rule before it is
//! sent.
//!
//! First calls, retries, hedges, pooled connections and requests for load reports all follow the
//! rule. Calls that are already open at a server when it becomes excluded continue.

/// Reason why a server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The server is no longer published, or it is published with another address.
    Unlisted,
    /// The connection share of this instance at the server is zero.
    NoShare,
    /// Some source reports that the server is leaving.
    Leaving,
    /// The availability zone of the server is evacuated by an operator.
    Evacuated,
    /// The server warms up, and this instance has sent it as many requests as are allowed for now.
    Warming,
}

/// State of a server from which its exclusion is decided.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// The server is published with the address that this instance uses for it.
    pub listed: bool,
    /// Number of connections that this instance may open to the server.
    pub share: u32,
    /// Some source reports that this incarnation of the server is leaving.
    pub leaving: bool,
    /// The availability zone of the server is evacuated.
    pub evacuated: bool,
    /// The server warms up and may get no more requests from this instance for now.
    pub at_warmup_limit: bool,
}

impl Facts {
    /// Returns why the server gets no new work; `None` if it may get work. If there are several
    /// reasons, the one that lasts longest is returned.
    pub const fn exclusion(self) -> Option<Exclusion> {
        match self {
            Self { listed: false, .. } => Some(Exclusion::Unlisted),
            Self { leaving: true, .. } => Some(Exclusion::Leaving),
            Self { evacuated: true, .. } => Some(Exclusion::Evacuated),
            Self { share: 0, .. } => Some(Exclusion::NoShare),
            Self { at_warmup_limit: true, .. } => Some(Exclusion::Warming),
            _ => None,
        }
    }
}
