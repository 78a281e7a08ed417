//! The operators' command-line tool, `ladderctl`.

pub mod arguments;
pub mod check;
pub mod client;
pub mod print;
pub mod request_log;

use std::process::ExitCode;

use arguments::Command;

/// Exit code if an instance does not answer or a checked record would be refused.
const FAILURE_EXIT_CODE: u8 = 1;

/// Runs one command and returns the exit code.
pub fn run(command: Command) -> ExitCode {
    let result = match command {
        Command::Check { file } => check::run(&file),
        Command::Status { instances } => client::status(&instances),
        Command::Owners { service, instances } => client::owners(service.as_deref(), &instances),
        Command::Explain { key, instances } => client::explain(&key, &instances),
        Command::Story { key, logs } => request_log::run(&key, &logs),
        Command::Quarantine { release, instances } => client::quarantine(release, &instances),
        Command::Drain { instance } => client::drain(&instance),
        Command::Cut { instance, peers } => client::cut(&instance, peers),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ladderctl: {error}");
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}
