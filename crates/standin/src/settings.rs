//! Settings files of the stand-ins: reading them and what can be wrong with them.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;

/// Why a stand-in does not start.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {path}: cannot be read: {cause}
    Read {
        /// The file.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// {path}: cannot be written: {cause}
    Write {
        /// The file or folder.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// {path}: {cause}
    Json {
        /// The file.
        path: String,
        /// What the decoder said: the unknown field or wrong value, line and column.
        cause: serde_json::Error,
    },
    /// {field}: {problem}
    Field {
        /// The field, with the position in its list.
        field: String,
        /// What is wrong with its value, and what is allowed.
        problem: String,
    },
    /// no free port on {address}: {cause}
    Port {
        /// The IP number.
        address: String,
        /// What the system said.
        cause: std::io::Error,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// A mistake in one field.
    pub(crate) fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Field { field: field.into(), problem: problem.into() }
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// [`Error::Read`] when the file cannot be read, [`Error::Json`] when it does not fit the schema.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path)
        .map_err(|cause| Error::Read { path: path.display().to_string(), cause })?;
    serde_json::from_str(&text)
        .map_err(|cause| Error::Json { path: path.display().to_string(), cause })
}

/// Writes a settings file as JSON for people to read.
///
/// # Errors
///
/// [`Error::Write`] when the file cannot be written.
pub fn save<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|cause| Error::Json { path: path.display().to_string(), cause })?;
    fs::write(path, text + "\n")
        .map_err(|cause| Error::Write { path: path.display().to_string(), cause })
}

/// An IP number and port out of the field of this name.
pub(crate) fn address(field: &str, value: &str) -> Result<SocketAddr, Error> {
    value.parse().map_err(|_| {
        let problem = format!("\"{value}\" is not an IP number and port such as 127.0.0.1:8000");
        Error::field(field, problem)
    })
}

/// Checks that a number lies within bounds, both included.
pub(crate) fn within(field: &str, value: u32, least: u32, most: u32) -> Result<(), Error> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let problem = format!("{value} is not within {least} to {most}");
    Err(Error::field(field, problem))
}
