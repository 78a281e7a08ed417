//! Client for the operator interfaces of the stand-ins: reads ledgers, sets faults and publishes
//! records.

use std::time::Duration;

use awc::Client;
use ladder_schema::{publication, standin};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::layout::{self, Layout};

/// Largest response body that the client reads, in bytes; ledgers are the largest responses.
const MAX_BODY_BYTES: usize = 1 << 30;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection peak of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// Largest number of simultaneous connections of the server.
    pub connections: u32,
    /// Connection limit of the server.
    pub limit: u32,
}

/// HTTP client for the operator interfaces.
#[derive(Clone)]
pub struct Admin {
    client: Client,
}

impl Default for Admin {
    fn default() -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { client }
    }
}

impl Admin {
    /// Reads the ledgers of all target processes; fails if one process does not answer.
    pub async fn ledgers(&self, layout: &Layout) -> Result<Vec<standin::Ledger>, Error> {
        let mut ledgers = Vec::new();
        for process in &layout.processes {
            ledgers.push(self.get(&process.admin_address, "/admin/ledger").await?);
        }
        Ok(ledgers)
    }

    /// Reads the largest number of simultaneous connections of each server. The requests ask for no
    /// execution records, to keep the responses small.
    pub async fn peaks(&self, layout: &Layout) -> Result<Vec<Peak>, Error> {
        let mut peaks = Vec::new();
        for process in &layout.processes {
            for target in &process.targets {
                let server = layout::published_server(target);
                let path = format!("/admin/ledger?server={}&least={}", server.name, u32::MAX);
                let ledger: standin::Ledger = self.get(&process.admin_address, &path).await?;
                peaks
                    .push(Peak { connections: ledger.peak_connections, limit: server.connections });
            }
        }
        Ok(peaks)
    }

    /// Replaces the active faults of a server.
    pub async fn set_fault(
        &self,
        process: &str,
        server: &str,
        fault: &standin::Fault,
    ) -> Result<(), Error> {
        let path = format!("/admin/fault?server={server}");
        self.post(process, &path, fault).await.map(drop)
    }

    /// Publishes records through the platform stand-in, which assigns the next revision to records
    /// without one. Returns the platform's highest revision.
    pub async fn publish(
        &self,
        platform: &str,
        records: Vec<publication::Record>,
    ) -> Result<u64, Error> {
        let page = publication::Page { records, ..publication::Page::default() };
        let body = self.post(platform, "/admin/publish", &page).await?;
        let page: publication::Page = serde_json::from_slice(&body).map_err(|error| {
            Error::Admin(format!("http://{platform}/admin/publish"), error.to_string())
        })?;
        Ok(page.head)
    }

    /// Restores the platform stand-in's store from a copy that lacks all records above a revision.
    pub async fn restore(&self, platform: &str, copy: u64) -> Result<(), Error> {
        let path = format!("/admin/restore?copy={copy}");
        self.post(platform, &path, &standin::Mode::default()).await.map(drop)
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Error> {
        let body = self.fetch(address, path).await?;
        let admin_error = |cause: String| Error::Admin(format!("http://{address}{path}"), cause);
        serde_json::from_slice(&body).map_err(|error| admin_error(error.to_string()))
    }

    /// Sends a GET request and returns the response body as text.
    pub async fn text(&self, address: &str, path: &str) -> Result<String, Error> {
        let body = self.fetch(address, path).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    async fn fetch(&self, address: &str, path: &str) -> Result<Vec<u8>, Error> {
        let url = format!("http://{address}{path}");
        let admin_error = |cause: String| Error::Admin(url.clone(), cause);
        let mut response =
            self.client.get(&url).send().await.map_err(|error| admin_error(error.to_string()))?;
        if !response.status().is_success() {
            return Err(admin_error(response.status().to_string()));
        }
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| admin_error(error.to_string()))?;
        Ok(body.to_vec())
    }

    async fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<Vec<u8>, Error> {
        let url = format!("http://{address}{path}");
        let admin_error = |cause: String| Error::Admin(url.clone(), cause);
        let mut response = self
            .client
            .post(&url)
            .send_json(body)
            .await
            .map_err(|error| admin_error(error.to_string()))?;
        if !response.status().is_success() {
            return Err(admin_error(response.status().to_string()));
        }
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| admin_error(error.to_string()))?;
        Ok(body.to_vec())
    }
}
