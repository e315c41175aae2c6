//! What instances tell each other about flows.

use serde::{Deserialize, Serialize};

use crate::ids::{FlowId, TargetId};

/// The binding of one flow, as it travels between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Fingerprint of the flow, as fixed-size bytes: a hash does not shrink.
    #[serde(with = "postcard::fixint::le")]
    pub flow: FlowId,
    /// Target that the flow is bound to.
    pub target: TargetId,
}

/// A message about flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Records for the receiver to hold.
    Records(Vec<Record>),
    /// Flows whose records the sender lacks.
    Lookup(Vec<FlowId>),
}
