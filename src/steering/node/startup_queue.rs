//! Packets that arrived before the routes and targets they need were known.

use std::collections::VecDeque;
use std::time::Duration;

use metrics::counter;

use crate::hash::HashMap;
use crate::steering::PacketFormat;

/// Maximum number of queued packets.
const MAX_PACKETS: usize = 256;
/// Longest time that a packet is queued; by then its sender has retransmitted it.
const MAX_TIME: Duration = Duration::from_millis(600);

/// Queued packets, each with its arrival time.
#[derive(Debug, Default)]
pub(super) struct StartupQueue {
    packets: VecDeque<(Duration, Vec<u8>)>,
}

impl StartupQueue {
    /// Returns whether no packet is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Returns the number of queued packets.
    pub(super) fn len(&self) -> usize {
        self.packets.len()
    }

    /// Queues a packet in place of the oldest one if there are too many.
    pub(super) fn push(&mut self, arrived: Duration, buf: Vec<u8>) {
        if self.packets.len() >= MAX_PACKETS {
            self.packets.pop_front();
            count_dropped(1);
        }
        self.packets.push_back((arrived, buf));
    }

    /// Takes all packets in the order of their arrival, except those that are too old. Only the
    /// last copy of a retransmitted packet is returned: it carries the number of retransmissions.
    pub(super) fn take(
        &mut self,
        now: Duration,
        format: &dyn PacketFormat,
    ) -> Vec<(Duration, Vec<u8>)> {
        let queued = std::mem::take(&mut self.packets);
        let count = queued.len();
        let mut latest = HashMap::default();
        for (arrived, buf) in queued.into_iter().filter(|(arrived, _)| now < *arrived + MAX_TIME) {
            if let Ok(packet) = format.read(&buf) {
                let key = (packet.flow.id(), packet.sequence, packet.data_len);
                latest.insert(key, (arrived, buf));
            }
        }
        count_dropped(count - latest.len());
        let mut latest: Vec<_> = latest.into_values().collect();
        latest.sort();
        latest
    }
}

fn count_dropped(packets: usize) {
    counter!("limpetdeck_packets_dropped_total", "reason" => "not_ready").increment(packets as u64);
}
