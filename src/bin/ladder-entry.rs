//! `ladder-entry`: the daemon of one instance.

use std::process::ExitCode;
use std::sync::Arc;

use sycamoreladder::entry;
use sycamoreladder::entry::native::Native;

fn main() -> ExitCode {
    entry::main("ladder-entry", Arc::new(Native))
}
