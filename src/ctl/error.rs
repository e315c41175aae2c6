//! How a command fails, and the exit code that tells scripts.

use std::process::ExitCode;

use derive_more::{Display, Error, From};

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
}

impl CtlError {
    /// Returns the exit code: 2 for invalid input, 3 for a conflict, 4 if the platform
    /// cannot be reached, 1 for all else.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) | Self::Invalid(_) => 2,
            Self::Platform(PlatformError::Conflict(_)) => 3,
            Self::Platform(PlatformError::NoAnswer(_)) => 4,
            Self::Platform(PlatformError::NotFound | PlatformError::Refused(_)) => 1,
        })
    }
}
