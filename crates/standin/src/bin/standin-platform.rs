//! `standin-platform`: runs the stand-in for the platform's configuration service.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, positional};
use ladder_standin::{platform, run};

fn main() -> ExitCode {
    let path = positional::<PathBuf>("SETTINGS.json")
        .help("Settings in JSON (ladder.standin.Platform): address and first records")
        .to_options()
        .descr("Serves a publication for reads and watches until it is signalled.")
        .footer(
            "Readers: GET /v1/records?after=REVISION&wait_ms=MS. Operators: POST /admin/publish, \
             POST /admin/mode, GET /admin/counts. Exit code 2: mistake in the settings.",
        )
        .run();
    run(&path, platform::start)
}
