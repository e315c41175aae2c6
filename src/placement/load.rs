//! The open work of each target, as the placer of its service sees it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use crate::hash::{HashMap, HashSet};
use crate::ids::{FlowId, ServiceId, TargetId};

/// Age from which a flow counts as a feed, as long as nothing is known of shorter flows.
const FEED_AGE: Duration = Duration::from_secs(2);
/// Least age from which a flow counts as a feed.
const LEAST_FEED_AGE: Duration = Duration::from_millis(20);
/// Mean lives of short flows after which a flow counts as a feed that uses no slot.
const LIVES: f64 = 4.0;
/// Weight of one short flow in the mean life.
const SMOOTHING: f64 = 1.0 / 32.0;
/// Short flows that must have ended before their mean life is used.
const ENOUGH_LIVES: u32 = 32;
/// Time in which the last packets of an ended flow must not count it again.
const CLOSED_FOR: Duration = Duration::from_secs(15);

/// The open flows of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// All open flows.
    pub open: u32,
    /// Flows that are younger than a feed: work that is likely in a slot or waits for one.
    pub young: u32,
}

/// The mean life of the short flows of a service. It is one for all its targets: a target
/// whose flows seemed shorter would draw ever more of them.
#[derive(Debug, Clone, Copy, Default)]
struct MeanLife {
    /// Mean life in seconds.
    life: f64,
    /// Short flows that have ended.
    lives: u32,
}

impl MeanLife {
    fn feed_age(&self) -> Duration {
        if self.lives < ENOUGH_LIVES {
            return FEED_AGE;
        }
        Duration::from_secs_f64(self.life * LIVES).clamp(LEAST_FEED_AGE, FEED_AGE)
    }

    fn note_life(&mut self, life: Duration) {
        let weight = SMOOTHING.max(1.0 / f64::from(self.lives + 1));
        self.life += (life.as_secs_f64() - self.life) * weight;
        self.lives = self.lives.saturating_add(1);
    }
}

/// A flow whose age is watched.
#[derive(Debug, Clone, Copy)]
struct Short {
    target: TargetId,
    service: ServiceId,
    opened: Duration,
    counted: bool,
}

/// The open work of all targets that this instance places flows on.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    loads: HashMap<TargetId, Load>,
    lives: HashMap<ServiceId, MeanLife>,
    counted: HashMap<FlowId, TargetId>,
    short: HashMap<FlowId, Short>,
    ageing: BinaryHeap<Reverse<(Duration, FlowId)>>,
    closed: HashSet<FlowId>,
    forgetting: VecDeque<(Duration, FlowId)>,
    quiet: BinaryHeap<Reverse<(Duration, FlowId)>>,
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

    /// Counts a new flow on a target of a service.
    pub fn opened(&mut self, now: Duration, flow: FlowId, service: ServiceId, target: TargetId) {
        self.take_out(flow);
        self.closed.remove(&flow);
        self.counted.insert(flow, target);
        self.short.insert(flow, Short { target, service, opened: now, counted: true });
        let load = self.loads.entry(target).or_default();
        load.open += 1;
        load.young += 1;
        let due = now + self.lives.entry(service).or_default().feed_age();
        self.ageing.push(Reverse((due, flow)));
    }

    /// Counts a flow that was open before this instance saw it.
    pub fn found(&mut self, flow: FlowId, target: TargetId) {
        if self.closed.contains(&flow) || self.counted.contains_key(&flow) {
            return;
        }
        self.counted.insert(flow, target);
        self.loads.entry(target).or_default().open += 1;
    }

    /// Takes an ended flow out of the count.
    pub fn closed(&mut self, now: Duration, flow: FlowId) {
        if let Some(short) = self.short.get(&flow) {
            let life = now.saturating_sub(short.opened);
            self.lives.entry(short.service).or_default().note_life(life);
        }
        if self.take_out(flow) && self.closed.insert(flow) {
            self.forgetting.push_back((now + CLOSED_FOR, flow));
        }
    }

    /// Notes a flow that no packet has shown for long; it counts until a time.
    pub fn quiet(&mut self, until: Duration, flow: FlowId) {
        if self.counted.contains_key(&flow) {
            self.quiet.push(Reverse((until, flow)));
        }
    }

    /// Lets flows that have become feeds leave the slots' count, and forgets old endings
    /// and quiet flows that `seen` does not know again.
    pub fn age(&mut self, now: Duration, seen: impl Fn(FlowId) -> bool) {
        while let Some(&Reverse((due, flow))) = self.quiet.peek() {
            if due > now {
                break;
            }
            self.quiet.pop();
            if !seen(flow) {
                self.closed(now, flow);
            }
        }
        while let Some(&Reverse((due, flow))) = self.ageing.peek() {
            if due > now {
                break;
            }
            self.ageing.pop();
            self.grow(now, flow);
        }
        while let Some(&(due, flow)) = self.forgetting.front() {
            if due > now {
                break;
            }
            self.forgetting.pop_front();
            self.closed.remove(&flow);
        }
    }

    fn grow(&mut self, now: Duration, flow: FlowId) {
        let Some(short) = self.short.get_mut(&flow) else { return };
        let watched_until = short.opened + FEED_AGE;
        if std::mem::take(&mut short.counted) {
            let load = self.loads.entry(short.target).or_default();
            load.young = load.young.saturating_sub(1);
        }
        if now >= watched_until {
            self.short.remove(&flow);
        } else {
            self.ageing.push(Reverse((watched_until, flow)));
        }
    }

    fn take_out(&mut self, flow: FlowId) -> bool {
        if let Some(short) = self.short.remove(&flow)
            && short.counted
        {
            let load = self.loads.entry(short.target).or_default();
            load.young = load.young.saturating_sub(1);
        }
        let Some(target) = self.counted.remove(&flow) else { return false };
        let load = self.loads.entry(target).or_default();
        load.open = load.open.saturating_sub(1);
        true
    }
}
