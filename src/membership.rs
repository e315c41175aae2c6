//! Failure detection and group membership, modelled on the SWIM protocol.
//!
//! At each probe interval an instance pings one other. If no ack arrives, it asks a few
//! others to ping it too, then suspects it, and declares it dead unless it refutes the
//! suspicion in time. Updates are piggybacked on pings and acks, so the load of an instance
//! does not depend on the number of instances.

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

pub use message::{Digest, MemberUpdate, Message, Revision};

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
use update_queue::UpdateQueue;

/// Time between two pings of live instances.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time that an instance stays joining before it may own flows.
const MIN_JOIN_TIME: Duration = Duration::from_secs(3);
/// Time after which a joining instance becomes live even if its table is incomplete.
const MAX_JOIN_TIME: Duration = Duration::from_secs(15);
/// Gap between two ticks above which this instance counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time without any message from a peer after which this instance may be isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to wait for a peer's table after a pause; then the old table is used again.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two pings of dead instances, outside of partition healing.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two pings of a seed while live peers are known.
const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of queued updates above which many instances are changing at once: tables are then
/// compared without waiting for changes to stop, and updates received again are sent fewer times.
const CHURN_THRESHOLD: usize = 16;
/// Maximum number of push tokens that can accumulate.
const MAX_PUSH_TOKENS: u32 = 10;
/// Number of watchers of the platform that a failure domain has even if there are many domains: if
/// one dies, the other takes over.
const MIN_WATCHERS_PER_DOMAIN: usize = 2;
/// Number of watchers that a failure domain has at most.
const MAX_WATCHERS_PER_DOMAIN: usize = 3;
/// Number of watchers that all failure domains together have at least, if there are enough of them.
const MIN_WATCHERS: usize = 9;
/// Hash salt that makes watcher ranks independent of other rankings.
const WATCH_SALT: u64 = 2 << 32;

/// Token bucket that limits pushes of recent updates.
#[derive(Debug)]
struct PushLimiter {
    tokens: u32,
    next_refill: Duration,
    next_push: Duration,
}

/// The group membership as seen by one instance.
#[derive(Debug)]
pub struct Membership {
    me: MemberInfo,
    announcement: u32,
    started: Duration,
    table: Table,
    queue: UpdateQueue,
    probes: Probes,
    contacts: Contacts,
    pull: Option<Pull>,
    /// Instances that are suspected because they did not answer this one.
    own_suspects: Vec<InstanceId>,
    push_limiter: PushLimiter,
    last_tick: Duration,
    last_heard: Duration,
    last_change: Duration,
    next_probe: Duration,
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
    /// Creates a membership that contains only this instance.
    pub fn new(now: Duration, me: MemberInfo, seeds: Vec<SocketAddr>, rng: SmallRng) -> Self {
        Self {
            announcement: 0,
            started: now,
            table: Table::default(),
            queue: UpdateQueue::default(),
            probes: Probes::default(),
            contacts: Contacts::new(seeds),
            pull: Some(Pull::new(now, 0, Vec::new())),
            own_suspects: Vec::new(),
            push_limiter: PushLimiter { tokens: MAX_PUSH_TOKENS, next_refill: now, next_push: now },
            last_tick: now,
            last_heard: now,
            last_change: now,
            next_probe: now,
            next_repair: now,
            next_dead_probe: now + DEAD_PROBE_INTERVAL,
            next_seed_probe: now + SEED_PROBE_INTERVAL,
            healing_until: Duration::ZERO,
            refreshing_until: None,
            joined: false,
            superseded: false,
            changed: true,
            me,
            rng,
        }
    }

