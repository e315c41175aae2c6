//! Reachability of the other failure domains, and the use of the drained local one as a last resort.

use std::time::Duration;

use metrics::gauge;

use super::Node;
use crate::instance::Action;
use crate::platform::{Call, PlatformError, Reply};
use crate::steering::DOMAIN_DRAINS_PREFIX;

/// What has been decided about the local failure domain; waiting callers are to be told of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Decision {
    is_active: bool,
    is_undecided: bool,
}

impl Node {
    /// Returns what has been decided about the local failure domain.
    pub(super) fn last_resort_decision(&self) -> Decision {
        let last_resort = &self.forwarder.last_resort;
        Decision { is_active: last_resort.is_active(), is_undecided: last_resort.is_undecided() }
    }

    /// Logs a change of the decision, and forwards or refuses the callers that have waited for it.
    pub(super) fn apply_last_resort(
        &mut self,
        now: Duration,
        before: Decision,
        out: &mut Vec<Action>,
    ) {
        let decision = self.last_resort_decision();
        if decision == before {
            return;
        }
        if decision.is_active != before.is_active {
            let event = if decision.is_active { "last_resort_began" } else { "last_resort_ended" };
            let since = |at| now.saturating_sub(at).as_millis() as u64;
            log::warn!(
                failure_domain = self.membership.me().failure_domain.as_str(),
                unreachable_domains = self.forwarder.unreachable_domains(),
                platform_answered_ms_ago = self.platform_answered.map(since);
                "{event}"
            );
            gauge!("limpetdeck_last_resort").set(f64::from(u8::from(decision.is_active)));
        }
        self.release_queued(now, out);
    }

    /// Probes failure domains, tells peers which are unreachable, and asks the platform for the order
    /// to drain the local one if all others are in doubt; to be called on each tick.
    pub(super) fn update_reach(&mut self, now: Duration, out: &mut Vec<Action>) {
        let before = self.last_resort_decision();
        let probes = self.forwarder.take_reach_probes(now);
        out.extend(probes.into_iter().map(Action::CheckConnection));
        for domain in self.forwarder.take_found_unreachable() {
            self.gossip.announce_unreachable(domain, &mut self.link.outbox(now, out));
        }
        if self.forwarder.update_last_resort(now, self.watch_role.ranked) {
            let name = format!("{DOMAIN_DRAINS_PREFIX}{}", self.membership.me().failure_domain);
            out.push(Action::Platform(Call::Get { name }));
        }
        self.log_reach_changes();
        self.apply_last_resort(now, before, out);
    }

    /// Handles the reply to a call if it shows whether the platform can be reached. Tells peers of an
    /// answer that they wait for too.
    pub(super) fn note_platform_reply(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        let before = self.last_resort_decision();
        let answered = !matches!(result, Err(PlatformError::NoAnswer(_)));
        if !is_question(call) {
            if answered {
                self.forwarder.last_resort.record_answer();
            }
        } else if self.forwarder.last_resort.record_outcome(answered) {
            self.gossip.announce_platform_answer(&mut self.link.outbox(now, out));
        }
        self.apply_last_resort(now, before, out);
    }

    fn log_reach_changes(&mut self) {
        for change in self.forwarder.take_reach_changes() {
            let event = if change.reachable { "domain_reachable" } else { "domain_unreachable" };
            let age_ms = change.age.map(|age| age.as_millis() as u64);
            log::warn!(failure_domain = change.domain.as_str(), age_ms = age_ms; "{event}");
            gauge!("limpetdeck_domains_unreachable")
                .set(self.forwarder.unreachable_domains() as f64);
        }
    }
}

/// Returns whether a call asks for the order to drain a failure domain.
pub(super) fn is_question(call: &Call) -> bool {
    matches!(call, Call::Get { name } if name.starts_with(DOMAIN_DRAINS_PREFIX))
}
