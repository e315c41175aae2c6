//! The filter that refuses new flows which a customer's plan does not cover.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::flow::Classified;
use crate::ids::{FlowId, ServiceId};
use crate::lists::Rules;
use crate::placement::{FlowTable, RefuseReason};
use crate::services::Service;

/// Why a new flow is refused, and when its caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the flow is refused.
    pub reason: RefuseReason,
    /// Time after which the caller may come back.
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

/// Asks the owner of a flow whether the flow is open still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Service of the flow.
    pub service: ServiceId,
    /// Fingerprint of the flow.
    pub flow: FlowId,
}

/// Decides whether a new flow may be opened. It is asked on the instance that places the
/// service's new flows, so that all flows of the service are counted in one place.
pub trait Admission: std::fmt::Debug {
    /// Decides about a new flow.
    ///
    /// # Errors
    ///
    /// Returns the reason if the flow is refused.
    fn admit(&mut self, now: Duration, class: &Classified<'_>) -> Result<(), Refusal>;

    /// Notes that a flow has ended.
    fn closed(&mut self, now: Duration, service: ServiceId, flow: FlowId);

    /// Takes the rules that are in force. They hold for new flows only.
    fn set_rules(&mut self, _now: Duration, _rules: Arc<Rules>) {}

    /// Counts flows of a service that were open before this instance placed its new flows.
    fn seed(
        &mut self,
        _now: Duration,
        _service: &Service,
        _flows: &mut dyn Iterator<Item = OpenFlow>,
    ) {
    }

    /// Returns the flows of a service that have ended here and that another placer may
    /// count, and forgets them.
    fn take_ends(&mut self, _service: ServiceId) -> Vec<FlowId> {
        Vec::new()
    }

    /// Forgets the services that `placed` does not name: this instance does not see the ends
    /// of their flows.
    fn keep_services(&mut self, _placed: &dyn Fn(ServiceId) -> bool) {}

    /// Returns what the owners of flows have to be asked, and forgets it.
    fn take_questions(&mut self) -> Vec<Question> {
        Vec::new()
    }

    /// Advances time; due about ten times a second. `known` are the flows whose packets
    /// pass this instance.
    fn tick(&mut self, _now: Duration, _known: &FlowTable) {}
}

/// Admits every flow.
#[derive(Debug)]
pub struct AdmitAll;

impl Admission for AdmitAll {
    fn admit(&mut self, _now: Duration, _class: &Classified<'_>) -> Result<(), Refusal> {
        Ok(())
    }

    fn closed(&mut self, _now: Duration, _service: ServiceId, _flow: FlowId) {}
}
