//! The platform's routers: which instance gets a caller's packet.

use std::time::Duration;

use limpetdeck::hash::{stable_addresses, stable_pair};
use limpetdeck_platform::emulator::Segment;

/// Time between two questions whether an instance is ready.
pub const ASK_EVERY: Duration = Duration::from_millis(500);
/// Questions without a good answer after which an instance is out of rotation.
const MISSES: u32 = 2;

/// The rotation.
#[derive(Debug)]
pub struct Router {
    /// Failure domain and misses of each instance.
    instances: Vec<(usize, u32)>,
}

impl Router {
    /// Makes a router before instances of these failure domains, none of them ready.
    pub fn new(domains: impl IntoIterator<Item = usize>) -> Self {
        Self { instances: domains.into_iter().map(|domain| (domain, MISSES)).collect() }
    }

    /// Notes the answer of an instance.
    pub fn answered(&mut self, instance: usize, ready: bool) {
        let misses = &mut self.instances[instance].1;
        *misses = if ready { 0 } else { *misses + 1 };
    }

    /// Returns the instance that gets a packet which enters in a failure domain. A flow moves
    /// only if its instance leaves the rotation or another one joins.
    pub fn pick(&self, domain: usize, segment: &Segment) -> usize {
        let all = || self.instances.iter().enumerate();
        let ready = |misses: u32| misses < MISSES;
        let home: Vec<_> = all().filter(|(_, (d, _))| *d == domain).collect();
        let there: Vec<_> = home.iter().filter(|(_, (_, m))| ready(*m)).copied().collect();
        let among = if there.len() * 2 >= home.len() {
            there
        } else if there.is_empty() && all().any(|(_, (_, m))| ready(*m)) {
            all().filter(|(_, (_, m))| ready(*m)).collect()
        } else {
            home
        };
        let flow = stable_addresses(segment.from, segment.to);
        let rank = |i: &usize| stable_pair(flow, *i as u64);
        among.into_iter().map(|(i, _)| i).max_by_key(rank).unwrap_or_default()
    }
}
