//! How a command fails, and the exit code that tells scripts.

use std::process::ExitCode;

use derive_more::{Display, Error, From};

use crate::ids::Version;
use crate::platform::PlatformError;
use crate::settings::Findings;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line cannot be read.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// The input has findings; nothing was written.
    Invalid(Findings),
    /// The platform gave no result.
    Platform(PlatformError),
    /// Another operator's change came first; nothing was written.
    #[display(
        "conflict: the object now has version {version}, and nothing was written\n\
        this change:\n{}\nthe other changes:\n{}",
        lines(ours),
        lines(theirs)
    )]
    Conflict {
        /// Version with the other changes.
        version: Version,
        /// What this change would have done.
        ours: Vec<String>,
        /// What the other changes did.
        theirs: Vec<String>,
    },
    /// The platform was not reached in time; nothing was written.
    #[display("not reached: {_0}; nothing was written")]
    #[from(ignore)]
    NotReached(#[error(not(source))] String),
    /// It is not known whether a write takes effect.
    #[display(
        "not settled: {problem}; the history shows whether operation {operation} took effect"
    )]
    Unsettled {
        /// What stands in the way.
        problem: String,
        /// Name of the operation.
        operation: String,
    },
    /// The command could not do what it was asked for.
    #[display("{_0}")]
    #[from(ignore)]
    Failed(#[error(not(source))] String),
}

impl CtlError {
    /// Returns the exit code: 2 for invalid input, 3 for a conflict, 4 if the platform or an
    /// instance cannot be reached, 1 for all else.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) | Self::Invalid(_) => 2,
            Self::Conflict { .. } | Self::Platform(PlatformError::Conflict(_)) => 3,
            Self::NotReached(_)
            | Self::Unsettled { .. }
            | Self::Platform(PlatformError::NoAnswer(_)) => 4,
            Self::Failed(_)
            | Self::Platform(
                PlatformError::NotFound | PlatformError::Refused(_) | PlatformError::HistoryGone,
            ) => 1,
        })
    }
}

fn lines(lines: &[String]) -> String {
    if lines.is_empty() {
        return "  (not known)".to_owned();
    }
    lines.iter().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
