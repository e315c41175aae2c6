//! Targets that were removed, and incarnations that ended, before this instance started. Packets of
//! their flows may still arrive here: callers of removed targets have to get a reset, and a flow may
//! have been opened to a target that had restarted under the token of its earlier incarnation.

use std::time::Duration;

use crate::steering::message::Message;
use crate::steering::{Forwarder, Target};

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Number of requests after which the instance gives up: there may be no peer that could reply.
const MAX_REQUESTS: u32 = 10;
/// Maximum number of targets in one message; each takes about 60 bytes.
const TARGETS_PER_MESSAGE: usize = 12;

/// State of fetching the removed targets from peers.
#[derive(Debug)]
pub(super) struct RemovedTargets {
    skip: u32,
    requests_left: u32,
    next_request: Duration,
    complete: bool,
}

impl RemovedTargets {
    /// Creates the state of an instance that has received no reply yet.
    pub(super) fn new() -> Self {
        Self { skip: 0, requests_left: MAX_REQUESTS, next_request: Duration::ZERO, complete: false }
    }

    /// Returns the request that is due, if any.
    pub(super) fn due(&mut self, now: Duration) -> Option<Message> {
        if self.complete || self.requests_left == 0 || now < self.next_request {
            return None;
        }
        self.next_request = now + REQUEST_INTERVAL;
        self.requests_left -= 1;
        Some(Message::PullRemoved { skip: self.skip })
    }

    /// Adds the targets of a reply. Ignores replies that do not continue the last one.
    pub(super) fn on_reply(
        &mut self,
        now: Duration,
        skip: u32,
        targets: Vec<Target>,
        more: bool,
        forwarder: &mut Forwarder,
    ) {
        if self.complete || skip != self.skip {
            return;
        }
        self.skip += targets.len() as u32;
        self.next_request = now;
        self.complete = !more;
        if !targets.is_empty() {
            log::info!(targets = targets.len(); "gone_targets_learnt");
        }
        for target in targets {
            forwarder.targets.insert_removed(now, target);
        }
    }
}

/// Returns the reply to a request: the removed targets after the first `skip`.
pub(super) fn reply(forwarder: &Forwarder, skip: u32) -> Message {
    let mut rest = forwarder.targets.removed().skip(skip as usize);
    let targets: Vec<_> = rest.by_ref().take(TARGETS_PER_MESSAGE).cloned().collect();
    Message::Removed { skip, targets, more: rest.next().is_some() }
}
