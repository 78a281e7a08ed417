//! Why the server of the own zone does not get a call that goes to another zone.

use ladder_schema::outcome::Reason;

use super::exclusion::Exclusion;

/// State of the server of the own zone when a call is sent to another zone.
#[derive(Clone, Copy, Debug)]
pub struct OwnServer {
    /// Why the server gets no new work.
    pub exclusion: Option<Exclusion>,
    /// The server already got a call of this part.
    pub is_tried: bool,
    /// The call is a hedge.
    pub is_hedge: bool,
    /// The server is suspected because of its call outcomes.
    pub is_suspect: bool,
    /// A pause after load shedding is in force.
    pub sheds: bool,
    /// A slot is free, as far as this instance knows.
    pub has_free_slot: bool,
    /// A connection to the server is idle.
    pub is_connected: bool,
}

impl OwnServer {
    /// The reason with which the call is counted. [`Reason::TargetTimeout`] stands for a server
    /// that could take the call but is slow or stalls.
    pub fn reason(self) -> Reason {
        match self.exclusion {
            Some(Exclusion::Evacuated) => return Reason::Evacuated,
            Some(Exclusion::Leaving) => return Reason::TargetLeaving,
            Some(Exclusion::Warming) => return Reason::WarmingUp,
            Some(Exclusion::Unlisted | Exclusion::NoShare) => return Reason::NoServer,
            None => {}
        }
        let reasons = [
            (self.is_tried && self.is_hedge, Reason::Hedge),
            (self.is_tried, Reason::TargetError),
            (self.is_suspect, Reason::TargetLost),
            (self.sheds, Reason::TargetShed),
            (!self.has_free_slot, Reason::QueueFull),
            (!self.is_connected, Reason::ConnectFailed),
        ];
        let applies = reasons.into_iter().find(|(applies, _)| *applies);
        applies.map_or(Reason::TargetTimeout, |(_, reason)| reason)
    }
}
