//! `limpetctl check`.

use std::path::Path;

use super::CtlError;

/// Checks a settings file and says what it sets.
pub(super) fn check(file: &Path) -> Result<String, CtlError> {
    let settings = crate::settings::load(file)?;
    Ok(format!("ok: instance {} in {}\n", settings.instance, settings.failure_domain))
}
