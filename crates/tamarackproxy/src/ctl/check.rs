//! Offline validation of documents and settings.

use std::{fs, path::Path};

use super::CommandError;
use crate::state::{document::Document, settings::Settings};

/// Reads a file as text.
pub(super) fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::File {
        path: path.display().to_string().into(),
        message: error.to_string().into(),
    })
}

/// Validates a file; a file with an `[entry]` section is taken for settings.
pub(super) fn check(path: &Path) -> Result<String, CommandError> {
    let text = read(path)?;
    let name = path.display().to_string();
    let is_settings = text.lines().any(|line| line.trim() == "[entry]");
    if is_settings {
        return match Settings::parse(&text) {
            Ok(settings) => Ok(format!("{name}: settings of {} are valid\n", settings.entry)),
            Err(errors) => Err(CommandError::Invalid(errors.with_file(name).to_string().into())),
        };
    }
    match Document::parse(&text) {
        Ok(document) => Ok(format!(
            "{name}: document of {} is valid: {} data centres, {} pools, {} services, {} callers\n",
            document.deployment,
            document.data_centres.len(),
            document.pools.len(),
            document.services.len(),
            document.callers.len(),
        )),
        Err(errors) => Err(CommandError::Invalid(errors.with_file(name).to_string().into())),
    }
}
