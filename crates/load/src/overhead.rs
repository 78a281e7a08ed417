//! Measures the latency that the tier adds to a single query at low load: the same query is sent
//! alternately directly to a server and through an instance.

use std::path::Path;
use std::time::{Duration, Instant};

use awc::Client;
use hdrhistogram::Histogram;
use ladder_schema::{call, target};
use serde::Serialize;

use crate::error::Error;
use crate::layout::{self, Layout};
use crate::ready;

/// Number of warm-up queries on each path, which are not measured.
const WARMUP_QUERIES: usize = 200;
/// Number of measured queries on each path.
const MEASURED_QUERIES: usize = 3000;
/// Pause between two queries, so that no query ever waits in a queue.
const QUERY_PAUSE: Duration = Duration::from_millis(1);
/// Deadline of a query, in milliseconds.
const DEADLINE_MS: u32 = 5000;
/// Largest latency that the histogram can distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Longest wait until all processes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Latency at two quantiles, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Latency {
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile latency in microseconds.
    pub p99_us: u64,
}

/// Latency of the same query directly and through the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Number of measured queries on each path.
    pub queries: usize,
    /// Latency of queries sent directly to the server.
    pub direct: Latency,
    /// Latency of queries sent through an instance.
    pub tier: Latency,
}

/// Query that is sent on both paths.
struct Probe {
    client: Client,
    instance: String,
    server: String,
    index: String,
    version: u64,
    shard: String,
    operation: String,
}

/// Measures the latency with an idempotent operation on the first shard of the layout; must be
/// called outside any actix system.
///
/// # Errors
///
/// [`Error`] when the layout has no index, shard, server or idempotent operation to use, or a query
/// fails.
pub fn execute(run_file: &Path) -> Result<Overhead, Error> {
    ready::wait(run_file, READY_TIMEOUT)?;
    let layout = Layout::read(run_file)?;
    actix_rt::System::new().block_on(async {
        let probe = Probe::new(&layout)?;
        let mut direct = histogram()?;
        let mut tier = histogram()?;
        for number in 0..WARMUP_QUERIES + MEASURED_QUERIES {
            let direct_latency = probe.direct(number).await?;
            tokio::time::sleep(QUERY_PAUSE).await;
            let tier_latency = probe.tier(number).await?;
            tokio::time::sleep(QUERY_PAUSE).await;
            if number >= WARMUP_QUERIES {
                direct.saturating_record(micros(direct_latency));
                tier.saturating_record(micros(tier_latency));
            }
        }
        Ok(Overhead {
            queries: MEASURED_QUERIES,
            direct: quantiles(&direct),
            tier: quantiles(&tier),
        })
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
            server: layout::published_server(server).address,
            index: index.name.clone(),
            version: index.version,
            shard: shard.name.clone(),
            operation: operation.ok_or_else(|| missing("operation"))?.name.clone(),
        })
    }

    /// Returns the latency of one query sent directly to the server.
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
        self.time_query(&self.server, &request).await
    }

    /// Returns the latency of one query sent through an instance.
    async fn tier(&self, number: usize) -> Result<Duration, Error> {
        let request = call::Request {
            key: format!("overhead-tier-{number}"),
            index: self.index.clone(),
            operation: self.operation.clone(),
            shards: vec![self.shard.clone()],
            deadline_ms: DEADLINE_MS,
            ..call::Request::default()
        };
        self.time_query(&self.instance, &request).await
    }

    async fn time_query(
        &self,
        address: &str,
        request: &impl serde::Serialize,
    ) -> Result<Duration, Error> {
        let url = format!("http://{address}/query");
        let query_error = |cause: String| Error::Admin(url.clone(), cause);
        let start = Instant::now();
        let result = self.client.post(&url).send_json(request).await;
        let mut response = result.map_err(|error| query_error(error.to_string()))?;
        response.body().await.map_err(|error| query_error(error.to_string()))?;
        if response.status().is_success() {
            Ok(start.elapsed())
        } else {
            Err(query_error(response.status().to_string()))
        }
    }
}

/// Creates a histogram of latencies in microseconds with three significant digits.
fn histogram() -> Result<Histogram<u64>, Error> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).map_err(|error| Error::Plot(error.to_string()))
}

fn quantiles(histogram: &Histogram<u64>) -> Latency {
    Latency { p50_us: histogram.value_at_quantile(0.5), p99_us: histogram.value_at_quantile(0.99) }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
