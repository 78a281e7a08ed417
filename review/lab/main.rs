//! Stand-ins for the platform's store, servers and clients, and the cases that use them.
//!
//! Usage: `lab CASE RECORD TROUBLE SEED`, run in the repository's root after the build of the
//! deploy file. CASE is the name of a case below, RECORD the file for the record, TROUBLE 0 to
//! leave the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod fleet;
mod http;
mod random;
mod record;
mod server;
mod store;

mod cases {
    pub mod config;
    pub mod drain;
    pub mod twice;
    pub mod watch;
}

use std::process::exit;

/// What a case needs to know about its run.
pub struct Run {
    pub record: std::sync::Arc<record::Record>,
    pub trouble: bool,
    pub seed: u64,
}

/// Result of a case: whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, trouble, seed] = &arguments[..] else {
        eprintln!("usage: lab CASE RECORD TROUBLE SEED");
        exit(2);
    };
    let record = match record::Record::create(record) {
        Ok(record) => std::sync::Arc::new(record),
        Err(error) => {
            eprintln!("{record}: {error}");
            exit(2);
        }
    };
    let run = Run { record, trouble: trouble != "0", seed: seed.parse().unwrap_or(1) };
    run.record.note(&format!("case {case}, trouble {}, seed {}", run.trouble, run.seed));
    let verdict = match case.as_str() {
        "twice" => cases::twice::play(&run),
        "drain" => cases::drain::play(&run),
        "config" => cases::config::play(&run),
        "watch" => cases::watch::play(&run),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Ok(false) => (0, "the rule held".to_owned()),
        Ok(true) => (1, "the rule was broken".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    run.record.note(&text);
    run.record.flush();
    println!("{text}");
    exit(code);
}
