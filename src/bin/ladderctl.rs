//! `ladderctl`: the operators' command-line tool.

use std::process::ExitCode;

use sycamoreladder::ctl;

fn main() -> ExitCode {
    ctl::run(ctl::arguments::arguments().run())
}
