//! `limpetctl check`.

use std::path::Path;

use super::CtlError;

/// Checks a settings file and says what it sets.
pub(super) fn check(file: &Path) -> Result<(), CtlError> {
    let settings = crate::settings::load(file)?;
    println!("ok: instance {} in {}", settings.instance, settings.failure_domain);
    Ok(())
}
