//! Holds back callers that are already late while the targets are busy, without I/O.
//!
//! Load pattern: after all instances were down for a second, the callers of that second return at
//! once, with more requests than the targets serve in the next half second. Whoever waited has
//! missed the latency target already, and loses nothing by waiting a little longer; a caller that
//! comes now still meets it, if there is room. New callers therefore go first, and late ones take
//! the capacity that is left. None waits longer than its opening packet would be repeated.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::FlowId;

/// Requests in flight per slot up to which late callers are let in: all slots are in use, and half
/// as many requests wait.
const MAX_IN_FLIGHT_PER_SLOT: f64 = 1.5;
/// Age at which an opening packet is forwarded however busy the targets are: callers give up
/// at 1.4 s, and the answer needs time too.
const MAX_AGE: Duration = Duration::from_millis(1_200);
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
    /// The latest copy.
    pub buf: Vec<u8>,
}

/// The opening packets that are held back, in the order in which their callers came.
#[derive(Debug, Default)]
pub(in crate::steering) struct LateOpenings {
    held: VecDeque<HeldOpening>,
}

impl LateOpenings {
    /// Returns whether no packet is held back.
    pub(in crate::steering) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Holds back a packet. A later copy replaces an earlier one. Returns the oldest packet if
    /// there are too many.
    pub(in crate::steering) fn hold(&mut self, opening: HeldOpening) -> Option<HeldOpening> {
        if let Some(earlier) = self.held.iter_mut().find(|held| held.flow == opening.flow) {
            earlier.buf = opening.buf;
            return None;
        }
        let at = self.held.partition_point(|held| held.first_sent <= opening.first_sent);
        self.held.insert(at, opening);
        if self.held.len() > MAX_HELD { self.held.pop_front() } else { None }
    }

    /// Takes the first packet that does not yield any more. `yields` gets its age and its address.
    pub(in crate::steering) fn take_next(
        &mut self,
        now: Duration,
        mut yields: impl FnMut(Duration, SocketAddrV4) -> bool,
    ) -> Option<HeldOpening> {
        let age = |held: &HeldOpening| now.saturating_sub(held.first_sent);
        let next = self.held.iter().position(|held| !yields(age(held), held.service))?;
        self.held.remove(next)
    }
}
