//! The ends of flows that another placer may count.
//!
//! During a cut each side has a placer of its own. The one that counts a flow may not see its
//! end, so the other one tells it when the cut has healed.

use crate::hash::HashMap;
use crate::ids::{FlowId, ServiceId};

/// Ends that are remembered at most, over all services.
const CAPACITY: usize = 100_000;

/// Ends by service.
#[derive(Debug, Default)]
pub struct EndsElsewhere {
    by_service: HashMap<ServiceId, Vec<FlowId>>,
    len: usize,
}

impl EndsElsewhere {
    /// Remembers an end, unless there are too many.
    pub fn add(&mut self, service: ServiceId, flow: FlowId) {
        if self.len < CAPACITY {
            self.by_service.entry(service).or_default().push(flow);
            self.len += 1;
        }
    }

    /// Returns the ends of a service and forgets them.
    pub fn take(&mut self, service: ServiceId) -> Vec<FlowId> {
        let ends = self.by_service.remove(&service).unwrap_or_default();
        self.len -= ends.len();
        ends
    }

    /// Forgets the services that `keep` does not name.
    pub fn keep_services(&mut self, keep: impl Fn(ServiceId) -> bool) {
        self.by_service.retain(|&service, _| keep(service));
        self.len = self.by_service.values().map(Vec::len).sum();
    }
}
