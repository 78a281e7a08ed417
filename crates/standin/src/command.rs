//! What the two serving binaries have in common.

use std::path::Path;
use std::process::ExitCode;

use actix_server::Server;
use serde::de::DeserializeOwned;

use crate::settings::{self, Error};

/// Reads the settings file at `path`, starts the stand-in that `start` makes of it and serves until
/// a signal ends the process. Mistakes go to the standard error, with exit code 2.
pub fn run<T, F>(path: &Path, start: F) -> ExitCode
where
    T: DeserializeOwned,
    F: FnOnce(&T) -> Result<Server, Error>,
{
    actix_rt::System::new().block_on(async move {
        match settings::load(path).and_then(|settings| start(&settings)) {
            Ok(server) => served(server.await),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(2)
            }
        }
    })
}

fn served(result: std::io::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
