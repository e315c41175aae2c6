//! Detects unresponsive targets from the flows through this instance (passive health checks).
//!
//! The platform takes seconds to remove a target that has failed. Until then, new flows must not
//! be sent there. An unresponsive target gets no new flows, which is harmless in case of a false
//! positive. Its open flows stay: only the target knows whether it holds them.
//!
//! Load pattern: many targets fall silent at once, and each instance of a large fleet sees only a
//! few flows of each. The first instance to find out tells the others. They send it no new flows
//! from then on, and those that have open flows there check the connection themselves.

use std::net::SocketAddr;
use std::time::Duration;

use super::connection_checks::{ConnectionChecks, EndedCheck};
use crate::hash::HashMap;
use crate::ids::FlowId;
use crate::steering::token::TargetIncarnation;

/// Number of flows without a response at which a target counts as unresponsive.
const UNANSWERED_FLOWS: usize = 2;
/// Minimum time without a response on any flow before a target can count as unresponsive.
/// Callers repeat slow requests too, but meanwhile the target responds to others.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time without a response after which a single flow is sufficient to count as unresponsive.
const SINGLE_FLOW_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after the last repeated packet for which an unresponsive target gets no new flows; then
/// it is tried again.
const AVOID_TIME: Duration = Duration::from_millis(2_500);
/// Minimum interval between connection checks of a target.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time since the last response before a connection check; short enough for the first
/// repeated packet to trigger one.
const CONNECTION_CHECK_DELAY: Duration = Duration::from_millis(190);
/// Time for which a target that another instance reports as dead gets no new flows.
const DOUBT_TIME: Duration = Duration::from_millis(3_000);
/// Time for which a target counts as dead after a failed connection check.
const DEAD_TIME: Duration = Duration::from_millis(2_500);

#[derive(Debug, Clone, Default)]
struct TargetHealth {
    /// When the target last responded.
    last_response: Option<Duration>,
    /// Flows with unanswered packets since then, up to [`UNANSWERED_FLOWS`].
    unanswered: Vec<FlowId>,
    /// When the first unanswered packet since then was sent.
    first_sent: Duration,
    /// When an unanswered packet was last repeated.
    last_repeat: Duration,
    unresponsive: bool,
    next_check: Duration,
    /// End of the time for which the target counts as dead.
    dead_until: Duration,
    /// End of the time for which the target gets no new flows, as others report it as dead.
    doubted_until: Duration,
}

/// Health of the targets as observed by this instance.
#[derive(Debug, Default)]
pub struct Health {
    targets: HashMap<TargetIncarnation, TargetHealth>,
    checks: ConnectionChecks,
}

impl Health {
    /// Records a response of a target. Returns whether the target had counted as unresponsive.
    pub fn record_response(&mut self, now: Duration, target: TargetIncarnation) -> bool {
        let health = self.targets.entry(target).or_default();
        let was_unresponsive = health.unresponsive;
        health.unanswered.clear();
        health.last_response = Some(now);
        health.unresponsive = false;
        health.dead_until = Duration::ZERO;
        health.doubted_until = Duration::ZERO;
        was_unresponsive
    }

    /// Records an unanswered packet of a flow, first sent `waited` ago. Returns whether this makes
    /// the target unresponsive.
    pub fn record_unanswered(
        &mut self,
        now: Duration,
        target: TargetIncarnation,
        flow: FlowId,
        waited: Duration,
    ) -> bool {
        let health = self.targets.entry(target).or_default();
        let sent = now.saturating_sub(waited);
        if health.last_response.is_some_and(|response| response >= sent) {
            // It has responded to other flows since: it is busy, or the packet was lost.
            return false;
        }
        if health.unanswered.is_empty() {
            health.first_sent = sent;
        }
        health.first_sent = health.first_sent.min(sent);
        if health.unanswered.len() < UNANSWERED_FLOWS && !health.unanswered.contains(&flow) {
            health.unanswered.push(flow);
        }
        health.last_repeat = now;
        let silence = now.saturating_sub(health.first_sent);
        let several =
            health.unanswered.len() >= UNANSWERED_FLOWS && silence >= UNRESPONSIVE_TIMEOUT;
        let was_unresponsive =
            std::mem::replace(&mut health.unresponsive, several || silence >= SINGLE_FLOW_TIMEOUT);
        health.unresponsive && !was_unresponsive
    }

