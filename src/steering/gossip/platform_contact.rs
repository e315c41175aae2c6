//! Reports of when the platform last answered an instance of the failure domain. Each is passed on by
//! those who have not heard of a contact that recent.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::{Gossip, PUSH_FANOUT};
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};
use crate::link::Outbox;
use crate::steering::message::{ContactReport, Message};

/// Time for which the last report of an instance is remembered: longer than a paused instance keeps
/// an earlier one back.
const RETENTION: Duration = Duration::from_secs(60);

/// The last report of each instance. Late copies say nothing about the present.
#[derive(Debug)]
pub(super) struct ContactReports {
    latest: HashMap<InstanceId, Latest>,
    sequence: u32,
    rng: SmallRng,
}

#[derive(Debug)]
struct Latest {
    incarnation: Incarnation,
    sequence: u32,
    heard: Duration,
}

impl ContactReports {
    pub(super) fn new(rng: SmallRng) -> Self {
        Self { latest: HashMap::default(), sequence: 0, rng }
    }

    /// Returns whether a report is later than all earlier ones of the same instance.
    fn is_new(&mut self, now: Duration, report: &ContactReport) -> bool {
        self.latest.retain(|_, latest| now < latest.heard + RETENTION);
        let order = (report.incarnation, report.sequence);
        let known = self.latest.get(&report.origin);
        if known.is_some_and(|latest| (latest.incarnation, latest.sequence) >= order) {
            return false;
        }
        let (incarnation, sequence) = order;
        self.latest.insert(report.origin, Latest { incarnation, sequence, heard: now });
        true
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence += 1;
        self.sequence
    }
}

impl Gossip {
    /// Tells local peers of a contact of this instance; the sequence of the report is set here.
    pub fn announce_contact(&mut self, mut report: ContactReport, out: &mut Outbox<'_>) {
        report.sequence = self.contact_reports.next_sequence();
        self.pass_on_contact(report, out);
    }

    /// Returns whether a report of a contact is new, and not a late copy.
    pub fn is_new_contact(&mut self, now: Duration, report: &ContactReport) -> bool {
        self.contact_reports.is_new(now, report)
    }

    /// Passes a report on to local peers.
    pub fn pass_on_contact(&mut self, report: ContactReport, out: &mut Outbox<'_>) {
        let message = Message::PlatformContact(report);
        self.peers.spread(&message, PUSH_FANOUT, &mut self.contact_reports.rng, out);
    }
}
