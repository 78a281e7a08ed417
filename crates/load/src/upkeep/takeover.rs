//! What callers meet right after the owner of services is killed.

use std::time::{Duration, Instant};

use awc::Client;
use ladder_schema::{call, status};
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};

use crate::admin::Admin;
use crate::error::Error;
use crate::layout::Layout;

/// How long queries are sent after the kill.
const LENGTH: Duration = Duration::from_secs(6);
/// Between two queries.
const PAUSE: Duration = Duration::from_millis(10);
/// Deadline of a query, in milliseconds.
const DEADLINE_MS: u32 = 5000;
/// Longest wait for the other instances to name a new owner.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long a dead owner's services wait.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Takeover {
    /// Services that the killed instance owned.
    pub services: usize,
    /// Queries to them, sent at other instances after the kill.
    pub queries: usize,
    /// Queries without a complete answer.
    pub incomplete: usize,
    /// Longest latency in milliseconds: no service was unused for longer.
    pub longest_ms: f64,
    /// Milliseconds until a survivor's view names other owners for all.
    pub new_owner_ms: f64,
}

/// Kills the last instance and asks the others for what it owned.
pub(super) async fn measure(layout: &Layout, processes: &[u32]) -> Result<Takeover, Error> {
    let (Some(victim), Some(id)) = (layout.instances.last(), processes.last()) else {
        return Err(Error::Unknown("instance".to_owned()));
    };
    let client = Admin::default();
    let witness = &layout.instances[0];
    let owned = owned(&client, &witness.admin, &victim.name).await?;
    let id = i32::try_from(*id).ok().and_then(Pid::from_raw);
    let killed = id.map(|id| kill_process(id, Signal::KILL));
    if !matches!(killed, Some(Ok(()))) {
        return Err(Error::Unknown(format!("process of {}", victim.name)));
    }
    let start = Instant::now();
    let watch = renamed(client, witness.admin.clone(), victim.name.clone(), start);
    let watch = actix_rt::spawn(watch);
    let mut queries = Vec::new();
    let shards = shards(layout, &owned);
    for (number, (index, operation, shard)) in shards.iter().cycle().enumerate() {
        if start.elapsed() > LENGTH || shards.is_empty() {
            break;
        }
        let alive = &layout.instances[number % (layout.instances.len() - 1)];
        let request = call::Request {
            key: format!("takeover-{number}"),
            index: index.clone(),
            operation: operation.clone(),
            shards: vec![shard.clone()],
            deadline_ms: DEADLINE_MS,
            ..call::Request::default()
        };
        queries.push(actix_rt::spawn(query(alive.address.clone(), request)));
        tokio::time::sleep(PAUSE).await;
    }
    let new_owner_ms = watch.await.map_err(|_| Error::Thread)??;
    let mut takeover = Takeover { services: owned.len(), new_owner_ms, ..Takeover::default() };
    for query in queries {
        let (complete, latency) = query.await.map_err(|_| Error::Thread)?;
        takeover.queries += 1;
        takeover.incomplete += usize::from(!complete);
        takeover.longest_ms = takeover.longest_ms.max(latency.as_secs_f64() * 1000.0);
    }
    Ok(takeover)
}

/// Services that `owner` owns in the view of the instance at `admin`.
async fn owned(client: &Admin, admin: &str, owner: &str) -> Result<Vec<String>, Error> {
    let status: status::Instance = client.get(admin, "/status").await?;
    let owned = status.services.into_iter().filter(|service| service.owner == owner);
    Ok(owned.map(|service| service.name).collect())
}

/// Milliseconds from `start` until the instance at `admin` names nobody's owner `gone`.
async fn renamed(client: Admin, admin: String, gone: String, start: Instant) -> Result<f64, Error> {
    while !owned(&client, &admin, &gone).await?.is_empty() {
        if start.elapsed() > PATIENCE {
            return Err(Error::Admin(admin, format!("still names {gone}")));
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(start.elapsed().as_secs_f64() * 1000.0)
}

/// Index, a repeatable operation and shard of each service.
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

/// Sends one query; whether its answer is complete, and how long it took.
async fn query(address: String, request: call::Request) -> (bool, Duration) {
    let start = Instant::now();
    let url = format!("http://{address}/query");
    let limit = Duration::from_millis(u64::from(DEADLINE_MS) + 1000);
    let response = Client::new().post(url).timeout(limit).send_json(&request).await;
    let complete = match response {
        Ok(mut response) => {
            let answer = response.json::<call::Answer>().await;
            answer.is_ok_and(|answer| !answer.covered.is_empty() && answer.missing.is_empty())
        }
        Err(_) => false,
    };
    (complete, start.elapsed())
}
