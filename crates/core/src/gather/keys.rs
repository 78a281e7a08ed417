//! Request keys of the non-idempotent requests that this instance accepted.

use std::collections::VecDeque;

use ladder_schema::outcome::Verdict;

use crate::collections::Map;

/// Maximum number of remembered keys. Beyond it the oldest key is removed, whether its request is
/// open or not. For that key, only the owners' own records and the attempt number prevent a second
/// execution.
const MAX_KEYS: usize = 8192;

/// A bounded record of request keys with the verdict on each request's execution.
///
/// It prevents the following failure: a caller repeats a booking at the same entry instance while
/// the first request is still in progress, because the caller's connection broke or its own
/// timeout passed. If the first owner was lost in between, the second request would be sent to
/// another owner and run again.
///
/// At another entry instance the attempt number protects the caller: it is 1 plus the number of
/// earlier sendings whose outcome the caller does not know to be "not run". The owner runs a first
/// attempt of which it has no record, and answers "may have run" to a later attempt unless a
/// record proves that the earlier ones did not run.
#[derive(Debug, Default)]
pub(crate) struct RequestKeys {
    verdicts: Map<String, Verdict>,
    /// Invariant: contains exactly the keys of `verdicts`, in the order in which they first
    /// arrived.
    order: VecDeque<String>,
}

impl RequestKeys {
    /// Returns the verdict on an earlier request with this key: `MayHaveRun` while that request is
    /// open, `None` if there was none or it is proved that it did not run.
    pub(crate) fn get(&self, key: &str) -> Option<Verdict> {
        let verdict = self.verdicts.get(key).copied()?;
        (verdict != Verdict::NotRun).then_some(verdict)
    }

    /// Records that a request with this key starts.
    pub(crate) fn start(&mut self, key: &str) {
        let known = self.verdicts.insert(key.to_owned(), Verdict::MayHaveRun);
        if known.is_none() {
            self.order.push_back(key.to_owned());
        }
        if self.order.len() > MAX_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    /// Records the verdict on the finished request with this key. If it is proved that the request
    /// did not run, the key may be used again.
    pub(crate) fn end(&mut self, key: &str, verdict: Verdict) {
        if let Some(known) = self.verdicts.get_mut(key) {
            *known = verdict;
        }
    }
}
