//! Reports of instances to their peers that they have too many requests in flight.
//!
//! An instance sees only its own requests, so it refuses openings only if peers are full too. A
//! report is not passed on, and a lost one is not repeated before its time.

use std::time::Duration;

use super::{Gossip, send};
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::steering::{Forwarder, Message};

/// Time between two reports.
pub(in crate::steering) const REPORT_INTERVAL: Duration = Duration::from_millis(500);
impl Gossip {
    /// Reports the services at which this instance is full, given by their fingerprints, to the two
    /// local peers that follow it. With two at random, each instance would lack a second report for
    /// a tenth of the time.
    pub fn report_full(&mut self, services: &[u32], out: &mut Outbox<'_>) {
        let Some(first) = self.peers.next else { return };
        send(first, Message::Full(services.to_vec()), out);
        let others = || self.peers.local.iter().copied().filter(|&id| id != first);
        let second = others().filter(|&id| id > first).min().or_else(|| others().min());
        if let Some(second) = second {
            send(second, Message::Full(services.to_vec()), out);
        }
    }

    pub(super) fn on_load_report(
        &self,
        now: Duration,
        from: InstanceId,
        services: &[u32],
        forwarder: &mut Forwarder,
    ) {
        if self.peers.local.contains(&from) {
            forwarder.classes.record_report(now, from, services);
        }
    }
}
