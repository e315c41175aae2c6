//! Which instances are live, as far as this one knows.
//!
//! Each period an instance pings one other, asks a few more to try when no answer comes,
//! then suspects it, and counts it as dead unless the suspected one refutes in time. What
//! changes rides on pings and answers, so the cost of an instance does not depend on how
//! many there are.

mod contacts;
mod identity;
mod message;
mod pinging;
mod probes;
mod pull;
mod repair;
mod spreading;
mod table;
mod update_queue;

pub use message::{Digest, Message, News, Revision};

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::budget::Class;
use crate::hash::{HashMap, stable_pair};
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::{Body, MemberInfo, MemberState};
use contacts::Contacts;
use probes::Probes;
use pull::Pull;
use table::Table;
use update_queue::NewsQueue;

/// Time between two pings.
const PERIOD: Duration = Duration::from_millis(500);
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
/// Time between two pings of a seed while others are known.
const SEED_PROBE_EVERY: Duration = Duration::from_secs(10);
/// Waiting news beyond which much changes at once: tables are compared without waiting
/// for quiet, and news that others pass on too are passed on less.
const CROWD: usize = 16;
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

    /// Sends to an instance that is known, be it dead: its address stays with the entry.
    fn send(&self, to: InstanceId, body: &Body, out: &mut Outbox<'_>) {
        if let Some(member) = self.table.get(to) {
            out.send_to(member.info.peer_address, Class::Liveness, body);
        }
    }
}
