//! The open work of each target, as the placer of its service sees it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::{FlowId, TargetId};

/// Age from which a flow counts as a feed that uses no slot.
const YOUNG_AGE: Duration = Duration::from_secs(2);

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
        self.closed(flow);
        self.counted.insert(flow, target);
        self.young.insert(flow, target);
        self.ageing.push_back((now + YOUNG_AGE, flow));
        let load = self.loads.entry(target).or_default();
        load.open += 1;
        load.young += 1;
    }

    /// Counts a flow that was open before this instance saw it.
    pub fn found(&mut self, flow: FlowId, target: TargetId) {
        if self.counted.insert(flow, target).is_none() {
            self.loads.entry(target).or_default().open += 1;
        }
    }

    /// Takes an ended flow out of the count.
    pub fn closed(&mut self, flow: FlowId) {
        self.grown(flow);
        if let Some(target) = self.counted.remove(&flow) {
            let load = self.loads.entry(target).or_default();
            load.open = load.open.saturating_sub(1);
        }
    }

    /// Lets flows that have become feeds leave the slots' count.
    pub fn age(&mut self, now: Duration) {
        while let Some(&(due, flow)) = self.ageing.front() {
            if due > now {
                break;
            }
            self.ageing.pop_front();
            self.grown(flow);
        }
    }

    /// Returns the counted flows.
    pub fn flows(&self) -> impl Iterator<Item = FlowId> {
        self.counted.keys().copied()
    }

    fn grown(&mut self, flow: FlowId) {
        if let Some(target) = self.young.remove(&flow) {
            let load = self.loads.entry(target).or_default();
            load.young = load.young.saturating_sub(1);
        }
    }
}