    /// Returns whether a target counts as unresponsive or dead, and so should get no new flows.
    pub fn is_unresponsive(&self, now: Duration, target: TargetIncarnation) -> bool {
        let unresponsive = |health: &TargetHealth| {
            (health.unresponsive && now < health.last_repeat + AVOID_TIME)
                || now < health.dead_until.max(health.doubted_until)
        };
        self.targets.get(&target).is_some_and(unresponsive)
    }

    /// Returns whether a target has unanswered packets since its last response.
    pub fn has_unanswered(&self, target: TargetIncarnation) -> bool {
        self.targets.get(&target).is_some_and(|health| !health.unanswered.is_empty())
    }

    /// Returns whether a target counts as dead: a connection check failed recently.
    pub fn is_dead(&self, now: Duration, target: TargetIncarnation) -> bool {
        self.targets.get(&target).is_some_and(|health| now < health.dead_until)
    }

    /// Records that another instance reports a target as dead. Returns whether that is credible: the
    /// target has not responded here just now.
    pub fn doubt(&mut self, now: Duration, target: TargetIncarnation) -> bool {
        let health = self.targets.entry(target).or_default();
        let responded_recently =
            health.last_response.is_some_and(|response| now < response + CONNECTION_CHECK_DELAY);
        if !responded_recently {
            health.doubted_until = now + DOUBT_TIME;
        }
        !responded_recently
    }

    /// Requests a connection check of a target, unless there was one recently or the target has
    /// just responded.
    pub fn check_connection(
        &mut self,
        now: Duration,
        target: TargetIncarnation,
        address: SocketAddr,
    ) {
        let health = self.targets.entry(target).or_default();
        let responded_recently =
            health.last_response.is_some_and(|response| now < response + CONNECTION_CHECK_DELAY);
        if !responded_recently && now >= health.next_check {
            health.next_check = now + CONNECTION_CHECK_INTERVAL;
            self.checks.request(now, target, address);
        }
    }

    /// Removes and returns the addresses whose connection checks are to be started.
    pub fn take_connection_checks(&mut self) -> Vec<SocketAddr> {
        self.checks.take_pending()
    }

    /// Returns whether a check or a probe of an address is in flight.
    pub fn is_checking(&self, address: SocketAddr) -> bool {
        self.checks.is_in_flight(address)
    }

    /// Records that the caller starts a probe of an address, of which no check is in flight. Its result
    /// is recorded like that of a check.
    pub fn begin_probe(&mut self, now: Duration, address: SocketAddr) {
        self.checks.begin_probe(now, address);
    }

    /// Records the result of a connection check. Returns the target if it counts as dead from now on: it
    /// has not responded since the check began.
    pub fn record_connection_check(
        &mut self,
        now: Duration,
        address: SocketAddr,
        accepted: bool,
    ) -> Option<TargetIncarnation> {
        let EndedCheck { began, target } = self.checks.end(now, address)?;
        let health = self.targets.get_mut(&target)?;
        if accepted || health.last_response.is_some_and(|response| response >= began) {
            health.dead_until = Duration::ZERO;
            health.doubted_until = Duration::ZERO;
            return None;
        }
        let was_dead = now < health.dead_until;
        health.dead_until = now + DEAD_TIME;
        if !was_dead {
            // One check may fail for lack of time in this process, or as packets are lost.
            health.next_check = now + CONNECTION_CHECK_INTERVAL;
            self.checks.request(now, target, address);
        }
        (!was_dead).then_some(target)
    }

    /// Removes targets without any observation for the given time.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        let last_observation = |health: &TargetHealth| {
            let last_response = health.last_response.unwrap_or_default();
            health.last_repeat.max(health.next_check).max(last_response).max(health.doubted_until)
        };
        self.targets.retain(|_, health| now < last_observation(health) + retention);
    }
}
