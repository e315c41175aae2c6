//! Processes of targets, which hold flows and lose them when they end, and the callers of these flows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::instance::{CheckOutcome, Event};
use limpetdeck::steering::{
    ANY_TARGET, FlowPacket, NO_TOKEN, PacketFormat, PacketKind, Target, TargetKey, Token,
};

use super::support::*;
use super::world::World;

/// Time between two copies of a request that is not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a caller gives up a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Who ended a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Its target, which does not hold it.
    ByTarget,
    /// An instance, though the target does not hold it or has ended.
    ByInstance,
    /// An instance, though the target holds it.
    Wrongly,
    /// The caller, whose request got no response.
    GivenUp,
}

/// A flow as its caller sees it.
#[derive(Debug)]
pub struct Flow {
    pub port: u16,
    pub token: Token,
    /// The instance that gets its packets.
    pub instance: usize,
    /// Number of requests that were answered.
    pub answered: u32,
    /// When the pending request was first and last sent.
    pub pending: Option<(Duration, Duration)>,
    /// When its last packet before a loss was sent.
    pub last_used: Duration,
    /// When it was lost because its target ended.
    pub lost: Option<Duration>,
    /// Whether a request was sent since then.
    pub used_since: bool,
    pub ended: Option<(Duration, Ended)>,
}

/// A running process of a target.
#[derive(Debug)]
struct Process {
    entry: Target,
    held: BTreeSet<u16>,
}

/// The processes and callers around a [`World`].
#[derive(Debug, Default)]
pub struct Processes {
    running: BTreeMap<TargetKey, Process>,
    pub flows: BTreeMap<u16, Flow>,
}

impl Processes {
    /// Starts a process with an entry.
    pub fn start(&mut self, entry: &Target) {
        let process = Process { entry: entry.clone(), held: BTreeSet::new() };
        self.running.insert(entry.key, process);
    }

    /// Ends the process of a target. Its flows are lost.
    pub fn crash(&mut self, now: Duration, key: TargetKey) {
        let held = self.running.remove(&key).map(|process| process.held).unwrap_or_default();
        for port in held {
            if let Some(flow) = self.flows.get_mut(&port) {
                flow.lost = Some(now);
            }
        }
    }

    pub fn holds(&self, key: TargetKey, port: u16) -> bool {
        self.running.get(&key).is_some_and(|process| process.held.contains(&port))
    }

    pub fn is_held(&self, port: u16) -> bool {
        self.running.values().any(|process| process.held.contains(&port))
    }

    /// Opens a flow through an instance, and sends a request on it. Returns whether a target took it.
    pub fn open(&mut self, world: &mut World, instance: usize, port: u16) -> bool {
        let flow = Flow {
            port,
            token: NO_TOKEN,
            instance,
            answered: 0,
            pending: None,
            last_used: world.now,
            lost: None,
            used_since: false,
            ended: None,
        };
        self.flows.insert(port, flow);
        world.handle(instance, Event::Packet(text(&opening(port, 1))));
        self.deliver(world);
        let is_taken = self.is_held(port);
        match is_taken {
            true => self.send_request(world, port),
            false => drop(self.flows.remove(&port)),
        }
        is_taken
    }

    /// Sends the next request of a flow.
    pub fn send_request(&mut self, world: &mut World, port: u16) {
        let Some(flow) = self.flows.get_mut(&port).filter(|flow| flow.ended.is_none()) else {
            return;
        };
        let first = flow.pending.map_or(world.now, |(first, _)| first);
        flow.pending = Some((first, world.now));
        flow.used_since |= flow.lost.is_some();
        flow.last_used = if flow.lost.is_none() { world.now } else { flow.last_used };
        let packet = request(port, 1, flow.token, flow.answered);
        world.handle(flow.instance, Event::Packet(text(&packet)));
        self.deliver(world);
    }

    /// Delivers what the instances have sent, and repeats requests that were not answered.
    pub fn tick(&mut self, world: &mut World) {
        self.deliver(world);
        self.check_connections(world);
        let now = world.now;
        let pending = |flow: &Flow| flow.pending.filter(|_| flow.ended.is_none());
        let due: Vec<_> = self
            .flows
            .values()
            .filter_map(|flow| pending(flow).map(|(first, last)| (flow.port, first, last)))
            .filter(|(_, _, last)| now >= *last + RETRY_INTERVAL)
            .collect();
        for (port, first, _) in due {
            if now >= first + DEADLINE {
                self.end(now, port, Ended::GivenUp);
            } else {
                self.send_request(world, port);
            }
        }
    }

    fn check_connections(&mut self, world: &mut World) {
        for i in 0..world.connect_attempts.len() {
            for address in std::mem::take(&mut world.connect_attempts[i]) {
                let accepts = |process: &Process| SocketAddr::V4(process.entry.address) == address;
                let outcome = match self.running.values().any(accepts) {
                    true => CheckOutcome::Accepted,
                    false => CheckOutcome::Refused,
                };
                world.handle(i, Event::ConnectionChecked(address, outcome));
            }
        }
    }

    fn deliver(&mut self, world: &mut World) {
        for i in 0..world.datagrams.len() {
            for (to, buf) in std::mem::take(&mut world.datagrams[i]) {
                let SocketAddr::V4(to) = to else { continue };
                if buf == b"reset" {
                    let by =
                        if self.is_held(to.port()) { Ended::Wrongly } else { Ended::ByInstance };
                    self.end(world.now, to.port(), by);
                } else {
                    self.receive(world, i, to, &buf);
                }
            }
        }
    }

    fn receive(&mut self, world: &mut World, instance: usize, to: SocketAddrV4, buf: &[u8]) {
        let Some((key, packet, token)) = parse_forwarded(buf) else { return };
        let is_intended = |p: &Process| key == ANY_TARGET || key == p.entry.key;
        let is_addressed = |p: &&mut Process| p.entry.address == to && is_intended(p);
        let Some(process) = self.running.values_mut().find(is_addressed) else { return };
        let port = packet.flow.caller.port();
        if matches!(packet.kind, PacketKind::Opening { .. }) {
            process.held.insert(port);
        }
        if !process.held.contains(&port) {
            return self.end(world.now, port, Ended::ByTarget);
        }
        let Some(flow) = self.flows.get_mut(&port) else { return };
        flow.token = token.unwrap_or(flow.token);
        if packet.data_len > 0 && flow.pending.is_some() && flow.ended.is_none() {
            flow.pending = None;
            let reply = acknowledgement(port, 1, flow.token, flow.answered);
            flow.answered += 1;
            world.handle(instance, Event::Packet(text(&reply)));
        }
    }

    fn end(&mut self, now: Duration, port: u16, by: Ended) {
        let Some(flow) = self.flows.get_mut(&port) else { return };
        flow.pending = None;
        flow.ended.get_or_insert((now, by));
    }
}

/// Parses a datagram to a target: its key, the packet and the token that was added.
fn parse_forwarded(buf: &[u8]) -> Option<(TargetKey, FlowPacket, Option<Token>)> {
    let (key, packet) = std::str::from_utf8(buf).ok()?.split_once('>')?;
    let fields: Vec<_> = packet.split(' ').collect();
    let token = fields.get(8).and_then(|token| token.parse().ok());
    let packet = TextPackets.read(fields.get(..8)?.join(" ").as_bytes()).ok()?;
    Some((TargetKey::from_str_radix(key, 16).ok()?, packet, token))
}
