//! Builds the response to a forwarded message from the parts that its servers returned.

use ladder_schema::call::{Answer, Part, Response};

use crate::records;
use crate::route::Route;

/// HTTP status of a merged response.
const STATUS_OK: u32 = 200;

/// Fills in the response of an answer to a forwarded message.
///
/// The response to a sweep contains the greatest records of its parts, and the answer lists the
/// parts' signatures; with fewer parts than the route's floor there is no response. Any other
/// message has one part, which is passed on as the server returned it.
pub(crate) fn fill_response(route: &Route, answer: &mut Answer) {
    let parts = std::mem::take(&mut answer.parts);
    if !route.is_sweep() {
        answer.response = parts.into_iter().next().and_then(|part| part.response);
        return;
    }
    if parts.len() < route.floor(parts.len() + answer.missing.len()) {
        answer.covered.clear();
        return;
    }
    let responses = || parts.iter().filter_map(|part: &Part| part.response.as_ref());
    let top = route.spec.top as usize;
    let body = records::greatest(responses().map(|response| &response.body), top);
    answer.stamps = responses().map(|response| response.stamp.clone()).collect();
    answer.response = Some(Response { status: STATUS_OK, body, ..Response::default() });
}
