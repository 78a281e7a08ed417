//! `run.json` and the files that it names: who serves where, and how fast.

use std::path::Path;

use ladder_schema::{catalogue, publication, standin};
use serde::de::DeserializeOwned;

use crate::error::Error;

/// An instance as callers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// IP number and port of its callers' HTTP.
    pub address: String,
    /// IP number and port of its operators' HTTP.
    pub admin: String,
}

impl From<standin::Member> for Instance {
    fn from(member: standin::Member) -> Self {
        Self { name: member.name, address: member.caller_address, admin: member.admin_address }
    }
}

/// A process of target stand-ins.
#[derive(Clone, Debug)]
pub struct Process {
    /// IP number and port of its operators' HTTP.
    pub admin: String,
    /// Its servers.
    pub targets: Vec<standin::Target>,
}

/// Everything a run needs to know of the processes under load.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// User whose sizes it has.
    pub user: String,
    /// Instances, in the order listed.
    pub instances: Vec<Instance>,
    /// Processes of target stand-ins.
    pub processes: Vec<Process>,
    /// IP number and port of the platform stand-in.
    pub platform: String,
    /// What the platform publishes at the start.
    pub records: Vec<publication::Record>,
}

impl Layout {
    /// Reads `run.json` and the files that it names.
    pub fn read(run: &Path) -> Result<Self, Error> {
        let folder = run.parent().unwrap_or(Path::new("."));
        let index: standin::Run = decode(run)?;
        let platform: standin::Platform = decode(&folder.join(&index.platform_file))?;
        let layout = Self {
            user: index.user,
            instances: index.instances.into_iter().map(Instance::from).collect(),
            processes: processes(folder, &index.targets)?,
            platform: index.platform_address,
            records: platform.records,
        };
        layout.checked(run)
    }

    fn checked(self, run: &Path) -> Result<Self, Error> {
        if self.instances.is_empty() {
            return Err(Error::Layout(run.to_path_buf(), "instances"));
        }
        if self.processes.is_empty() {
            return Err(Error::Layout(run.to_path_buf(), "targets"));
        }
        Ok(self)
    }

    /// All servers of all processes.
    pub fn targets(&self) -> impl Iterator<Item = &standin::Target> {
        self.processes.iter().flat_map(|process| &process.targets)
    }

    /// Servers of one service.
    pub fn servers(&self, service: &str) -> Vec<&standin::Target> {
        self.targets().filter(|target| server(target).service == service).collect()
    }

    /// Catalogue entries.
    pub fn entries(&self) -> impl Iterator<Item = &catalogue::Entry> {
        self.records.iter().filter_map(|record| match &record.body {
            Some(publication::record::Body::Entry(entry)) => Some(entry),
            _ => None,
        })
    }

    /// Published indexes.
    pub fn indexes(&self) -> impl Iterator<Item = &publication::Index> {
        self.records.iter().filter_map(|record| match &record.body {
            Some(publication::record::Body::Index(index)) => Some(index),
            _ => None,
        })
    }

    /// The process that runs a server.
    pub fn process_of(&self, name: &str) -> Option<&Process> {
        self.processes
            .iter()
            .find(|process| process.targets.iter().any(|target| server(target).name == name))
    }
}

/// The published description of a target; empty when the settings lack it.
pub fn server(target: &standin::Target) -> publication::Server {
    target.server.clone().unwrap_or_default()
}

fn processes(folder: &Path, listed: &[standin::Process]) -> Result<Vec<Process>, Error> {
    let mut found = Vec::new();
    for process in listed {
        let settings: standin::Targets = decode(&folder.join(&process.file))?;
        found.push(Process { admin: process.admin_address.clone(), targets: settings.targets });
    }
    Ok(found)
}

/// Reads one JSON file.
pub fn decode<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::Read(path.to_path_buf(), error.to_string()))?;
    serde_json::from_str(&text)
        .map_err(|error| Error::Decode(path.to_path_buf(), error.to_string()))
}
