//! Checks records before they are published, by the rules that instances refuse them by.

use std::fs;
use std::path::{Path, PathBuf};

use ladder_schema::check;
use ladder_schema::publication::{Page, Record, record};

use super::client;

/// Why a file of records is not fit to be published.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {path:?} cannot be read: {error}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// {path:?} is not a page of records: {error}
    Malformed {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        error: serde_json::Error,
    },
    /// {0} records would be refused
    Refused(usize),
}

/// Prints each record that would be refused.
///
/// # Errors
///
/// [`Error`] when the file cannot be read or a record would be refused.
pub fn run(path: &Path) -> Result<(), client::Error> {
    let page = load(path).map_err(client::Error::Check)?;
    let refused = page.records.iter().filter(|record| !is_sound(record)).count();
    if refused > 0 {
        return Err(client::Error::Check(Error::Refused(refused)));
    }
    println!("{}: {} records, all sound", path.display(), page.records.len());
    Ok(())
}

/// Reads a page of records.
fn load(path: &Path) -> Result<Page, Error> {
    let text = fs::read_to_string(path)
        .map_err(|error| Error::Unreadable { path: path.to_owned(), error })?;
    serde_json::from_str(&text).map_err(|error| Error::Malformed { path: path.to_owned(), error })
}

/// Whether instances would take the record; says why not.
fn is_sound(record: &Record) -> bool {
    match check::record(record) {
        Ok(()) => true,
        Err(error) => {
            println!("{} at revision {}: {error}", name(record), record.revision);
            false
        }
    }
}

/// Kind and name of a record, for people.
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
