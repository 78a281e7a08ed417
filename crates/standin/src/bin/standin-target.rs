//! `standin-target`: runs stand-ins for the targets of some services.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, positional};
use ladder_standin::{run, target};

fn main() -> ExitCode {
    let path = positional::<PathBuf>("SETTINGS.json")
        .help("Settings in JSON (ladder.standin.Targets): the servers and their faults' address")
        .to_options()
        .descr("Serves stand-ins for targets, each on a port of its own, until it is signalled.")
        .footer(
            "Operators' port: POST /admin/fault, GET /admin/ledger, each with ?server=NAME or \
             for all servers. Exit code 2: mistake in the settings.",
        )
        .run();
    run(&path, target::start)
}