    /// Returns what this instance announces about itself.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        self.detect_pause(now);
        if from != self.me.id {
            self.last_heard = now;
        }
        match message {
            Message::Ping { sequence, introduce, digest, updates } => {
                self.receive_updates(now, from, &updates, out);
                self.ack(from, sequence, introduce, out);
                self.compare_digest(now, digest);
            }
            Message::Ack { sequence, digest, updates } => {
                self.receive_updates(now, from, &updates, out);
                if let Some(relay) = self.probes.on_ack(sequence) {
                    self.ack(relay.origin, relay.sequence, false, out);
                }
                self.compare_digest(now, digest);
            }
            Message::PingRequest { sequence, peer } => {
                let Some(address) = self.table.get(peer).map(|m| m.info.peer_address) else {
                    return;
                };
                let own = self.probes.add_relay(now, from, sequence);
                self.ping(address, Some(peer), own, out);
            }
            Message::Gossip(updates) => self.receive_updates(now, from, &updates, out),
            Message::Pull { number, after, digests } => {
                self.answer_pull(from, number, after, &digests, out);
            }
            Message::Piece { number, updates, next } => {
                // Not queued for dissemination: only this instance lacked these updates.
                for update in &updates {
                    self.apply_update(now, update);
                }
                let complete =
                    self.pull.as_mut().is_some_and(|pull| pull.on_piece(now, number, next));
                if complete {
                    self.pull = None;
                    self.joined = true;
                    self.refreshing_until = None;
                }
            }
        }
    }

    /// Adds a peer from the platform's instance list. The list lags, so an entry is only a
    /// hint of an address to ping.
    pub fn on_listed(&mut self, _now: Duration, info: MemberInfo) {
        if info.id == self.me.id {
            self.resolve_id_conflict(&info);
            return;
        }
        let known = self.table.get(info.id).map(|member| member.info.incarnation);
        if known.is_none_or(|known| known < info.incarnation) {
            self.contacts.add_hint(info);
        }
    }

    /// Replaces the seed addresses, which are pinged most often while no live peer is known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.contacts.set_seeds(seeds);
    }

    /// Announces that this instance will stop.
    pub fn leave(&mut self) {
        self.announce(MemberState::Leaving);
    }

    /// Runs the work that is due; has to be called about ten times a second.
    pub fn tick(&mut self, now: Duration, out: &mut Outbox<'_>) {
        self.detect_pause(now);
        for update in self.table.expire_suspicions(now) {
            self.disseminate(now, update);
        }
        self.table.remove_long_dead(now);
        self.finish_joining(now);
        self.request_indirect_pings(now, out);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.start_probe(now, out);
        }
        self.request_piece(now, out);
        self.push_updates(now, out);
    }

    /// Returns whether the live instances, their states or addresses have changed since the
    /// last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the instances in state [`MemberState::Live`], which may own flows, or all
    /// live instances if none is in that state. May include this instance.
    pub fn owners(&self) -> Vec<InstanceId> {
        let live = self.live_members().filter(|info| info.state == MemberState::Live);
        let live: Vec<_> = live.map(|info| info.id).collect();
        if live.is_empty() {
            return self.live();
        }
        live
    }

    /// Returns all live instances, including this one.
    pub fn live(&self) -> Vec<InstanceId> {
        self.live_members().map(|info| info.id).collect()
    }

    /// Returns the number of live instances, including this one.
    pub fn live_count(&self) -> usize {
        self.live_members().count()
    }

    /// Returns what each live instance announces about itself, including this one.
    pub fn live_infos(&self) -> impl Iterator<Item = &MemberInfo> {
        self.live_members()
    }

    /// Returns the peer addresses of all other live instances.
    pub fn peer_addresses(&self) -> HashMap<InstanceId, SocketAddr> {
        self.table.live().map(|member| (member.info.id, member.info.peer_address)).collect()
    }

    /// Returns whether other instances exist but none has been heard for so long that this
    /// one may be isolated.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let others = !self.table.is_empty() || !self.contacts.is_empty();
        others && now.saturating_sub(self.last_heard) >= ISOLATION_TIMEOUT
    }

    /// Returns whether this instance has pulled the table of a peer since it started.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Returns whether this instance was paused and has not pulled a peer's table since.
    /// Ends after a time limit if no peer answers.
    pub fn is_refreshing(&self, now: Duration) -> bool {
        self.refreshing_until.is_some_and(|until| now < until)
    }

    /// Returns whether a later start of the same instance runs at another address, so that
    /// this one has to stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether this instance is one of the few of its failure domain that watch the
    /// platform on behalf of the others. An isolated instance always watches.
    pub fn is_watcher(&self, now: Duration) -> bool {
        self.is_isolated(now) || self.ranks_as_watcher()
    }

    /// Returns whether this instance ranks among the watchers of its failure domain. Changes only
    /// with the live instances and their states.
    ///
    /// An instance that stops keeps its rank, as packets may still reach it, but no other one relies
    /// on it: the next in rank watches too.
    pub fn ranks_as_watcher(&self) -> bool {
        let rank = |id: InstanceId| (stable_pair(WATCH_SALT, u64::from(id)), id);
        let mine = rank(self.me.id);
        let stops = self.me.state == MemberState::Leaving;
        let peers = self.local_members().filter(|info| info.id != self.me.id);
        let relied_on = peers.filter(|info| stops || info.state != MemberState::Leaving);
        relied_on.filter(|info| rank(info.id) > mine).count() < self.watchers_per_domain()
    }

    /// Returns the number of watchers in the failure domain of this instance, those that stop not
    /// included.
    pub fn local_watchers(&self) -> usize {
        let lasting = self.local_members().filter(|info| info.state != MemberState::Leaving);
        lasting.take(self.watchers_per_domain()).count()
    }

    fn local_members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.live_members().filter(|info| info.failure_domain == self.me.failure_domain)
    }

    /// Returns the number of watchers that each failure domain has: the more domains there are, the
    /// fewer, as domains tell each other what they learn.
    fn watchers_per_domain(&self) -> usize {
        let mut domains: Vec<&str> = Vec::new();
        for info in self.live_members() {
            if !domains.contains(&info.failure_domain.as_str()) {
                domains.push(&info.failure_domain);
            }
        }
        let share = MIN_WATCHERS.div_ceil(domains.len());
        share.clamp(MIN_WATCHERS_PER_DOMAIN, MAX_WATCHERS_PER_DOMAIN)
    }

    fn live_members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.table.live().map(|member| &member.info).chain([&self.me])
    }

    fn live_peers(&self) -> Vec<InstanceId> {
        self.table.live().map(|member| member.info.id).collect()
    }

    fn revision(&self) -> Revision {
        Revision { incarnation: self.me.incarnation, announcement: self.announcement }
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate::Alive { info: self.me.clone(), announcement: self.announcement }
    }

    /// Detects a pause by the gap between ticks. Timeouts that expired during the pause are
    /// no evidence that other instances failed.
    fn detect_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.table.extend_suspicions(gap);
        self.probes.current = None;
        self.last_heard = now;
        self.refreshing_until = Some(now + REFRESH_TIMEOUT);
        self.start_pull(now);
    }

    fn finish_joining(&mut self, now: Duration) {
        if self.me.state != MemberState::Joining {
            return;
        }
        let waited = now.saturating_sub(self.started);
        let complete = self.joined || self.table.is_empty() || waited >= MAX_JOIN_TIME;
        if waited >= MIN_JOIN_TIME && complete {
            self.announce(MemberState::Live);
        }
    }

    /// Sends to any instance in the table; dead ones keep their address.
    fn send(&self, to: InstanceId, body: &Body, out: &mut Outbox<'_>) {
        if let Some(member) = self.table.get(to) {
            out.send_to(member.info.peer_address, Class::Liveness, body);
        }
    }
}
