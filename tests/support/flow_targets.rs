//! Processes of targets, which write their entries and serve flows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::steering::{
    ANY_TARGET, FlowPacket, PacketFormat, PacketKind, Target, TargetKey, TargetState, Token,
};
use rand::Rng;

use super::flow_callers::Sender;
use super::flow_world::{FlowWorld, Scheduled};
use super::support::*;

/// Time between two writes of a target, and silence after which its entry lapses.
const HEARTBEAT: Duration = Duration::from_secs(1);
const LAPSE: Duration = Duration::from_secs(3);
/// Responses that take longer are preceded by an acknowledgement.
const DELAYED_ACK: Duration = Duration::from_millis(200);

/// Time that a cold target takes for each packet.
const COLD_DELAY: Duration = Duration::from_millis(350);

/// A process of a target.
#[derive(Debug)]
pub struct Process {
    pub entry: Target,
    pub running: bool,
    /// Sequence numbers of its connections, by the caller's port.
    connections: BTreeMap<u16, u32>,
    /// When it was last disturbed.
    pub disturbed: Duration,
    pub frozen_until: Duration,
    /// Until when its whole machine stands still, so that connections are not accepted either.
    pub halted_until: Duration,
    pub cut_until: Duration,
    /// Until when it drops opening packets.
    pub full_until: Duration,
    /// Until when it responds late, which is no disturbance.
    pub slow_until: Duration,
    /// Until when each of its packets is late, as it has just started, which is no disturbance.
    pub cold_until: Duration,
    /// Whether its end is planned.
    pub ends: bool,
    pub next_write: Duration,
    last_write: Duration,
}

/// A packet to a caller.
#[derive(Debug, Clone, Copy)]
pub enum Reply {
    /// Accepts the flow with this sequence number.
    Accept(u32),
    Acknowledge,
    Response {
        nth: u32,
        closes: bool,
    },
    Reset,
}

impl Process {
    pub fn new(entry: Target, now: Duration, write_delay: Duration) -> Self {
        Self {
            entry,
            running: true,
            connections: BTreeMap::new(),
            // The targets that are there before the instances count as undisturbed.
            disturbed: if now > ms(2_000) { now } else { Duration::ZERO },
            frozen_until: Duration::ZERO,
            halted_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            full_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            cold_until: Duration::ZERO,
            ends: false,
            next_write: now + write_delay,
            last_write: now,
        }
    }

    pub fn crash(&mut self) {
        self.running = false;
        self.connections.clear();
    }

    pub fn runs_at(&self, address: SocketAddr) -> bool {
        self.running && SocketAddr::V4(self.entry.address) == address
    }

    /// Whether it runs and holds the caller's connection.
    pub fn holds(&self, port: u16) -> bool {
        self.running && self.connections.contains_key(&port)
    }

    /// Whether the packet belongs to one of its connections.
    fn recognizes(&self, packet: &FlowPacket) -> bool {
        let sequence = self.connections.get(&packet.flow.caller.port());
        sequence.is_some_and(|sequence| packet.ack.wrapping_sub(*sequence) < 1 << 20)
    }

    /// Takes a packet; a new connection gets the sequence number.
    fn answer(&mut self, packet: &FlowPacket, now: Duration, sequence: u32) -> Option<Reply> {
        let port = packet.flow.caller.port();
        match packet.kind {
            PacketKind::Opening { .. } if now < self.full_until => None,
            PacketKind::Opening { .. } => {
                Some(Reply::Accept(*self.connections.entry(port).or_insert(sequence)))
            }
            PacketKind::Closing => {
                self.connections.remove(&port);
                None
            }
            _ if !self.recognizes(packet) => Some(Reply::Reset),
            _ if packet.data_len == 0 => None,
            _ => {
                let nth = (packet.sequence - 1_001) / 100;
                let closes = self.entry.state == TargetState::Draining;
                Some(Reply::Response { nth, closes })
            }
        }
    }
}

impl FlowWorld {
    pub fn start_process(&mut self, entry: Target, write_delay: Duration) {
        self.processes.push(Process::new(entry, self.world.now, write_delay));
    }

