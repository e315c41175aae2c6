//! Which instances are live, as far as this one knows.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};
use crate::peer::{MemberInfo, MemberState};

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
    peers: HashMap<InstanceId, Peer>,
    seeds: Vec<SocketAddr>,
}

impl Membership {
    /// Makes a membership of this instance alone.
    pub fn new(now: Duration, me: MemberInfo, seeds: Vec<SocketAddr>) -> Self {
        Self { me, started: now, next_heartbeat: now, peers: HashMap::default(), seeds }
    }

    /// Returns this instance as others see it.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Takes a heartbeat of a peer; answers whether the membership changed.
    pub fn heard(&mut self, now: Duration, info: MemberInfo) -> bool {
        if info.id == self.me.id {
            return false;
        }
        let known = self.peers.get(&info.id);
        if known.is_some_and(|peer| peer.info.incarnation > info.incarnation) {
            return false;
        }
        let changed = known.is_none_or(|peer| peer.info != info);
        self.peers.insert(info.id, Peer { info, heard: now });
        changed
    }

    /// Takes a peer from the platform's list, which lags: a known one stays as it is.
    pub fn listed(&mut self, now: Duration, info: MemberInfo) -> bool {
        let known = self.peers.get(&info.id).map(|peer| peer.info.incarnation);
        if known.is_some_and(|known: Incarnation| known >= info.incarnation) {
            return false;
        }
        self.heard(now, info)
    }

    /// Announces that this instance will stop.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.next_heartbeat = Duration::ZERO;
    }

    /// Advances time; answers whether the membership changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.saturating_sub(peer.heard) < DEAD_AFTER);
        let joined = self.me.state == MemberState::Joining && now >= self.started + JOIN_TIME;
        if joined {
            self.me.state = MemberState::Live;
            self.next_heartbeat = now;
        }
        joined || self.peers.len() != before
    }

    /// Returns the addresses that a heartbeat is due to now.
    pub fn heartbeats(&mut self, now: Duration) -> Vec<SocketAddr> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + HEARTBEAT_EVERY;
        let mut to: Vec<_> = self.peers.values().map(|peer| peer.info.peer_address).collect();
        let me = self.me.peer_address;
        to.extend(self.seeds.iter().copied().filter(|&seed| seed != me));
        to.sort_unstable();
        to.dedup();
        to
    }

    /// Returns the live instances that may own flows.
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

    /// Returns the address of a peer.
    pub fn address(&self, id: InstanceId) -> Option<SocketAddr> {
        self.peers.get(&id).map(|peer| peer.info.peer_address)
    }

    fn all(&self) -> impl Iterator<Item = &MemberInfo> {
        self.peers.values().map(|peer| &peer.info).chain([&self.me])
    }
}
