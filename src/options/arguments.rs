//! Command line of `ladder-entry`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use ladder_schema::settings::Level;

/// What the operator typed.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Replaces the settings' log level.
    pub log_level: Option<Level>,
    /// Check the settings file and stop.
    pub check_settings: bool,
    /// The settings file.
    pub settings: PathBuf,
}

/// Parser of the command line.
pub fn arguments() -> OptionParser<Arguments> {
    let log_level = long("log-level")
        .help("Least level to log, in place of the settings': error, warning, info or debug")
        .argument::<String>("LEVEL")
        .parse(|name| level(&name))
        .optional();
    let check_settings = long("check-settings")
        .help("Check the settings file, name each mistake, and stop: 0 if it is sound, 2 if not")
        .switch();
    let settings = positional::<PathBuf>("SETTINGS").help("Settings of the instance, a JSON file");
    construct!(Arguments { log_level, check_settings, settings })
        .to_options()
        .descr("Runs one instance of the query tier.")
        .footer("Exit codes: 0 stopped as asked, 1 failed while running, 2 bad settings.")
        .version(env!("CARGO_PKG_VERSION"))
}

/// The log level of this name.
fn level(name: &str) -> Result<Level, String> {
    match name {
        "error" => Ok(Level::Error),
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(format!("{other:?} is no level: error, warning, info or debug")),
    }
}
