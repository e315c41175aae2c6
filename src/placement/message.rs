//! What instances tell each other about flows.

use serde::{Deserialize, Serialize};

use crate::ids::{EpochId, FlowId, ServiceId, TargetId};

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
    /// Records for the receiver to hold, as the flows' owner or its replica.
    Records(Vec<Record>),
    /// Flows that have ended: their replicas are not needed any more.
    Ended(Vec<FlowId>),
    /// Flows whose records the sender lacks.
    Lookup(Vec<FlowId>),
    /// The sender has replicated all exceptions up to these epochs.
    Settled(Vec<(ServiceId, EpochId)>),
}
