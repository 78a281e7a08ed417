//! Loggers by settings.

use ladder_schema::settings::{Format, Level, Log};
use slog::{Drain, Logger, o};

/// A logger to standard error as `settings` ask: JSON lines or text for people.
pub fn logger(settings: &Log, instance: &str) -> Logger {
    let level = match settings.level() {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info | Level::Unspecified => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    let values = o!("instance" => instance.to_owned());
    match settings.format() {
        Format::Human => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain).build().filter_level(level).fuse();
            Logger::root(drain, values)
        }
        Format::Json | Format::Unspecified => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            let drain = slog_async::Async::new(drain).build().filter_level(level).fuse();
            Logger::root(drain, values)
        }
    }
}
