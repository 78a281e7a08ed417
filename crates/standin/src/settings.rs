//! Reading, writing and checking of the stand-ins' settings files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;

/// Reason why a stand-in does not start or a layout is not written.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {path}: cannot be read: {cause}
    Read {
        /// Path of the settings file.
        path: String,
        /// Error reported by the operating system.
        cause: std::io::Error,
    },
    /// {path}: cannot be written: {cause}
    Write {
        /// Path of the file or folder.
        path: String,
        /// Error reported by the operating system.
        cause: std::io::Error,
    },
    /// {path}: {cause}
    Json {
        /// Path of the settings file.
        path: String,
        /// Error reported by the JSON decoder: the unknown field or invalid value, line and column.
        cause: serde_json::Error,
    },
    /// {field}: {problem}
    Field {
        /// Path of the field, with the position if the field is in a list.
        field: String,
        /// Description of the invalid value and of the allowed values.
        problem: String,
    },
    /// no free port on {address}: {cause}
    Port {
        /// IP address on which no port is free.
        address: String,
        /// Error reported by the operating system.
        cause: std::io::Error,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Creates the error for one field with an invalid value.
    pub(crate) fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Field { field: field.into(), problem: problem.into() }
    }
}

/// Reads a settings file in JSON.
///
/// # Errors
///
/// [`Error::Read`] when the file cannot be read, [`Error::Json`] when its content does not match
/// the schema.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path)
        .map_err(|cause| Error::Read { path: path.display().to_string(), cause })?;
    serde_json::from_str(&text)
        .map_err(|cause| Error::Json { path: path.display().to_string(), cause })
}

/// Writes a settings file as indented JSON.
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

/// Parses the IP address and port in the field named `field`.
pub(crate) fn parse_address(field: &str, value: &str) -> Result<SocketAddr, Error> {
    value.parse().map_err(|_| {
        let problem = format!("\"{value}\" is not an IP number and port such as 127.0.0.1:8000");
        Error::field(field, problem)
    })
}

/// Checks that the number in the field named `field` is between `least` and `most`, both included.
pub(crate) fn check_range(field: &str, value: u32, least: u32, most: u32) -> Result<(), Error> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let problem = format!("{value} is not within {least} to {most}");
    Err(Error::field(field, problem))
}
