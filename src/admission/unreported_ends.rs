//! Ends of flows that another placer may still count as open.
//!
//! During a network partition each side has its own placer. The placer that counts a flow may
//! not see the flow's end; the placer that does reports it after the partition has healed.

use crate::hash::HashMap;
use crate::ids::{FlowId, ServiceId};

/// Maximum number of stored ends over all services.
const MAX_ENDS: usize = 100_000;

/// Flow ends that are yet to be reported, by service.
#[derive(Debug, Default)]
pub struct UnreportedEnds {
    by_service: HashMap<ServiceId, Vec<FlowId>>,
    len: usize,
}

impl UnreportedEnds {
    /// Stores an end; discards it if [`MAX_ENDS`] are stored already.
    pub fn add(&mut self, service: ServiceId, flow: FlowId) {
        if self.len < MAX_ENDS {
            self.by_service.entry(service).or_default().push(flow);
            self.len += 1;
        }
    }

    /// Removes and returns the ends of a service.
    pub fn take(&mut self, service: ServiceId) -> Vec<FlowId> {
        let ends = self.by_service.remove(&service).unwrap_or_default();
        self.len -= ends.len();
        ends
    }

    /// Removes the ends of all services for which `keep` returns false.
    pub fn retain_services(&mut self, keep: impl Fn(ServiceId) -> bool) {
        self.by_service.retain(|&service, _| keep(service));
        self.len = self.by_service.values().map(Vec::len).sum();
    }
}
