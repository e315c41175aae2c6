//! Rendezvous ranks of instances: the owner and replica holder of a flow, and the placer of a
//! service.

use crate::hash::stable_pair;
use crate::ids::{FlowId, InstanceId, ServiceId};

/// Number of buckets of flows; all flows of a bucket have the same ranks.
const BUCKETS: u64 = 1_024;
/// Ranks kept for each bucket: the owner, the replica holder and the next one.
const RANKS_PER_BUCKET: usize = 3;
/// Hash salt that makes the ranks for services independent of those for flows.
const SERVICE_SALT: u64 = 1 << 32;

/// The ranks of instances for every bucket, computed once for each membership change.
#[derive(Debug, Clone, Default)]
pub struct Ranks {
    members: Vec<InstanceId>,
    buckets: Vec<[Option<InstanceId>; RANKS_PER_BUCKET]>,
}

impl Ranks {
    /// Ranks the given instances; duplicates are ignored.
    pub fn new(members: impl IntoIterator<Item = InstanceId>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_unstable();
        members.dedup();
        let buckets = (0..BUCKETS).map(|bucket| top_ranked(&members, bucket)).collect();
        Self { members, buckets }
    }

    /// Returns the ranked instances in ascending order.
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// Returns the instance at a rank for a flow: 0 is the owner, 1 the replica holder.
    pub fn at_rank(&self, flow: FlowId, rank: usize) -> Option<InstanceId> {
        let bucket = usize::try_from(flow % BUCKETS).ok()?;
        *self.buckets.get(bucket)?.get(rank)?
    }

    /// Returns the placer of a service; none if no instance is ranked.
    pub fn placer(&self, service: ServiceId) -> Option<InstanceId> {
        self.at_rank(stable_pair(SERVICE_SALT, u64::from(service)), 0)
    }
}

fn top_ranked(members: &[InstanceId], key: u64) -> [Option<InstanceId>; RANKS_PER_BUCKET] {
    let mut best: [Option<(u64, InstanceId)>; RANKS_PER_BUCKET] = [None; RANKS_PER_BUCKET];
    for &member in members {
        let mut entry = Some((stable_pair(key, u64::from(member)), member));
        for slot in &mut best {
            if *slot < entry {
                std::mem::swap(slot, &mut entry);
            }
        }
    }
    best.map(|slot| slot.map(|(_, member)| member))
}
