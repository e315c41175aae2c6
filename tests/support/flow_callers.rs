//! Callers, and the router that spreads their packets over the instances.

use std::time::Duration;

use limpetdeck::instance::Core;
use limpetdeck::steering::{FlowPacket, NO_TOKEN, PacketKind, Token};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::flow_targets::Reply;
use super::flow_world::{FlowWorld, Scheduled};
use super::support::*;
use super::world::World;

/// Time between two probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// When the opening packet is sent again, in milliseconds.
const OPENING_COPIES: [u64; 2] = [200, 600];
/// Time after which a caller takes no acceptance any more.
const MAX_OPENING: Duration = Duration::from_millis(1_400);
/// Time after which a caller gives up a request.
pub(super) const DEADLINE: Duration = Duration::from_secs(6);
/// Age at which a caller closes its flow.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Largest distance of a reset's sequence number from the last acknowledged one for which a caller takes
/// it on an open flow.
const MAX_RESET_DISTANCE: u32 = 76_800;

/// Who sent a packet to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    Process(usize),
    Instance(usize),
}

/// A flow as its caller sees it.
#[derive(Debug)]
pub struct Flow {
    pub route: u8,
    begun: Duration,
    pub last_packet: Duration,
    pub(super) token: Token,
    /// Process whose sequence number the caller has acknowledged, and the number.
    pub accepted: Option<(usize, u32)>,
    /// Whether the acknowledgement has reached the process.
    pub open: bool,
    /// Number of requests that were answered.
    answered: u32,
    /// When the request that is not answered yet was first sent.
    pub(super) requested: Option<Duration>,
    /// When its target lost it.
    pub lost: Option<Duration>,
    /// Whether an instance has reset it, or its packets went to other targets only.
    pub(super) counted: bool,
    pub ended: bool,
    /// Whether a configuration has dropped its route.
    pub dropped: bool,
    /// Times of the packets that have reached other targets since the last one to its own, and the
    /// instances that sent them.
    pub strayed: Vec<(Duration, usize)>,
    pub trace: Vec<String>,
}

/// Probes the instances and selects one for each flow.
#[derive(Debug)]
pub struct Router {
    /// Whether each instance is in rotation, and the number of probes that it has missed in a row.
    rotation: Vec<(bool, u32)>,
    next_probe: Duration,
    /// Whether it hashes modulo the number of instances in rotation, or by rendezvous.
    by_modulo: bool,
}

impl Router {
    pub fn new(instances: usize, by_modulo: bool, now: Duration) -> Self {
        Self { rotation: vec![(false, 0); instances], next_probe: now, by_modulo }
    }

    pub fn probe(&mut self, world: &World) {
        if world.now < self.next_probe {
            return;
        }
        self.next_probe = world.now + PROBE_INTERVAL;
        for (i, (used, misses)) in self.rotation.iter_mut().enumerate() {
            let runs = !world.paused.contains_key(&i);
            let ready = runs && world.nodes[i].as_ref().is_some_and(Core::healthy);
            *misses = if ready { 0 } else { *misses + 1 };
            *used = ready || (*used && *misses < 2);
        }
    }

    /// Selects an instance; all are used while less than half are in rotation.
    fn select(&self, port: u16) -> usize {
        let ready: Vec<_> = (0..self.rotation.len()).filter(|&i| self.rotation[i].0).collect();
        let all = (0..self.rotation.len()).collect();
        let used = if ready.len() * 2 < self.rotation.len() { all } else { ready };
        let hash = |i: usize| {
            let x = (u64::from(port) << 8 | i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
        };
        if self.by_modulo {
            used[(hash(0) % used.len() as u64) as usize]
        } else {
            used.into_iter().max_by_key(|&i| hash(i)).expect("an instance")
        }
    }
}

/// Returns the sequence number that a caller expects next, given the target's first one.
fn next_expected(first: u32, nth: u32) -> u32 {
    first.wrapping_add(1 + 1_000 * nth)
}

/// Returns the sequence number of an instance's reset. One that refuses an opening packet has none; others
/// repeat what the caller has acknowledged.
fn reset_sequence(reason: &str, ack: u32) -> u32 {
    if reason.contains("route_dropped") { ack } else { 0 }
}

/// Returns whether a caller takes a reset with a sequence number on an open flow.
fn is_near(sequence: u32, ack: u32) -> bool {
    let distance = sequence.wrapping_sub(ack);
    distance.min(distance.wrapping_neg()) <= MAX_RESET_DISTANCE
}

impl FlowWorld {
    fn send(&mut self, packet: &FlowPacket) {
        let port = packet.flow.caller.port();
        let i = self.router.select(port);
        let delay = ms(self.rng.random_range(1..4));
        let now = self.world.now;
        let flow = self.flows.get_mut(&port).expect("a flow");
        flow.last_packet = now;
        let FlowPacket { kind, token, sequence, ack, .. } = packet;
        flow.trace.push(format!("{now:?} -> i{i} {kind:?} t={token:08x} s={sequence} a={ack}"));
        let buf = text(packet);
        if self.duplicate > 0.0 && self.rng.random_bool(self.duplicate) {
            let later = delay + ms(self.rng.random_range(0..300));
            self.schedule(later, Scheduled::ToInstance(i, buf.clone()));
        }
        self.schedule(delay, Scheduled::ToInstance(i, buf));
    }

