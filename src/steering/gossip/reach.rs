//! What the instances of a partitioned failure domain tell each other: which other domains they do
//! not reach, and whether the platform answers. Each report is passed on by those it is new to.

use std::time::Duration;

use super::{ANNOUNCE_FANOUT, Gossip};
use crate::ids::FailureDomain;
use crate::link::Outbox;
use crate::steering::Forwarder;
use crate::steering::message::Message;

impl Gossip {
    /// Announces to local peers that no target of a failure domain can be reached.
    pub fn announce_unreachable(&mut self, domain: FailureDomain, out: &mut Outbox<'_>) {
        let message = Message::DomainUnreachable(domain);
        self.peers.spread(&message, ANNOUNCE_FANOUT, &mut self.rng, out);
    }

    /// Announces to local peers that the platform has answered.
    pub fn announce_platform_answer(&mut self, out: &mut Outbox<'_>) {
        self.peers.spread(&Message::PlatformAnswered, ANNOUNCE_FANOUT, &mut self.rng, out);
    }

    pub(super) fn on_unreachable(
        &mut self,
        now: Duration,
        domain: FailureDomain,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) {
        if forwarder.report_unreachable(now, &domain) {
            self.announce_unreachable(domain, out);
        }
    }

    pub(super) fn on_platform_answer(
        &mut self,
        now: Duration,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) {
        if forwarder.last_resort.record_peer_answer(now) {
            self.announce_platform_answer(out);
        }
    }
}
