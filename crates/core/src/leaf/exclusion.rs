//! The one rule that every call asks before it goes to a server: may the server get new work?
//!
//! First calls, retries, second copies, kept connections and questions for load reports all follow it.
//! What is open at a server that becomes excluded goes on.

/// Why a server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It is not published any more, or under another address.
    Unlisted,
    /// This instance has no share of its connections.
    NoShare,
    /// Some source says that it leaves.
    Leaving,
    /// An operator wants nothing sent to the servers of its availability zone.
    Evacuated,
    /// It warms up, and this instance has sent it as much as it may for now.
    Warming,
}

/// What the rule looks at.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// It is published with the address at which it is known.
    pub listed: bool,
    /// Connections that this instance may hold to it.
    pub share: u32,
    /// Some source says that its incarnation leaves.
    pub leaving: bool,
    /// Its availability zone is evacuated.
    pub evacuated: bool,
    /// It warms up and may get no more requests for now.
    pub spent: bool,
}

impl Facts {
    /// Why the server gets no new work; `None` if it may. Of several reasons the one that lasts longest.
    pub const fn exclusion(self) -> Option<Exclusion> {
        match self {
            Self { listed: false, .. } => Some(Exclusion::Unlisted),
            Self { leaving: true, .. } => Some(Exclusion::Leaving),
            Self { evacuated: true, .. } => Some(Exclusion::Evacuated),
            Self { share: 0, .. } => Some(Exclusion::NoShare),
            Self { spent: true, .. } => Some(Exclusion::Warming),
            _ => None,
        }
    }
}
