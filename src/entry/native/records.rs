//! Reads records from the platform over HTTP.

use std::collections::BTreeMap;

use awc::Client;
use awc::http::StatusCode;
use ladder_core::control::Event;
use ladder_core::control::reader::Read;
use ladder_schema::publication::{Page, Record};
use serde::Deserialize;
use serde_json::value::RawValue;

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
    let Ok(body) = response.body().limit(MAX_PAGE_BYTES).await else {
        return Event::WatchFailed;
    };
    decode_page(&body).map_or(Event::WatchFailed, Event::Page)
}

/// Decodes a page of records.
///
/// A record that cannot be decoded becomes one without a body, which is refused and reported. If it
/// made the whole page unreadable, no later change would be read either.
///
/// # Errors
///
/// The error of the decoder if the page itself is not valid.
pub fn decode_page(body: &[u8]) -> Result<Page, serde_json::Error> {
    let mut fields: BTreeMap<String, &RawValue> = serde_json::from_slice(body)?;
    let records: Vec<&RawValue> = match fields.remove("records") {
        Some(records) => serde_json::from_str(records.get())?,
        None => Vec::new(),
    };
    let page: Page = serde_json::from_str(&serde_json::to_string(&fields)?)?;
    let records = records.into_iter().map(|record| decode_record(record.get())).collect();
    Ok(Page { records, ..page })
}

fn decode_record(text: &str) -> Record {
    serde_json::from_str(text).unwrap_or_else(|_| Record {
        revision: decode_revision(text).unwrap_or_default(),
        ..Record::default()
    })
}

/// Returns the revision of a record of which other fields cannot be decoded.
fn decode_revision(text: &str) -> Option<u64> {
    #[derive(Deserialize)]
    struct Revision<'a> {
        #[serde(borrow)]
        revision: &'a RawValue,
    }
    let Revision { revision } = serde_json::from_str(text).ok()?;
    revision.get().trim_matches('"').parse().ok()
}
