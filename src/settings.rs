//! Settings of the daemon: raw TOML, findings and checked values.

mod checked;
mod findings;
mod raw;

pub use checked::{LogLevel, Settings};
pub use findings::{Finding, Findings};
pub use raw::RawSettings;

use std::path::Path;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all findings, each with its place.
pub fn load(path: &Path) -> Result<Settings, Findings> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Findings::one(path.display().to_string(), e.to_string()))?;
    parse(&text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns all findings, each with its place.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let raw: RawSettings = toml::from_str(text).map_err(|e| Findings::from_toml(text, &e))?;
    Settings::try_from(raw)
}
