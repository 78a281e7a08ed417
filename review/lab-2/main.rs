//! Runs one case of the second review: `lab CASE FOLDER`. Exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run.

mod alone;
mod cold;
mod late;
mod leaving;
mod forged;
mod lab;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let record = lab::Record::new();
    let broken = match case.as_str() {
        "alone" => alone::run(&record),
        "cold" => cold::run(&record),
        "forged" => forged::run(&record),
        "late" => late::run(&record),
        "leaving" => leaving::run(&record),
        _ => None,
    };
    let verdict = match broken {
        Some(true) => "BROKEN",
        Some(false) => "held",
        None => "the case could not run",
    };
    record.note(format!("the rule: {verdict}"));
    record.write(&folder.join("record.txt"));
    lab::say(&format!("{case}: {verdict}"));
    match broken {
        Some(broken) => ExitCode::from(u8::from(broken)),
        None => ExitCode::from(2),
    }
}
