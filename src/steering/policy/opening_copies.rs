//! Tells whether a flow that cannot be served may be refused, without I/O.
//!
//! Load pattern: an instance stands still, or waits for the targets after its start. Meanwhile callers
//! send copies of their opening packets, which take other ways. A flow that one of them has opened looks
//! like one that never got a target, and a refusal may end it. So a flow is refused only if this instance
//! has read every copy that the caller can have sent by the time the refusal arrives, and has forwarded
//! none of them.

use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::FlowId;

/// Time that a refusal may take to its caller, and an opening packet to this instance.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Time for which a flow is kept, at least: by then its caller has opened it or given up.
const RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of flows that are kept in each of two tables, about 40 bytes each.
const MAX_FLOWS: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Opening {
    sequence: u32,
    /// The copies that were read, as bits.
    read: u8,
    /// The caller has not sent the first copy before this time.
    begun: Duration,
    /// Whether a target may have the flow, or too little is known about the time.
    may_be_open: bool,
}

/// The opening packets that were read in the last seconds.
#[derive(Debug, Default)]
pub(in crate::steering) struct OpeningCopies {
    recent: HashMap<FlowId, Opening>,
    earlier: HashMap<FlowId, Opening>,
    next_expiry: Duration,
    /// When time was last lost.
    unknown_until: Option<Duration>,
}

impl OpeningCopies {
    /// Records a copy that was read now and has arrived at `since` at the earliest; `age` is the time
    /// from the first copy to this one.
    pub(in crate::steering) fn read(
        &mut self,
        now: Duration,
        since: Duration,
        (flow, sequence): (FlowId, u32),
        copy: u32,
        age: Duration,
    ) {
        if now >= self.next_expiry {
            self.next_expiry = now + RETENTION;
            self.earlier = std::mem::take(&mut self.recent);
        }
        let known = self.get(flow, sequence).copied();
        if known.is_none() && self.recent.len() >= MAX_FLOWS {
            return;
        }
        let begun = since.saturating_sub(age);
        let is_late = self.unknown_until.is_some_and(|until| since <= until);
        let opening = known.unwrap_or(Opening { sequence, read: 0, begun, may_be_open: false });
        // Copies beyond the last bit are never sent.
        let bit = 1_u8.checked_shl(copy).unwrap_or(0);
        let opening = Opening {
            read: opening.read | bit,
            begun: opening.begun.min(begun),
            may_be_open: opening.may_be_open || is_late || bit == 0,
            ..opening
        };
        self.recent.insert(flow, opening);
    }

    /// Records that a copy was forwarded to a target.
    pub(in crate::steering) fn forwarded(&mut self, (flow, sequence): (FlowId, u32)) {
        for table in [&mut self.recent, &mut self.earlier] {
            if let Some(opening) = table.get_mut(&flow).filter(|o| o.sequence == sequence) {
                opening.may_be_open = true;
            }
        }
    }

    /// Records that time may have passed that the clock has not counted: packets that are read next
    /// may have waited for long.
    pub(in crate::steering) fn lose_time(&mut self, now: Duration) {
        self.recent.clear();
        self.earlier.clear();
        self.unknown_until = Some(now);
    }

    /// Returns the longest time that the caller of a flow can have waited.
    pub(in crate::steering) fn waited(
        &self,
        now: Duration,
        (flow, sequence): (FlowId, u32),
    ) -> Option<Duration> {
        self.get(flow, sequence).map(|opening| now.saturating_sub(opening.begun))
    }

    /// Returns whether a flow cannot be open when a refusal arrives that is sent now. `age` returns the
    /// time from the first copy to the one with a number, or until the caller gives up.
    pub(in crate::steering) fn may_refuse(
        &self,
        now: Duration,
        (flow, sequence): (FlowId, u32),
        age: impl Fn(u32) -> Duration,
    ) -> bool {
        let Some(opening) = self.get(flow, sequence) else { return false };
        let copies = opening.read.trailing_ones();
        let has_all = opening.read.count_ones() == copies;
        has_all && !opening.may_be_open && now + TRANSIT_TIME < opening.begun + age(copies)
    }

    fn get(&self, flow: FlowId, sequence: u32) -> Option<&Opening> {
        let opening = self.recent.get(&flow).or_else(|| self.earlier.get(&flow));
        opening.filter(|opening| opening.sequence == sequence)
    }
}
