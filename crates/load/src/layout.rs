//! Reads `run.json` and the files that it names: the processes under load, their addresses and the
//! speed of their servers.

use std::path::Path;

use ladder_schema::{catalogue, publication, standin};
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Names and addresses of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name of the instance.
    pub name: String,
    /// IP address and port of the HTTP interface for callers.
    pub address: String,
    /// IP address and port of the HTTP interface for operators.
    pub admin_address: String,
}

impl From<standin::Member> for Instance {
    fn from(member: standin::Member) -> Self {
        Self {
            name: member.name,
            address: member.caller_address,
            admin_address: member.admin_address,
        }
    }
}

/// Process that runs target stand-ins.
#[derive(Clone, Debug)]
pub struct Process {
    /// IP address and port of the HTTP interface for operators.
    pub admin_address: String,
    /// Servers that the process runs.
    pub targets: Vec<standin::Target>,
}

/// Description of the processes under load.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// User after whose system the layout is sized.
    pub user: String,
    /// Instances, in the order of `run.json`.
    pub instances: Vec<Instance>,
    /// Processes that run target stand-ins.
    pub processes: Vec<Process>,
    /// IP address and port of the platform stand-in.
    pub platform: String,
    /// Records that the platform publishes at the start.
    pub records: Vec<publication::Record>,
}

impl Layout {
    /// Reads `run.json` and the files that it names.
    pub fn read(run: &Path) -> Result<Self, Error> {
        let folder = run.parent().unwrap_or(Path::new("."));
        let index: standin::Run = read_json(run)?;
        let platform: standin::Platform = read_json(&folder.join(&index.platform_file))?;
        let layout = Self {
            user: index.user,
            instances: index.instances.into_iter().map(Instance::from).collect(),
            processes: processes(folder, &index.targets)?,
            platform: index.platform_address,
            records: platform.records,
        };
        layout.validated(run)
    }

    fn validated(self, run: &Path) -> Result<Self, Error> {
        if self.instances.is_empty() {
            return Err(Error::Layout(run.to_path_buf(), "instances"));
        }
        if self.processes.is_empty() {
            return Err(Error::Layout(run.to_path_buf(), "targets"));
        }
        Ok(self)
    }

    /// Returns all servers of all processes.
    pub fn targets(&self) -> impl Iterator<Item = &standin::Target> {
        self.processes.iter().flat_map(|process| &process.targets)
    }

    /// Returns the servers of one service.
    pub fn servers(&self, service: &str) -> Vec<&standin::Target> {
        self.targets().filter(|target| published_server(target).service == service).collect()
    }

    /// Returns the catalogue entries that the platform publishes.
    pub fn entries(&self) -> impl Iterator<Item = &catalogue::Entry> {
        self.records.iter().filter_map(|record| match &record.body {
            Some(publication::record::Body::Entry(entry)) => Some(entry),
            _ => None,
        })
    }

    /// Returns the indexes that the platform publishes.
    pub fn indexes(&self) -> impl Iterator<Item = &publication::Index> {
        self.records.iter().filter_map(|record| match &record.body {
            Some(publication::record::Body::Index(index)) => Some(index),
            _ => None,
        })
    }

    /// Returns the process that runs the server with this name.
    pub fn process_of(&self, name: &str) -> Option<&Process> {
        self.processes.iter().find(|process| {
            process.targets.iter().any(|target| published_server(target).name == name)
        })
    }
}

/// Returns the published description of a target; empty if the settings have none.
pub fn published_server(target: &standin::Target) -> publication::Server {
    target.server.clone().unwrap_or_default()
}

fn processes(folder: &Path, listed: &[standin::Process]) -> Result<Vec<Process>, Error> {
    let mut processes = Vec::new();
    for process in listed {
        let settings: standin::Targets = read_json(&folder.join(&process.file))?;
        processes.push(Process {
            admin_address: process.admin_address.clone(),
            targets: settings.targets,
        });
    }
    Ok(processes)
}

/// Reads a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::Read(path.to_path_buf(), error.to_string()))?;
    serde_json::from_str(&text)
        .map_err(|error| Error::Decode(path.to_path_buf(), error.to_string()))
}
