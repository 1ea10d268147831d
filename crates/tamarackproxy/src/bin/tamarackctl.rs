//! Command-line client for operators.

use std::process::ExitCode;

use gumdrop::Options;
use tamarackproxy::ctl::{Arguments, run};

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(arguments) {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("tamarackctl: {error}");
            ExitCode::FAILURE
        }
    }
}
