//! Admission messages between instances.

use serde::{Deserialize, Serialize};

use crate::ids::{FlowId, ServiceId};
use crate::pipeline::OpenFlow;

/// An admission message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Open flows of a service that the sender owns; sent to the service's placer.
    OpenFlows(ServiceId, Vec<OpenFlow>),
    /// Flows of a service whose end the sender saw while it was the service's placer, possibly
    /// during a network partition, and which the receiver may still count.
    EndedFlows(ServiceId, Vec<FlowId>),
    /// Asks the owner of the flows which of them are still open.
    Query(ServiceId, Vec<FlowId>),
}
