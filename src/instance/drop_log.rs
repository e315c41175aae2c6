//! Rate-limited logging of dropped packets.

use std::time::Duration;

use crate::pipeline::Discard;

/// Minimum time between two log lines, so that many malformed packets do not flood the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs dropped packets, with the number of those not logged since the previous line.
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
