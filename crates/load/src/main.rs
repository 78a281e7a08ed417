//! Open-loop load generator and experiment runner.

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = ladder_load::command::parser().run();
    match ladder_load::command::execute(command) {
        Ok(lines) => {
            println!("{lines}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("ladder-load: {error}");
            ExitCode::FAILURE
        }
    }
}
