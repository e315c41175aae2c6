//! Holds back the opening packets of callers that yield to others, and forwards them when there is
//! room.

use std::time::Duration;

use metrics::counter;

use super::Node;
use crate::hash::HashMap;
use crate::instance::Action;
use crate::steering::FlowPacket;
use crate::steering::policy::admission::{OpeningClass, ServiceLoad, has_to_go};
use crate::steering::policy::late_openings::{HeldOpening, RouteLoad, yields};

/// Minimum time between two looks for room for held packets, each of which scans the targets.
const RELEASE_INTERVAL: Duration = Duration::from_millis(5);

/// Load that decides about a held packet.
#[derive(Debug, Clone, Copy)]
enum HeldLoad {
    /// Load of a route without classes of different priority, with its latency target.
    Route(Duration, RouteLoad),
    /// Load of a route with classes.
    Class(ServiceLoad),
}

impl Node {
    /// Decides about an opening packet. Returns it if it is to be forwarded now.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        first_sent: Duration,
        buf: Vec<u8>,
        out: &mut Vec<Action>,
    ) -> Option<Vec<u8>> {
        // A flow that already has a target is not held back. An instance that stops holds nothing.
        if self.leaving_since.is_some()
            || !self.forwarder.ready()
            || self.forwarder.flows.half_open(packet.flow.id()).is_some()
        {
            return Some(buf);
        }
        let service = packet.flow.service;
        if self.forwarder.classes.get(service).is_some() {
            return self.admit_class(now, packet, first_sent, buf, out);
        }
        if !self.forwarder.yields(now, service, now.saturating_sub(first_sent)) {
            return Some(buf);
        }
        self.hold_opening(now, packet, first_sent, None, buf, out);
        None
    }

    pub(super) fn hold_opening(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        first_sent: Duration,
        class: Option<OpeningClass>,
        buf: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        counter!("limpetdeck_openings_held_total").increment(1);
        let (flow, service) = (packet.flow.id(), packet.flow.service);
        let opening = HeldOpening { flow, service, first_sent, class, buf };
        if let Some(excess) = self.late_openings.hold(now, opening) {
            if self.may_refuse(now, &excess) {
                self.refuse_held(now, excess, out);
            } else {
                self.forward_held(now, excess, out);
            }
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
            let load_of = |service| match forwarder.class_load(service, true) {
                Some(load) => Some(HeldLoad::Class(load)),
                None => forwarder
                    .route_load(now, service)
                    .map(|(latency_target, load)| HeldLoad::Route(latency_target, load)),
            };
            let may_go = |held: &HeldOpening| {
                let load = *loads.entry(held.service).or_insert_with(|| load_of(held.service));
                match (load, held.class) {
                    _ if is_leaving => true,
                    (Some(HeldLoad::Route(latency_target, load)), _) => {
                        !yields(held.age(now), latency_target, load)
                    }
                    (Some(HeldLoad::Class(load)), Some(class)) => {
                        class.has_room(now, held.age(now), load)
                    }
                    // The routes have changed meanwhile.
                    (Some(HeldLoad::Class(_)) | None, _) => true,
                }
            };
            let Some(opening) = self.late_openings.take_next(now, may_go) else { break };
            self.release_urgent_before(now, &opening, out);
            self.forward_held(now, opening, out);
            // Several addresses may share targets.
            loads.clear();
        }
        self.refuse_hopeless(now, out);
    }

    pub(super) fn forward_held(
        &mut self,
        now: Duration,
        opening: HeldOpening,
        out: &mut Vec<Action>,
    ) {
        let Ok(packet) = self.format.read(&opening.buf) else { return };
        self.forward(now, now, &packet, opening.buf, out);
        // Forwarded for its age, it shows no room.
        if let Some(class) = opening.class
            && !has_to_go(now.saturating_sub(opening.first_sent))
        {
            self.record_admitted(now, opening.service, class, out);
        }
    }
}
