//! Checks records before they are published, by the same rules as the instances.

use std::fs;
use std::path::{Path, PathBuf};

use ladder_schema::check;
use ladder_schema::publication::{Page, Record, record};

use super::client;

/// Errors of checking a file of records.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {path:?} cannot be read: {error}
    Unreadable {
        /// Path of the file of records.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// {path:?} is not a page of records: {error}
    Malformed {
        /// Path of the file of records.
        path: PathBuf,
        /// Error of the JSON parser.
        error: serde_json::Error,
    },
    /// {0} records would be refused
    Refused(usize),
}

/// Prints each record of the file at `path` that instances would refuse.
///
/// # Errors
///
/// [`Error`] if the file cannot be read or a record would be refused.
pub fn run(path: &Path) -> Result<(), client::Error> {
    let page = load(path).map_err(client::Error::Check)?;
    let refused = page.records.iter().filter(|record| !is_valid(record)).count();
    if refused > 0 {
        return Err(client::Error::Check(Error::Refused(refused)));
    }
    println!("{}: {} records, all valid", path.display(), page.records.len());
    Ok(())
}

/// Reads a page of records from a JSON file.
fn load(path: &Path) -> Result<Page, Error> {
    let text = fs::read_to_string(path)
        .map_err(|error| Error::Unreadable { path: path.to_owned(), error })?;
    serde_json::from_str(&text).map_err(|error| Error::Malformed { path: path.to_owned(), error })
}

/// Whether instances would accept the record; prints the reason if not.
fn is_valid(record: &Record) -> bool {
    match check::record(record) {
        Ok(()) => true,
        Err(error) => {
            println!("{} at revision {}: {error}", name(record), record.revision);
            false
        }
    }
}

/// Describes a record by its kind and name.
fn name(record: &Record) -> String {
    match &record.body {
        Some(record::Body::Entry(entry)) => format!("entry {:?}", entry.service),
        Some(record::Body::Index(index)) => format!("index {}@{}", index.name, index.version),
        Some(record::Body::Server(server)) => format!("server {:?}", server.name),
        Some(record::Body::Instance(instance)) => format!("instance {:?}", instance.name),
        Some(record::Body::Routing(routing)) => format!("routing {}", routing.version),
        Some(record::Body::Evacuation(evacuation)) => {
            format!("evacuation of {:?}", evacuation.zone)
        }
        Some(record::Body::Tombstone(tombstone)) => {
            format!("tombstone {} {:?}", tombstone.kind().as_str_name(), tombstone.name)
        }
        None => "record without a body".to_owned(),
    }
}
