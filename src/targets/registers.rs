//! What is stated of each target: one register for each origin, joined to one state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Origin, Statement};
use crate::hash::stable_pair;
use crate::ids::{TargetId, Version};
use crate::placement::TargetState;

/// Groups of targets whose statements are summed apart.
const BUCKETS: usize = 32;

/// Sums over all statements, by which two instances find what one of them lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    sums: [u32; BUCKETS],
}

/// What one origin states. The order is that in which statements win: by version, and at
/// one version the state that takes less new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Register {
    /// Version of the statement; 0 if nothing was stated.
    pub version: Version,
    /// State that was stated.
    pub state: TargetState,
}

#[derive(Debug, Clone, Copy, Default)]
struct Pair {
    operator: Register,
    observed: Register,
}

/// The registers of all targets. A target without statements is serving.
#[derive(Debug, Default)]
pub struct Registers {
    pairs: BTreeMap<TargetId, Pair>,
    digest: Digest,
}

impl Registers {
    /// Takes a statement if it wins over the known one; answers whether it did. Version 0
    /// states nothing.
    pub fn adopt(&mut self, statement: &Statement) -> bool {
        if statement.version == 0 {
            return false;
        }
        let pair = self.pairs.entry(statement.target).or_default();
        let register = match statement.origin {
            Origin::Operator => &mut pair.operator,
            Origin::Observed => &mut pair.observed,
        };
        let stated = Register { version: statement.version, state: statement.state };
        if stated <= *register {
            return false;
        }
        let old = std::mem::replace(register, stated);
        let sum = &mut self.digest.sums[bucket(statement.target)];
        *sum ^= weigh(statement.target, statement.origin, old);
        *sum ^= weigh(statement.target, statement.origin, stated);
        true
    }

    /// Returns what an origin states of a target.
    pub fn get(&self, target: TargetId, origin: Origin) -> Register {
        let pair = self.pairs.get(&target).copied().unwrap_or_default();
        match origin {
            Origin::Operator => pair.operator,
            Origin::Observed => pair.observed,
        }
    }

    /// Returns what an origin states of a target as a statement, if it states anything.
    pub fn statement(&self, target: TargetId, origin: Origin) -> Option<Statement> {
        let Register { version, state } = self.get(target, origin);
        (version > 0).then_some(Statement { target, origin, version, state })
    }

    /// Returns the state in force: of what the origins state, the one that takes less new
    /// work.
    pub fn effective(&self, target: TargetId) -> TargetState {
        let pair = self.pairs.get(&target).copied().unwrap_or_default();
        pair.operator.state.max(pair.observed.state)
    }

    /// Returns the sums over all statements.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the statements of the groups in which another instance's sums differ.
    pub fn differing(&self, other: &Digest) -> Vec<Statement> {
        let differs = |target| {
            let i = bucket(target);
            self.digest.sums[i] != other.sums[i]
        };
        let targets = self.pairs.keys().copied().filter(|&target| differs(target));
        let origins = [Origin::Operator, Origin::Observed];
        targets
            .flat_map(|target| origins.map(|origin| self.statement(target, origin)))
            .flatten()
            .collect()
    }
}

fn bucket(target: TargetId) -> usize {
    target as usize % BUCKETS
}

/// A register without a statement weighs nothing, so that it need not be told.
fn weigh(target: TargetId, origin: Origin, register: Register) -> u32 {
    if register.version == 0 {
        return 0;
    }
    let place = u64::from(target) << 8 | (origin as u64) << 4 | register.state as u64;
    stable_pair(place, register.version) as u32
}
