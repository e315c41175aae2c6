//! The pings of each probe interval: to the next live instance, to suspected ones, and to
//! addresses where an unknown instance may run.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::probes::Probe;
use super::table::Status;
use super::{DEAD_PROBE_INTERVAL, Membership, Message, SEED_PROBE_INTERVAL};
use crate::budget::Class;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;

/// Time without an ack after which others are asked to ping the instance too.
const ACK_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of instances that are asked for an indirect ping.
const INDIRECT_PINGERS: usize = 3;
/// Maximum number of suspected instances that are pinged per probe interval.
const MAX_SUSPECT_PINGS: usize = 3;
/// Number of pings to each kind of contact per probe interval while no live peer is known.
const PINGS_WHEN_ALONE: usize = 3;

impl Membership {
    pub(super) fn start_probe(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if let Some(probe) = self.probes.current.take()
            && let Some(update) = self.table.suspect_unresponsive(now, probe.peer)
        {
            self.own_suspects.push(probe.peer);
            self.disseminate(now, update);
        }
        self.ping_own_suspects(out);
        self.ping_contacts(now, out);
        let live = self.live_peers();
        let Some(peer) = self.probes.next_peer(&live, &mut self.rng) else { return };
        let sequence = self.probes.next_sequence();
        self.probes.current = Some(Probe { peer, sequence, sent_at: now, indirect: false });
        self.ping_member(peer, sequence, out);
    }

    /// Asks a few others to ping an instance that has not answered.
    pub(super) fn request_indirect_pings(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let Some(probe) = &mut self.probes.current else { return };
        if probe.indirect || now < probe.sent_at + ACK_TIMEOUT {
            return;
        }
        probe.indirect = true;
        let (peer, sequence) = (probe.peer, probe.sequence);
        let body = Body::Membership(Message::PingRequest { sequence, peer });
        let mut others = self.live_peers();
        others.retain(|&id| id != peer);
        let pingers: Vec<_> =
            others.choose_multiple(&mut self.rng, INDIRECT_PINGERS).copied().collect();
        for id in pingers {
            self.send(id, &body, out);
        }
    }

    /// Pings the instances that this one suspects. The ping carries the suspicion, so that they
    /// can refute it at once.
    pub(super) fn ping_own_suspects(&mut self, out: &mut Outbox<'_>) {
        let is_suspect = |id| matches!(self.table.get(id), Some(m) if m.status.is_suspect());
        let mut own_suspects = std::mem::take(&mut self.own_suspects);
        own_suspects.retain(|&id| is_suspect(id));
        for &id in own_suspects.iter().take(MAX_SUSPECT_PINGS) {
            let sequence = self.probes.next_sequence();
            self.ping_member(id, sequence, out);
        }
        self.own_suspects = own_suspects;
    }

    /// Pings addresses where a live but unknown instance may run.
    pub(super) fn ping_contacts(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let alone = self.table.live().next().is_none();
        if alone {
            // There is no peer to send updates to, and what an isolated instance has concluded
            // about the others is unreliable.
            self.queue.clear();
        }
        let pings = if alone { PINGS_WHEN_ALONE } else { 1 };
        for _ in 0..pings {
            self.ping_hint(out);
            self.ping_seed(now, alone, out);
            if alone || now < self.healing_until || now >= self.next_dead_probe {
                self.next_dead_probe = now + DEAD_PROBE_INTERVAL;
                self.ping_dead(out);
            }
        }
    }

    pub(super) fn ping_hint(&mut self, out: &mut Outbox<'_>) {
        if let Some(address) = self.contacts.next_hint() {
            let sequence = self.probes.next_sequence();
            self.ping(address, None, sequence, out);
        }
    }

    pub(super) fn ping_seed(&mut self, now: Duration, alone: bool, out: &mut Outbox<'_>) {
        if !alone && now < self.next_seed_probe {
            return;
        }
        self.next_seed_probe = now + SEED_PROBE_INTERVAL;
        let Some(seed) = self.contacts.next_seed() else { return };
        let known = self.live_members().any(|info| info.peer_address == seed);
        if !known {
            let sequence = self.probes.next_sequence();
            self.ping(seed, None, sequence, out);
        }
    }

    pub(super) fn ping_dead(&mut self, out: &mut Outbox<'_>) {
        let dead: Vec<_> = self.table.dead().map(|member| member.info.id).collect();
        if let Some(&id) = dead.choose(&mut self.rng) {
            let sequence = self.probes.next_sequence();
            self.ping_member(id, sequence, out);
        }
    }

    pub(super) fn ping_member(&mut self, id: InstanceId, sequence: u32, out: &mut Outbox<'_>) {
        if let Some(address) = self.table.get(id).map(|member| member.info.peer_address) {
            self.ping(address, Some(id), sequence, out);
        }
    }

    pub(super) fn ping(
        &mut self,
        to: SocketAddr,
        id: Option<InstanceId>,
        sequence: u32,
        out: &mut Outbox<'_>,
    ) {
        let mut updates = vec![self.own_update()];
        updates.extend(self.updates_for(id));
        let introduce = !id.is_some_and(|id| self.is_alive(id));
        let message = Message::Ping { sequence, introduce, digest: self.digest(), updates };
        out.send_to(to, Class::Liveness, &Body::Membership(message));
    }

    pub(super) fn ack(
        &mut self,
        to: InstanceId,
        sequence: u32,
        introduce: bool,
        out: &mut Outbox<'_>,
    ) {
        let mut updates = self.updates_for(Some(to));
        if introduce {
            updates.insert(0, self.own_update());
        }
        let message = Message::Ack { sequence, digest: self.digest(), updates };
        self.send(to, &Body::Membership(message), out);
    }

    pub(super) fn is_alive(&self, id: InstanceId) -> bool {
        self.table.get(id).is_some_and(|member| member.status == Status::Alive)
    }
}
