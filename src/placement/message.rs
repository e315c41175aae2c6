//! Messages between instances about flows.

use serde::{Deserialize, Serialize};

use crate::ids::{EpochId, FlowId, ServiceId, TargetId};

/// The binding of one flow, as sent between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Fingerprint of the flow, encoded with a fixed size: a variable-length encoding makes a
    /// hash longer, not shorter.
    #[serde(with = "postcard::fixint::le")]
    pub flow: FlowId,
    /// Target that the flow is bound to.
    pub target: TargetId,
}

/// A message between instances about flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Records that the receiver holds as owner or replica holder, or has queried.
    Records(Vec<Record>),
    /// Flows that have ended, whose replicas can be removed.
    Ended(Vec<FlowId>),
    /// Flows that the sender has no records of.
    Lookup(Vec<FlowId>),
    /// The sender has replicated all exceptions up to these epochs.
    Settled(Vec<(ServiceId, EpochId)>),
}
