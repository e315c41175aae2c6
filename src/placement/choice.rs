//! The choice of a target for a new flow: a pure function of what is given.

use std::cmp::Ordering;

use super::{Load, LoadTable, TargetState, TargetView, TargetViews};
use crate::hash::stable_pair;
use crate::ids::{FlowId, TargetId};
use crate::services::{Service, Target, Weighs};

use std::time::Duration;

/// Time in which the share of a cold target rises from the least share to its own.
const WARM_UP: Duration = Duration::from_secs(30);
/// Share of its weight with which a cold target starts.
const COLD_SHARE: f64 = 0.1;

/// Returns the target that the hash prefers for a flow among all targets given.
pub fn preferred<'a>(
    flow: FlowId,
    targets: impl IntoIterator<Item = &'a Target>,
) -> Option<TargetId> {
    let score = |target: &Target| hash_score(flow, target.id, f64::from(target.weight));
    let best = targets.into_iter().max_by(|a, b| compare(score(a), score(b)));
    best.map(|target| target.id)
}

/// Chooses the target of a new flow, or none if no target takes new flows.
pub fn choose(
    now: Duration,
    service: &Service,
    flow: FlowId,
    views: &TargetViews,
    loads: &LoadTable,
) -> Option<TargetId> {
    let open: Vec<_> = service
        .targets
        .iter()
        .filter(|target| !target.former)
        .map(|target| (target, share(now, views.get(target.id))))
        .filter(|(_, share)| *share > 0.0)
        .map(|(target, share)| Candidate::new(flow, target, share, loads.get(target.id)))
        .collect();
    let by_hash = open.iter().max_by(|a, b| compare(a.hash_score, b.hash_score))?;
    if service.weighs == Weighs::BrokenFlows && !by_hash.busy {
        return Some(by_hash.id);
    }
    open.iter().min_by(|a, b| a.by_load(b)).map(|candidate| candidate.id)
}

/// Part of its weight that a target may use for new flows.
fn share(now: Duration, view: TargetView) -> f64 {
    match view.state {
        TargetState::Serving => 1.0,
        TargetState::Cold => {
            let warm = now.saturating_sub(view.since).as_secs_f64() / WARM_UP.as_secs_f64();
            warm.clamp(COLD_SHARE, 1.0)
        }
        TargetState::Shedding | TargetState::Draining | TargetState::Dead => 0.0,
    }
}

#[derive(Debug)]
struct Candidate {
    id: TargetId,
    hash_score: f64,
    /// Work per slot that may be used.
    slot_use: f64,
    /// Open flows per weight that may be used.
    flow_use: f64,
    busy: bool,
}

impl Candidate {
    fn new(flow: FlowId, target: &Target, share: f64, load: Load) -> Self {
        let slots = f64::from(target.slots) * share;
        let weight = f64::from(target.weight) * share;
        Self {
            id: target.id,
            hash_score: hash_score(flow, target.id, weight),
            slot_use: f64::from(load.young) / slots,
            flow_use: f64::from(load.open) / weight,
            busy: f64::from(load.young) >= slots,
        }
    }

    fn by_load(&self, other: &Self) -> Ordering {
        compare(self.slot_use, other.slot_use)
            .then(compare(self.flow_use, other.flow_use))
            .then(compare(other.hash_score, self.hash_score))
    }
}

/// Weighted rendezvous: each target wins a share of flows equal to its share of weight.
pub(super) fn hash_score(flow: FlowId, target: TargetId, weight: f64) -> f64 {
    let hash = stable_pair(flow, u64::from(target)) >> 11;
    let uniform = (hash as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}

fn compare(a: f64, b: f64) -> Ordering {
    a.total_cmp(&b)
}
