//! Log lines and counters for decisions about flows and for the health of targets.

use std::time::Duration;

use metrics::counter;

use super::Node;
use crate::steering::{
    FlowPacket, HealthChange, PacketKind, ResetReason, Target, TargetIncarnation,
};

/// Highest number of a copy in a label; callers of the platform send two.
const MAX_LABELLED_COPY: u32 = 3;

impl Node {
    pub(super) fn record_placement(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        target: &Target,
        token: u32,
        repeats: u32,
    ) {
        counter!("limpetdeck_flows_placed_total").increment(1);
        let Some(unlogged) = self.log.try_acquire(now) else { return };
        let load = self.forwarder.flows.load((target.key, target.incarnation));
        let (age, position) = self.forwarder.targets.age(now, target.key).unwrap_or_default();
        log::info!(
            caller = packet.flow.caller.to_string().as_str(),
            service = packet.flow.service.to_string().as_str(),
            target = format!("{:x}", target.key).as_str(),
            to = target.service.as_str(),
            failure_domain = target.failure_domain.as_str(),
            token = format!("{token:08x}").as_str(),
            repeats = repeats,
            flows = load.flows,
            waiting = load.waiting,
            target_revision = position.revision,
            target_age_ms = age.as_millis() as u64,
            routes_version = self.forwarder.routes.version(),
            unlogged = unlogged;
            "flow_placed"
        );
    }

    /// Logs a reset that carries a sequence number, for a packet that arrived some time ago.
    pub(super) fn log_reset(
        &mut self,
        now: Duration,
        packet_age: Duration,
        packet: &FlowPacket,
        sequence: u32,
        reason: ResetReason,
    ) {
        let copy = match packet.kind {
            PacketKind::Opening { repeats } => Some(repeats),
            _ => None,
        };
        if let Some(copy) = copy {
            let copy = copy.min(MAX_LABELLED_COPY).to_string();
            counter!("limpetdeck_openings_refused_total", "copy" => copy).increment(1);
        }
        let Some(unlogged) = self.log.try_acquire(now) else { return };
        let waited = copy.and_then(|_| self.opening_copies.waited(now, packet.attempt()));
        log::info!(
            caller = packet.flow.caller.to_string().as_str(),
            service = packet.flow.service.to_string().as_str(),
            reason = reason.to_string().as_str(),
            token = format!("{:08x}", packet.token).as_str(),
            copy = copy.map_or_else(String::new, |copy| copy.to_string()).as_str(),
            packet_age_ms = packet_age.as_millis() as u64,
            waited_ms = waited.unwrap_or_default().as_millis() as u64,
            sequence = sequence,
            routes_version = self.forwarder.routes.version(),
            targets_revision = self.forwarder.targets.complete_up_to().revision,
            unlogged = unlogged;
            "flow_reset"
        );
    }

    pub(super) fn record_drop(&mut self, now: Duration, packet: Option<&FlowPacket>, reason: &str) {
        counter!("limpetdeck_packets_dropped_total", "reason" => reason.to_owned()).increment(1);
        let Some(unlogged) = self.log.try_acquire(now) else { return };
        let (caller, service, token) = packet.map_or_else(Default::default, |packet| {
            (packet.flow.caller.to_string(), packet.flow.service.to_string(), packet.token)
        });
        log::warn!(
            reason = reason,
            caller = caller.as_str(),
            service = service.as_str(),
            token = format!("{token:08x}").as_str(),
            routes_version = self.forwarder.routes.version(),
            targets_revision = self.forwarder.targets.complete_up_to().revision,
            unlogged = unlogged;
            "packet_dropped"
        );
    }

    pub(super) fn log_overdue(&mut self, now: Duration, targets: &[TargetIncarnation]) {
        for &(target, _) in targets {
            counter!("limpetdeck_answers_overdue_total").increment(1);
            let Some(unlogged) = self.log.try_acquire(now) else { continue };
            log::info!(target = format!("{target:x}").as_str(), unlogged = unlogged; "answer_overdue");
        }
    }

    pub(super) fn log_unsteady(&mut self, now: Duration) {
        for unsteady in self.forwarder.take_unsteady() {
            let event = "target_unsteady";
            counter!("limpetdeck_target_beliefs_total", "event" => event).increment(1);
            let Some(unlogged) = self.log.try_acquire(now) else { continue };
            log::info!(
                target = format!("{:x}", unsteady.target.key).as_str(),
                address = unsteady.target.address.to_string().as_str(),
                service = unsteady.target.service.as_str(),
                failures = unsteady.failures,
                unlogged = unlogged;
                "{event}"
            );
        }
    }

    pub(super) fn log_health_changes(&mut self) {
        for change in self.forwarder.take_health_changes() {
            let (target, event) = match change {
                HealthChange::Unresponsive(target) => (target, "target_silent"),
                HealthChange::Recovered(target) => (target, "target_answers"),
                HealthChange::Dead(target) => (target, "target_dead"),
            };
            counter!("limpetdeck_target_beliefs_total", "event" => event).increment(1);
            log::info!(target = format!("{target:x}").as_str(); "{event}");
        }
    }
}
