//! Queue of updates to send, each a bounded number of times.

use std::collections::BTreeMap;

use super::message::MemberUpdate;
use crate::ids::InstanceId;

/// Number of times that an update is sent, per decimal digit of the number of instances.
const SENDS_PER_DIGIT: u32 = 4;

#[derive(Debug)]
struct Pending {
    update: MemberUpdate,
    bytes: usize,
    sends_left: u32,
}

/// The latest update about each instance that still has to be sent.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    pending: BTreeMap<InstanceId, Pending>,
}

impl UpdateQueue {
    /// Adds an update, replacing an older one about the same instance.
    pub(super) fn push(&mut self, update: MemberUpdate, instances: usize) {
        // Cannot fail: serialization to memory supports every type of a message.
        let bytes = postcard::to_stdvec(&update).unwrap_or_default().len();
        let digits = (instances + 1).ilog10() + 1;
        let pending = Pending { bytes, sends_left: SENDS_PER_DIGIT * digits, update };
        self.pending.insert(pending.update.instance(), pending);
    }

    /// Returns updates that fit into the given bytes, those with the most sends left first.
    pub(super) fn take(&mut self, mut remaining: usize) -> Vec<MemberUpdate> {
        let mut order: Vec<_> =
            self.pending.iter().map(|(&id, pending)| (pending.sends_left, id)).collect();
        order.sort_unstable_by_key(|&(sends_left, id)| (std::cmp::Reverse(sends_left), id));
        let mut taken = Vec::new();
        for (_, id) in order {
            let Some(pending) = self.pending.get_mut(&id) else { continue };
            if pending.bytes > remaining {
                continue;
            }
            remaining -= pending.bytes;
            pending.sends_left -= 1;
            taken.push(pending.update.clone());
        }
        self.pending.retain(|_, pending| pending.sends_left > 0);
        taken
    }

    /// Records that a peer sends the same update, so that it has to be sent once less. At least
    /// one send is left.
    pub(super) fn on_duplicate(&mut self, update: &MemberUpdate) {
        let Some(pending) = self.pending.get_mut(&update.instance()) else { return };
        if pending.update == *update {
            pending.sends_left = pending.sends_left.saturating_sub(1).max(1);
        }
    }

    /// Returns the number of queued updates.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Removes reports of deaths: when a partition heals, they are about instances of its other
    /// side.
    pub(super) fn remove_deaths(&mut self) {
        self.pending.retain(|_, pending| !matches!(pending.update, MemberUpdate::Dead(..)));
    }

    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
