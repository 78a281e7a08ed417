//! What the tier adds to the latency of a single query at low load: the same query is sent in turn
//! through an instance and straight to a server.

use std::path::Path;
use std::time::{Duration, Instant};

use awc::Client;
use hdrhistogram::Histogram;
use ladder_schema::{call, target};
use serde::Serialize;

use crate::error::Error;
use crate::layout::{self, Layout};
use crate::ready;

/// Queries before the measured ones, each way.
const WARMUP: usize = 200;
/// Measured queries, each way.
const QUERIES: usize = 3000;
/// Pause between two queries: no queue anywhere.
const PAUSE: Duration = Duration::from_millis(1);
/// Deadline of a query, in milliseconds.
const DEADLINE_MS: u32 = 5000;
/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Longest wait for the processes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Microseconds at two quantiles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// Both ways side by side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Queries each way.
    pub queries: usize,
    /// Straight to the server.
    pub direct: Latency,
    /// Through an instance.
    pub tier: Latency,
}

/// One query both ways.
struct Probe {
    client: Client,
    instance: String,
    server: String,
    index: String,
    version: u64,
    shard: String,
    operation: String,
}

/// Measures with the first repeatable operation of the layout; outside any actix system.
///
/// # Errors
///
/// [`Error`] when the layout lacks what is needed or a query fails.
pub fn execute(run: &Path) -> Result<Overhead, Error> {
    ready::wait(run, PATIENCE)?;
    let layout = Layout::read(run)?;
    actix_rt::System::new().block_on(async {
        let probe = Probe::new(&layout)?;
        let mut direct = histogram()?;
        let mut tier = histogram()?;
        for number in 0..WARMUP + QUERIES {
            let straight = probe.direct(number).await?;
            tokio::time::sleep(PAUSE).await;
            let through = probe.tier(number).await?;
            tokio::time::sleep(PAUSE).await;
            if number >= WARMUP {
                direct.saturating_record(micros(straight));
                tier.saturating_record(micros(through));
            }
        }
        Ok(Overhead { queries: QUERIES, direct: latency(&direct), tier: latency(&tier) })
    })
}

impl Probe {
    fn new(layout: &Layout) -> Result<Self, Error> {
        let missing = |what: &str| Error::Unknown(what.to_owned());
        let index = layout.indexes().next().ok_or_else(|| missing("index"))?;
        let shard = index.shards.first().ok_or_else(|| missing("shard"))?;
        let entry = layout.entries().find(|entry| entry.service == shard.service);
        let mut operations = entry.into_iter().flat_map(|entry| &entry.operations);
        let operation = operations.find(|operation| !operation.unrepeatable);
        let servers = layout.servers(&shard.service);
        let server = servers.first().ok_or_else(|| missing("server"))?;
        Ok(Self {
            client: Client::default(),
            instance: layout.instances[0].address.clone(),
            server: layout::server(server).address,
            index: index.name.clone(),
            version: index.version,
            shard: shard.name.clone(),
            operation: operation.ok_or_else(|| missing("operation"))?.name.clone(),
        })
    }

    /// Time of one query straight to the server.
    async fn direct(&self, number: usize) -> Result<Duration, Error> {
        let request = target::Request {
            id: format!("overhead-{number}"),
            key: format!("overhead-direct-{number}"),
            index: self.index.clone(),
            version: self.version,
            shards: vec![self.shard.clone()],
            operation: self.operation.clone(),
            deadline_ms: DEADLINE_MS,
            payload: String::new(),
            message: None,
        };
        self.time(&self.server, &request).await
    }

    /// Time of one query through an instance.
    async fn tier(&self, number: usize) -> Result<Duration, Error> {
        let request = call::Request {
            key: format!("overhead-tier-{number}"),
            index: self.index.clone(),
            operation: self.operation.clone(),
            shards: vec![self.shard.clone()],
            deadline_ms: DEADLINE_MS,
            ..call::Request::default()
        };
        self.time(&self.instance, &request).await
    }

    async fn time(
        &self,
        address: &str,
        request: &impl serde::Serialize,
    ) -> Result<Duration, Error> {
        let url = format!("http://{address}/query");
        let failed = |cause: String| Error::Admin(url.clone(), cause);
        let start = Instant::now();
        let sent = self.client.post(&url).send_json(request).await;
        let mut response = sent.map_err(|error| failed(error.to_string()))?;
        response.body().await.map_err(|error| failed(error.to_string()))?;
        if response.status().is_success() {
            Ok(start.elapsed())
        } else {
            Err(failed(response.status().to_string()))
        }
    }
}

/// A histogram of microseconds with three significant digits.
fn histogram() -> Result<Histogram<u64>, Error> {
    Histogram::new_with_max(LONGEST_US, 3).map_err(|error| Error::Plot(error.to_string()))
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    Latency { p50_us: histogram.value_at_quantile(0.5), p99_us: histogram.value_at_quantile(0.99) }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
