//! Measures how fast a change of the catalogue is applied by all instances.

use std::time::{Duration, Instant};

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Page, Record};
use ladder_schema::status;
use serde::{Deserialize, Serialize};

use super::process::{Range, range};
use crate::admin::Admin;
use crate::error::Error;
use crate::layout::Layout;

/// Number of changes whose propagation to all instances is measured.
const MEASURED_CHANGES: usize = 20;
/// Number of changes that a restoration of the platform's store loses.
const LOST_CHANGES: u64 = 3;
/// Delay before each measured change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay between two reads of an instance's revision.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait until an instance has applied a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time until a change is applied by all instances, counted from just before its publication.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Spread {
    /// Number of measured changes.
    pub changes: usize,
    /// Milliseconds until the last instance has applied the change.
    pub milliseconds: Range,
}

/// Reads all records that the platform has published.
pub(super) async fn published(platform: &str) -> Result<Page, Error> {
    let client = Admin::default();
    client.get(platform, "/v1/records?after=0&wait_ms=0").await
}

/// Publishes changes of catalogue entries, one after another.
pub(super) struct Changer {
    client: Admin,
    platform: String,
    /// Catalogue entries that are changed in turn. Invariant: not empty, and each record is a
    /// catalogue entry.
    entries: Vec<Record>,
}

impl Changer {
    pub(super) fn new(platform: &str, entries: Vec<Record>) -> Result<Self, Error> {
        if entries.is_empty() {
            return Err(Error::Unknown("catalogue entry".to_owned()));
        }
        Ok(Self { client: Admin::default(), platform: platform.to_owned(), entries })
    }

    /// Publishes `rate` changes per second for `length`; a change whose publication fails is
    /// skipped.
    pub(super) async fn keep_changing(&self, length: Duration, rate: f64) {
        let end = Instant::now() + length;
        let mut number = 0;
        while Instant::now() < end {
            let _ = self.publish_change(number).await;
            number += 1;
            tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }

    /// Publishes single changes and measures the time until all instances have applied each.
    pub(super) async fn measure(&self, layout: &Layout) -> Result<Spread, Error> {
        let mut times = Vec::with_capacity(MEASURED_CHANGES);
        for number in 0..MEASURED_CHANGES {
            tokio::time::sleep(CHANGE_INTERVAL).await;
            let start = Instant::now();
            let revision = self.publish_change(number).await?;
            for instance in &layout.instances {
                self.wait_for_revision(&instance.admin_address, revision, start + CHANGE_TIMEOUT)
                    .await?;
            }
            times.push(start.elapsed().as_secs_f64() * 1000.0);
        }
        Ok(Spread { changes: times.len(), milliseconds: range(times) })
    }

    /// Publishes a change of one entry's queue limit; returns the platform's newest revision.
    async fn publish_change(&self, number: usize) -> Result<u64, Error> {
        let mut record = self.entries[number % self.entries.len()].clone();
        record.revision = 0;
        if let Some(Body::Entry(entry)) = &mut record.body
            && let Some(limits) = &mut entry.limits
        {
            limits.queue = 900 + u32::try_from(number % 100).unwrap_or(0);
        }
        self.client.publish(&self.platform, vec![record]).await
    }

    /// Restores the platform's store from a copy that lacks the last changes, and publishes one
    /// change in their place. Returns the milliseconds until all instances have applied it.
    pub(super) async fn drill(&self, layout: &Layout) -> Result<f64, Error> {
        let head = self.publish_change(MEASURED_CHANGES).await?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
        self.client.restore(&self.platform, head - LOST_CHANGES).await?;
        let start = Instant::now();
        let revision = self.publish_change(MEASURED_CHANGES + 1).await?;
        for instance in &layout.instances {
            loop {
                let status: status::Instance =
                    self.client.get(&instance.admin_address, "/status").await?;
                if status.era > 1 && status.revision == revision {
                    break;
                }
                if start.elapsed() > CHANGE_TIMEOUT {
                    let cause = format!("revision {} of era {}", status.revision, status.era);
                    return Err(Error::Admin(instance.admin_address.clone(), cause));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(start.elapsed().as_secs_f64() * 1000.0)
    }

    /// Waits until an instance has applied the revision.
    async fn wait_for_revision(
        &self,
        admin_address: &str,
        revision: u64,
        deadline: Instant,
    ) -> Result<(), Error> {
        loop {
            let text = self.client.text(admin_address, "/revision").await?;
            if text.trim().parse::<u64>().is_ok_and(|applied| applied >= revision) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(Error::Admin(admin_address.to_owned(), format!("still at {text}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
