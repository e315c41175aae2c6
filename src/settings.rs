//! Settings of the daemon: raw TOML, findings and checked values.

mod checked;
mod findings;
mod raw;

pub use checked::{LogLevel, Settings};
pub use findings::{Finding, Findings};
pub use raw::RawSettings;

use std::path::Path;

/// How the TOML reader begins its message about a key that is not known.
const UNKNOWN: &str = "unknown field";

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
    let mut findings = Findings::default();
    let mut rest = text.to_owned();
    loop {
        match toml::from_str::<RawSettings>(&rest) {
            Ok(raw) => {
                let settings = Settings::try_from(raw).map_err(|more| findings.extend(more)).ok();
                return findings.finish(settings);
            }
            Err(e) => {
                findings.extend(Findings::from_toml(text, &e));
                // An unknown key is no reason to hide what else is wrong.
                let skipped = e.message().starts_with(UNKNOWN) && skip_line(&mut rest, &e);
                if !skipped {
                    return Err(findings);
                }
            }
        }
    }
}

/// Blanks the line of an error, so that all that follows keeps its place. Answers false if
/// the error has no line with anything in it.
fn skip_line(text: &mut String, e: &toml::de::Error) -> bool {
    let Some(at) = e.span().map(|span| span.start).filter(|&at| text.is_char_boundary(at)) else {
        return false;
    };
    let begin = text[..at].rfind('\n').map_or(0, |newline| newline + 1);
    let end = text[at..].find('\n').map_or(text.len(), |newline| at + newline);
    let has_text = !text[begin..end].trim().is_empty();
    text.replace_range(begin..end, &" ".repeat(end - begin));
    has_text
}
