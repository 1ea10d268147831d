//! Runs a deployment against stand-ins; exits with 1 if a promise broke and
//! with 2 if the run could not be made.

use std::process::ExitCode;

use gumdrop::Options;
use tamarack_standins::demo::{DemoOptions, run};

fn main() -> ExitCode {
    let options = DemoOptions::parse_args_default_or_exit();
    match run(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("tamarack-demo: {error:#}");
            ExitCode::from(2)
        }
    }
}
