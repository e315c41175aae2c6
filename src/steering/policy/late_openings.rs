//! Holds back callers that are already late while the targets are busy, without I/O. The queue also
//! holds the openings that [`admission`](super::admission) holds back.
//!
//! Load pattern: after all instances were down for a second, the callers of that second return at
//! once, with more requests than the targets serve in the next half second. Whoever waited has
//! missed the latency target already, and loses nothing by waiting a little longer; a caller that
//! comes now still meets it, if there is room. New callers therefore go first, and late ones take
//! the capacity that is left. None waits longer than its opening packet would be repeated.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::admission::{OpeningClass, Rank};
use crate::hash::HashMap;
use crate::ids::FlowId;

/// Requests in flight per slot up to which late callers are let in: all slots are in use, and half
/// as many requests wait.
const MAX_IN_FLIGHT_PER_SLOT: f64 = 1.5;
/// Age at which an opening packet is forwarded however busy the targets are: callers give up
/// at 1.4 s, and the answer needs time too.
pub(super) const MAX_AGE: Duration = Duration::from_millis(1_200);
/// Maximum number of packets held back.
const MAX_HELD: usize = 256;

/// Load of the targets of a route, as one of several instances sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RouteLoad {
    /// Requests in flight through this instance.
    pub in_flight: u32,
    /// Slots of all targets.
    pub slots: u32,
    /// Number of instances that share the targets.
    pub instances: usize,
}

impl RouteLoad {
    /// Returns whether this instance has its share of requests in flight.
    pub fn is_full(&self) -> bool {
        let share = f64::from(self.slots) / self.instances.max(1) as f64;
        f64::from(self.in_flight) >= (MAX_IN_FLIGHT_PER_SLOT * share).max(1.0)
    }
}

/// Returns whether a caller yields to others: it has missed its latency target, there is no room
/// for it now, and it can still wait.
pub fn yields(age: Duration, latency_target: Duration, load: RouteLoad) -> bool {
    age > latency_target && age < MAX_AGE && load.is_full()
}

/// An opening packet that is held back.
#[derive(Debug)]
pub(in crate::steering) struct HeldOpening {
    /// Flow that it opens.
    pub flow: FlowId,
    /// Address that the caller connects to.
    pub service: SocketAddrV4,
    /// When the caller sent the first copy.
    pub first_sent: Duration,
    /// Its class, if the targets serve requests of several priorities.
    pub class: Option<OpeningClass>,
    /// The latest copy.
    pub buf: Vec<u8>,
}

impl HeldOpening {
    /// Returns the time since the first copy.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.first_sent)
    }

    /// Returns the place in the order of release, lower ones first.
    pub fn rank(&self, now: Duration) -> Rank {
        self.class.map_or(0, |class| class.rank(now))
    }
}

/// The opening packets that are held back, in the order in which their callers came.
#[derive(Debug, Default)]
pub(in crate::steering) struct LateOpenings {
    held: VecDeque<HeldOpening>,
}

impl LateOpenings {
    /// Returns whether no packet is held back.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the packets that are held back.
    pub fn iter(&self) -> impl Iterator<Item = &HeldOpening> {
        self.held.iter()
    }

    /// Returns whether a flow is being held back, and replaces its packet by a later copy.
    pub fn update(&mut self, flow: FlowId, buf: &[u8]) -> bool {
        let Some(earlier) = self.held.iter_mut().find(|held| held.flow == flow) else {
            return false;
        };
        buf.clone_into(&mut earlier.buf);
        true
    }

    /// Holds back a packet. If there are too many, returns the one that would be released last, or
    /// the oldest one if none has a class.
    pub fn hold(&mut self, now: Duration, opening: HeldOpening) -> Option<HeldOpening> {
        if self.update(opening.flow, &opening.buf) {
            return None;
        }
        let at = self.held.partition_point(|held| held.first_sent <= opening.first_sent);
        self.held.insert(at, opening);
        if self.held.len() <= MAX_HELD {
            return None;
        }
        let with_class = self.held.iter().enumerate().filter(|(_, held)| held.class.is_some());
        let last = with_class.max_by_key(|(at, held)| (held.rank(now), *at)).map(|(at, _)| at);
        self.held.remove(last.unwrap_or_default())
    }

    /// Takes the first packet in the order of release that is eligible.
    pub fn take_next(
        &mut self,
        now: Duration,
        mut is_eligible: impl FnMut(&HeldOpening) -> bool,
    ) -> Option<HeldOpening> {
        let eligible = self.held.iter().enumerate().filter(|(_, held)| is_eligible(held));
        let (next, _) = eligible.min_by_key(|(at, held)| (held.rank(now), *at))?;
        self.held.remove(next)
    }

    /// Returns the index of the first packet that is to be refused. `is_refused` gets the numbers of
    /// packets for the same address that are ahead of it now and once it is not in time any more.
    pub fn find_refused(
        &self,
        now: Duration,
        mut is_refused: impl FnMut(&HeldOpening, usize, usize) -> bool,
    ) -> Option<usize> {
        let mut held_at: HashMap<_, usize> = HashMap::default();
        for held in &self.held {
            *held_at.entry((held.service, held.rank(now))).or_default() += 1;
        }
        let mut passed: HashMap<_, usize> = HashMap::default();
        self.held.iter().position(|held| {
            let rank = held.rank(now);
            let ahead = passed.entry((held.service, rank)).or_default();
            *ahead += 1;
            let late = held_at.get(&(held.service, rank + 1)).copied().unwrap_or_default();
            is_refused(held, *ahead - 1, late)
        })
    }

    /// Removes the packet with an index.
    pub fn remove(&mut self, index: usize) -> Option<HeldOpening> {
        self.held.remove(index)
    }
}
