//! What instances tell each other about the operators' objects.

use serde::{Deserialize, Serialize};

use crate::ids::Version;

/// A message about lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The versions that the sender has.
    Versions {
        /// Version of the services.
        services: Version,
    },
}
