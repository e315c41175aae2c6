//! Target changes between two positions, as exchanged between instances.

use std::time::Duration;

use metrics::counter;

use super::send;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::platform::Position;
use crate::steering::message::{Changes, Message};
use crate::steering::{Forwarder, TargetRecord};

/// Maximum size of the records in one message, in bytes: with headers, the message fits a
/// datagram of 1,200 bytes.
const MAX_RECORD_BYTES: usize = 1_000;

/// Returns the changes after a position, as many as fit into one message.
pub(super) fn changes_since(now: Duration, forwarder: &Forwarder, since: Position) -> Changes {
    let newest = forwarder.targets.complete_up_to();
    let mut records = forwarder.targets.since(since);
    let fits = count_fitting(&records);
    let up_to = match records.get(fits) {
        // The records of earlier eras come last and are sent only if they fit. Some records may be later
        // than `newest`, beyond changes that are not known here.
        Some(next) if next.position.era == newest.era => records[fits - 1].position.min(newest),
        _ => newest,
    };
    records.truncate(fits);
    // The receiver counts down from now, not from when this instance got the record.
    for target in records.iter_mut().filter_map(|record| record.target.as_mut()) {
        target.warm_up_left = forwarder.targets.warm_up_left(now, target.key);
    }
    let removal_grace_ms = forwarder.targets.removal_grace_left(now).as_millis() as u32;
    Changes { since, up_to, newest, removal_grace_ms, records }
}

/// Returns how many of the first records fit into one message. Records of the same position are
/// not split.
fn count_fitting(records: &[TargetRecord]) -> usize {
    let mut bytes = 0;
    let mut fits = 0;
    for (i, record) in records.iter().enumerate() {
        bytes += postcard::experimental::serialized_size(record).unwrap_or(MAX_RECORD_BYTES);
        let ends_position = records.get(i + 1).is_none_or(|next| next.position != record.position);
        if fits > 0 && bytes > MAX_RECORD_BYTES {
            break;
        }
        if ends_position {
            fits = i + 1;
        }
    }
    fits
}

/// Merges changes from a peer and requests the next ones if there are more. Returns whether
/// anything changed or a new era began, which other peers may not know either.
pub(super) fn apply_changes(
    now: Duration,
    from: InstanceId,
    changes: Changes,
    forwarder: &mut Forwarder,
    out: &mut Outbox<'_>,
) -> bool {
    let known = forwarder.targets.complete_up_to();
    forwarder.targets.enter_era(now, changes.newest);
    forwarder
        .targets
        .extend_removal_grace(now, Duration::from_millis(u64::from(changes.removal_grace_ms)));
    let mut changed = 0;
    for record in changes.records {
        changed += usize::from(forwarder.targets.merge(now, record));
    }
    if changes.since <= known {
        forwarder.targets.advance_complete_up_to(changes.up_to);
    }
    let era_before = known.era;
    let known = forwarder.targets.complete_up_to();
    if changes.newest > known {
        send(from, Message::PullTargets { since: known }, out);
    }
    if changed > 0 {
        counter!("limpetdeck_target_changes_total", "source" => "peer").increment(changed as u64);
        log::info!(source = "peer", from = from, changes = changed, revision = known.revision, era = known.era; "targets_changed");
    }
    changed > 0 || known.era > era_before
}
