//! What instances tell each other about targets.

use serde::{Deserialize, Serialize};

use crate::ids::{TargetId, Version};
use crate::placement::TargetState;

/// The state of one target, with the version that orders it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChange {
    /// Number of the target.
    pub target: TargetId,
    /// Version of the state.
    pub version: Version,
    /// State of the target.
    pub state: TargetState,
}

/// A message about targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// States that the receiver may not know.
    States(Vec<StateChange>),
}
