//! Runs benchmarks and prints their figures as JSON lines. Exits with 1 if a figure
//! misses its bound, and with 2 if the benchmark does not exist.

use std::process::ExitCode;

use gumdrop::Options;
use tamarack_standins::bench::{BenchOptions, run, select};

fn main() -> ExitCode {
    let options = BenchOptions::parse_args_default_or_exit();
    let names = match select(options.name.as_deref()) {
        Ok(names) => names,
        Err(message) => {
            eprintln!("tamarack-bench: {message}");
            return ExitCode::from(2);
        }
    };
    let mut all_held = true;
    for figure in names.into_iter().flat_map(|name| run(name, &options)) {
        all_held &= figure.held();
        match serde_json::to_string(&figure) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("tamarack-bench: cannot encode a figure as JSON: {error}"),
        }
    }
    if all_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
