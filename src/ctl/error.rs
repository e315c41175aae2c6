//! Errors of commands and their exit codes.

use std::process::ExitCode;

use derive_more::{Display, Error, From};

use crate::ids::Version;
use crate::platform::PlatformError;
use crate::settings::Findings;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line is invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// The input is invalid; nothing was written.
    Invalid(Findings),
    /// A call to the platform failed.
    Platform(PlatformError),
    /// Another operator changed the object first; nothing was written.
    #[display(
        "conflict: the object now has version {version}, and nothing was written\n\
        this change:\n{}\nthe other changes:\n{}",
        indented(ours),
        indented(theirs)
    )]
    Conflict {
        /// Version of the object with the other operators' changes.
        version: Version,
        /// Diff lines of this change.
        ours: Vec<String>,
        /// Diff lines of the other changes; empty if not known.
        theirs: Vec<String>,
    },
    /// The platform or an instance did not respond in time; nothing was written.
    #[display("unreachable: {_0}; nothing was written")]
    #[from(ignore)]
    Unreachable(#[error(not(source))] String),
    /// A write was sent, and it is not known whether it takes effect.
    #[display(
        "outcome unknown: {problem}; the history shows whether operation {operation} took effect"
    )]
    Unsettled {
        /// Why the outcome is not known.
        problem: String,
        /// ID of the operation, as in the object's history.
        operation: String,
    },
    /// A request to stop was sent to an instance, and it is not known whether it arrived.
    #[display(
        "outcome unknown: {_0} was asked to stop and has not answered; \
        `limpetctl instances list` shows whether it is still healthy"
    )]
    #[from(ignore)]
    StopUnsettled(#[error(not(source))] String),
    /// The command failed for another reason.
    #[display("{_0}")]
    #[from(ignore)]
    Failed(#[error(not(source))] String),
}

impl CtlError {
    /// Returns the exit code: 2 for invalid input, 3 for a conflict, 4 if the platform or an
    /// instance is unreachable or the outcome is unknown, 1 for all other errors.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) | Self::Invalid(_) => 2,
            Self::Conflict { .. } | Self::Platform(PlatformError::Conflict(_)) => 3,
            Self::Unreachable(_)
            | Self::Unsettled { .. }
            | Self::StopUnsettled(_)
            | Self::Platform(PlatformError::NoAnswer(_)) => 4,
            Self::Failed(_)
            | Self::Platform(
                PlatformError::NotFound | PlatformError::Refused(_) | PlatformError::HistoryGone,
            ) => 1,
        })
    }
}

fn indented(lines: &[String]) -> String {
    if lines.is_empty() {
        return "  (not known)".to_owned();
    }
    lines.iter().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
