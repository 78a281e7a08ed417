//! Request keys of the unrepeatable requests that this instance took.

use std::collections::VecDeque;

use ladder_schema::outcome::Verdict;

use crate::collections::Map;

/// Keys remembered; a key beyond that is forgotten oldest first, open or not. The owners' own
/// records and the attempt number then stand alone.
const KEYS: usize = 8192;

/// A bounded record of request keys with what is known of their execution.
///
/// It prevents one failure: a caller that repeats a booking at the same entry, because its
/// connection broke or it lost patience, while the first one is still under way. The second would
/// reach another owner if the first owner was lost in between, and run there again.
///
/// Through another entry the attempt number protects the caller: it is 1 plus the number of earlier
/// sendings whose outcome the caller does not know to be "not run". The owner runs a first attempt
/// that it has no record of, and answers "may have run" to a later one that no record proves not to
/// have run.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    verdicts: Map<String, Verdict>,
    /// Invariant: holds exactly the keys of `verdicts`, in order of their first arrival.
    order: VecDeque<String>,
}

impl Keys {
    /// What is known of an earlier request with this key; `MayHaveRun` while it is open, `None` if
    /// there was none or it is proved that it did not run.
    pub(crate) fn get(&self, key: &str) -> Option<Verdict> {
        let verdict = self.verdicts.get(key).copied()?;
        (verdict != Verdict::NotRun).then_some(verdict)
    }

    /// A request with this key starts.
    pub(crate) fn start(&mut self, key: &str) {
        let known = self.verdicts.insert(key.to_owned(), Verdict::MayHaveRun);
        if known.is_none() {
            self.order.push_back(key.to_owned());
        }
        if self.order.len() > KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    /// The request with this key ended. After proof that it did not run the key is free again.
    pub(crate) fn end(&mut self, key: &str, verdict: Verdict) {
        if let Some(known) = self.verdicts.get_mut(key) {
            *known = verdict;
        }
    }
}
