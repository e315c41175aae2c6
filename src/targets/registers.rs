//! Last-writer-wins registers of the targets' states, one per target and origin.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Origin, StateUpdate};
use crate::hash::stable_pair;
use crate::ids::{TargetId, Version};
use crate::placement::TargetState;

/// Buckets of targets in a digest.
const BUCKETS: usize = 32;

/// Hashes of the registers by bucket. Two instances compare them to find out in which buckets
/// one of them lacks an update.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    hashes: [u32; BUCKETS],
}

/// Latest state of a target from one origin. Updates win in the order of this type: by version,
/// then by the state that accepts less new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Register {
    /// Version of the update; 0 if there was none.
    pub version: Version,
    /// State of the target.
    pub state: TargetState,
}

#[derive(Debug, Clone, Copy, Default)]
struct OriginRegisters {
    operator: Register,
    observed: Register,
}

/// The registers of all targets. A target without updates is serving.
#[derive(Debug, Default)]
pub struct Registers {
    entries: BTreeMap<TargetId, OriginRegisters>,
    digest: Digest,
}

impl Registers {
    /// Applies an update if it wins over the known one, and returns whether it did. An update
    /// with version 0 is ignored.
    pub fn adopt(&mut self, update: &StateUpdate) -> bool {
        if update.version == 0 {
            return false;
        }
        let entry = self.entries.entry(update.target).or_default();
        let register = match update.origin {
            Origin::Operator => &mut entry.operator,
            Origin::Observed => &mut entry.observed,
        };
        let new = Register { version: update.version, state: update.state };
        if new <= *register {
            return false;
        }
        let old = std::mem::replace(register, new);
        let hash = &mut self.digest.hashes[bucket(update.target)];
        *hash ^= register_hash(update.target, update.origin, old);
        *hash ^= register_hash(update.target, update.origin, new);
        true
    }

    /// Returns the register of a target for an origin.
    pub fn get(&self, target: TargetId, origin: Origin) -> Register {
        let entry = self.entries.get(&target).copied().unwrap_or_default();
        match origin {
            Origin::Operator => entry.operator,
            Origin::Observed => entry.observed,
        }
    }

    /// Returns the register of a target for an origin as an update, if there was one.
    pub fn state_update(&self, target: TargetId, origin: Origin) -> Option<StateUpdate> {
        let Register { version, state } = self.get(target, origin);
        (version > 0).then_some(StateUpdate { target, origin, version, state })
    }

    /// Returns the state in force: of the states from both origins, the one that accepts less
    /// new work.
    pub fn effective(&self, target: TargetId) -> TargetState {
        let entry = self.entries.get(&target).copied().unwrap_or_default();
        entry.operator.state.max(entry.observed.state)
    }

    /// Returns the hashes of all registers.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the updates of the buckets in which another instance's digest differs.
    pub fn differing(&self, other: &Digest) -> Vec<StateUpdate> {
        let differs = |target| {
            let i = bucket(target);
            self.digest.hashes[i] != other.hashes[i]
        };
        let targets = self.entries.keys().copied().filter(|&target| differs(target));
        let origins = [Origin::Operator, Origin::Observed];
        targets
            .flat_map(|target| origins.map(|origin| self.state_update(target, origin)))
            .flatten()
            .collect()
    }
}

fn bucket(target: TargetId) -> usize {
    target as usize % BUCKETS
}

/// Returns the hash of a register for the digest; 0 if there was no update, since then there is
/// nothing to send.
fn register_hash(target: TargetId, origin: Origin, register: Register) -> u32 {
    if register.version == 0 {
        return 0;
    }
    let key = u64::from(target) << 8 | (origin as u64) << 4 | register.state as u64;
    stable_pair(key, register.version) as u32
}
