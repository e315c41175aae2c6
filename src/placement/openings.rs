//! Opening packets that this instance has passed on: a copy of one may belong to an open flow, so
//! it is never refused.

use std::time::Duration;

use crate::hash::{HashSet, stable_pair};
use crate::ids::FlowId;

/// Time by which a copy of an opening packet may come later than another one.
const MAX_COPY_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of opening packets in one generation, which bounds memory.
const MAX_GENERATION_LEN: usize = 1 << 19;

/// The opening packets of the last [`MAX_COPY_DELAY`] to twice that time.
#[derive(Debug, Clone, Default)]
pub(super) struct Openings {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    rotated: Duration,
    /// Since when every opening packet that was passed on is remembered; none before the members
    /// are known.
    complete_since: Option<Duration>,
}

impl Openings {
    /// Starts anew: other instances may have passed on opening packets until now.
    pub(super) fn restart(&mut self, now: Duration) {
        self.complete_since = Some(now);
    }

    /// Returns whether the members are known.
    pub(super) fn has_started(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Records that an opening packet is passed on.
    pub(super) fn record(&mut self, now: Duration, flow: FlowId, sequence: u32) {
        if self.current.len() >= MAX_GENERATION_LEN {
            self.restart(now);
        } else {
            self.current.insert(key(flow, sequence));
        }
    }

    /// Returns whether this instance or an earlier owner may have passed on a copy of an opening
    /// packet.
    pub(super) fn may_have_passed(&self, now: Duration, flow: FlowId, sequence: u32) -> bool {
        let key = key(flow, sequence);
        self.complete_since.is_none_or(|since| now < since + MAX_COPY_DELAY)
            || self.current.contains(&key)
            || self.previous.contains(&key)
    }

    /// Forgets opening packets that are too old for further copies.
    pub(super) fn expire(&mut self, now: Duration) {
        if now >= self.rotated + MAX_COPY_DELAY {
            self.rotated = now;
            self.previous = std::mem::take(&mut self.current);
        }
    }
}

fn key(flow: FlowId, sequence: u32) -> u64 {
    stable_pair(flow, u64::from(sequence))
}
