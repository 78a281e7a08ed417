//! Collects the log lines of one request from the logs of all instances.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use super::client;

/// Fields that are not listed as `name=value`: each line has them, or the output shows them at a
/// fixed place.
const OMITTED_FIELDS: [&str; 5] = ["id", "ts", "instance", "msg", "level"];

/// Errors of reading logs.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {path:?} cannot be read: {error}
    Unreadable {
        /// Path of the log file; `-` for standard input.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// no log line is about {0}: it was normal and not sampled, or its lines were dropped
    Unknown(String),
}

/// Prints all log lines about a request, ordered by time, from files or from standard input.
///
/// # Errors
///
/// [`Error`] if a file cannot be read or no line is about the request.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), client::Error> {
    let text = collect(id, files).map_err(client::Error::Story)?;
    client::print_line(&text);
    Ok(())
}

fn collect(id: &str, files: &[PathBuf]) -> Result<String, Error> {
    let mut logs = String::new();
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut logs);
        read.map_err(|error| Error::Unreadable { path: PathBuf::from("-"), error })?;
    }
    for file in files {
        logs.push_str(&read(file)?);
        logs.push('\n');
    }
    let lines = request_lines(id, &logs);
    if lines.is_empty() {
        return Err(Error::Unknown(id.to_owned()));
    }
    Ok(lines.join("\n"))
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Unreadable { path: path.to_owned(), error })
}

/// Returns the log lines about a request, oldest first. Text before the first brace of a line is
/// ignored, since log collectors put times and names there.
pub fn request_lines(id: &str, logs: &str) -> Vec<String> {
    let mut lines: Vec<(String, String)> = logs
        .lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .filter(|line: &Map<String, Value>| line.get("id").and_then(Value::as_str) == Some(id))
        .map(|line| (text(&line, "ts"), format_line(&line)))
        .collect();
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

fn format_line(line: &Map<String, Value>) -> String {
    let fields = line
        .iter()
        .filter(|(name, value)| !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null());
    let fields: Vec<String> =
        fields.map(|(name, value)| format!("{name}={}", value_text(value))).collect();
    let (ts, instance, what) = (text(line, "ts"), text(line, "instance"), text(line, "msg"));
    format!("{ts} {instance} {what}: {}", fields.join(" "))
}

fn text(line: &Map<String, Value>, name: &str) -> String {
    line.get(name).map(value_text).unwrap_or_default()
}

fn value_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
