//! Spread of newer routes as changes from the version that an instance has.
//!
//! Load pattern: the operators change the routes, and all instances need them within a second.
//! Reading them from the platform costs a call for each instance, and the routes are mostly the
//! same. Each instance that adopts newer routes therefore sends what has changed to a few others of
//! its failure domain. Changes that do not fit one message are only announced, and read from the
//! platform.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::{Peers, send};
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::steering::message::Message;
use crate::steering::{Forwarder, RouteChange};

/// Number of local peers, besides the next one, to which a change is pushed.
const RANDOM_RECEIVERS: usize = 2;
/// Minimum time between two pushes, so that several changes are sent in one message.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two requests to peers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a change is awaited from peers before the routes are read from the platform.
const MAX_PEER_WAIT: Duration = Duration::from_millis(350);
/// Maximum size of a change in bytes: with headers, the message fits a datagram of 1,200 bytes.
const MAX_CHANGE_BYTES: usize = 1_000;

/// What an instance has announced and requested.
#[derive(Debug, Default)]
pub(super) struct RouteChanges {
    /// Version before the first change that is still to be pushed.
    unpushed: Option<Version>,
    next_push: Duration,
    next_request: Duration,
    /// The highest version that a peer has announced.
    announced: Version,
    /// Since when a peer has had newer routes.
    behind_since: Option<Duration>,
    /// The highest version that peers cannot send as a change.
    too_large: Version,
}

impl RouteChanges {
    /// Records that routes have been adopted in place of those of version `before`.
    pub(super) fn note_adopted(&mut self, now: Duration, before: Version, forwarder: &Forwarder) {
        let version = forwarder.routes.version();
        self.behind_since = (self.announced > version).then_some(now);
        // Routes that were announced as too large here have been announced to others already.
        if before > 0 && self.too_large < version {
            self.unpushed = Some(self.unpushed.map_or(before, |earlier| earlier.min(before)));
        }
    }

    /// Records that a peer has routes of a version, and requests the change if they are newer.
    pub(super) fn note_version(
        &mut self,
        now: Duration,
        from: InstanceId,
        version: Version,
        forwarder: &Forwarder,
        out: &mut Outbox<'_>,
    ) {
        let since = forwarder.routes.version();
        if version <= since {
            return;
        }
        self.note_behind(now, version);
        if since > 0 && version > self.too_large && now >= self.next_request {
            self.next_request = now + REQUEST_INTERVAL;
            send(from, Message::PullRouteChange { since }, out);
        }
    }

    fn note_behind(&mut self, now: Duration, version: Version) {
        self.announced = self.announced.max(version);
        self.behind_since.get_or_insert(now);
    }

    /// Returns whether newer routes are to be read from the platform: peers do not send them.
    pub(super) fn reads_platform(&self, now: Duration, forwarder: &Forwarder) -> bool {
        let version = forwarder.routes.version();
        let Some(since) = self.behind_since else { return false };
        version == 0 || self.too_large > version || now >= since + MAX_PEER_WAIT
    }

    /// Pushes the changes if there are any and a push is due.
    pub(super) fn push(
        &mut self,
        now: Duration,
        forwarder: &Forwarder,
        peers: &Peers,
        rng: &mut SmallRng,
        out: &mut Outbox<'_>,
    ) {
        if now < self.next_push {
            return;
        }
        let Some(since) = self.unpushed.take() else { return };
        self.next_push = now + MIN_PUSH_INTERVAL;
        let message = describe_change(since, forwarder);
        if let Message::NewRoutes { version } = message {
            self.too_large = version;
        }
        peers.spread(&message, RANDOM_RECEIVERS, rng, out);
    }

    /// Records an announcement of routes that are not sent as a change, and passes it on if it is
    /// new.
    pub(super) fn on_announced(
        &mut self,
        now: Duration,
        version: Version,
        forwarder: &Forwarder,
        peers: &Peers,
        rng: &mut SmallRng,
        out: &mut Outbox<'_>,
    ) {
        if version <= forwarder.routes.version() || version <= self.too_large {
            return;
        }
        self.note_behind(now, version);
        self.too_large = version;
        peers.spread(&Message::NewRoutes { version }, RANDOM_RECEIVERS, rng, out);
    }

    /// Applies a change. Returns whether it made newer routes active.
    pub(super) fn on_change(
        &mut self,
        now: Duration,
        from: InstanceId,
        change: &RouteChange,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) -> bool {
        let version = change.version;
        match forwarder.routes.apply_change(change) {
            Ok(None) => false,
            Ok(Some(raw)) => match forwarder.routes.adopt(raw) {
                Ok(adopted) => {
                    if adopted {
                        log::info!(version = version, source = "change", from = from; "routes_adopted");
                    }
                    adopted
                }
                Err(findings) => {
                    log::warn!(version = version, from = from, findings = findings.to_string().as_str(); "routes_refused");
                    false
                }
            },
            Err(e) => {
                log::info!(version = version, from = from, problem = e.to_string().as_str(); "route_change_unusable");
                self.note_behind(now, version);
                let since = forwarder.routes.version();
                if since > 0 && since < change.since {
                    send(from, Message::PullRouteChange { since }, out);
                } else {
                    self.too_large = self.too_large.max(version);
                }
                false
            }
        }
    }
}

/// Returns the message that tells a peer with the routes of a version what has changed.
pub(super) fn describe_change(since: Version, forwarder: &Forwarder) -> Message {
    let change = forwarder.routes.change_since(since);
    let fits = |change: &RouteChange| {
        postcard::experimental::serialized_size(change).is_ok_and(|size| size <= MAX_CHANGE_BYTES)
    };
    match change.filter(fits) {
        Some(change) => Message::RouteChange(change),
        None => Message::NewRoutes { version: forwarder.routes.version() },
    }
}
