//! Targets that were gone when this instance started. Their flows may still come here, and
//! their callers have to be told.

use std::time::Duration;

use crate::steering::message::Message;
use crate::steering::{Steer, Target};

/// Time between two requests.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Requests that are made: after those there may be nobody to ask.
const MOST_TRIES: u32 = 10;
/// Targets in one message, some 60 bytes each.
const TARGETS_AT_ONCE: usize = 12;

/// What is still to be asked for.
#[derive(Debug)]
pub(super) struct GoneTargets {
    skip: u32,
    tries_left: u32,
    next: Duration,
    complete: bool,
}

impl GoneTargets {
    /// Makes one that has heard nothing yet.
    pub(super) fn new() -> Self {
        Self { skip: 0, tries_left: MOST_TRIES, next: Duration::ZERO, complete: false }
    }

    /// Returns the request that is due.
    pub(super) fn ask(&mut self, now: Duration) -> Option<Message> {
        if self.complete || self.tries_left == 0 || now < self.next {
            return None;
        }
        self.next = now + ASK_EVERY;
        self.tries_left -= 1;
        Some(Message::PullGone { skip: self.skip })
    }

    /// Takes an answer.
    pub(super) fn take(
        &mut self,
        now: Duration,
        skip: u32,
        targets: Vec<Target>,
        more: bool,
        steer: &mut Steer,
    ) {
        if self.complete || skip != self.skip {
            return;
        }
        self.skip += targets.len() as u32;
        self.next = now;
        self.complete = !more;
        if !targets.is_empty() {
            log::info!(targets = targets.len(); "gone_targets_learnt");
        }
        for target in targets {
            steer.directory.remember_gone(now, target);
        }
    }
}

/// Returns the targets that are gone, without the first ones.
pub(super) fn answer(steer: &Steer, skip: u32) -> Message {
    let mut rest = steer.directory.gone().skip(skip as usize);
    let targets: Vec<_> = rest.by_ref().take(TARGETS_AT_ONCE).cloned().collect();
    Message::Gone { skip, targets, more: rest.next().is_some() }
}
