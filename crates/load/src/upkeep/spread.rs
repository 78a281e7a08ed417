//! How fast a change of the catalogue is in force at every instance.

use std::time::{Duration, Instant};

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Page, Record};
use serde::{Deserialize, Serialize};

use super::process::{Range, range};
use crate::admin::Admin;
use crate::error::Error;
use crate::layout::Layout;

/// Single changes that are followed to every instance.
const CHANGES: usize = 20;
/// Between two followed changes.
const PAUSE: Duration = Duration::from_millis(300);
/// Between two looks at an instance.
const LOOK: Duration = Duration::from_millis(5);
/// Longest wait for a change to be in force.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time until a change is in force everywhere, counted from the moment before it is published.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Spread {
    /// Changes followed.
    pub changes: usize,
    /// Milliseconds until the last instance has it.
    pub milliseconds: Range,
}

/// All records the platform holds.
pub(super) async fn published(platform: &str) -> Result<Page, Error> {
    let client = Admin::default();
    client.get(platform, "/v1/records?after=0&wait_ms=0").await
}

/// Publishes changes of catalogue entries, one after another.
pub(super) struct Changer {
    client: Admin,
    platform: String,
    /// Invariant: not empty, each an entry.
    entries: Vec<Record>,
}

impl Changer {
    pub(super) fn new(platform: &str, entries: Vec<Record>) -> Result<Self, Error> {
        if entries.is_empty() {
            return Err(Error::Unknown("catalogue entry".to_owned()));
        }
        Ok(Self { client: Admin::default(), platform: platform.to_owned(), entries })
    }

    /// Publishes `rate` changes a second for `length`; one that fails is left out.
    pub(super) async fn keep_changing(&self, length: Duration, rate: f64) {
        let end = Instant::now() + length;
        let mut number = 0;
        while Instant::now() < end {
            let _ = self.change(number).await;
            number += 1;
            tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }

    /// Follows single changes until they are in force everywhere.
    pub(super) async fn measure(&self, layout: &Layout) -> Result<Spread, Error> {
        let mut times = Vec::with_capacity(CHANGES);
        for number in 0..CHANGES {
            tokio::time::sleep(PAUSE).await;
            let start = Instant::now();
            let head = self.change(number).await?;
            for instance in &layout.instances {
                self.wait(&instance.admin, head, start + PATIENCE).await?;
            }
            times.push(start.elapsed().as_secs_f64() * 1000.0);
        }
        Ok(Spread { changes: times.len(), milliseconds: range(times) })
    }

    /// Publishes the next change of an entry's queue limit; gives its revision.
    async fn change(&self, number: usize) -> Result<u64, Error> {
        let mut record = self.entries[number % self.entries.len()].clone();
        record.revision = 0;
        if let Some(Body::Entry(entry)) = &mut record.body
            && let Some(limits) = &mut entry.limits
        {
            limits.queue = 900 + u32::try_from(number % 100).unwrap_or(0);
        }
        self.client.publish(&self.platform, vec![record]).await?;
        let page: Page = self
            .client
            .get(&self.platform, "/v1/records?after=18446744073709551614&wait_ms=0")
            .await?;
        Ok(page.head)
    }

    /// Waits until an instance has the revision in force.
    async fn wait(&self, admin: &str, revision: u64, end: Instant) -> Result<(), Error> {
        loop {
            let text = self.client.text(admin, "/revision").await?;
            if text.trim().parse::<u64>().is_ok_and(|found| found >= revision) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(Error::Admin(admin.to_owned(), format!("still at {text}")));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
