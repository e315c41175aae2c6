//! Admission of opening packets to targets that serve requests of several priorities, and its
//! metrics and log lines.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use metrics::counter;

use super::Node;
use crate::instance::Action;
use crate::steering::gossip::REPORT_INTERVAL;
use crate::steering::policy::admission::{
    ExpectedWait, OpeningClass, Queueing, has_to_go, may_refuse_urgent,
};
use crate::steering::policy::late_openings::HeldOpening;
use crate::steering::{FlowPacket, Priority, ResetReason};

/// Decision about an opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Decision {
    Admitted,
    Held,
    Refused,
}

/// Decisions since the metrics were last written; writing them for each opening would cost more
/// than the decision.
#[derive(Debug, Default)]
pub(super) struct DecisionCounts(BTreeMap<(Priority, Decision), u64>);

impl DecisionCounts {
    fn add(&mut self, priority: Priority, decision: Decision) {
        *self.0.entry((priority, decision)).or_default() += 1;
    }

    /// Adds the decisions to the metrics.
    pub(super) fn write(&mut self) {
        for ((priority, decision), count) in std::mem::take(&mut self.0) {
            let decision = match decision {
                Decision::Admitted => "admitted",
                Decision::Held => "held",
                Decision::Refused => "refused",
            };
            let priority = priority.to_string();
            counter!("limpetdeck_admission_total", "decision" => decision, "priority" => priority)
                .increment(count);
        }
    }
}

impl Node {
    /// Decides about an opening packet of a route with classes. Returns it if it is to be forwarded
    /// now.
    pub(super) fn admit_class(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        first_sent: Duration,
        buf: Vec<u8>,
        out: &mut Vec<Action>,
    ) -> Option<Vec<u8>> {
        let (flow, service) = (packet.flow.id(), packet.flow.service);
        if !self.late_openings.is_empty() && self.late_openings.update(flow, &buf) {
            return None;
        }
        let classes = &mut self.forwarder.classes;
        let refused = classes.refused.take(now, *packet.flow.caller.ip(), service);
        let first_attempt = refused.map_or(first_sent, |first| first.min(first_sent));
        let route = classes.get(service)?;
        let (priority, class) = (route.priority, route.opening(first_attempt));
        let load = self.forwarder.class_load(service, class.is_late(now)).unwrap_or_default();
        let has_room = class.has_room(now, now.saturating_sub(first_sent), load);
        if has_room && !self.is_behind_held(now, service, class) {
            self.decisions.add(priority, Decision::Admitted);
            if load.full {
                self.record_admitted(now, service, class, out);
            }
            return Some(buf);
        }
        self.decisions.add(priority, Decision::Held);
        self.hold_opening(now, packet, first_sent, Some(class), buf, out);
        // Whether it is released or refused is decided at once.
        self.next_release = now;
        None
    }

    /// Returns whether openings are held that go before one that comes now.
    fn is_behind_held(&self, now: Duration, service: SocketAddrV4, class: OpeningClass) -> bool {
        let classes = &self.forwarder.classes;
        self.late_openings.iter().any(|held| {
            held.class.is_some()
                && held.rank(now) <= class.rank(now)
                && classes.share_targets(held.service, service)
        })
    }

    /// Records that an opening was admitted while targets are full. After some urgent ones in a row,
    /// one of the others goes too, whatever the load.
    pub(super) fn record_admitted(
        &mut self,
        now: Duration,
        service: SocketAddrV4,
        class: OpeningClass,
        out: &mut Vec<Action>,
    ) {
        let classes = &mut self.forwarder.classes;
        classes.rates.record(now, service, class.rank(now));
        if !class.urgent {
            classes.other_admitted = Some(now);
            return;
        }
        if self.late_openings.is_empty() || !classes.count_urgent(service) {
            return;
        }
        let classes = &self.forwarder.classes;
        let is_other = |held: &HeldOpening| {
            held.class.is_some_and(|class| !class.urgent)
                && classes.share_targets(held.service, service)
        };
        if let Some(other) = self.late_openings.take_next(now, is_other)
            && let Ok(packet) = self.format.read(&other.buf)
        {
            let rank = other.rank(now);
            self.forwarder.classes.rates.record(now, other.service, rank);
            self.forward(now, now, &packet, other.buf, out);
        }
    }

    /// Forwards a held urgent opening before one that is not urgent and has to go for its age. Else
    /// openings that may not be refused would keep the load above the limit of urgent ones.
    pub(super) fn release_urgent_before(
        &mut self,
        now: Duration,
        opening: &HeldOpening,
        out: &mut Vec<Action>,
    ) {
        if !has_to_go(opening.age(now)) || opening.class.is_none_or(|class| class.urgent) {
            return;
        }
        let classes = &self.forwarder.classes;
        let is_urgent = |held: &HeldOpening| {
            held.class.is_some_and(|class| class.urgent)
                && classes.share_targets(held.service, opening.service)
        };
        if let Some(urgent) = self.late_openings.take_next(now, is_urgent) {
            self.forward_held(now, urgent, out);
        }
    }

