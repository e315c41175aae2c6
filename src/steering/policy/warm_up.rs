//! Limits the openings that reach a cold target, without I/O and without messages.
//!
//! Load pattern: the targets of a failure domain come back at once and accept only a few openings
//! per second each, while a hundred instances have callers for them. A target is cold for seconds
//! only, which is too short to agree on shares, and equal shares of all instances would be too small
//! to be of use.
//!
//! Rule: the ceil(limit) instances that rank first by a hash among those of the target's failure
//! domain own its budget. Each opens at most one flow in (owners / limit) s; all others open none.
//! The rank counts all instances seen within 120 s, so a lost instance or a partition makes no share
//! larger: whoever knows more instances ranks lower. An instance owns nothing until its view has been
//! complete for 3 s and has not grown for 1 s. If a known target restarts or becomes cold again, its
//! first opening is due one interval later.
//!
//! Not covered:
//!
//! - *A target restarts during a partition of its failure domain*, and only one side learns of it:
//!   the owners of the old incarnation and those of the new one open flows at the same time.
//! - *A partition of more than 120 s*: each side has forgotten the other one, and uses a full budget.
//! - *Instances that learn of each other over more than 3 s*, with pauses of more than 1 s: those
//!   that know too few others own too much.
//! - *A lone instance* has no peer to join, or hears from none: it owns nothing, and its callers get
//!   no cold target.

use std::time::Duration;

use super::seen_instances::SeenInstances;
use crate::hash::{HashMap, stable_pair};
use crate::ids::{FailureDomain, FlowId, InstanceId};
use crate::steering::WarmUp;
use crate::steering::token::TargetIncarnation;

/// Time for which an instance owns nothing after its view has become complete. A restart or a long
/// partition forgets the own openings and the other instances. After this time, openings before it
/// do not count any more, and the instances have learned of each other.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Added to the time between two openings, as the network may delay the first one more.
const NETWORK_JITTER: Duration = Duration::from_millis(100);
/// Time without use of a target's state after which it is removed; longer than the time between
/// two openings and the time within which callers repeat their opening packets.
const RETENTION: Duration = Duration::from_secs(10);

/// What an instance knows about itself and the other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceView {
    /// ID of the instance.
    pub me: InstanceId,
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
    last_used: Duration,
}

/// Share of an instance in the opening budgets of cold targets.
#[derive(Debug, Default)]
pub struct WarmUpBudget {
    me: Option<InstanceId>,
    /// When the view of the instances last became complete; `None` while it is not.
    complete_since: Option<Duration>,
    instances: SeenInstances,
    targets: HashMap<TargetIncarnation, ColdTarget>,
    /// Time from which all targets of a failure domain count as cold.
    presumed_cold: HashMap<FailureDomain, Duration>,
    /// Number of openings to cold targets.
    openings: u64,
}

impl WarmUpBudget {
    /// Updates what is known about the instances.
    pub fn set_view(&mut self, now: Duration, view: InstanceView) {
        self.me = Some(view.me);
        let complete_since = self.complete_since.unwrap_or(now);
        self.complete_since = view.is_complete.then_some(complete_since);
    }

    /// Records the live instances of the local failure domain, this one included.
    pub fn set_instances(&mut self, now: Duration, live: impl Iterator<Item = InstanceId>) {
        self.instances.update(now, live);
    }

    /// Returns whether this instance may own shares: its view has been complete for a time.
    pub fn is_owner(&self, now: Duration) -> bool {
        let is_settled = |since: Duration| now >= since + SETTLING_TIME;
        self.complete_since.is_some_and(is_settled) && self.instances.is_settled(now)
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
        recorded.max(self.presumed_left(now, limit, domain))
    }

    /// Returns the remaining time for which all targets of a failure domain count as cold.
    pub fn presumed_left(&self, now: Duration, limit: WarmUp, domain: &str) -> Duration {
        let since = self.presumed_cold.get(domain);
        let left = since.map(|&since| (since + limit.duration).saturating_sub(now));
        left.unwrap_or_default()
    }

    /// Returns whether the targets of a failure domain may count as cold, whatever their limit.
    pub fn is_presumed_cold(&self, domain: &str) -> bool {
        self.presumed_cold.contains_key(domain)
    }

    /// Computes the rank of this instance for a cold target of its failure domain, unless it is
    /// known or the instance owns nothing. `again_at` is when a target that was known before
    /// restarted or became cold again: it may have got openings just before, from other owners or
    /// without a limit, so the next one is due an interval later.
    pub fn rank(
        &mut self,
        now: Duration,
        limit: WarmUp,
        target: TargetIncarnation,
        again_at: Option<Duration>,
    ) {
        let Some(me) = self.me.filter(|_| self.is_owner(now)) else { return };
        let cold = self.targets.entry(target).or_default();
        cold.last_used = now;
        let earliest = again_at.map(|again_at| again_at + interval(limit));
        cold.next_opening = cold.next_opening.max(earliest.unwrap_or_default());
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
        cold.last_used = now;
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
        self.targets.retain(|_, cold| now < cold.last_used.max(cold.next_opening) + RETENTION);
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