    /// Targets write their entries; those that have not been written lapse.
    pub fn write_entries(&mut self) {
        let now = self.world.now;
        if self.world.store.down {
            return;
        }
        for process in &mut self.processes {
            let writes = process.running && now >= process.frozen_until.max(process.cut_until);
            if writes && now >= process.next_write {
                process.next_write = now + HEARTBEAT;
                process.last_write = now;
                let written = object(0, &process.entry);
                let stored = self.world.store.objects.get(&written.name);
                if stored.is_none_or(|stored| stored.value != written.value) {
                    self.world.store.put(written);
                }
            }
        }
        let keys: BTreeSet<_> = self.processes.iter().map(|p| p.entry.key).collect();
        for key in keys {
            let writes = self.processes.iter().filter(|p| p.entry.key == key).map(|p| p.last_write);
            let stored = self.world.store.objects.get(&format!("targets/{key:x}"));
            let exists = stored.is_some_and(|stored| !stored.value.is_null());
            if exists && writes.max().is_some_and(|last| now >= last + LAPSE) {
                self.world.store.remove_target(key);
                self.log(format!("entry of {key} lapses"));
            }
        }
    }

    /// A datagram of an instance arrives at an address.
    pub fn reach_target(&mut self, via: usize, to: SocketAddr, buf: Vec<u8>) {
        let now = self.world.now;
        let Some(p) = self.processes.iter().position(|p| p.runs_at(to)) else { return };
        let process = &self.processes[p];
        if now < process.cut_until || self.is_split(via, process) {
            return;
        }
        if now < process.frozen_until {
            let wait = process.frozen_until - now;
            return self.schedule(wait, Scheduled::ToTarget(via, to, buf));
        }
        let Some((key, packet, token)) = parse(&buf) else { return };
        let port = packet.flow.caller.port();
        let Some(flow) = self.flows.get_mut(&port) else { return };
        let name = (process.entry.key, process.entry.incarnation);
        flow.trace.push(format!("{now:?} i{via} -> p{p}{name:?} key={key} t={token:08x}"));
        self.check_path(p, via, &packet);
        // What is meant for another target at this address is dropped.
        if [ANY_TARGET, self.processes[p].entry.key].contains(&key) {
            self.serve(p, via, &packet, token);
        }
    }

    fn serve(&mut self, p: usize, via: usize, packet: &FlowPacket, token: Token) {
        let now = self.world.now;
        let port = packet.flow.caller.port();
        let sequence = self.rng.random();
        let late = ms(self.rng.random_range(150..1_000));
        let process = &mut self.processes[p];
        let delay = match () {
            () if now < process.slow_until => late,
            () if now < process.cold_until => COLD_DELAY,
            () => ms(2),
        };
        let is_handshake = matches!(packet.kind, PacketKind::Opening { .. });
        if !is_handshake && packet.kind != PacketKind::Closing && process.recognizes(packet) {
            let flow = self.flows.get_mut(&port).expect("a flow");
            flow.open |= flow.accepted.is_some_and(|(owner, _)| owner == p);
        }
        let Some(reply) = process.answer(packet, now, sequence) else { return };
        let from = Sender::Process(p);
        let is_slow = now < process.slow_until && delay > DELAYED_ACK;
        if matches!(reply, Reply::Response { .. }) && is_slow {
            self.reply(ms(2), port, from, via, Reply::Acknowledge, token);
        }
        self.reply(delay, port, from, via, reply, token);
    }

    fn reply(
        &mut self,
        delay: Duration,
        port: u16,
        from: Sender,
        via: usize,
        reply: Reply,
        token: Token,
    ) {
        let reason = String::new();
        self.schedule(delay, Scheduled::ToCaller { port, from, via, reply, token, reason });
    }
}

/// Parses a datagram to a target: its key, the packet and its token.
fn parse(buf: &[u8]) -> Option<(TargetKey, FlowPacket, Token)> {
    let (key, packet) = std::str::from_utf8(buf).ok()?.split_once('>')?;
    let fields: Vec<_> = packet.split(' ').collect();
    let replaced = fields.get(8).and_then(|token| token.parse().ok());
    let packet = TextPackets.read(fields.get(..8)?.join(" ").as_bytes()).ok()?;
    let key = TargetKey::from_str_radix(key, 16).ok()?;
    Some((key, packet, replaced.unwrap_or(packet.token)))
}
