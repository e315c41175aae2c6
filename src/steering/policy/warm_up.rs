//! Limits the openings that reach a cold target, without I/O and without messages.
//!
//! Load pattern: the targets of a failure domain come back at once and bear only a few openings per
//! second each, while a hundred instances have callers for them. A target is cold for seconds only,
//! which is too short to agree on shares, and equal shares of all instances would be too small to
//! be of use. A few instances therefore own the whole budget of each cold target, those that rank
//! first by a hash among the instances of its failure domain; the others open no flow to it.
//!
//! Two instances with different views of the membership do not own more together, as long as each
//! knows all others that own: whoever knows more instances ranks lower. An instance whose view may
//! be incomplete owns nothing.

use std::time::Duration;

use super::seen_instances::SeenInstances;
use crate::hash::{HashMap, stable_pair};
use crate::ids::{FailureDomain, FlowId, InstanceId};
use crate::steering::WarmUp;
use crate::steering::token::TargetIncarnation;

/// Age below which an instance owns nothing. A restart forgets the own openings and the other
/// instances; the openings of more than the last second do not count any more, and the membership
/// is complete, after this time.
const MIN_AGE: Duration = Duration::from_secs(3);
/// Added to the time between two openings, as the network may delay the first one more.
const NETWORK_JITTER: Duration = Duration::from_millis(100);
/// Time without a look at a target after which its state is removed; longer than the time between
/// two openings and the time within which callers repeat their opening packets.
const RETENTION: Duration = Duration::from_secs(10);

/// What an instance knows about itself and the other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceView {
    /// ID of the instance.
    pub me: InstanceId,
    /// When the instance started.
    pub started: Duration,
    /// Whether it knows the other instances of its failure domain and hears from some.
    pub is_complete: bool,
}

/// State of a target that is or was cold.
#[derive(Debug, Default)]
struct ColdTarget {
    /// Number of instances that rank before this one.
    rank: usize,
    /// Version of the set of instances for which the rank was computed.
    ranked_at: Option<u64>,
    next_opening: Duration,
    last_flow: Option<FlowId>,
    last_look: Duration,
}

/// Share of an instance in the opening budgets of cold targets.
#[derive(Debug, Default)]
pub struct WarmUpBudget {
    view: Option<InstanceView>,
    instances: SeenInstances,
    targets: HashMap<TargetIncarnation, ColdTarget>,
    /// Time from which all targets of a failure domain count as cold.
    presumed_cold: HashMap<FailureDomain, Duration>,
    /// Number of openings to cold targets.
    openings: u64,
}

impl WarmUpBudget {
    /// Updates what is known about the instances.
    pub fn set_view(&mut self, view: InstanceView) {
        self.view = Some(view);
    }

    /// Records the live instances of the local failure domain, this one included.
    pub fn set_instances(&mut self, now: Duration, live: impl Iterator<Item = InstanceId>) {
        self.instances.update(now, live);
    }

    /// Returns whether this instance may own shares: it has run for a time, and its view is complete.
    pub fn is_owner(&self, now: Duration) -> bool {
        let knows = |view: InstanceView| view.is_complete && now >= view.started + MIN_AGE;
        self.view.is_some_and(knows) && self.instances.is_settled(now)
    }

    /// Lets all targets of a failure domain count as cold from now.
    pub fn presume_cold(&mut self, now: Duration, domain: &str) {
        self.presumed_cold.insert(domain.to_owned(), now);
    }

    /// Returns the remaining time for which a target counts as cold, given that of its own record.
    pub fn cold_left(
        &self,
        now: Duration,
        limit: WarmUp,
        domain: &str,
        recorded: Duration,
    ) -> Duration {
        let since = self.presumed_cold.get(domain);
        let presumed = since.map(|&since| (since + limit.duration).saturating_sub(now));
        recorded.max(presumed.unwrap_or_default())
    }

    /// Computes the rank of this instance for a cold target of its failure domain, unless it is
    /// known.
    pub fn rank(&mut self, now: Duration, target: TargetIncarnation) {
        let Some(InstanceView { me, .. }) = self.view else { return };
        let cold = self.targets.entry(target).or_default();
        cold.last_look = now;
        let version = Some(self.instances.version());
        if cold.ranked_at != version {
            let target = stable_pair(target.0, target.1);
            let order = |id: InstanceId| (stable_pair(target, u64::from(id)), id);
            cold.rank = self.instances.ids().filter(|&id| order(id) < order(me)).count();
            cold.ranked_at = version;
        }
    }

    /// Returns the openings per second that this instance may send to a ranked target; 0 if it owns
    /// no share.
    pub fn share(&self, now: Duration, limit: WarmUp, target: TargetIncarnation) -> f64 {
        let owns = |cold: &ColdTarget| cold.rank < owners(limit);
        let owns = self.is_owner(now) && self.targets.get(&target).is_some_and(owns);
        if owns { interval(limit).as_secs_f64().recip() } else { 0.0 }
    }

    /// Returns whether this instance may open a flow to a ranked target now.
    pub fn may_open(&self, now: Duration, limit: WarmUp, target: TargetIncarnation) -> bool {
        let is_due = |cold: &ColdTarget| now >= cold.next_opening;
        self.targets.get(&target).is_some_and(is_due) && self.share(now, limit, target) > 0.0
    }

    /// Records the opening of a flow to a cold target.
    pub fn record(
        &mut self,
        now: Duration,
        limit: WarmUp,
        target: TargetIncarnation,
        flow: FlowId,
    ) {
        let cold = self.targets.entry(target).or_default();
        cold.next_opening = now + interval(limit);
        cold.last_flow = Some(flow);
        cold.last_look = now;
        self.openings += 1;
    }

    /// Returns the number of openings to cold targets so far.
    pub fn openings(&self) -> u64 {
        self.openings
    }

    /// Returns whether a flow is the last one that was opened to a target while it was cold. The
    /// copies of its opening packet come before the next opening is due.
    pub fn is_recorded(&self, target: TargetIncarnation, flow: FlowId) -> bool {
        self.targets.get(&target).is_some_and(|cold| cold.last_flow == Some(flow))
    }

    /// Removes expired state; to be called about once per second. `longest` is the longest time for
    /// which a target of any service is cold, if the services are known.
    pub fn expire(&mut self, now: Duration, longest: Option<Duration>) {
        self.instances.expire(now);
        self.targets.retain(|_, cold| now < cold.last_look.max(cold.next_opening) + RETENTION);
        if let Some(longest) = longest {
            self.presumed_cold.retain(|_, since| now < *since + longest);
        }
    }
}

/// Returns the number of instances that own shares of a target, if there are that many.
fn owners(limit: WarmUp) -> usize {
    limit.flows_per_s.ceil() as usize
}

/// Returns the time between two openings of an owner. As it is more than a second, all owners
/// together stay within the budget, rounded up, in any second.
fn interval(limit: WarmUp) -> Duration {
    Duration::from_secs_f64(limit.flows_per_s.ceil() / limit.flows_per_s) + NETWORK_JITTER
}
