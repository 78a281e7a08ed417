//! Entry point shared by the binaries `standin-target` and `standin-platform`.

use std::path::Path;
use std::process::ExitCode;

use actix_server::Server;
use serde::de::DeserializeOwned;

use crate::settings::{self, Error};

/// Reads the settings file at `path`, starts a stand-in with `start` and serves until a signal
/// terminates the process.
///
/// Invalid settings are reported on the standard error, with exit code 2.
pub fn run<T, F>(path: &Path, start: F) -> ExitCode
where
    T: DeserializeOwned,
    F: FnOnce(&T) -> Result<Server, Error>,
{
    actix_rt::System::new().block_on(async move {
        match settings::load(path).and_then(|settings| start(&settings)) {
            Ok(server) => exit_code(server.await),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(2)
            }
        }
    })
}

fn exit_code(result: std::io::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
