//! The open work of each target, as the placer of its service sees it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::hash::{HashMap, HashSet};
use crate::ids::{FlowId, TargetId};

/// Age from which a flow counts as a feed that uses no slot.
const YOUNG_AGE: Duration = Duration::from_secs(2);

/// Time in which the last packets of an ended flow must not count it again.
const CLOSED_FOR: Duration = Duration::from_secs(15);

/// The open flows of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// All open flows.
    pub open: u32,
    /// Flows that are younger than a feed: work that is likely in a slot.
    pub young: u32,
}

/// The open work of all targets that this instance places flows on.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<TargetId, Load>,
    counted: HashMap<FlowId, TargetId>,
    young: HashMap<FlowId, TargetId>,
    ageing: VecDeque<(Duration, FlowId)>,
    closed: HashSet<FlowId>,
    forgetting: VecDeque<(Duration, FlowId)>,
}

impl LoadTable {
    /// Returns the load of a target.
    pub fn get(&self, target: TargetId) -> Load {
        self.loads.get(&target).copied().unwrap_or_default()
    }

    /// Returns the target on which a flow is counted.
    pub fn counted_on(&self, flow: FlowId) -> Option<TargetId> {
        self.counted.get(&flow).copied()
    }

    /// Counts a new flow on a target.
    pub fn opened(&mut self, now: Duration, flow: FlowId, target: TargetId) {
        self.take_out(flow);
        self.closed.remove(&flow);
        self.counted.insert(flow, target);
        self.young.insert(flow, target);
        self.ageing.push_back((now + YOUNG_AGE, flow));
        let load = self.loads.entry(target).or_default();
        load.open += 1;
        load.young += 1;
    }

    /// Counts a flow that was open before this instance saw it.
    pub fn found(&mut self, flow: FlowId, target: TargetId) {
        if self.closed.contains(&flow) {
            return;
        }
        if self.counted.insert(flow, target).is_none() {
            self.loads.entry(target).or_default().open += 1;
        }
    }

    /// Takes an ended flow out of the count.
    pub fn closed(&mut self, now: Duration, flow: FlowId) {
        if self.take_out(flow) && self.closed.insert(flow) {
            self.forgetting.push_back((now + CLOSED_FOR, flow));
        }
    }

    /// Lets flows that have become feeds leave the slots' count, and forgets old endings.
    pub fn age(&mut self, now: Duration) {
        while let Some(&(due, flow)) = self.ageing.front() {
            if due > now {
                break;
            }
            self.ageing.pop_front();
            self.grown(flow);
        }
        while let Some(&(due, flow)) = self.forgetting.front() {
            if due > now {
                break;
            }
            self.forgetting.pop_front();
            self.closed.remove(&flow);
        }
    }

    fn take_out(&mut self, flow: FlowId) -> bool {
        self.grown(flow);
        let Some(target) = self.counted.remove(&flow) else { return false };
        let load = self.loads.entry(target).or_default();
        load.open = load.open.saturating_sub(1);
        true
    }

    fn grown(&mut self, flow: FlowId) {
        if let Some(target) = self.young.remove(&flow) {
            let load = self.loads.entry(target).or_default();
            load.young = load.young.saturating_sub(1);
        }
    }
}
