//! Open flows of each target, as counted by the placer of its service.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use crate::hash::{HashMap, HashSet};
use crate::ids::{FlowId, ServiceId, TargetId};

/// Age at which a flow counts as long-lived, until enough short flows have ended; also the
/// maximum of that age.
const MAX_LONG_LIVED_AGE: Duration = Duration::from_secs(2);
/// Minimum age at which a flow counts as long-lived.
const MIN_LONG_LIVED_AGE: Duration = Duration::from_millis(20);
/// Multiple of the mean duration of short flows at which a flow counts as long-lived and is
/// assumed to use no slot.
const LONG_LIVED_FACTOR: f64 = 4.0;
/// Weight of one short flow in the moving average of durations.
const SMOOTHING: f64 = 1.0 / 32.0;
/// Short flows that must have ended before their mean duration is used.
const MIN_SAMPLES: u32 = 32;
/// Time for which an ended flow is remembered, so that its last packets do not count it again.
const TOMBSTONE_TTL: Duration = Duration::from_secs(15);

/// Number of open flows of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// All open flows.
    pub open: u32,
    /// Flows that are not yet long-lived and so are likely to use a slot or wait for one.
    pub short_lived: u32,
}

/// Moving average of the duration of a service's short flows. All targets of a service share
/// it: with separate averages, a target with shorter flows would attract ever more of them.
#[derive(Debug, Clone, Copy, Default)]
struct MeanDuration {
    /// Mean duration in seconds.
    mean_s: f64,
    /// Short flows that have ended.
    samples: u32,
}

impl MeanDuration {
    fn long_lived_age(&self) -> Duration {
        if self.samples < MIN_SAMPLES {
            return MAX_LONG_LIVED_AGE;
        }
        Duration::from_secs_f64(self.mean_s * LONG_LIVED_FACTOR)
            .clamp(MIN_LONG_LIVED_AGE, MAX_LONG_LIVED_AGE)
    }

    fn add_sample(&mut self, duration: Duration) {
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples + 1));
        self.mean_s += (duration.as_secs_f64() - self.mean_s) * weight;
        self.samples = self.samples.saturating_add(1);
    }
}

/// A flow that has not reached the maximum age of short flows.
#[derive(Debug, Clone, Copy)]
struct ShortFlow {
    target: TargetId,
    service: ServiceId,
    opened: Duration,
    /// Whether the flow is included in [`Load::short_lived`].
    counted: bool,
}

/// Loads of the targets of all services that this instance is the placer of.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    loads: HashMap<TargetId, Load>,
    durations: HashMap<ServiceId, MeanDuration>,
    counted: HashMap<FlowId, TargetId>,
    short_flows: HashMap<FlowId, ShortFlow>,
    reclassification: BinaryHeap<Reverse<(Duration, FlowId)>>,
    tombstones: HashSet<FlowId>,
    tombstone_expiry: VecDeque<(Duration, FlowId)>,
    idle: BinaryHeap<Reverse<(Duration, FlowId)>>,
}

impl LoadTable {
    /// Returns the load of a target; zero if no flow was counted.
    pub fn get(&self, target: TargetId) -> Load {
        self.loads.get(&target).copied().unwrap_or_default()
    }

    /// Returns the target on which a flow is counted.
    pub fn counted_on(&self, flow: FlowId) -> Option<TargetId> {
        self.counted.get(&flow).copied()
    }

    /// Counts a new flow on a target, or moves it there if it is counted already.
    pub fn opened(&mut self, now: Duration, flow: FlowId, service: ServiceId, target: TargetId) {
        self.uncount(flow);
        self.tombstones.remove(&flow);
        self.counted.insert(flow, target);
        self.short_flows.insert(flow, ShortFlow { target, service, opened: now, counted: true });
        let load = self.loads.entry(target).or_default();
        load.open += 1;
        load.short_lived += 1;
        let due = now + self.durations.entry(service).or_default().long_lived_age();
        self.reclassification.push(Reverse((due, flow)));
    }

    /// Counts a flow that another placer has placed, unless it is counted or has ended here.
    pub fn add_existing(&mut self, flow: FlowId, target: TargetId) {
        if self.tombstones.contains(&flow) || self.counted.contains_key(&flow) {
            return;
        }
        self.counted.insert(flow, target);
        self.loads.entry(target).or_default().open += 1;
    }

    /// Removes an ended flow from the load.
    pub fn closed(&mut self, now: Duration, flow: FlowId) {
        if let Some(short) = self.short_flows.get(&flow) {
            let duration = now.saturating_sub(short.opened);
            self.durations.entry(short.service).or_default().add_sample(duration);
        }
        if self.uncount(flow) && self.tombstones.insert(flow) {
            self.tombstone_expiry.push_back((now + TOMBSTONE_TTL, flow));
        }
    }

    /// Marks a flow as idle; it is removed at `until` unless it is known again by then.
    pub fn mark_idle(&mut self, until: Duration, flow: FlowId) {
        if self.counted.contains_key(&flow) {
            self.idle.push(Reverse((until, flow)));
        }
    }

    /// Reclassifies flows that have become long-lived, and removes expired tombstones and
    /// idle flows for which `is_known` returns false.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(FlowId) -> bool) {
        while let Some(&Reverse((due, flow))) = self.idle.peek() {
            if due > now {
                break;
            }
            self.idle.pop();
            if !is_known(flow) {
                self.closed(now, flow);
            }
        }
        while let Some(&Reverse((due, flow))) = self.reclassification.peek() {
            if due > now {
                break;
            }
            self.reclassification.pop();
            self.reclassify(now, flow);
        }
        while let Some(&(due, flow)) = self.tombstone_expiry.front() {
            if due > now {
                break;
            }
            self.tombstone_expiry.pop_front();
            self.tombstones.remove(&flow);
        }
    }

    fn reclassify(&mut self, now: Duration, flow: FlowId) {
        let Some(short) = self.short_flows.get_mut(&flow) else { return };
        let watched_until = short.opened + MAX_LONG_LIVED_AGE;
        if std::mem::take(&mut short.counted) {
            let load = self.loads.entry(short.target).or_default();
            load.short_lived = load.short_lived.saturating_sub(1);
        }
        if now >= watched_until {
            self.short_flows.remove(&flow);
        } else {
            self.reclassification.push(Reverse((watched_until, flow)));
        }
    }

    fn uncount(&mut self, flow: FlowId) -> bool {
        if let Some(short) = self.short_flows.remove(&flow)
            && short.counted
        {
            let load = self.loads.entry(short.target).or_default();
            load.short_lived = load.short_lived.saturating_sub(1);
        }
        let Some(target) = self.counted.remove(&flow) else { return false };
        let load = self.loads.entry(target).or_default();
        load.open = load.open.saturating_sub(1);
        true
    }
}
