//! Settings of the daemon: TOML file, validation and findings.

mod checked;
mod findings;
mod raw;

pub use checked::{LogLevel, Settings};
pub use findings::{Finding, Findings};
pub use raw::RawSettings;

use std::path::Path;

/// Start of the TOML parser's message about an unknown key.
const UNKNOWN_KEY_MESSAGE: &str = "unknown field";

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns all findings if the settings are not valid or cannot be read.
pub fn load(path: &Path) -> Result<Settings, Findings> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Findings::single(path.display().to_string(), e.to_string()))?;
    parse(&text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns all findings if the settings are not valid.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let mut rest = text.to_owned();
    loop {
        match toml::from_str::<RawSettings>(&rest) {
            Ok(raw) => {
                let settings = Settings::try_from(raw).map_err(|more| findings.extend(more)).ok();
                return findings.into_result(settings);
            }
            Err(e) => {
                findings.extend(Findings::from_toml(text, &e));
                // Continues after an unknown key, so that all other findings are reported too.
                let retry =
                    e.message().starts_with(UNKNOWN_KEY_MESSAGE) && blank_line(&mut rest, &e);
                if !retry {
                    return Err(findings);
                }
            }
        }
    }
}

/// Replaces the line of an error with spaces, so that later findings keep their line numbers.
/// Returns false if the error has no line or the line is blank already.
fn blank_line(text: &mut String, e: &toml::de::Error) -> bool {
    let Some(start) = e.span().map(|span| span.start).filter(|&start| text.is_char_boundary(start))
    else {
        return false;
    };
    let line_start = text[..start].rfind('\n').map_or(0, |newline| newline + 1);
    let line_end = text[start..].find('\n').map_or(text.len(), |newline| start + newline);
    let has_text = !text[line_start..line_end].trim().is_empty();
    text.replace_range(line_start..line_end, &" ".repeat(line_end - line_start));
    has_text
}
