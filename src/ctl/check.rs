//! `limpetctl check`.

use std::path::Path;

use super::CtlError;

/// Validates a settings file and returns a line with its instance ID and failure domain.
pub(super) fn check(file: &Path) -> Result<String, CtlError> {
    let settings = crate::settings::load(file)?;
    Ok(format!("ok: instance {} in {}\n", settings.instance, settings.failure_domain))
}
