//! The story of one request, from the instances' logs.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use super::client;

/// Fields that every line has or that the table shows in a place of their own.
const SHOWN: [&str; 5] = ["id", "ts", "instance", "msg", "level"];

/// Why logs cannot be read.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {path:?} cannot be read: {error}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// no line of the logs is about {0}: it was plain and not in the sample, or its lines were dropped
    Unknown(String),
}

/// Prints all lines about a request in order of time, from files or from standard input.
///
/// # Errors
///
/// [`Error`] when a file cannot be read or no line is about the request.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), client::Error> {
    let story = tell(id, files).map_err(client::Error::Story)?;
    client::say(&story);
    Ok(())
}

fn tell(id: &str, files: &[PathBuf]) -> Result<String, Error> {
    let mut logs = String::new();
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut logs);
        read.map_err(|error| Error::Unreadable { path: PathBuf::from("-"), error })?;
    }
    for file in files {
        logs.push_str(&read(file)?);
        logs.push('\n');
    }
    let lines = story(id, &logs);
    if lines.is_empty() {
        return Err(Error::Unknown(id.to_owned()));
    }
    Ok(lines.join("\n"))
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Unreadable { path: path.to_owned(), error })
}

/// The lines about a request, oldest first. What stands before the first brace of a line is left
/// aside, as collectors of logs put times and names there.
pub fn story(id: &str, logs: &str) -> Vec<String> {
    let mut lines: Vec<(String, String)> = logs
        .lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .filter(|line: &Map<String, Value>| line.get("id").and_then(Value::as_str) == Some(id))
        .map(|line| (text(&line, "ts"), shown(&line)))
        .collect();
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

fn shown(line: &Map<String, Value>) -> String {
    let fields =
        line.iter().filter(|(name, value)| !SHOWN.contains(&name.as_str()) && !value.is_null());
    let fields: Vec<String> =
        fields.map(|(name, value)| format!("{name}={}", plain(value))).collect();
    let (ts, instance, what) = (text(line, "ts"), text(line, "instance"), text(line, "msg"));
    format!("{ts} {instance} {what}: {}", fields.join(" "))
}

fn text(line: &Map<String, Value>, name: &str) -> String {
    line.get(name).map(plain).unwrap_or_default()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
