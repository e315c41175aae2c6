//! The filter that refuses new flows which a customer's plan does not cover.

use std::time::Duration;

use crate::flow::Classified;
use crate::ids::FlowId;
use crate::placement::RefuseReason;

/// Why a new flow is refused, and when its caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the flow is refused.
    pub reason: RefuseReason,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
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
    fn closed(&mut self, now: Duration, flow: FlowId);
}

/// Admits every flow.
#[derive(Debug)]
pub struct AdmitAll;

impl Admission for AdmitAll {
    fn admit(&mut self, _now: Duration, _class: &Classified<'_>) -> Result<(), Refusal> {
        Ok(())
    }

    fn closed(&mut self, _now: Duration, _flow: FlowId) {}
}
