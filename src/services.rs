//! The services object: all services and the targets of each.

mod checked;
mod raw;
mod report_address;

pub use checked::{Objective, Service, Services, Target};
pub use raw::{RawService, RawServices, RawTarget};
pub use report_address::ReportAddress;

use crate::settings::Findings;

/// Name of the services object on the platform.
pub const OBJECT_NAME: &str = "services";

/// Parses and validates the JSON of the services object.
///
/// # Errors
///
/// Returns all findings if the object is not valid.
pub fn from_json(bytes: &[u8]) -> Result<Services, Findings> {
    let raw: RawServices =
        serde_json::from_slice(bytes).map_err(|e| Findings::single(OBJECT_NAME, e.to_string()))?;
    Services::try_from(raw)
}
