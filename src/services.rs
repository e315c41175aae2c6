//! The services object: which services there are, and the targets behind each.

mod checked;
mod raw;
mod report_address;

pub use checked::{Service, Services, Target, Weighs};
pub use raw::{RawService, RawServices, RawTarget};
pub use report_address::ReportAddress;

use crate::settings::Findings;

/// Name of the services object on the platform.
pub const OBJECT_NAME: &str = "services";

/// Reads and checks the services object as the platform holds it.
///
/// # Errors
///
/// Returns all findings, each with its place.
pub fn from_json(bytes: &[u8]) -> Result<Services, Findings> {
    let raw: RawServices =
        serde_json::from_slice(bytes).map_err(|e| Findings::one(OBJECT_NAME, e.to_string()))?;
    Services::try_from(raw)
}
