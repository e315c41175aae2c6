//! Anti-entropy: tables are compared by digests, and pulled where they differ.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::pull::{self, Pull};
use super::table::DIGEST_PARTS;
use super::{CHURN_THRESHOLD, Digest, Membership};
use crate::budget::Class;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;

/// Time without changes after which a difference between tables is repaired.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time between two repairs.
const REPAIR_INTERVAL: Duration = Duration::from_secs(5);

impl Membership {
    pub(super) fn digests(&self) -> Vec<u32> {
        self.table.digests((self.me.id, self.revision()))
    }

    pub(super) fn digest(&mut self) -> Digest {
        let part = self.rng.random_range(0..DIGEST_PARTS);
        Digest { part, value: self.table.digest((self.me.id, self.revision()), part) }
    }

    /// Starts a pull if the digests differ once updates should have arrived everywhere. This
    /// finds the rare updates that were lost on every path.
    pub(super) fn compare_digest(&mut self, now: Duration, digest: Digest) {
        let me = (self.me.id, self.revision());
        let same = digest.value == self.table.digest(me, digest.part);
        // When many instances change at once, a pull brings the changes sooner than gossip.
        let settled = now >= self.last_change + SETTLE_TIME || self.queue.len() > CHURN_THRESHOLD;
        if same || !settled || now < self.next_repair || self.pull.is_some() {
            return;
        }
        self.next_repair = now + REPAIR_INTERVAL;
        self.start_pull(now);
    }

    pub(super) fn start_pull(&mut self, now: Duration) {
        let number = self.probes.next_sequence();
        self.pull = Some(Pull::new(now, number, self.digests()));
    }

    pub(super) fn request_piece(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let peers = self.live_peers();
        let Some(pull) = &mut self.pull else { return };
        let Some(&peer) = peers.choose(&mut self.rng) else { return };
        if let Some(request) = pull.next_request(now) {
            self.send(peer, &Body::Membership(request), out);
        }
    }

    pub(super) fn answer_pull(
        &mut self,
        to: InstanceId,
        number: u32,
        after: Option<InstanceId>,
        digests: &[u32],
        out: &mut Outbox<'_>,
    ) {
        let own = self.digests();
        let piece =
            pull::build_piece(&self.table, &self.own_update(), &own, number, after, digests);
        if let Some(address) = self.table.get(to).map(|member| member.info.peer_address) {
            // Not urgent: when the budget is used up, the requester asks another peer.
            out.send_to(address, Class::Lists, &Body::Membership(piece));
        }
    }
}
