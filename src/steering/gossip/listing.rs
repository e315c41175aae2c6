//! Removals of targets that no record tells of.
//!
//! An instance that was cut off for long, or cannot reach the platform, learns of changes from its
//! peers. A peer that has started since then has never known the targets that were removed before,
//! and one that runs for long has forgotten them. It sends the keys of the targets that exist, and
//! what is missing there is removed.

use std::ops::Bound;
use std::time::Duration;

use metrics::counter;

use super::send;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::platform::Position;
use crate::steering::Forwarder;
use crate::steering::TargetKey;
use crate::steering::message::{Listing, Message};

/// Maximum number of keys in a message, of 10 bytes each at most.
const KEYS_PER_MESSAGE: usize = 100;

/// Returns the part of the listing that begins after a key.
pub(super) fn listing_after(forwarder: &Forwarder, after: TargetKey) -> Message {
    let position = forwarder.targets.complete_up_to();
    let mut keys: Vec<_> = forwarder.targets.keys_after(after).take(KEYS_PER_MESSAGE + 1).collect();
    let has_more = keys.len() > KEYS_PER_MESSAGE;
    keys.truncate(KEYS_PER_MESSAGE);
    let last = keys.last().copied().filter(|_| has_more);
    Message::Listing(Listing { position, after, last, keys })
}

/// A listing of which some parts have arrived.
#[derive(Debug, Default)]
pub(super) struct ListingTransfer {
    /// The sender, and the end of the parts that have arrived.
    in_progress: Option<(InstanceId, TargetKey)>,
}

impl ListingTransfer {
    /// Removes the targets that are missing in a part, and requests what comes next. Returns whether
    /// there were any.
    pub(super) fn on_part(
        &mut self,
        now: Duration,
        from: InstanceId,
        part: Listing,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) -> bool {
        let known = forwarder.targets.complete_up_to();
        let continues = part.after == 0 || self.in_progress == Some((from, part.after));
        if part.position <= known || !continues {
            return false;
        }
        let end = part.last.map_or(Bound::Unbounded, Bound::Included);
        let listed = part.keys.into_iter().collect();
        let range = (Bound::Excluded(part.after), end);
        let removed = forwarder.targets.remove_unlisted(now, part.position, range, &listed);
        self.in_progress = part.last.map(|last| (from, last));
        let next = match part.last {
            Some(after) => Message::PullListing { after },
            None => Message::PullChanges { since: known },
        };
        send(from, next, out);
        if removed > 0 {
            record_removals(from, removed, part.position);
        }
        removed > 0
    }
}

fn record_removals(from: InstanceId, removed: usize, position: Position) {
    counter!("limpetdeck_target_changes_total", "source" => "listing").increment(removed as u64);
    log::info!(source = "listing", from = from, changes = removed, revision = position.revision, era = position.era; "targets_changed");
}
