//! Child processes that a test starts, signals and kills.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// A child process, killed when dropped.
pub(crate) struct Child {
    process: Process,
    log: PathBuf,
}

impl Child {
    /// Starts `program` with its settings file as the only argument. Standard output and error are
    /// appended to a log file beside the settings file.
    pub(crate) fn start(program: &Path, settings: &Path) -> Self {
        assert!(
            program.is_file(),
            "{} is missing: run `cargo build --workspace --bins` first, as scripts/test does",
            program.display()
        );
        let log = settings.with_extension("log");
        let output = File::options().create(true).append(true).open(&log);
        let output = output.expect("a log file can be opened");
        let process = Command::new(program)
            .arg(settings)
            .stdout(output.try_clone().expect("the log file can be shared"))
            .stderr(output)
            .spawn()
            .expect("the process starts");
        Self { process, log }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).expect("a process id");
        let pid = Pid::from_raw(id).expect("a process id above 0");
        kill_process(pid, signal).expect("the process exists");
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Exit status of the process; `None` while it runs.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().expect("the status of a child process can be read")
    }

    /// Returns whether the log of the process contains `text`.
    pub(crate) fn log_contains(&self, text: &str) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }

    /// Last 20 lines of the log of the process.
    pub(crate) fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
