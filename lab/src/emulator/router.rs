//! The platform's routers, which select the instance for a caller's packet.

use std::time::Duration;

use limpetdeck::hash::{stable_addresses, stable_pair};
use limpetdeck_platform::emulator::Segment;

/// Time between two readiness checks of an instance.
pub const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive failed checks after which an instance is taken out of rotation.
const FAILURE_THRESHOLD: u32 = 2;

/// The rotation, shared by all routers.
#[derive(Debug)]
pub struct Router {
    /// Failure domain and consecutive failed checks of each instance.
    instances: Vec<(usize, u32)>,
    /// Whether nearly all flows move when an instance leaves the rotation or joins it.
    moves_all: bool,
}

impl Router {
    /// Creates a router for instances in these failure domains, none of them in rotation.
    pub fn new(domains: impl IntoIterator<Item = usize>, moves_all: bool) -> Self {
        let instances = domains.into_iter().map(|domain| (domain, FAILURE_THRESHOLD)).collect();
        Self { instances, moves_all }
    }

    /// Records the result of a readiness check.
    pub fn record_readiness(&mut self, instance: usize, ready: bool) {
        let failed_checks = &mut self.instances[instance].1;
        *failed_checks = if ready { 0 } else { *failed_checks + 1 };
    }

    /// Returns the instance for a packet that enters in a failure domain. Unless all flows move, one
    /// moves only if its instance leaves the rotation or another one joins.
    pub fn pick(&self, domain: usize, segment: &Segment) -> usize {
        let all = || self.instances.iter().enumerate();
        let ready = |failed_checks: u32| failed_checks < FAILURE_THRESHOLD;
        let local: Vec<_> = all().filter(|(_, (d, _))| *d == domain).collect();
        let local_ready: Vec<_> =
            local.iter().filter(|(_, (_, failed))| ready(*failed)).copied().collect();
        let candidates = if local_ready.len() * 2 >= local.len() {
            local_ready
        } else if local_ready.is_empty() && all().any(|(_, (_, failed))| ready(*failed)) {
            all().filter(|(_, (_, failed))| ready(*failed)).collect()
        } else {
            local
        };
        let flow = stable_addresses(segment.from, segment.to);
        if self.moves_all && !candidates.is_empty() {
            return candidates[flow as usize % candidates.len()].0;
        }
        let rank = |i: &usize| stable_pair(flow, *i as u64);
        candidates.into_iter().map(|(i, _)| i).max_by_key(rank).unwrap_or_default()
    }
}
