//! Faults that a run injects according to a schedule.

use std::str::FromStr;
use std::time::{Duration, Instant};

use ladder_schema::publication::record::Body;
use ladder_schema::{publication, standin};

use crate::admin::Admin;
use crate::error::Error;
use crate::layout::{self, Layout};

/// Factor by which the `slowdown` and `lying` faults multiply the service time of a server.
const SLOWDOWN_FACTOR: u32 = 5;
/// Delay between two servers in the rollout of an index version.
const ROLLOUT_GAP: Duration = Duration::from_millis(20);
/// Time for which the servers serve both the old and the new version of an index.
const VERSION_OVERLAP: Duration = Duration::from_secs(2);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The server closes every connection and accepts no new one.
    Dead,
    /// The server refuses new work and reports that it is leaving.
    Leaving,
    /// The server rejects all requests as overloaded.
    Shedding,
    /// The server answers every request with status 500 at once and reports no load.
    Failing,
    /// The server is five times slower and reports no load.
    Lying,
    /// The server is five times slower.
    Slowdown,
    /// The server accepts requests and never answers them.
    Silent,
    /// All faults of the server are removed.
    Clear,
    /// The next version of an index is published. The servers of the index load it one after
    /// another; two seconds after the last of them, they drop the old version one after another.
    Version,
}

/// Fault of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Time of the fault, counted from the start of the schedule.
    pub start_offset: Duration,
    /// Kind of the fault.
    pub kind: Kind,
    /// Name of the server, or of the index for [`Kind::Version`].
    pub name: String,
}

impl FromStr for Fault {
    type Err = Error;

    /// Parses `AT_S:KIND:NAME`; `AT_S` is the time of the fault in seconds.
    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Fault(text.to_owned());
        let mut fields = text.splitn(3, ':');
        let seconds: f64 =
            fields.next().and_then(|seconds| seconds.parse().ok()).ok_or_else(invalid)?;
        let kind = fields.next().and_then(parse_kind).ok_or_else(invalid)?;
        let name = fields.next().filter(|name| !name.is_empty()).ok_or_else(invalid)?;
        Ok(Self {
            start_offset: Duration::try_from_secs_f64(seconds).map_err(|_| invalid())?,
            kind,
            name: name.to_owned(),
        })
    }
}

fn parse_kind(text: &str) -> Option<Kind> {
    Some(match text {
        "dead" => Kind::Dead,
        "leaving" => Kind::Leaving,
        "shedding" => Kind::Shedding,
        "failing" => Kind::Failing,
        "lying" => Kind::Lying,
        "slowdown" => Kind::Slowdown,
        "silent" => Kind::Silent,
        "clear" => Kind::Clear,
        "version" => Kind::Version,
        _ => return None,
    })
}

/// Returns the request that sets the fault at the target stand-in; without any fault for
/// [`Kind::Version`].
fn standin_fault(kind: Kind) -> standin::Fault {
    standin::Fault {
        leaving: kind == Kind::Leaving,
        dead: kind == Kind::Dead,
        failing: kind == Kind::Failing,
        shedding: kind == Kind::Shedding,
        lying: kind == Kind::Lying,
        slowdown: if matches!(kind, Kind::Lying | Kind::Slowdown) { SLOWDOWN_FACTOR } else { 0 },
        silent: kind == Kind::Silent,
        ..standin::Fault::default()
    }
}

/// Injects all faults at their times after `start`, in chronological order.
pub async fn inject(layout: &Layout, faults: &[Fault], start: Instant) -> Result<(), Error> {
    let admin = Admin::default();
    let mut faults = faults.to_vec();
    faults.sort_by_key(|fault| fault.start_offset);
    for fault in faults {
        tokio::time::sleep_until((start + fault.start_offset).into()).await;
        if fault.kind == Kind::Version {
            change_version(&admin, layout, &fault.name).await?;
        } else {
            let process =
                layout.process_of(&fault.name).ok_or_else(|| Error::Unknown(fault.name.clone()))?;
            let fault_request = standin_fault(fault.kind);
            admin.set_fault(&process.admin_address, &fault.name, &fault_request).await?;
        }
    }
    Ok(())
}

async fn change_version(admin: &Admin, layout: &Layout, index_name: &str) -> Result<(), Error> {
    let old_index = layout
        .indexes()
        .filter(|index| index.name == index_name)
        .max_by_key(|index| index.version)
        .ok_or_else(|| Error::Unknown(index_name.to_owned()))?;
    let new_index = publication::Index { version: old_index.version + 1, ..old_index.clone() };
    let (old_version, new_version) = (old_index.version, new_index.version);
    publish(admin, layout, Body::Index(new_index)).await?;
    roll_out(admin, layout, old_index, &[old_version, new_version]).await?;
    tokio::time::sleep(VERSION_OVERLAP).await;
    roll_out(admin, layout, old_index, &[new_version]).await
}

/// Makes the servers of an index hold exactly these versions of the index, one server after
/// another.
async fn roll_out(
    admin: &Admin,
    layout: &Layout,
    index: &publication::Index,
    versions: &[u64],
) -> Result<(), Error> {
    for process in &layout.processes {
        for target in &process.targets {
            let mut server = layout::published_server(target);
            if !index.shards.iter().any(|shard| shard.service == server.service) {
                continue;
            }
            server.holdings = holdings(&server, index, versions);
            let fault =
                standin::Fault { holdings: server.holdings.clone(), ..standin::Fault::default() };
            admin.set_fault(&process.admin_address, &server.name, &fault).await?;
            publish(admin, layout, Body::Server(server)).await?;
            tokio::time::sleep(ROLLOUT_GAP).await;
        }
    }
    Ok(())
}

fn holdings(
    server: &publication::Server,
    index: &publication::Index,
    versions: &[u64],
) -> Vec<publication::Holding> {
    let other_holdings = server.holdings.iter().filter(|holding| holding.index != index.name);
    let new_holdings = versions
        .iter()
        .map(|version| publication::Holding { index: index.name.clone(), version: *version });
    other_holdings.cloned().chain(new_holdings).collect()
}

async fn publish(admin: &Admin, layout: &Layout, body: Body) -> Result<(), Error> {
    let record =
        publication::Record { revision: 0, body: Some(body), ..publication::Record::default() };
    admin.publish(&layout.platform, vec![record]).await.map(drop)
}
