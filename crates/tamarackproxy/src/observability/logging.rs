//! Logging as JSON lines to standard error.

use displaydoc::Display;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::json::JsonEncoder,
};

use crate::state::settings::LogSettings;

/// Reasons why logging cannot be set up.
#[derive(Debug, Display)]
pub enum LoggingError {
    /// the log settings cannot be used: {0}; correct [log] in the settings
    Settings(Box<str>),
    /// a logger is installed already; call this once for each process
    Installed,
}

impl std::error::Error for LoggingError {}

/// Starts logging to standard error with the levels of the settings.
///
/// # Errors
///
/// Returns [`LoggingError`] if a logger is installed already or the settings
/// contain an invalid target.
pub fn init_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let loggers = settings
        .targets
        .iter()
        .map(|(target, level)| Logger::builder().build(target.to_string(), *level));
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .loggers(loggers)
        .build(Root::builder().appender("stderr").build(settings.level))
        .map_err(|error| LoggingError::Settings(error.to_string().into()))?;
    log4rs::init_config(config).map(drop).map_err(|_| LoggingError::Installed)
}
