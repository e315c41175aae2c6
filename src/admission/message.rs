//! What instances tell each other about admission.

use serde::{Deserialize, Serialize};

use crate::ids::{FlowId, ServiceId};
use crate::pipeline::OpenFlow;

/// A message about admission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Open flows of a service that the sender owns, for the service's placer.
    Open(ServiceId, Vec<OpenFlow>),
    /// Flows of a service that have ended where the sender placed it, during a cut.
    Ended(ServiceId, Vec<FlowId>),
    /// Asks which of these flows of a service, which the receiver owns, are open still.
    Ask(ServiceId, Vec<FlowId>),
}
