//! Load reports that targets return to probes.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Response, StatusCode};
use crate::placement::TargetState;

/// The load report of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// State of the target by its own account.
    pub state: TargetState,
    /// Requests that use a slot.
    pub slots_used: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Open connections.
    pub open: u32,
}

/// Reason why a probe failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ProbeError {
    /// The target did not answer.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The target answered with another HTTP status than 200.
    #[display("unexpected HTTP status {_0}")]
    Status(#[error(not(source))] u16),
    /// The body of the response is not a valid report.
    #[display("invalid report: {_0}")]
    InvalidReport(#[error(not(source))] String),
}

/// Result of one probe.
pub type ProbeResult = Result<Report, ProbeError>;

/// Reads the report from the response to a probe.
///
/// # Errors
///
/// Returns why the probe counts as failed.
pub fn read_report(response: Result<Response, CallError>) -> ProbeResult {
    let response = response.map_err(|e| ProbeError::NoAnswer(e.to_string()))?;
    if response.status != StatusCode::OK {
        return Err(ProbeError::Status(response.status.as_u16()));
    }
    serde_json::from_slice(&response.body).map_err(|e| ProbeError::InvalidReport(e.to_string()))
}