    /// Opens a flow.
    pub fn open(&mut self, route: u8) {
        self.last_port += 1;
        let (port, now) = (self.last_port, self.world.now);
        let flow = Flow {
            route,
            begun: now,
            last_packet: now,
            token: NO_TOKEN,
            accepted: None,
            open: false,
            answered: 0,
            requested: None,
            lost: None,
            counted: false,
            ended: false,
            dropped: !self.routes.contains(&route),
            strayed: Vec::new(),
            trace: Vec::new(),
        };
        self.flows.insert(port, flow);
        self.send(&opening(port, route));
        for (n, at) in (1..).zip(OPENING_COPIES) {
            self.schedule(ms(at), Scheduled::CopyOpening(port, n));
        }
    }

    /// Sends the opening packet again, unless the flow was accepted.
    pub fn copy_opening(&mut self, port: u16, n: u32) {
        let flow = &self.flows[&port];
        if flow.accepted.is_none() && !flow.ended {
            self.send(&retransmitted_opening(port, flow.route, n));
        }
    }

    /// Sends a request, unless it was answered, and plans the next try.
    pub fn send_request(&mut self, port: u16, nth: u32, tries: u32) {
        let flow = self.flows.get_mut(&port).expect("a flow");
        let Some((_, sequence)) = flow.accepted.filter(|_| !flow.ended && flow.answered == nth)
        else {
            return;
        };
        // The waiting time doubles up to 1.6 s.
        let waited = 200 * ((1 << tries.min(3)) - 1) + 1_600 * u64::from(tries.saturating_sub(3));
        if ms(waited) > DEADLINE {
            flow.ended = true;
            self.count_notice(port, "time-out");
            return;
        }
        let now = self.world.now;
        flow.requested.get_or_insert(now);
        let packet = request(port, flow.route, flow.token, nth);
        self.send(&FlowPacket { ack: next_expected(sequence, nth), ..packet });
        let wait = ms(200 << tries.min(3));
        self.schedule(wait, Scheduled::SendRequest { port, nth, tries: tries + 1 });
    }

    /// A packet arrives at a caller.
    pub fn reach_caller(
        &mut self,
        port: u16,
        from: Sender,
        via: usize,
        reply: Reply,
        token: Token,
        reason: &str,
    ) {
        let now = self.world.now;
        let Some(flow) = self.flows.get_mut(&port).filter(|flow| !flow.ended) else { return };
        flow.trace.push(format!("{now:?} <- {from:?} via i{via} {reply:?} t={token:08x} {reason}"));
        let owner = flow.accepted.map(|(owner, _)| Sender::Process(owner));
        let opens = owner.is_none() && now < flow.begun + MAX_OPENING;
        let expected = flow.accepted.map(|(_, first)| next_expected(first, flow.answered));
        let is_accepted = expected.is_none_or(|ack| is_near(reset_sequence(reason, ack), ack));
        if !matches!(reply, Reply::Reset) && (self.echo_any || owner == Some(from) || opens) {
            flow.token = token;
        }
        match (reply, from) {
            (Reply::Accept(sequence), Sender::Process(p)) if opens => {
                flow.accepted = Some((p, sequence));
                self.acknowledge(port, false);
            }
            (Reply::Response { nth, closes }, _) if owner == Some(from) && nth == flow.answered => {
                flow.answered += 1;
                flow.requested = None;
                flow.ended = closes || now > flow.begun + MAX_AGE;
                let ended = flow.ended;
                self.acknowledge(port, ended);
            }
            (Reply::Reset, Sender::Instance(_)) if !is_accepted => {
                let name = format!("not taken by the caller: {reason}");
                *self.verdicts.dropped.entry(name).or_default() += 1;
            }
            (Reply::Reset, _) => {
                let by_target = matches!(from, Sender::Process(_));
                self.count_notice(port, if by_target { "target's word" } else { reason });
                if owner != Some(from) {
                    self.count_reset(port, from, via, reason);
                }
                if owner != Some(from) {
                    self.check_reset(port, from, via, reason);
                }
                self.flows.get_mut(&port).expect("a flow").ended = true;
            }
            _ => {}
        }
    }

    /// Acknowledges what the target has sent, or closes the flow, and plans the next request.
    fn acknowledge(&mut self, port: u16, closes: bool) {
        let flow = &self.flows[&port];
        let nth = flow.answered;
        let (_, sequence) = flow.accepted.expect("accepted");
        let ack = next_expected(sequence, nth);
        let mut packet = request(port, flow.route, flow.token, nth);
        packet = FlowPacket { ack, data_len: 0, ..packet };
        if closes {
            packet.kind = PacketKind::Closing;
        }
        self.send(&packet);
        let longest = *[50, 300, 1_500, 6_000].choose(&mut self.rng).expect("not empty");
        let pause = ms(self.rng.random_range(1..longest));
        self.schedule(pause, Scheduled::SendRequest { port, nth, tries: 0 });
    }
}
