//! Which instances are live, as far as this one knows.

mod message;

pub use message::Message;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};
use crate::link::Outbox;
use crate::peer::{Body, MemberInfo, MemberState};

/// Time between two heartbeats to each peer.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);
/// Silence after which a peer counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(2);
/// Time that an instance joins before it owns flows.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// A peer and when it was last heard.
#[derive(Debug)]
struct Peer {
    info: MemberInfo,
    heard: Duration,
}

/// The membership as one instance sees it.
#[derive(Debug)]
pub struct Membership {
    me: MemberInfo,
    started: Duration,
    next_heartbeat: Duration,
    /// In the order of their numbers, so that equal runs ask peers in equal order.
    peers: BTreeMap<InstanceId, Peer>,
    seeds: Vec<SocketAddr>,
    changed: bool,
}

impl Membership {
    /// Makes a membership of this instance alone.
    pub fn new(now: Duration, me: MemberInfo, seeds: Vec<SocketAddr>, _rng: SmallRng) -> Self {
        Self {
            me,
            started: now,
            next_heartbeat: now,
            peers: BTreeMap::default(),
            seeds,
            changed: true,
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
        _from: InstanceId,
        message: Message,
        _out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Heartbeat(info) => self.heard(now, info),
        }
    }

    /// Takes a peer from the platform's list, which lags: a known one stays as it is.
    pub fn listed(&mut self, now: Duration, info: MemberInfo) {
        let known = self.peers.get(&info.id).map(|peer| peer.info.incarnation);
        if known.is_none_or(|known: Incarnation| known < info.incarnation) {
            self.heard(now, info);
        }
    }

    /// Announces that this instance will stop.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.next_heartbeat = Duration::ZERO;
        self.changed = true;
    }

    /// Advances time; due about ten times a second.
    pub fn tick(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.saturating_sub(peer.heard) < DEAD_AFTER);
        self.changed |= self.peers.len() != before;
        if self.me.state == MemberState::Joining && now >= self.started + JOIN_TIME {
            self.me.state = MemberState::Live;
            self.next_heartbeat = now;
            self.changed = true;
        }
        self.send_heartbeats(now, out);
    }

    /// Tells whether the live instances, their states or addresses have changed since the
    /// last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the live instances that may own flows, this one among them if it may.
    pub fn owners(&self) -> Vec<InstanceId> {
        let all = self.all();
        let live: Vec<_> =
            all.filter(|info| info.state == MemberState::Live).map(|info| info.id).collect();
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
        self.peers.iter().map(|(&id, peer)| (id, peer.info.peer_address)).collect()
    }

    fn heard(&mut self, now: Duration, info: MemberInfo) {
        if info.id == self.me.id {
            return;
        }
        let known = self.peers.get(&info.id);
        if known.is_some_and(|peer| peer.info.incarnation > info.incarnation) {
            return;
        }
        self.changed |= known.is_none_or(|peer| peer.info != info);
        self.peers.insert(info.id, Peer { info, heard: now });
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_EVERY;
        let me = self.me.peer_address;
        let mut to: Vec<_> = self.peers.values().map(|peer| peer.info.peer_address).collect();
        to.extend(self.seeds.iter().copied().filter(|&seed| seed != me));
        to.sort_unstable();
        to.dedup();
        let body = Body::Membership(Message::Heartbeat(self.me.clone()));
        for address in to {
            out.send_to(address, Class::Liveness, &body);
        }
    }

    fn all(&self) -> impl Iterator<Item = &MemberInfo> {
        self.peers.values().map(|peer| &peer.info).chain([&self.me])
    }
}
