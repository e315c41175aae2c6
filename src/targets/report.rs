//! What a target says of itself when it is probed.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Response, StatusCode};
use crate::placement::TargetState;

/// The load report of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What the target does with work.
    pub state: TargetState,
    /// Work in its slots.
    pub slots_used: u32,
    /// Work that waits for a slot.
    pub waiting: u32,
    /// Open connections.
    pub open: u32,
}

/// Why a probe gave no report.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ProbeError {
    /// The target did not answer.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The target answered that it cannot serve.
    #[display("status {_0}")]
    Status(#[error(not(source))] u16),
    /// The answer is no report.
    #[display("no report: {_0}")]
    NoReport(#[error(not(source))] String),
}

/// The result of one probe.
pub type ProbeResult = Result<Report, ProbeError>;

/// Reads the answer to a probe.
///
/// # Errors
///
/// Returns why the probe counts as failed.
pub fn read_report(answer: Result<Response, CallError>) -> ProbeResult {
    let response = answer.map_err(|e| ProbeError::NoAnswer(e.to_string()))?;
    if response.status != StatusCode::OK {
        return Err(ProbeError::Status(response.status.as_u16()));
    }
    serde_json::from_slice(&response.body).map_err(|e| ProbeError::NoReport(e.to_string()))
}
