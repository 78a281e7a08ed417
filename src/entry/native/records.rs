//! Reads of the platform's records.

use awc::Client;
use ladder_core::control::Event;
use ladder_core::control::reader::Read;
use ladder_schema::publication::Page;

use crate::entry::Shared;
use crate::entry::dialect::Publication;

/// Bytes of one page.
const PAGE_BYTES: usize = 64 * 1024 * 1024;

/// Reads of the platform's records.
pub(super) struct Records {
    shared: Shared,
    client: Client,
}

impl Records {
    /// Reads of the platform that the settings name.
    pub(super) fn new(shared: Shared) -> Self {
        Self { shared, client: Client::default() }
    }
}

impl Publication for Records {
    fn read(&self, read: Read) {
        let Read { after, wait, patience } = read;
        let platform = &self.shared.options.instance.platform_address;
        let wait_ms = wait.as_millis();
        let url = format!("http://{platform}/v1/records?after={after}&wait_ms={wait_ms}");
        let request = self.client.get(url).timeout(wait + patience).send();
        let shared = self.shared.clone();
        shared.metrics.platform_call();
        actix_rt::spawn(async move {
            shared.platform_read(match page(request).await {
                Some(page) => Event::Page(page),
                None => Event::WatchFailed,
            });
        });
    }
}

/// The page of a response, if it is one.
async fn page(request: awc::SendClientRequest) -> Option<Page> {
    let mut response = request.await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().limit(PAGE_BYTES).await.ok()
}
