//! The operators' interfaces of the stand-ins: ledgers, faults, publications.

use std::time::Duration;

use awc::Client;
use ladder_schema::{publication, standin};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::layout::{self, Layout};

/// Bytes of the largest ledger that is read.
const LEDGER_BYTES: usize = 1 << 30;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Connections of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// Most that were open at once.
    pub connections: u32,
    /// Its limit.
    pub limit: u32,
}

/// A client for the operators' interfaces.
#[derive(Clone)]
pub struct Admin {
    client: Client,
}

impl Default for Admin {
    fn default() -> Self {
        let client = Client::builder().timeout(TIMEOUT).finish();
        Self { client }
    }
}

impl Admin {
    /// Reads the ledgers of all processes; one that answers nothing fails the read.
    pub async fn ledgers(&self, layout: &Layout) -> Result<Vec<standin::Ledger>, Error> {
        let mut ledgers = Vec::new();
        for process in &layout.processes {
            ledgers.push(self.get(&process.admin, "/admin/ledger").await?);
        }
        Ok(ledgers)
    }

    /// The most connections that each server had open at once, without its executions.
    pub async fn peaks(&self, layout: &Layout) -> Result<Vec<Peak>, Error> {
        let mut peaks = Vec::new();
        for process in &layout.processes {
            for target in &process.targets {
                let server = layout::server(target);
                let path = format!("/admin/ledger?server={}&least={}", server.name, u32::MAX);
                let ledger: standin::Ledger = self.get(&process.admin, &path).await?;
                peaks
                    .push(Peak { connections: ledger.peak_connections, limit: server.connections });
            }
        }
        Ok(peaks)
    }

    /// Replaces the faults in force at a server.
    pub async fn set_fault(
        &self,
        process: &str,
        server: &str,
        fault: &standin::Fault,
    ) -> Result<(), Error> {
        let path = format!("/admin/fault?server={server}");
        self.post(process, &path, fault).await
    }

    /// Publishes records through the platform; one without a revision gets the next one.
    pub async fn publish(
        &self,
        platform: &str,
        records: Vec<publication::Record>,
    ) -> Result<(), Error> {
        let page = publication::Page { records, ..publication::Page::default() };
        self.post(platform, "/admin/publish", &page).await
    }

    /// Reads a JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Error> {
        let body = self.body(address, path).await?;
        let failed = |cause: String| Error::Admin(format!("http://{address}{path}"), cause);
        serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
    }

    /// Reads an answer as text.
    pub async fn text(&self, address: &str, path: &str) -> Result<String, Error> {
        let body = self.body(address, path).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    async fn body(&self, address: &str, path: &str) -> Result<Vec<u8>, Error> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| Error::Admin(url.clone(), cause);
        let mut response =
            self.client.get(&url).send().await.map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(response.status().to_string()));
        }
        let body = response.body().limit(LEDGER_BYTES).await;
        let body = body.map_err(|error| failed(error.to_string()))?;
        Ok(body.to_vec())
    }

    async fn post<T: Serialize>(&self, address: &str, path: &str, body: &T) -> Result<(), Error> {
        let url = format!("http://{address}{path}");
        let failed = |cause: String| Error::Admin(url.clone(), cause);
        let response = self
            .client
            .post(&url)
            .send_json(body)
            .await
            .map_err(|error| failed(error.to_string()))?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(failed(response.status().to_string()))
        }
    }
}
