//! Holds back the opening packets of callers that yield to others, and forwards them when there is
//! room.

use std::time::Duration;

use metrics::counter;

use super::Node;
use crate::flow::FlowKey;
use crate::hash::HashMap;
use crate::instance::Action;
use crate::steering::FlowPacket;
use crate::steering::policy::late_openings::{HeldOpening, yields};

/// Minimum time between two looks for room for held packets, each of which scans the targets.
const RELEASE_INTERVAL: Duration = Duration::from_millis(5);

impl Node {
    /// Returns whether the caller of an opening packet yields to others for now.
    pub(super) fn yields(&self, now: Duration, packet: &FlowPacket, first_sent: Duration) -> bool {
        // A flow that already has a target is not held back. An instance that stops holds nothing.
        self.leaving_since.is_none()
            && self.forwarder.ready()
            && self.forwarder.flows.half_open(packet).is_none()
            && self.forwarder.yields(now, packet.flow.service, now.saturating_sub(first_sent))
    }

    pub(super) fn hold_opening(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        first_sent: Duration,
        buf: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        counter!("limpetdeck_openings_held_total").increment(1);
        let FlowKey { service, .. } = packet.flow;
        let opening = HeldOpening { flow: packet.flow.id(), service, first_sent, buf };
        if let Some(oldest) = self.late_openings.hold(opening) {
            self.forward_held(now, oldest, out);
        }
    }

    /// Forwards the held opening packets for which there is room now, or that cannot wait longer.
    pub(super) fn release_held(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_leaving = self.leaving_since.is_some();
        if self.late_openings.is_empty() || (!is_leaving && now < self.next_release) {
            return;
        }
        self.next_release = now + RELEASE_INTERVAL;
        let mut loads = HashMap::default();
        loop {
            let forwarder = &self.forwarder;
            let has_to_yield = |age, service| {
                let load =
                    loads.entry(service).or_insert_with(|| forwarder.route_load(now, service));
                !is_leaving
                    && load.is_some_and(|(latency_target, load)| yields(age, latency_target, load))
            };
            let Some(opening) = self.late_openings.take_next(now, has_to_yield) else { return };
            self.forward_held(now, opening, out);
            // Several addresses may share targets.
            loads.clear();
        }
    }

    fn forward_held(&mut self, now: Duration, opening: HeldOpening, out: &mut Vec<Action>) {
        if let Ok(packet) = self.format.read(&opening.buf) {
            self.forward(now, now, &packet, opening.buf, out);
        }
    }
}
