//! Rendezvous ranks: which live instances own a flow, hold its replica or place a service.

use crate::hash::stable_pair;
use crate::ids::{FlowId, InstanceId, ServiceId};

/// Groups into which flows are divided for ownership.
const BUCKETS: u64 = 1_024;
/// Ranks kept for each group: the owner, the replica holder and the one after.
const DEPTH: usize = 3;
/// Keeps the ranks of services apart from the ranks of flows.
const SERVICE_SALT: u64 = 1 << 32;

/// The ranks of all live instances, computed once for each change of membership.
#[derive(Debug, Clone, Default)]
pub struct Ranks {
    members: Vec<InstanceId>,
    buckets: Vec<[Option<InstanceId>; DEPTH]>,
}

impl Ranks {
    /// Ranks the given instances.
    pub fn new(members: impl IntoIterator<Item = InstanceId>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_unstable();
        members.dedup();
        let buckets = (0..BUCKETS).map(|bucket| top(&members, bucket)).collect();
        Self { members, buckets }
    }

    /// Returns the instances that were ranked, in the order of their numbers.
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// Returns the instance of a rank for a flow; rank 0 is the owner.
    pub fn of(&self, flow: FlowId, rank: usize) -> Option<InstanceId> {
        let bucket = usize::try_from(flow % BUCKETS).ok()?;
        *self.buckets.get(bucket)?.get(rank)?
    }

    /// Returns the instance that places new flows of a service.
    pub fn placer(&self, service: ServiceId) -> Option<InstanceId> {
        self.of(stable_pair(SERVICE_SALT, u64::from(service)), 0)
    }
}

fn top(members: &[InstanceId], key: u64) -> [Option<InstanceId>; DEPTH] {
    let mut best: [Option<(u64, InstanceId)>; DEPTH] = [None; DEPTH];
    for &member in members {
        let mut entry = Some((stable_pair(key, u64::from(member)), member));
        for place in &mut best {
            if *place < entry {
                std::mem::swap(place, &mut entry);
            }
        }
    }
    best.map(|place| place.map(|(_, member)| member))
}
