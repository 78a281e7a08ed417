//! `ladder-entry`: the daemon of one instance.

use std::process::ExitCode;
use std::sync::Arc;

use sycamoreladder::entry;
use sycamoreladder::entry::native::Native;
use sycamoreladder::options::Options;
use sycamoreladder::options::arguments::arguments;

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = arguments().run();
    let options = match Options::load(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("ladder-entry: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check_settings {
        println!("{}: sound", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match entry::run(&options, Arc::new(Native)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ladder-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