    /// Returns whether a held opening may be refused: the targets are full, as far as this instance
    /// and its peers know, and no less urgent ones are admitted.
    pub(super) fn may_refuse(&self, now: Duration, held: &HeldOpening) -> bool {
        let classes = &self.forwarder.classes;
        let (Some(class), Some(route)) = (held.class, classes.get(held.service)) else {
            return false;
        };
        (!class.urgent || may_refuse_urgent(now, classes.other_admitted))
            && classes.allows_refusal(now, route)
            && self
                .forwarder
                .class_load(held.service, true)
                .is_some_and(|load| !load.has_free_slot())
    }

    /// Returns the wait that a held opening has to expect; `ahead` of its rank are held ahead of it,
    /// and `late` of the next rank.
    fn expected_wait(
        &self,
        now: Duration,
        held: &HeldOpening,
        ahead: usize,
        late: usize,
    ) -> ExpectedWait {
        let Some(class) = held.class else { return ExpectedWait::default() };
        let (rank, patience) = (held.rank(now), class.patience(now, held.age(now)));
        let queueing = |ahead, rank, time| {
            let release_rate = self.forwarder.classes.rates.per_second(now, held.service, rank);
            Queueing { ahead, release_rate, time }
        };
        if !class.is_in_time(now) {
            let late = queueing(ahead, rank, patience);
            return ExpectedWait { late, ..ExpectedWait::default() };
        }
        let in_time = class.time_left(now).min(patience);
        ExpectedWait {
            in_time: queueing(ahead, rank, in_time),
            late: queueing(late, rank + 1, patience - in_time),
        }
    }

    /// Refuses the held openings that would wait too long for room.
    pub(super) fn refuse_hopeless(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.leaving_since.is_some() {
            return;
        }
        loop {
            let is_refused = |held: &HeldOpening, ahead, late| {
                held.class.is_some()
                    && self.expected_wait(now, held, ahead, late).is_too_long()
                    && self.may_refuse(now, held)
            };
            let index = self.late_openings.find_refused(now, is_refused);
            let Some(refused) = index.and_then(|index| self.late_openings.remove(index)) else {
                return;
            };
            self.refuse_held(now, refused, out);
        }
    }

    pub(super) fn refuse_held(&mut self, now: Duration, held: HeldOpening, out: &mut Vec<Action>) {
        let (Some(class), Ok(packet)) = (held.class, self.format.read(&held.buf)) else { return };
        let priority = self.forwarder.classes.get(held.service).map_or(0, |route| route.priority);
        self.decisions.add(priority, Decision::Refused);
        self.log_refusal(now, &packet, &held, class, priority);
        let caller = *packet.flow.caller.ip();
        let refused = &mut self.forwarder.classes.refused;
        refused.record(now, caller, held.service, class.first_attempt);
        self.send_reset(now, &packet, ResetReason::Overloaded, out);
    }

    fn log_refusal(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        held: &HeldOpening,
        class: OpeningClass,
        priority: Priority,
    ) {
        let Some(unlogged) = self.log.try_acquire(now) else { return };
        let ahead = self.late_openings.iter().filter(|other| {
            other.service == held.service
                && other.rank(now) == held.rank(now)
                && other.first_sent <= held.first_sent
        });
        let wait = self.expected_wait(now, held, ahead.count(), 0);
        let load = self.forwarder.class_load(held.service, true).unwrap_or_default();
        let classes = &self.forwarder.classes;
        let full_peers =
            classes.get(held.service).map_or(0, |route| classes.full_peers(now, route));
        log::info!(
            caller = packet.flow.caller.to_string().as_str(),
            service = held.service.to_string().as_str(),
            priority = priority,
            age_ms = now.saturating_sub(class.first_attempt).as_millis() as u64,
            waited_ms = held.age(now).as_millis() as u64,
            patience_ms = class.patience(now, held.age(now)).as_millis() as u64,
            ahead = wait.in_time.ahead.max(wait.late.ahead),
            released_per_s = wait.in_time.release_rate.max(wait.late.release_rate),
            in_flight = load.in_flight,
            slots = load.slots,
            instances = load.instances,
            full_peers = full_peers,
            unlogged = unlogged;
            "opening_refused"
        );
    }

    /// Reports overload to peers and to the log; called with each tick.
    pub(super) fn report_overload(&mut self, now: Duration, out: &mut Vec<Action>) {
        for change in self.forwarder.classes.take_changes() {
            let event = if change.full { "overload_began" } else { "overload_ended" };
            let service = change.service.as_str();
            log::info!(service = service, in_flight_per_slot = change.in_flight_per_slot; "{event}");
        }
        let full = self.forwarder.classes.full_services();
        if !full.is_empty() && now >= self.next_load_report {
            self.next_load_report = now + REPORT_INTERVAL;
            self.gossip.report_full(&full, &mut self.link.outbox(now, out));
        }
    }
}
