//! Command line of `ladder-entry`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use ladder_schema::settings::Level;

/// Parsed command-line arguments of the daemon.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Log level that replaces the one of the settings, if given.
    pub log_level: Option<Level>,
    /// Whether to check the settings file and exit.
    pub check_settings: bool,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// Returns the parser of the command line.
pub fn arguments() -> OptionParser<Arguments> {
    let log_level = long("log-level")
        .help("Minimum level to log, overrides the settings: error, warning, info or debug")
        .argument::<String>("LEVEL")
        .parse(|name| level(&name))
        .optional();
    let check_settings = long("check-settings")
        .help("Check the settings file, name each error, and exit: 0 if it is valid, 2 if not")
        .switch();
    let settings = positional::<PathBuf>("SETTINGS").help("Settings of the instance, a JSON file");
    construct!(Arguments { log_level, check_settings, settings })
        .to_options()
        .descr("Runs one instance of the query tier.")
        .footer("Exit codes: 0 stopped as requested, 1 failed while running, 2 invalid settings.")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Converts the name of a log level.
fn level(name: &str) -> Result<Level, String> {
    match name {
        "error" => Ok(Level::Error),
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(format!("{other:?} is not a log level: use error, warning, info or debug")),
    }
}
