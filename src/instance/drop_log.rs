//! Rate-limited logging of dropped packets.

use std::time::Duration;

use crate::pipeline::Discard;

/// Shortest time between two lines, so that a flood of malformed packets does not flood the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs dropped packets, with the number of those not logged since the line before.
#[derive(Debug, Default)]
pub(super) struct DropLog {
    next_line: Duration,
    unlogged: u64,
}

impl DropLog {
    pub(super) fn record(&mut self, now: Duration, reason: Discard) {
        if now < self.next_line {
            self.unlogged += 1;
            return;
        }
        self.next_line = now + LOG_INTERVAL;
        let unlogged = std::mem::take(&mut self.unlogged);
        log::warn!(reason = reason.to_string().as_str(), unlogged = unlogged; "packet_dropped");
    }
}
