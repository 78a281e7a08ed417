//! Reads records from the platform over HTTP.

use awc::Client;
use awc::http::StatusCode;
use ladder_core::control::Event;
use ladder_core::control::reader::Read;
use ladder_schema::publication::Page;

use crate::entry::Shared;
use crate::entry::dialect::Publication;
use crate::http;

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
            shared.platform_read(read_page(request).await);
        });
    }
}

/// Returns the event that a call results in.
async fn read_page(request: awc::SendClientRequest) -> Event {
    let mut response = match request.await {
        Ok(response) => response,
        Err(error) if http::is_disconnect(&error) => return Event::WatchCut,
        Err(_) => return Event::WatchFailed,
    };
    match response.status() {
        StatusCode::GONE => return Event::WatchExpired,
        status if !status.is_success() => return Event::WatchFailed,
        _ => {}
    }
    let page = response.json::<Page>().limit(MAX_PAGE_BYTES).await;
    page.map_or(Event::WatchFailed, Event::Page)
}
