//! Admission control: refuses new flows that the customer's plan does not cover.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::flow::ClassifiedPacket;
use crate::ids::{FlowId, ServiceId};
use crate::lists::AdmissionRules;
use crate::placement::{FlowTable, RefuseReason};
use crate::services::Service;

/// Why a new flow is refused, and when its caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the flow is refused.
    pub reason: RefuseReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// An open flow and its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenFlow {
    /// Fingerprint of the flow.
    pub flow: FlowId,
    /// Address of the caller.
    pub caller: Ipv4Addr,
}

/// Query to the owner of a flow whether the flow is still open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenFlowQuery {
    /// Service of the flow.
    pub service: ServiceId,
    /// Fingerprint of the flow.
    pub flow: FlowId,
}

/// Decides whether a new flow may be opened. It is called on the placer of a service, so
/// that all flows of the service are counted on one instance.
pub trait Admission: std::fmt::Debug {
    /// Admits or refuses a new flow.
    ///
    /// # Errors
    ///
    /// Returns the reason if the flow is refused.
    fn admit(&mut self, now: Duration, class: &ClassifiedPacket<'_>) -> Result<(), Refusal>;

    /// Records that a flow has ended.
    fn flow_ended(&mut self, now: Duration, service: ServiceId, flow: FlowId);

    /// Applies new rules. They affect new flows only.
    fn set_rules(&mut self, _now: Duration, _rules: Arc<AdmissionRules>) {}

    /// Counts flows of a service that were open before this instance became its placer.
    fn add_open_flows(
        &mut self,
        _now: Duration,
        _service: &Service,
        _flows: &mut dyn Iterator<Item = OpenFlow>,
    ) {
    }

    /// Removes and returns the flows of a service that have ended here and that another placer
    /// may still count.
    fn take_ended_flows(&mut self, _service: ServiceId) -> Vec<FlowId> {
        Vec::new()
    }

    /// Drops the services for which `is_placer` returns false: this instance no longer sees the
    /// ends of their flows.
    fn retain_services(&mut self, _is_placer: &dyn Fn(ServiceId) -> bool) {}

    /// Removes and returns the queries to send to owners of flows.
    fn take_queries(&mut self) -> Vec<OpenFlowQuery> {
        Vec::new()
    }

    /// Advances time. Called about ten times a second; `flow_table` holds the flows of this
    /// instance.
    fn tick(&mut self, _now: Duration, _flow_table: &FlowTable) {}
}

/// An [`Admission`] that admits every flow.
#[derive(Debug)]
pub struct AdmitAll;

impl Admission for AdmitAll {
    fn admit(&mut self, _now: Duration, _class: &ClassifiedPacket<'_>) -> Result<(), Refusal> {
        Ok(())
    }

    fn flow_ended(&mut self, _now: Duration, _service: ServiceId, _flow: FlowId) {}
}
