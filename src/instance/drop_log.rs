//! Log lines for dropped packets, at a bounded rate.

use std::time::Duration;

use crate::pipeline::Discard;

/// Time between two lines; a flood of bad packets must not become a flood of lines.
const LOG_EVERY: Duration = Duration::from_secs(1);

/// Tells of dropped packets now and then, with the number of those left out.
#[derive(Debug, Default)]
pub(super) struct DropLog {
    next: Duration,
    unlogged: u64,
}

impl DropLog {
    pub(super) fn note(&mut self, now: Duration, reason: Discard) {
        if now < self.next {
            self.unlogged += 1;
            return;
        }
        self.next = now + LOG_EVERY;
        let unlogged = std::mem::take(&mut self.unlogged);
        log::warn!(reason = reason.to_string().as_str(), unlogged = unlogged; "packet_dropped");
    }
}
