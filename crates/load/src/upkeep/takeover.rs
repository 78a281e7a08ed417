//! Measures the effect on callers when the owner of services is killed.

use std::time::{Duration, Instant};

use awc::Client;
use ladder_schema::{call, status};
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};

use crate::admin::Admin;
use crate::error::Error;
use crate::layout::Layout;

/// Time after the kill during which queries are sent.
const QUERY_PERIOD: Duration = Duration::from_secs(6);
/// Delay between two queries, and between two reads of the observer's status.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of a query, in milliseconds.
const DEADLINE_MS: u32 = 5000;
/// Longest wait until the observing instance reports new owners.
const OWNER_CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interruption of services whose owner was killed.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Takeover {
    /// Number of services that the killed instance owned.
    pub services: usize,
    /// Number of queries to these services, sent through other instances after the kill.
    pub queries: usize,
    /// Number of queries without a complete answer.
    pub incomplete: usize,
    /// Longest latency of a query in milliseconds; an upper bound of the time for which a service
    /// was not available.
    pub longest_ms: f64,
    /// Time until one of the other instances reports other owners for all these services, in
    /// milliseconds.
    pub new_owner_ms: f64,
}

/// Kills the last instance and sends queries for its services through the other instances.
pub(super) async fn measure(layout: &Layout, processes: &[u32]) -> Result<Takeover, Error> {
    let (Some(killed_instance), Some(id)) = (layout.instances.last(), processes.last()) else {
        return Err(Error::Unknown("instance".to_owned()));
    };
    let client = Admin::default();
    let observer = &layout.instances[0];
    let owned = services_owned_by(&client, &observer.admin_address, &killed_instance.name).await?;
    let id = i32::try_from(*id).ok().and_then(Pid::from_raw);
    let killed = id.map(|id| kill_process(id, Signal::KILL));
    if !matches!(killed, Some(Ok(()))) {
        return Err(Error::Unknown(format!("process of {}", killed_instance.name)));
    }
    let start = Instant::now();
    let owner_change = wait_for_owner_change(
        client,
        observer.admin_address.clone(),
        killed_instance.name.clone(),
        start,
    );
    let owner_change = actix_rt::spawn(owner_change);
    let mut queries = Vec::new();
    let shards = shards(layout, &owned);
    for (number, (index, operation, shard)) in shards.iter().cycle().enumerate() {
        if start.elapsed() > QUERY_PERIOD || shards.is_empty() {
            break;
        }
        let instance = &layout.instances[number % (layout.instances.len() - 1)];
        let request = call::Request {
            key: format!("takeover-{number}"),
            index: index.clone(),
            operation: operation.clone(),
            shards: vec![shard.clone()],
            deadline_ms: DEADLINE_MS,
            ..call::Request::default()
        };
        queries.push(actix_rt::spawn(send_query(instance.address.clone(), request)));
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
    let new_owner_ms = owner_change.await.map_err(|_| Error::Thread)??;
    let mut takeover = Takeover { services: owned.len(), new_owner_ms, ..Takeover::default() };
    for query in queries {
        let (complete, latency) = query.await.map_err(|_| Error::Thread)?;
        takeover.queries += 1;
        takeover.incomplete += usize::from(!complete);
        takeover.longest_ms = takeover.longest_ms.max(latency.as_secs_f64() * 1000.0);
    }
    Ok(takeover)
}

/// Returns the services that `owner` owns according to the instance at `admin_address`.
async fn services_owned_by(
    client: &Admin,
    admin_address: &str,
    owner: &str,
) -> Result<Vec<String>, Error> {
    let status: status::Instance = client.get(admin_address, "/status").await?;
    let owned = status.services.into_iter().filter(|service| service.owner == owner);
    Ok(owned.map(|service| service.name).collect())
}

/// Returns the milliseconds from `start` until the instance at `admin_address` reports `old_owner`
/// as the owner of no service.
async fn wait_for_owner_change(
    client: Admin,
    admin_address: String,
    old_owner: String,
    start: Instant,
) -> Result<f64, Error> {
    while !services_owned_by(&client, &admin_address, &old_owner).await?.is_empty() {
        if start.elapsed() > OWNER_CHANGE_TIMEOUT {
            return Err(Error::Admin(admin_address, format!("still names {old_owner}")));
        }
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
    Ok(start.elapsed().as_secs_f64() * 1000.0)
}

/// Returns an index, an idempotent operation and a shard for each shard of the services.
fn shards(layout: &Layout, services: &[String]) -> Vec<(String, String, String)> {
    let mut shards = Vec::new();
    for index in layout.indexes() {
        for shard in index.shards.iter().filter(|shard| services.contains(&shard.service)) {
            let entry = layout.entries().find(|entry| entry.service == shard.service);
            let operation = entry.and_then(|entry| {
                entry.operations.iter().find(|operation| !operation.unrepeatable)
            });
            if let Some(operation) = operation {
                shards.push((index.name.clone(), operation.name.clone(), shard.name.clone()));
            }
        }
    }
    shards
}

/// Sends one query; returns whether its answer is complete, and its latency.
async fn send_query(address: String, request: call::Request) -> (bool, Duration) {
    let start = Instant::now();
    let url = format!("http://{address}/query");
    let timeout = Duration::from_millis(u64::from(DEADLINE_MS) + 1000);
    let response = Client::new().post(url).timeout(timeout).send_json(&request).await;
    let complete = match response {
        Ok(mut response) => {
            let answer = response.json::<call::Answer>().await;
            answer.is_ok_and(|answer| !answer.covered.is_empty() && answer.missing.is_empty())
        }
        Err(_) => false,
    };
    (complete, start.elapsed())
}
