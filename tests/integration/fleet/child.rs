//! Processes that a test starts, signals and ends.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// One process; it is killed when dropped.
pub(crate) struct Child {
    process: Process,
    log: PathBuf,
}

impl Child {
    /// Starts `program` with its settings file as the only argument; its output goes to a file
    /// beside that.
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

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).expect("a process id");
        let pid = Pid::from_raw(id).expect("a process id above 0");
        kill_process(pid, signal).expect("the process is there");
    }

    /// Kills it and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// How it ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().expect("the process is a child")
    }

    /// Whether it wrote a line with this in it.
    pub(crate) fn logged(&self, text: &str) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }

    /// The end of what it wrote.
    pub(crate) fn tail(&self) -> String {
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
