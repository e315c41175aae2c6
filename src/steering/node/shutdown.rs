//! Graceful shutdown, and settings that change while the instance runs.

use std::time::Duration;

use super::Node;
use crate::instance::{Action, ReloadableSettings};

/// Shortest time for which an instance that shuts down keeps forwarding: packets arrive until
/// failing health checks have taken it out of rotation.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time without packets after which an instance that shuts down exits.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// Part of the graceful shutdown time that is reserved for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
impl Node {
    pub(super) fn apply_settings(&mut self, settings: ReloadableSettings) {
        self.grace = settings.grace;
        self.membership.set_seeds(settings.seeds);
    }

    pub(super) fn begin_shutdown(&mut self, now: Duration) {
        if self.leaving_since.is_none() {
            log::info!(instance = self.membership.me().id; "leaving");
            self.leaving_since = Some(now);
            self.membership.leave();
        }
    }

    /// Exits during a graceful shutdown once no packets arrive any more or the time is up.
    pub(super) fn finish_shutdown(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(since) = self.leaving_since.filter(|_| !self.exited) else { return };
        let deadline = since + self.grace.saturating_sub(EXIT_RESERVE);
        let idle =
            now >= since + MIN_SHUTDOWN_TIME && now >= self.last_packet + SHUTDOWN_IDLE_TIMEOUT;
        if idle || now >= deadline {
            self.exited = true;
            let deregister = self.registration.deregister(self.membership.me().id);
            let deregister = deregister.filter(|_| !self.membership.is_superseded());
            out.extend(deregister.map(Action::Platform));
            out.push(Action::Exit);
        }
    }
}
