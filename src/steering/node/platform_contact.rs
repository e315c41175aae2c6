//! Contact of the failure domain with the platform: reports to peers, and polls when there is none.

use std::time::Duration;

use metrics::{counter, gauge};

use super::{DISCOVERY_DELAY, Node, WATCH_DELAY, WatchRole};
use crate::instance::Action;
use crate::platform::{Call, PlatformError, Reply};
use crate::steering::list_watch::{Interest, TARGETS_PREFIX};
use crate::steering::message::{ContactReport, Message};
use crate::steering::policy::platform_contact::{PlatformContact, PollRole};

/// A poll of the platform that is in progress.
#[derive(Debug)]
pub(super) struct Poll {
    began: Duration,
    /// Calls that have not been answered yet.
    open: Vec<Call>,
    /// Whether routes and orders are still to be polled. Watchers have their watches for them.
    others_left: bool,
}

impl Node {
    /// Makes the calls to the platform that are due. An instance that stops goes on reading, as
    /// packets reach it until it exits, but does not register.
    pub(super) fn call_platform(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.exited {
            return;
        }
        let age = now.saturating_sub(self.started);
        let WatchRole { alone, ranked, watchers, .. } = self.watch_role;
        let watches = age >= WATCH_DELAY && (ranked || self.membership.is_isolated(now));
        let interest = Interest {
            watches,
            watchers,
            routes: self.gossip.reads_routes(now, &self.forwarder),
            instances: alone && age >= DISCOVERY_DELAY,
            domain_drains: self.forwarder.drains.is_enabled(),
        };
        out.extend(self.list_watches.due(now, interest).into_iter().map(Action::Platform));
        let registers = watches && !alone && self.leaving_since.is_none();
        if registers && !self.list_watches.in_outage() {
            let calls = self.registration.due(now, self.membership.me());
            out.extend(calls.into_iter().map(Action::Platform));
        }
        self.poll_if_out_of_contact(now, out);
    }

    /// Polls the platform if nobody in the failure domain seems to be in contact with it; to be
    /// called on each tick.
    pub(super) fn poll_if_out_of_contact(&mut self, now: Duration, out: &mut Vec<Action>) {
        let watches = self.watch_role.ranked;
        let known = self.forwarder.targets.complete_up_to();
        if now < self.started + super::WATCH_DELAY || !known.is_known() {
            return;
        }
        let age_ms = self.contact.age(now).as_millis() as u64;
        gauge!("limpetdeck_platform_contact_age_ms").set(age_ms as f64);
        let sharers = if watches { self.watch_role.watchers } else { self.watch_role.dependents };
        if !self.contact.starts_poll(now, PollRole { watches, sharers: sharers as usize }) {
            return;
        }
        let role = if watches { "watcher" } else { "other" };
        counter!("limpetdeck_platform_polls_total", "role" => role).increment(1);
        if !watches {
            log::info!(contact_age_ms = age_ms, revision = known.revision; "platform_polled");
        }
        let call = self.list_watches.poll_targets(known);
        out.push(Action::Platform(call.clone()));
        let open = vec![call];
        self.poll = Some(Poll { began: now, open, others_left: !watches });
    }

    /// Records the contact that the result of a call shows. Its objects are not to be used if the
    /// result is not `usable`.
    pub(super) fn update_contact(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        usable: bool,
        out: &mut Vec<Action>,
    ) {
        let is_polled = self.poll.as_ref().is_some_and(|poll| poll.open.contains(call));
        let read_time = match result {
            _ if is_polled => self.continue_poll(call, result, usable, out),
            Ok(Reply::Changes(_)) if usable && self.follows_targets(call) => {
                self.list_watches.read_time(call)
            }
            _ => None,
        };
        let Some(at) = read_time else { return };
        // Peers do not rely on an instance that stops.
        let is_relied_on = !self.gossip.peers().local.is_empty() && self.leaving_since.is_none();
        if !self.contact.record(at) || !is_relied_on {
            return;
        }
        let me = self.membership.me();
        let report = ContactReport {
            origin: me.id,
            incarnation: me.incarnation,
            sequence: 0,
            age_ms: now.saturating_sub(at).as_millis() as u32,
            routes: self.forwarder.routes.version(),
            routes_read: self.list_watches.routes_read().unwrap_or_default(),
        };
        self.gossip.announce_contact(report, &mut self.link.outbox(now, out));
    }

    /// Returns whether an answer to a call shows that this instance learns of changes of targets: it
    /// has read them, or watches them too.
    fn follows_targets(&self, call: &Call) -> bool {
        let reads = matches!(
            call,
            Call::List { prefix } | Call::Watch { prefix, .. } if prefix == TARGETS_PREFIX
        );
        reads || self.watch_role.ranked
    }

    /// Continues the poll after the reply to one of its calls. Returns when it began if it is
    /// complete.
    fn continue_poll(
        &mut self,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        usable: bool,
        out: &mut Vec<Action>,
    ) -> Option<Duration> {
        let mut poll = self.poll.take()?;
        poll.open.retain(|open| open != call);
        let is_read = usable && result.is_ok();
        let next = match (call, result) {
            _ if is_read && poll.others_left => {
                poll.others_left = false;
                self.list_watches.poll_others(self.forwarder.drains.is_enabled())
            }
            // The platform has come back from a copy, or no longer has all changes.
            (Call::Watch { prefix, .. }, Ok(_) | Err(PlatformError::HistoryGone)) if !is_read => {
                vec![Call::List { prefix: prefix.clone() }]
            }
            _ => Vec::new(),
        };
        let fails = !is_read && next.is_empty();
        out.extend(next.iter().cloned().map(Action::Platform));
        poll.open.extend(next);
        if !fails && !poll.open.is_empty() {
            self.poll = Some(poll);
            return None;
        }
        self.contact.end_poll();
        is_read.then_some(poll.began)
    }

    /// Handles the report that the platform has answered an instance, and passes it on if it is news.
    pub(super) fn handle_contact_report(
        &mut self,
        now: Duration,
        report: ContactReport,
        out: &mut Vec<Action>,
    ) {
        if !self.gossip.is_new_contact(now, &report) {
            return;
        }
        if report.routes == self.forwarder.routes.version() {
            self.list_watches.note_routes_read(report.routes_read);
        }
        let age = Duration::from_millis(u64::from(report.age_ms));
        if self.contact.record(now.saturating_sub(age)) {
            self.gossip.pass_on_contact(report, &mut self.link.outbox(now, out));
        }
    }
}

/// Takes the grace period for removed targets out of a message if only the sender had an outage of the
/// platform, not the failure domain.
pub(super) fn limit_removal_grace(now: Duration, contact: &PlatformContact, message: &mut Message) {
    if let Message::Targets(changes) = message
        && !contact.may_lack_entries(now)
    {
        changes.removal_grace_ms = 0;
    }
}
