//! Dissemination of updates: how they are received, piggybacked and pushed.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::table::{Member, Status};
use super::{CHURN_THRESHOLD, MAX_PUSH_TOKENS, MemberUpdate, Membership, Message};
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;

/// Time after the return of a dead instance in which another dead one is pinged at each probe
/// interval.
const HEALING_TIME: Duration = Duration::from_secs(10);
/// Maximum size of the queued updates on one ping or ack, in bytes.
const PIGGYBACK_BYTES: usize = 300;
/// Maximum size of the updates in one [`Message::Gossip`], in bytes.
const GOSSIP_BYTES: usize = 100;
/// Number of instances that receive each push.
const GOSSIP_FANOUT: usize = 2;
/// Time between two pushes.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which one push token is refilled.
const TOKEN_REFILL_INTERVAL: Duration = Duration::from_millis(500);

impl Membership {
    pub(super) fn receive_updates(
        &mut self,
        now: Duration,
        from: InstanceId,
        updates: &[MemberUpdate],
        out: &mut Outbox<'_>,
    ) {
        let before = self.announcement;
        for update in updates {
            if let MemberUpdate::Alive { info, .. } = update
                && info.id == from
            {
                self.notify_predecessor(info, out);
            }
            if let Some(update) = self.apply_update(now, update) {
                self.queue.push(update, self.live_count());
            } else if self.queue.len() > CHURN_THRESHOLD {
                self.queue.on_duplicate(update);
            }
        }
        if self.announcement != before {
            let body = Body::Membership(Message::Gossip(vec![self.own_update()]));
            self.send(from, &body, out);
        }
    }

    /// Applies an update, and returns the update to send on if it changed the table.
    pub(super) fn apply_update(
        &mut self,
        now: Duration,
        update: &MemberUpdate,
    ) -> Option<MemberUpdate> {
        let id = update.instance();
        if id == self.me.id {
            self.handle_own_update(update);
            return None;
        }
        let known = self.table.get(id).map(Member::is_live);
        if known == Some(true)
            && now < self.healing_until
            && matches!(update, MemberUpdate::Dead(..))
        {
            // The other side of a partition has declared this side dead, which is no evidence
            // of a failure.
            return None;
        }
        let applied = self.table.apply(now, update)?;
        if let MemberUpdate::Alive { info, .. } = &applied {
            self.contacts.remove_known(info);
            self.probes.add_to_round(id, &mut self.rng);
            if known == Some(false) {
                self.healing_until = now + HEALING_TIME;
                self.queue.remove_deaths();
            }
        }
        self.record_change(now, &applied);
        log::debug!(instance = id, update = format!("{applied:?}").as_str(); "instance_update");
        Some(applied)
    }

    /// Records and sends an update that this instance has concluded itself. Only the instances that
    /// have pinged another one in vain log its failure; the rest is told by them.
    pub(super) fn disseminate(&mut self, now: Duration, update: MemberUpdate) {
        match &update {
            MemberUpdate::Suspect(id, _) => log::info!(instance = *id; "instance_suspected"),
            MemberUpdate::Dead(id, _) if self.own_suspects.contains(id) => {
                log::warn!(instance = *id; "instance_dead");
            }
            MemberUpdate::Dead(id, _) => log::debug!(instance = *id; "instance_dead"),
            MemberUpdate::Alive { .. } => {}
        }
        self.record_change(now, &update);
        self.queue.push(update, self.live_count());
    }

    fn record_change(&mut self, now: Duration, update: &MemberUpdate) {
        self.last_change = now;
        self.changed |= !matches!(update, MemberUpdate::Suspect(..));
    }

    /// Returns the updates to piggyback on a message to an instance. A suspected or dead instance
    /// gets only the update about itself, so that it can refute it.
    pub(super) fn updates_for(&mut self, id: Option<InstanceId>) -> Vec<MemberUpdate> {
        let Some(member) = id.and_then(|id| self.table.get(id)) else { return Vec::new() };
        let (id, revision) = (member.info.id, member.revision());
        match member.status {
            Status::Alive => self.queue.take(PIGGYBACK_BYTES),
            Status::Suspect { .. } => vec![MemberUpdate::Suspect(id, revision)],
            Status::Dead { .. } => vec![MemberUpdate::Dead(id, revision)],
        }
    }

    /// Pushes queued updates to a few peers if a push token is left.
    pub(super) fn push_updates(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if now >= self.push_limiter.next_refill {
            self.push_limiter.next_refill = now + TOKEN_REFILL_INTERVAL;
            self.push_limiter.tokens = (self.push_limiter.tokens + 1).min(MAX_PUSH_TOKENS);
        }
        if self.queue.len() == 0
            || self.push_limiter.tokens == 0
            || now < self.push_limiter.next_push
        {
            return;
        }
        self.push_limiter.next_push = now + GOSSIP_INTERVAL;
        self.push_limiter.tokens -= 1;
        let mut peers = self.live_peers();
        peers.retain(|&id| self.is_alive(id));
        let peers: Vec<_> = peers.choose_multiple(&mut self.rng, GOSSIP_FANOUT).copied().collect();
        for id in peers {
            let updates = self.queue.take(GOSSIP_BYTES);
            if !updates.is_empty() {
                self.send(id, &Body::Membership(Message::Gossip(updates)), out);
            }
        }
    }
}
