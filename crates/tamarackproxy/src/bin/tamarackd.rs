//! Daemon of an entry host.

use std::{fs, path::PathBuf, process::ExitCode};

use gumdrop::Options;
use tamarackproxy::{
    node::{Node, NodeHandle},
    observability::init_logging,
    state::settings::Settings,
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Command line of the daemon.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// settings file
    #[options(free, required)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = match read_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("tamarackd: {message}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if let Err(error) = init_logging(&settings.log) {
        eprintln!("tamarackd: {error}");
        return ExitCode::from(BAD_SETTINGS);
    }
    let handle = match Node::start(settings) {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("tamarackd: {error}");
            return ExitCode::FAILURE;
        }
    };
    match run(handle) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("tamarackd: {message}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| {
        format!("{}: {error}; give the path of a readable settings file", path.display())
    })?;
    Settings::parse(&text)
        .map_err(|errors| errors.with_file(path.display().to_string()).to_string())
}

/// Waits for SIGTERM or SIGINT, then stops the entry host gracefully.
fn run(handle: NodeHandle) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("the signal handler cannot be started: {error}"))?;
    runtime.block_on(async {
        let (Ok(mut terminate), Ok(mut interrupt)) =
            (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
        else {
            return;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    handle.stop_gracefully();
    handle.join().map_err(|error| error.to_string())
}
