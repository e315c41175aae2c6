//! Which instances are live, as far as this one knows.
//!
//! Each period an instance pings one other, asks a few more to try when no answer comes,
//! then suspects it, and counts it as dead unless the suspected one refutes in time. What
//! changes rides on pings and answers, so the cost of an instance does not depend on how
//! many there are.

mod contacts;
mod message;
mod news;
mod probes;
mod pull;
mod table;

pub use message::{Digest, Message, News, Revision};

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::budget::Class;
use crate::hash::{HashMap, stable_pair};
use crate::ids::{Incarnation, InstanceId};
use crate::link::Outbox;
use crate::peer::{Body, MemberInfo, MemberState};
use contacts::Contacts;
use news::NewsQueue;
use probes::{Probe, Probes};
use pull::Pull;
use table::{Member, PARTS, Status, Table};

/// Time between two pings.
const PERIOD: Duration = Duration::from_millis(500);
/// Time after which others are asked to try.
const INDIRECT_AFTER: Duration = Duration::from_millis(200);
/// Instances that are asked to try.
const HELPERS: usize = 3;
/// Time that an instance joins before it owns flows.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Time after which a joining instance takes part even if its table is not complete.
const JOIN_AT_LATEST: Duration = Duration::from_secs(15);
/// Gap between two ticks after which this instance was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(1);
/// Silence of everybody after which this instance may be cut off.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);
/// Time after a pause until an instance that nobody answers goes on with what it knows.
const REFRESH_BOUND: Duration = Duration::from_secs(5);
/// Time between two pings of dead instances.
const DEAD_PROBE_EVERY: Duration = Duration::from_secs(5);
/// Time for which dead ones are pinged each period after one of them has come back.
const HEALING: Duration = Duration::from_secs(10);
/// Time between two pings of a seed while others are known.
const SEED_PROBE_EVERY: Duration = Duration::from_secs(10);
/// Suspected instances that are told in one period.
const ACCUSED_TOLD: usize = 3;
/// Addresses that are tried in each period while nobody is known.
const TRIES_ALONE: usize = 3;
/// Time without changes after which tables that differ are compared.
const QUIET: Duration = Duration::from_secs(1);
/// Waiting news beyond which much changes at once: tables are compared without waiting
/// for quiet, and news that others pass on too are passed on less.
const CROWD: usize = 16;
/// Time between two comparisons.
const REPAIR_EVERY: Duration = Duration::from_secs(5);
/// Bytes of news on one ping or answer.
const NEWS_BYTES: usize = 300;
/// Bytes of news on one message of fresh news.
const GOSSIP_BYTES: usize = 100;
/// Instances that fresh news are pushed to at once.
const GOSSIP_FANOUT: usize = 2;
/// Time between two pushes of fresh news.
const GOSSIP_EVERY: Duration = Duration::from_millis(100);
/// Time after which a spent push is granted again.
const GOSSIP_REFILL: Duration = Duration::from_millis(500);
/// Pushes that can be saved up.
const MOST_PUSHES: u32 = 10;
/// Instances of a failure domain that watch the platform.
const WATCHERS: usize = 3;
/// Keeps the ranks of watchers apart from other ranks.
const WATCH_SALT: u64 = 2 << 32;

/// Pushes of fresh news that are still granted.
#[derive(Debug)]
struct Pushes {
    left: u32,
    refill: Duration,
    next: Duration,
}

/// The membership as one instance sees it.
#[derive(Debug)]
pub struct Membership {
    me: MemberInfo,
    announcement: u32,
    started: Duration,
    table: Table,
    queue: NewsQueue,
    probes: Probes,
    contacts: Contacts,
    pull: Option<Pull>,
    /// Those that are suspected because they did not answer this instance.
    accused: Vec<InstanceId>,
    pushes: Pushes,
    last_tick: Duration,
    last_heard: Duration,
    last_change: Duration,
    next_period: Duration,
    next_repair: Duration,
    next_dead_probe: Duration,
    next_seed_probe: Duration,
    healing_until: Duration,
    refreshing_until: Option<Duration>,
    joined: bool,
    superseded: bool,
    changed: bool,
    rng: SmallRng,
}

