//! Faults that a run injects on a schedule.

use std::str::FromStr;
use std::time::{Duration, Instant};

use ladder_schema::publication::record::Body;
use ladder_schema::{publication, standin};

use crate::admin::Admin;
use crate::error::Error;
use crate::layout::{self, Layout};

/// How many times slower a slowed server is.
const SLOWDOWN: u32 = 5;
/// Between two servers that load a new index version.
const ROLLOUT_GAP: Duration = Duration::from_millis(20);
/// How long a server holds both versions.
const OVERLAP: Duration = Duration::from_secs(2);

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A server closes every connection and accepts none.
    Dead,
    /// A server refuses new work and reports that it leaves.
    Leaving,
    /// A server sheds everything.
    Shedding,
    /// A server answers 500 at once and reports no load.
    Failing,
    /// A server is five times slower and reports no load.
    Lying,
    /// A server is five times slower.
    Slowdown,
    /// A server takes requests and never answers.
    Silent,
    /// A server works again.
    Clear,
    /// The next version of an index is published; its servers load it one after another and drop
    /// the old one two seconds later.
    Version,
}

/// One fault on the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When, after the start.
    pub at: Duration,
    /// What happens.
    pub kind: Kind,
    /// The server, or the index for [`Kind::Version`].
    pub name: String,
}

impl FromStr for Fault {
    type Err = Error;

    /// Reads `AT_S:KIND:NAME`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error::Fault(text.to_owned());
        let mut fields = text.splitn(3, ':');
        let at: f64 = fields.next().and_then(|at| at.parse().ok()).ok_or_else(wrong)?;
        let kind = fields.next().and_then(kind).ok_or_else(wrong)?;
        let name = fields.next().filter(|name| !name.is_empty()).ok_or_else(wrong)?;
        Ok(Self {
            at: Duration::try_from_secs_f64(at).map_err(|_| wrong())?,
            kind,
            name: name.to_owned(),
        })
    }
}

fn kind(text: &str) -> Option<Kind> {
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

/// The message to the target stand-in; nothing for [`Kind::Version`].
fn message(kind: Kind) -> standin::Fault {
    standin::Fault {
        leaving: kind == Kind::Leaving,
        dead: kind == Kind::Dead,
        failing: kind == Kind::Failing,
        shedding: kind == Kind::Shedding,
        lying: kind == Kind::Lying,
        slowdown: if matches!(kind, Kind::Lying | Kind::Slowdown) { SLOWDOWN } else { 0 },
        silent: kind == Kind::Silent,
        ..standin::Fault::default()
    }
}

/// Injects all faults at their times after `start`, in order of time.
pub async fn inject(layout: &Layout, faults: &[Fault], start: Instant) -> Result<(), Error> {
    let admin = Admin::default();
    let mut faults = faults.to_vec();
    faults.sort_by_key(|fault| fault.at);
    for fault in faults {
        tokio::time::sleep_until((start + fault.at).into()).await;
        if fault.kind == Kind::Version {
            change_version(&admin, layout, &fault.name).await?;
        } else {
            let process =
                layout.process_of(&fault.name).ok_or_else(|| Error::Unknown(fault.name.clone()))?;
            let message = message(fault.kind);
            admin.set_fault(&process.admin, &fault.name, &message).await?;
        }
    }
    Ok(())
}

async fn change_version(admin: &Admin, layout: &Layout, name: &str) -> Result<(), Error> {
    let old = layout
        .indexes()
        .filter(|index| index.name == name)
        .max_by_key(|index| index.version)
        .ok_or_else(|| Error::Unknown(name.to_owned()))?;
    let new = publication::Index { version: old.version + 1, ..old.clone() };
    let (before, after) = (old.version, new.version);
    publish(admin, layout, Body::Index(new)).await?;
    roll(admin, layout, old, &[before, after]).await?;
    tokio::time::sleep(OVERLAP).await;
    roll(admin, layout, old, &[after]).await
}

/// Makes the servers of an index hold exactly these versions of it, one server after another.
async fn roll(
    admin: &Admin,
    layout: &Layout,
    index: &publication::Index,
    versions: &[u64],
) -> Result<(), Error> {
    for process in &layout.processes {
        for target in &process.targets {
            let mut server = layout::server(target);
            if !index.shards.iter().any(|shard| shard.service == server.service) {
                continue;
            }
            server.holdings = holdings(&server, index, versions);
            let fault =
                standin::Fault { holdings: server.holdings.clone(), ..standin::Fault::default() };
            admin.set_fault(&process.admin, &server.name, &fault).await?;
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
    let others = server.holdings.iter().filter(|holding| holding.index != index.name);
    let own = versions
        .iter()
        .map(|version| publication::Holding { index: index.name.clone(), version: *version });
    others.cloned().chain(own).collect()
}

async fn publish(admin: &Admin, layout: &Layout, body: Body) -> Result<(), Error> {
    let record = publication::Record { revision: 0, body: Some(body) };
    admin.publish(&layout.platform, vec![record]).await
}
