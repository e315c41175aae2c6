//! Each period's pings: a live instance in turn, those that are suspected, and those that may
//! live without this instance's knowing.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::probes::Probe;
use super::table::Status;
use super::{DEAD_PROBE_EVERY, Membership, Message, SEED_PROBE_EVERY};
use crate::budget::Class;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;

/// Time after which others are asked to try.
const INDIRECT_AFTER: Duration = Duration::from_millis(200);
/// Instances that are asked to try.
const HELPERS: usize = 3;
/// Suspected instances that are told in one period.
const ACCUSED_TOLD: usize = 3;
/// Addresses that are tried in each period while nobody is known.
const TRIES_ALONE: usize = 3;

impl Membership {
    pub(super) fn start_period(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if let Some(probe) = self.probes.current.take()
            && let Some(news) = self.table.accuse(now, probe.target)
        {
            self.accused.push(probe.target);
            self.spread(now, news);
        }
        self.ping_accused(out);
        self.try_contacts(now, out);
        let live = self.live_peers();
        let Some(target) = self.probes.next_target(&live, &mut self.rng) else { return };
        let sequence = self.probes.next_sequence();
        self.probes.current = Some(Probe { target, sequence, sent: now, indirect: false });
        self.ping_member(target, sequence, out);
    }

    /// Asks a few others to try an instance that has not answered.
    pub(super) fn ask_helpers(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let Some(probe) = &mut self.probes.current else { return };
        if probe.indirect || now < probe.sent + INDIRECT_AFTER {
            return;
        }
        probe.indirect = true;
        let (target, sequence) = (probe.target, probe.sequence);
        let body = Body::Membership(Message::PingRequest { sequence, target });
        let mut others = self.live_peers();
        others.retain(|&id| id != target);
        let helpers: Vec<_> = others.choose_multiple(&mut self.rng, HELPERS).copied().collect();
        for id in helpers {
            self.send(id, &body, out);
        }
    }

    /// Tells those that this instance itself suspects, so that they can refute at once.
    pub(super) fn ping_accused(&mut self, out: &mut Outbox<'_>) {
        let suspect = |id| matches!(self.table.get(id), Some(m) if m.status.is_suspect());
        let mut accused = std::mem::take(&mut self.accused);
        accused.retain(|&id| suspect(id));
        for &id in accused.iter().take(ACCUSED_TOLD) {
            let sequence = self.probes.next_sequence();
            self.ping_member(id, sequence, out);
        }
        self.accused = accused;
    }

    /// Tries those that may live without this instance's knowing.
    pub(super) fn try_contacts(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let alone = self.table.live().next().is_none();
        if alone {
            // There is nobody to tell, and what a cut-off instance thinks is worth little.
            self.queue.clear();
        }
        let tries = if alone { TRIES_ALONE } else { 1 };
        for _ in 0..tries {
            self.try_hint(out);
            self.try_seed(now, alone, out);
            if alone || now < self.healing_until || now >= self.next_dead_probe {
                self.next_dead_probe = now + DEAD_PROBE_EVERY;
                self.try_dead(out);
            }
        }
    }

    pub(super) fn try_hint(&mut self, out: &mut Outbox<'_>) {
        if let Some(address) = self.contacts.hint() {
            let sequence = self.probes.next_sequence();
            self.ping(address, None, sequence, out);
        }
    }

    pub(super) fn try_seed(&mut self, now: Duration, alone: bool, out: &mut Outbox<'_>) {
        if !alone && now < self.next_seed_probe {
            return;
        }
        self.next_seed_probe = now + SEED_PROBE_EVERY;
        let Some(seed) = self.contacts.seed() else { return };
        let known = self.all().any(|info| info.peer_address == seed);
        if !known {
            let sequence = self.probes.next_sequence();
            self.ping(seed, None, sequence, out);
        }
    }

    pub(super) fn try_dead(&mut self, out: &mut Outbox<'_>) {
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
        let mut news = vec![self.alive()];
        news.extend(self.news_for(id));
        let introduce = !id.is_some_and(|id| self.trusts(id));
        let message = Message::Ping { sequence, introduce, digest: self.digest(), news };
        out.send_to(to, Class::Liveness, &Body::Membership(message));
    }

    pub(super) fn ack(
        &mut self,
        to: InstanceId,
        sequence: u32,
        introduce: bool,
        out: &mut Outbox<'_>,
    ) {
        let mut news = self.news_for(Some(to));
        if introduce {
            news.insert(0, self.alive());
        }
        let message = Message::Ack { sequence, digest: self.digest(), news };
        self.send(to, &Body::Membership(message), out);
    }

    pub(super) fn trusts(&self, id: InstanceId) -> bool {
        self.table.get(id).is_some_and(|member| member.status == Status::Alive)
    }
}
