//! Comparison of tables by digests, and the pulls that bring them together.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::pull::{self, Pull};
use super::table::PARTS;
use super::{CROWD, Digest, Membership};
use crate::budget::Class;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;

/// Time without changes after which tables that differ are compared.
const QUIET: Duration = Duration::from_secs(1);
/// Time between two comparisons.
const REPAIR_EVERY: Duration = Duration::from_secs(5);

impl Membership {
    pub(super) fn digests(&self) -> Vec<u32> {
        self.table.digests((self.me.id, self.revision()))
    }

    pub(super) fn digest(&mut self) -> Digest {
        let part = self.rng.random_range(0..PARTS);
        Digest { part, value: self.table.digest((self.me.id, self.revision()), part) }
    }

    /// Compares tables once news should have arrived: news that were lost on every way are
    /// rare, and found here.
    pub(super) fn compare(&mut self, now: Duration, digest: Digest) {
        let me = (self.me.id, self.revision());
        let same = digest.value == self.table.digest(me, digest.part);
        // When much changes at once, a comparison brings it sooner than news can.
        let settled = now >= self.last_change + QUIET || self.queue.len() > CROWD;
        if same || !settled || now < self.next_repair || self.pull.is_some() {
            return;
        }
        self.next_repair = now + REPAIR_EVERY;
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
        if let Some(request) = pull.due(now) {
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
        let piece = pull::piece(&self.table, &self.alive(), &own, number, after, digests);
        if let Some(address) = self.table.get(to).map(|member| member.info.peer_address) {
            // Not urgent: when the budget is spent, the asker tries somebody else.
            out.send_to(address, Class::Lists, &Body::Membership(piece));
        }
    }
}
