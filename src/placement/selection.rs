//! Selection of the target of a new flow, as a pure function of its arguments.

use std::cmp::Ordering;

use super::{Load, LoadTable, TargetState, TargetView, TargetViews};
use crate::hash::stable_pair;
use crate::ids::{FlowId, TargetId};
use crate::services::{Objective, Service, Target};

use std::time::Duration;

/// Time in which the share of a cold target rises linearly to its full weight.
const SLOW_START_PERIOD: Duration = Duration::from_secs(30);
/// Fraction of its weight that a cold target gets at least.
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// Returns the target with the highest rendezvous score for a flow, whatever its state and
/// load; none if there are no targets.
pub fn target_by_hash<'a>(
    flow: FlowId,
    targets: impl IntoIterator<Item = &'a Target>,
) -> Option<TargetId> {
    let score = |target: &Target| hash_score(flow, target.id, f64::from(target.weight));
    let best = targets.into_iter().max_by(|a, b| compare(score(a), score(b)));
    best.map(|target| target.id)
}

/// Selects the target of a new flow; none if no target accepts new flows.
///
/// For the objective `BrokenFlows`, the target with the highest rendezvous score is selected while
/// it has a free slot; in all other cases the least loaded target is.
pub fn select_target(
    now: Duration,
    service: &Service,
    flow: FlowId,
    views: &TargetViews,
    loads: &LoadTable,
) -> Option<TargetId> {
    let candidates: Vec<_> = service
        .targets
        .iter()
        .filter(|target| !target.removed)
        .map(|target| (target, share(now, views.get(target.id))))
        .filter(|(_, share)| *share > 0.0)
        .map(|(target, share)| Candidate::new(flow, target, share, loads.get(target.id)))
        .collect();
    let by_hash = candidates.iter().max_by(|a, b| compare(a.hash_score, b.hash_score))?;
    if service.objective == Objective::BrokenFlows && !by_hash.busy {
        return Some(by_hash.id);
    }
    candidates.iter().min_by(|a, b| a.cmp_load(b)).map(|candidate| candidate.id)
}

/// Returns the fraction of its weight and slots that a target may use for new flows.
fn share(now: Duration, view: TargetView) -> f64 {
    match view.state {
        TargetState::Serving => 1.0,
        TargetState::Cold => {
            let progress =
                now.saturating_sub(view.since).as_secs_f64() / SLOW_START_PERIOD.as_secs_f64();
            progress.clamp(SLOW_START_MIN_SHARE, 1.0)
        }
        TargetState::Shedding | TargetState::Draining | TargetState::Dead => 0.0,
    }
}

#[derive(Debug)]
struct Candidate {
    id: TargetId,
    hash_score: f64,
    /// Short-lived flows per usable slot.
    slot_utilization: f64,
    /// Open flows per unit of usable weight.
    flows_per_weight: f64,
    /// Whether all usable slots are taken.
    busy: bool,
}

impl Candidate {
    fn new(flow: FlowId, target: &Target, share: f64, load: Load) -> Self {
        let slots = f64::from(target.slots) * share;
        let weight = f64::from(target.weight) * share;
        Self {
            id: target.id,
            hash_score: hash_score(flow, target.id, weight),
            slot_utilization: f64::from(load.short_lived) / slots,
            flows_per_weight: f64::from(load.open) / weight,
            busy: f64::from(load.short_lived) >= slots,
        }
    }

    fn cmp_load(&self, other: &Self) -> Ordering {
        compare(self.slot_utilization, other.slot_utilization)
            .then(compare(self.flows_per_weight, other.flows_per_weight))
            .then(compare(other.hash_score, self.hash_score))
    }
}

/// Returns the weighted rendezvous score: each target scores highest for a share of flows
/// equal to its share of the total weight.
pub(super) fn hash_score(flow: FlowId, target: TargetId, weight: f64) -> f64 {
    let hash = stable_pair(flow, u64::from(target)) >> 11;
    let uniform = (hash as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}

fn compare(a: f64, b: f64) -> Ordering {
    a.total_cmp(&b)
}
