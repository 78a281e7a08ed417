//! Reads records from the platform over HTTP.

use awc::Client;
use awc::http::StatusCode;
use ladder_core::control::Event;
use ladder_core::control::reader::Read;
use ladder_schema::publication::Page;

use crate::entry::Shared;
use crate::entry::dialect::Publication;

/// Largest accepted page of records, in bytes.
const MAX_PAGE_BYTES: usize = 64 * 1024 * 1024;

/// Reads records from the platform over HTTP.
pub(super) struct RecordsClient {
    shared: Shared,
    client: Client,
}

impl RecordsClient {
    /// Creates a client for the platform address in the settings.
    pub(super) fn new(shared: Shared) -> Self {
        Self { shared, client: Client::default() }
    }
}

impl Publication for RecordsClient {
    fn read(&self, read: Read) {
        let Read { after, wait, patience, .. } = read;
        let platform = &self.shared.options.instance.platform_address;
        let wait_ms = wait.as_millis();
        let url = format!("http://{platform}/v1/records?after={after}&wait_ms={wait_ms}");
        let request = self.client.get(url).timeout(wait + patience).send();
        let shared = self.shared.clone();
        shared.metrics.platform_call();
        actix_rt::spawn(async move {
            shared.platform_read(read_page(request).await.unwrap_or(Event::WatchFailed));
        });
    }
}

/// Returns the event that a response results in; `None` if the call failed or the response is not a
/// page.
async fn read_page(request: awc::SendClientRequest) -> Option<Event> {
    let mut response = request.await.ok()?;
    match response.status() {
        StatusCode::GONE => return Some(Event::WatchExpired),
        status if !status.is_success() => return None,
        _ => {}
    }
    response.json::<Page>().limit(MAX_PAGE_BYTES).await.ok().map(Event::Page)
}