impl Membership {
    /// Makes a membership of this instance alone.
    pub fn new(now: Duration, me: MemberInfo, seeds: Vec<SocketAddr>, rng: SmallRng) -> Self {
        Self {
            announcement: 0,
            started: now,
            table: Table::default(),
            queue: NewsQueue::default(),
            probes: Probes::default(),
            contacts: Contacts::new(seeds),
            pull: Some(Pull::new(now, 0, Vec::new())),
            accused: Vec::new(),
            pushes: Pushes { left: MOST_PUSHES, refill: now, next: now },
            last_tick: now,
            last_heard: now,
            last_change: now,
            next_period: now,
            next_repair: now,
            next_dead_probe: now + DEAD_PROBE_EVERY,
            next_seed_probe: now + SEED_PROBE_EVERY,
            healing_until: Duration::ZERO,
            refreshing_until: None,
            joined: false,
            superseded: false,
            changed: true,
            me,
            rng,
        }
    }

    /// Returns this instance as others see it.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Takes a message of a peer.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        self.notice_pause(now);
        if from != self.me.id {
            self.last_heard = now;
        }
        match message {
            Message::Ping { sequence, introduce, digest, news } => {
                self.take_news(now, from, &news, out);
                self.ack(from, sequence, introduce, out);
                self.compare(now, digest);
            }
            Message::Ack { sequence, digest, news } => {
                self.take_news(now, from, &news, out);
                if let Some(relay) = self.probes.acked(sequence) {
                    self.ack(relay.origin, relay.sequence, false, out);
                }
                self.compare(now, digest);
            }
            Message::PingRequest { sequence, target } => {
                let Some(address) = self.table.get(target).map(|m| m.info.peer_address) else {
                    return;
                };
                let own = self.probes.relay(now, from, sequence);
                self.ping(address, Some(target), own, out);
            }
            Message::Gossip(news) => self.take_news(now, from, &news, out),
            Message::Pull { number, after, digests } => {
                self.answer_pull(from, number, after, &digests, out);
            }
            Message::Piece { number, news, next } => {
                // The joiner alone learns from a piece; all others know already.
                for news in &news {
                    self.apply(now, news);
                }
                let complete =
                    self.pull.as_mut().is_some_and(|pull| pull.received(now, number, next));
                if complete {
                    self.pull = None;
                    self.joined = true;
                    self.refreshing_until = None;
                }
            }
        }
    }

    /// Takes a peer from the platform's list, which lags: an entry is only a hint to ping.
    pub fn listed(&mut self, _now: Duration, info: MemberInfo) {
        if info.id == self.me.id {
            self.meet_namesake(&info);
            return;
        }
        let known = self.table.get(info.id).map(|member| member.info.incarnation);
        if known.is_none_or(|known| known < info.incarnation) {
            self.contacts.listed(info);
        }
    }

    /// Takes the addresses that are tried when no instance is known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.contacts.set_seeds(seeds);
    }

    /// Announces that this instance will stop.
    pub fn leave(&mut self) {
        self.announce(MemberState::Leaving);
    }

    /// Advances time; due about ten times a second.
    pub fn tick(&mut self, now: Duration, out: &mut Outbox<'_>) {
        self.notice_pause(now);
        for news in self.table.expire(now) {
            self.spread(now, news);
        }
        self.table.forget(now);
        self.take_part(now);
        self.ask_helpers(now, out);
        if now >= self.next_period {
            self.next_period = now + PERIOD;
            self.start_period(now, out);
        }
        self.request_piece(now, out);
        self.push_fresh(now, out);
    }

    /// Tells whether the live instances, their states or addresses have changed since the
    /// last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the live instances that may own flows, this one among them if it may.
    pub fn owners(&self) -> Vec<InstanceId> {
        let live = self.all().filter(|info| info.state == MemberState::Live);
        let live: Vec<_> = live.map(|info| info.id).collect();
        if live.is_empty() {
            return self.live();
        }
        live
    }

    /// Returns all live instances, this one among them.
    pub fn live(&self) -> Vec<InstanceId> {
        self.all().map(|info| info.id).collect()
    }

    /// Returns what all live instances say of themselves, this one among them.
    pub fn infos(&self) -> impl Iterator<Item = &MemberInfo> {
        self.all()
    }

    /// Returns the addresses of all live peers.
    pub fn addresses(&self) -> HashMap<InstanceId, SocketAddr> {
        self.table.live().map(|member| (member.info.id, member.info.peer_address)).collect()
    }

    /// Tells whether others exist, and none was heard for so long that this instance may
    /// be cut off.
    pub fn isolated(&self, now: Duration) -> bool {
        let others = !self.table.is_empty() || !self.contacts.is_empty();
        others && now.saturating_sub(self.last_heard) >= ISOLATED_AFTER
    }

    /// Tells whether this instance was paused and has not compared its table with a peer
    /// since. When nobody answers, it ends at a bound.
    pub fn refreshing(&self, now: Duration) -> bool {
        self.refreshing_until.is_some_and(|until| now < until)
    }

    /// Tells whether a later start of the same instance runs elsewhere, so that this one
    /// has to stop.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Tells whether this instance is one of the few of its failure domain that watch the
    /// platform for all others.
    pub fn watches(&self, now: Duration) -> bool {
        let rank = |id: InstanceId| (stable_pair(WATCH_SALT, u64::from(id)), id);
        let mine = rank(self.me.id);
        let domain = &self.me.failure_domain;
        let rivals = self.table.live().filter(|m| m.info.failure_domain == *domain);
        self.isolated(now) || rivals.filter(|m| rank(m.info.id) > mine).count() < WATCHERS
    }

    fn all(&self) -> impl Iterator<Item = &MemberInfo> {
        self.table.live().map(|member| &member.info).chain([&self.me])
    }

    fn live_peers(&self) -> Vec<InstanceId> {
        self.table.live().map(|member| member.info.id).collect()
    }

    fn revision(&self) -> Revision {
        Revision { incarnation: self.me.incarnation, announcement: self.announcement }
    }

    fn alive(&self) -> News {
        News::Alive { info: self.me.clone(), announcement: self.announcement }
    }

    /// Makes this instance known anew, so that nothing said of it before counts.
    fn announce(&mut self, state: MemberState) {
        self.changed |= self.me.state != state;
        self.me.state = state;
        self.announcement = self.announcement.saturating_add(1);
        self.queue.push(self.alive(), self.live().len());
    }

    fn take_news(&mut self, now: Duration, from: InstanceId, news: &[News], out: &mut Outbox<'_>) {
        let before = self.announcement;
        for news in news {
            if let News::Alive { info, .. } = news
                && info.id == from
            {
                self.tell_predecessor(info, out);
            }
            if let Some(news) = self.apply(now, news) {
                self.queue.push(news, self.live().len());
            } else if self.queue.len() > CROWD {
                self.queue.heard(news);
            }
        }
        if self.announcement != before {
            let body = Body::Membership(Message::Gossip(vec![self.alive()]));
            self.send(from, &body, out);
        }
    }

    /// Takes news, and returns what others should hear.
    fn apply(&mut self, now: Duration, news: &News) -> Option<News> {
        let id = news.about();
        if id == self.me.id {
            self.hear_of_self(news);
            return None;
        }
        let known = self.table.get(id).map(Member::lives);
        if known == Some(true) && now < self.healing_until && matches!(news, News::Dead(..)) {
            // The other side of a cut has buried this side, which is no sign of death.
            return None;
        }
        let fresh = self.table.apply(now, news)?;
        if let News::Alive { info, .. } = &fresh {
            self.contacts.met(info);
            self.probes.met(id, &mut self.rng);
            if known == Some(false) {
                self.healing_until = now + HEALING;
                self.queue.drop_deaths();
            }
        }
        self.note_change(now, &fresh);
        Some(fresh)
    }

    fn spread(&mut self, now: Duration, news: News) {
        self.note_change(now, &news);
        self.queue.push(news, self.live().len());
    }

    fn note_change(&mut self, now: Duration, news: &News) {
        self.last_change = now;
        match news {
            News::Suspect(id, _) => log::info!(instance = *id; "instance_suspected"),
            News::Dead(id, _) => log::warn!(instance = *id; "instance_dead"),
            News::Alive { info, .. } => log::debug!(instance = info.id; "instance_alive"),
        }
        self.changed |= !matches!(news, News::Suspect(..));
    }

    fn hear_of_self(&mut self, news: &News) {
        match news {
            News::Alive { info, .. } => self.meet_namesake(info),
            News::Suspect(_, said) | News::Dead(_, said) => {
                if said.incarnation > self.me.incarnation {
                    self.overtake(said.incarnation);
                } else if said.incarnation == self.me.incarnation && *said >= self.revision() {
                    log::info!(instance = self.me.id; "suspicion_refuted");
                    self.announcement = said.announcement;
                    self.announce(self.me.state);
                }
            }
        }
    }

    /// Another process with this instance's number: the older start gives way.
    fn meet_namesake(&mut self, other: &MemberInfo) {
        let key = |info: &MemberInfo| (info.incarnation, info.peer_address);
        if key(other) <= key(&self.me) || self.superseded {
            return;
        }
        if other.peer_address == self.me.peer_address {
            return self.overtake(other.incarnation);
        }
        let address = other.peer_address.to_string();
        log::error!(instance = self.me.id, other = address.as_str(); "instance_superseded");
        self.superseded = true;
    }

    /// Goes beyond an earlier start of this instance that had a higher number, as its clock
    /// was ahead: until then the others take what this one sends for a replay.
    fn overtake(&mut self, earlier: Incarnation) {
        log::warn!(own = self.me.incarnation, earlier = earlier; "clock_was_ahead");
        self.me.incarnation = earlier.saturating_add(1);
        self.announcement = 0;
        self.changed = true;
        self.announce(self.me.state);
    }

    /// Tells an instance's earlier start at another address that it was superseded.
    fn tell_predecessor(&mut self, info: &MemberInfo, out: &mut Outbox<'_>) {
        let Some(known) = self.table.get(info.id) else { return };
        let moved = known.info.peer_address != info.peer_address;
        if moved && known.info.incarnation < info.incarnation {
            let news = News::Alive { info: info.clone(), announcement: 0 };
            let body = Body::Membership(Message::Gossip(vec![news]));
            out.send_to(known.info.peer_address, Class::Liveness, &body);
        }
    }

    /// A gap between ticks: what has run out meanwhile says nothing of the others.
    fn notice_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap <= PAUSED_AFTER {
            return;
        }
        self.table.postpone(gap);
        self.probes.current = None;
        self.last_heard = now;
        self.refreshing_until = Some(now + REFRESH_BOUND);
        self.start_pull(now);
    }

    fn take_part(&mut self, now: Duration) {
        if self.me.state != MemberState::Joining {
            return;
        }
        let waited = now.saturating_sub(self.started);
        let complete = self.joined || self.table.is_empty() || waited >= JOIN_AT_LATEST;
        if waited >= JOIN_TIME && complete {
            self.announce(MemberState::Live);
        }
    }

    fn start_period(&mut self, now: Duration, out: &mut Outbox<'_>) {
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
    fn ask_helpers(&mut self, now: Duration, out: &mut Outbox<'_>) {
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
    fn ping_accused(&mut self, out: &mut Outbox<'_>) {
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
    fn try_contacts(&mut self, now: Duration, out: &mut Outbox<'_>) {
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

    fn try_hint(&mut self, out: &mut Outbox<'_>) {
        if let Some(address) = self.contacts.hint() {
            let sequence = self.probes.next_sequence();
            self.ping(address, None, sequence, out);
        }
    }

    fn try_seed(&mut self, now: Duration, alone: bool, out: &mut Outbox<'_>) {
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

    fn try_dead(&mut self, out: &mut Outbox<'_>) {
        let dead: Vec<_> = self.table.dead().map(|member| member.info.id).collect();
        if let Some(&id) = dead.choose(&mut self.rng) {
            let sequence = self.probes.next_sequence();
            self.ping_member(id, sequence, out);
        }
    }

    fn ping_member(&mut self, id: InstanceId, sequence: u32, out: &mut Outbox<'_>) {
        if let Some(address) = self.table.get(id).map(|member| member.info.peer_address) {
            self.ping(address, Some(id), sequence, out);
        }
    }

    fn ping(
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

    fn ack(&mut self, to: InstanceId, sequence: u32, introduce: bool, out: &mut Outbox<'_>) {
        let mut news = self.news_for(Some(to));
        if introduce {
            news.insert(0, self.alive());
        }
        let message = Message::Ack { sequence, digest: self.digest(), news };
        self.send(to, &Body::Membership(message), out);
    }

    fn trusts(&self, id: InstanceId) -> bool {
        self.table.get(id).is_some_and(|member| member.status == Status::Alive)
    }

    /// Returns the news that go to an instance: first what is wrongly thought of itself.
    /// One that does not count as live gets nothing else.
    fn news_for(&mut self, id: Option<InstanceId>) -> Vec<News> {
        let Some(member) = id.and_then(|id| self.table.get(id)) else { return Vec::new() };
        let (id, revision) = (member.info.id, member.revision());
        match member.status {
            Status::Alive => self.queue.take(NEWS_BYTES),
            Status::Suspect { .. } => vec![News::Suspect(id, revision)],
            Status::Dead { .. } => vec![News::Dead(id, revision)],
        }
    }

    fn digests(&self) -> Vec<u32> {
        self.table.digests((self.me.id, self.revision()))
    }

    fn digest(&mut self) -> Digest {
        let part = self.rng.random_range(0..PARTS);
        Digest { part, value: self.table.digest((self.me.id, self.revision()), part) }
    }

    /// Compares tables once news should have arrived: news that were lost on every way are
    /// rare, and found here.
    fn compare(&mut self, now: Duration, digest: Digest) {
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

    fn start_pull(&mut self, now: Duration) {
        let number = self.probes.next_sequence();
        self.pull = Some(Pull::new(now, number, self.digests()));
    }

    fn request_piece(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let peers = self.live_peers();
        let Some(pull) = &mut self.pull else { return };
        let Some(&peer) = peers.choose(&mut self.rng) else { return };
        if let Some(request) = pull.due(now) {
            self.send(peer, &Body::Membership(request), out);
        }
    }

    fn answer_pull(
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

    /// Pushes fresh news at once, as long as there are not many.
    fn push_fresh(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if now >= self.pushes.refill {
            self.pushes.refill = now + GOSSIP_REFILL;
            self.pushes.left = (self.pushes.left + 1).min(MOST_PUSHES);
        }
        if self.queue.len() == 0 || self.pushes.left == 0 || now < self.pushes.next {
            return;
        }
        self.pushes.next = now + GOSSIP_EVERY;
        self.pushes.left -= 1;
        let mut peers = self.live_peers();
        peers.retain(|&id| self.trusts(id));
        let peers: Vec<_> = peers.choose_multiple(&mut self.rng, GOSSIP_FANOUT).copied().collect();
        for id in peers {
            let news = self.queue.take(GOSSIP_BYTES);
            if !news.is_empty() {
                self.send(id, &Body::Membership(Message::Gossip(news)), out);
            }
        }
    }

    /// Sends to an instance that is known, be it dead: its address stays with the entry.
    fn send(&self, to: InstanceId, body: &Body, out: &mut Outbox<'_>) {
        if let Some(member) = self.table.get(to) {
            out.send_to(member.info.peer_address, Class::Liveness, body);
        }
    }
}
