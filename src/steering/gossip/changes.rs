//! Changes of targets between two revisions, as they travel between instances.

use std::time::Duration;

use metrics::counter;

use super::send;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::platform::Revision;
use crate::steering::message::{Changes, Message};
use crate::steering::{Steer, TargetRecord};

/// Bytes of records in one message: with its header it fits a datagram of 1,200.
const RECORD_BYTES: usize = 1_000;

/// Returns the changes after a revision, as many as fit a message.
pub(super) fn changes(now: Duration, steer: &Steer, since: Revision) -> Changes {
    let newest = steer.directory.complete_to();
    let mut records = steer.directory.since(since);
    let fits = fitting(&records);
    let upto = if fits < records.len() { records[fits - 1].revision } else { newest };
    records.truncate(fits);
    let lapse_ms = steer.directory.lapse_grace(now).as_millis() as u32;
    Changes { since, upto, newest, lapse_ms, records }
}

/// Returns how many of the first records go into a message; records of one revision stay
/// together.
fn fitting(records: &[TargetRecord]) -> usize {
    let mut bytes = 0;
    let mut fits = 0;
    for (i, record) in records.iter().enumerate() {
        bytes += postcard::experimental::serialized_size(record).unwrap_or(RECORD_BYTES);
        let ends = records.get(i + 1).is_none_or(|next| next.revision != record.revision);
        if fits > 0 && bytes > RECORD_BYTES {
            break;
        }
        if ends {
            fits = i + 1;
        }
    }
    fits
}

/// Takes changes of a peer. Answers true if they brought news.
pub(super) fn take_changes(
    now: Duration,
    from: InstanceId,
    changes: Changes,
    steer: &mut Steer,
    out: &mut Outbox<'_>,
) -> bool {
    let known = steer.directory.complete_to();
    steer.directory.extend_lapse(now, Duration::from_millis(u64::from(changes.lapse_ms)));
    let mut news = 0;
    for record in changes.records {
        news += usize::from(steer.directory.merge(now, record));
    }
    if changes.since <= known {
        steer.directory.complete(changes.upto);
    }
    let known = steer.directory.complete_to();
    if changes.newest > known {
        send(from, Message::PullTargets { since: known }, out);
    }
    if news > 0 {
        counter!("limpetdeck_target_changes_total", "source" => "peer").increment(news as u64);
        log::info!(source = "peer", from = from, changes = news, revision = known; "targets_changed");
    }
    news > 0
}
