//! Flows between callers and processes of targets in virtual time, through instances that a router
//! selects, judged by the rule for open flows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::{Core, Event};
use limpetdeck::steering::{
    FlowPacket, NO_TOKEN, PacketFormat, PacketKind, Target, TargetKey, Token,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::support::*;
use super::world::*;

/// Time after a disturbance after which a process counts as undisturbed.
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Time between two writes of a target, and silence after which its entry lapses.
const HEARTBEAT: Duration = Duration::from_secs(1);
const LAPSE: Duration = Duration::from_secs(3);
/// Within this time, three packets to other targets and none to its own break the rule.
const FLOW_TIME: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const OPENING_COPIES: [u64; 2] = [200, 600];
const MAX_OPENING: Duration = Duration::from_millis(1_400);
const DEADLINE: Duration = Duration::from_secs(6);
/// Time after which a connection check without an answer has failed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);
const READY_INTERVAL: Duration = Duration::from_millis(500);

/// A process of a target.
#[derive(Debug)]
pub struct Process {
    pub entry: Target,
    pub running: bool,
    /// Sequence numbers of the flows that it has taken.
    held: BTreeMap<u16, u32>,
    pub disturbed: Duration,
    pub frozen_until: Duration,
    pub cut_until: Duration,
    pub full_until: Duration,
    /// Until when it responds late, though nothing disturbs it.
    pub slow_until: Duration,
    /// Whether it is going to end.
    pub ends: bool,
    /// When it next writes its entry.
    pub next_write: Duration,
    pub last_write: Duration,
}

/// A packet of a target to a caller.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Accept(u32),
    Acknowledge,
    Response { nth: u32, closes: bool },
    Reset,
}

/// Who sent a packet to a caller: a process, or an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sender {
    Process(usize),
    Instance(usize),
}

#[derive(Debug)]
enum Happening {
    ToInstance(usize, Vec<u8>),
    /// A datagram that an instance has sent to a target.
    ToTarget(usize, SocketAddr, Vec<u8>),
    ToCaller {
        port: u16,
        from: Sender,
        via: usize,
        reply: Reply,
        token: Token,
        note: String,
    },
    /// The caller sends its opening packet again.
    CopyOpening(u16, u32),
    /// The caller sends its request for the nth time, if it is not answered.
    SendRequest {
        port: u16,
        nth: u32,
        tries: u32,
    },
    Checked(usize, SocketAddr, bool),
}

#[derive(Debug)]
pub struct Flow {
    port: u16,
    route: u8,
    begun: Duration,
    last_packet: Duration,
    token: Token,
    /// Process whose sequence number the caller has acknowledged, and the number.
    accepted: Option<(usize, u32)>,
    /// Whether that has reached the process.
    open: bool,
    answered: u32,
    ended: bool,
    /// Whether a configuration has dropped its route.
    pub dropped: bool,
    /// Recent packets to other targets.
    strayed: Vec<(Duration, usize)>,
    trace: Vec<String>,
}

pub struct FlowWorld {
    pub world: World,
    pub rng: SmallRng,
    queue: BTreeMap<(Duration, u64), Happening>,
    queued: u64,
    pub processes: Vec<Process>,
    pub flows: BTreeMap<u16, Flow>,
    next_port: u16,
    /// Routes that the newest version has.
    pub routes: BTreeSet<u8>,
    rotation: Vec<(bool, u32)>,
    next_ready: Duration,
    by_modulo: bool,
    /// When each instance, and the platform, was last disturbed.
    pub disturbed: Vec<Duration>,
    pub core_disturbed: Duration,
    refusals: Vec<BTreeMap<String, u64>>,
    /// Whether the last answer of a target sets the token, even of one at which the flow is not open.
    pub echo_any: bool,
    /// Whether only planned work is going on, so that nothing excuses an instance.
    pub planned_only: bool,
    pub duplicate: f64,
    pub events: Vec<(Duration, String)>,
    pub breaks: Vec<String>,
    pub resets: BTreeMap<String, u32>,
}

impl FlowWorld {
    pub fn new(seed: u64, instances: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0xf10f);
        let by_modulo = rng.random_bool(0.5);
        let world = World::seeded(seed, 2, &vec![false; instances]);
        let now = world.now;
        Self {
            world,
            rng,
            queue: BTreeMap::new(),
            queued: 0,
            processes: Vec::new(),
            flows: BTreeMap::new(),
            next_port: 20_000,
            routes: BTreeSet::new(),
            rotation: vec![(false, 0); instances],
            next_ready: now,
            by_modulo,
            disturbed: vec![Duration::ZERO; instances],
            core_disturbed: Duration::ZERO,
            refusals: vec![BTreeMap::new(); instances],
            echo_any: true,
            planned_only: false,
            duplicate: 0.0,
            events: Vec::new(),
            breaks: Vec::new(),
            resets: BTreeMap::new(),
        }
    }

    pub fn note(&mut self, text: String) {
        self.events.push((self.world.now, text));
    }

    pub fn start_process(&mut self, entry: Target, write_after: Duration) -> usize {
        let now = self.world.now;
        self.processes.push(Process {
            entry,
            running: true,
            held: BTreeMap::new(),
            disturbed: if now > ms(2_000) { now } else { Duration::ZERO },
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            full_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            ends: false,
            next_write: now + write_after,
            last_write: now,
        });
        self.processes.len() - 1
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        self.queued += 1;
        self.queue.insert((self.world.now + delay, self.queued), happening);
    }

    /// Runs for one tick.
    pub fn tick(&mut self) {
        self.world.now += TICK;
        let end = self.world.now + TICK;
        self.write_entries();
        self.world.answer_watches();
        for i in 0..self.world.nodes.len() {
            self.world.handle(i, Event::Tick);
            self.collect(i);
            if self.world.exited[i] && self.world.nodes[i].is_some() {
                self.world.kill(i);
                self.note(format!("instance {i} exits"));
            }
        }
        self.probe_ready();
        loop {
            let ours = self.queue.first_key_value().map(|(key, _)| key.0);
            let theirs = self.world.in_flight.first_key_value().map(|(key, _)| key.0);
            let Some(at) = ours.into_iter().chain(theirs).min().filter(|at| *at < end) else {
                break;
            };
            self.world.now = self.world.now.max(at);
            if theirs == Some(at) {
                let (_, (to, event)) = self.world.in_flight.pop_first().expect("an event");
                self.world.handle(to, event);
                self.collect(to);
            } else {
                let (_, happening) = self.queue.pop_first().expect("a happening");
                self.happen(happening);
            }
        }
        self.world.now = end - TICK;
    }

    /// Targets write their entries; those that have not been written lapse.
    fn write_entries(&mut self) {
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
            let is_there = stored.is_some_and(|stored| !stored.value.is_null());
            if is_there && writes.max().is_some_and(|last| now >= last + LAPSE) {
                self.world.store.remove_target(key);
                self.note(format!("entry of {key} lapses"));
            }
        }
    }

    /// The router probes the instances.
    fn probe_ready(&mut self) {
        if self.world.now < self.next_ready {
            return;
        }
        self.next_ready = self.world.now + READY_INTERVAL;
        for (i, (within, misses)) in self.rotation.iter_mut().enumerate() {
            let runs = !self.world.paused.contains_key(&i);
            let ready = runs && self.world.nodes[i].as_ref().is_some_and(Core::healthy);
            *misses = if ready { 0 } else { *misses + 1 };
            *within = ready || (*within && *misses < 2);
        }
    }

    fn route(&self, port: u16) -> usize {
        let ready: Vec<_> = (0..self.rotation.len()).filter(|&i| self.rotation[i].0).collect();
        let all = (0..self.rotation.len()).collect();
        let used = if ready.len() * 2 < self.rotation.len() { all } else { ready };
        let mixed = |i: usize| {
            let x = (u64::from(port) << 8 | i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
        };
        match self.by_modulo {
            true => used[(mixed(0) % used.len() as u64) as usize],
            false => used.into_iter().max_by_key(|&i| mixed(i)).expect("an instance"),
        }
    }

    fn send(&mut self, packet: &FlowPacket) {
        let port = packet.flow.caller.port();
        let i = self.route(port);
        let delay = ms(self.rng.random_range(1..4));
        let now = self.world.now;
        if let Some(flow) = self.flows.get_mut(&port) {
            flow.last_packet = now;
            let FlowPacket { kind, token, sequence, ack, .. } = packet;
            flow.trace.push(format!("{now:?} -> i{i} {kind:?} t={token:08x} s={sequence} a={ack}"));
        }
        let buf = text(packet);
        if self.duplicate > 0.0 && self.rng.random_bool(self.duplicate) {
            let later = delay + ms(self.rng.random_range(0..300));
            self.after(later, Happening::ToInstance(i, buf.clone()));
        }
        self.after(delay, Happening::ToInstance(i, buf));
    }

    /// Opens a flow.
    pub fn open(&mut self, route: u8) {
        self.next_port += 1;
        let (port, now) = (self.next_port, self.world.now);
        let flow = Flow {
            port,
            route,
            begun: now,
            last_packet: now,
            token: NO_TOKEN,
            accepted: None,
            open: false,
            answered: 0,
            ended: false,
            dropped: !self.routes.contains(&route),
            strayed: Vec::new(),
            trace: Vec::new(),
        };
        self.flows.insert(port, flow);
        self.send(&opening(port, route));
        for (n, at) in OPENING_COPIES.into_iter().enumerate() {
            self.after(ms(at), Happening::CopyOpening(port, n as u32 + 1));
        }
    }

    /// Marks the flows whose routes the newest version lacks.
    pub fn note_dropped(&mut self) {
        let routes = &self.routes;
        self.flows.values_mut().for_each(|flow| flow.dropped |= !routes.contains(&flow.route));
    }

    pub fn crash(&mut self, p: usize) {
        self.processes[p].running = false;
        self.processes[p].held.clear();
    }

    /// Takes what an instance has sent.
    fn collect(&mut self, i: usize) {
        for (to, buf) in std::mem::take(&mut self.world.datagrams[i]) {
            if buf == b"reset" {
                let refusals = self.world.node(i).status(self.world.now).refusals;
                let rose = refusals.iter().filter(|(k, n)| self.refusals[i].get(*k) != Some(n));
                let reasons: Vec<_> = rose.map(|(reason, _)| reason.clone()).collect();
                let note = reasons.join("+");
                *self.resets.entry(note.clone()).or_default() += 1;
                let (from, reply) = (Sender::Instance(i), Reply::Reset);
                let port = to.port();
                let token = NO_TOKEN;
                let reset = Happening::ToCaller { port, from, via: i, reply, token, note };
                self.after(ms(1), reset);
            } else {
                self.after(ms(1), Happening::ToTarget(i, to, buf));
            }
        }
        if let Some(node) = &self.world.nodes[i] {
            self.refusals[i] = node.status(self.world.now).refusals;
        }
        for address in std::mem::take(&mut self.world.connect_attempts[i]) {
            let now = self.world.now;
            let is_there = |p: &&Process| p.running && SocketAddr::V4(p.entry.address) == address;
            let process = self.processes.iter().find(is_there);
            let accepts = process.is_some_and(|p| now >= p.cut_until);
            let is_silent = process.is_some_and(|p| now < p.cut_until) || self.rng.random_bool(0.3);
            let delay = if !accepts && is_silent { CHECK_TIMEOUT } else { ms(1) };
            let late =
                if self.rng.random_bool(0.2) { ms(self.rng.random_range(0..400)) } else { ms(0) };
            self.after(delay + late, Happening::Checked(i, address, accepts));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::ToInstance(i, buf) => {
                self.world.handle(i, Event::Packet(buf));
                self.collect(i);
            }
            Happening::Checked(i, address, accepts) => {
                self.world.handle(i, Event::ConnectionChecked(address, accepts));
                self.collect(i);
            }
            Happening::ToTarget(via, to, buf) => self.reach_target(via, to, buf),
            Happening::ToCaller { port, from, via, reply, token, note } => {
                self.reach_caller(port, from, via, reply, token, &note);
            }
            Happening::CopyOpening(port, n) => {
                let flow = &self.flows[&port];
                if flow.accepted.is_none() && !flow.ended {
                    self.send(&retransmitted_opening(port, flow.route, n));
                }
            }
            Happening::SendRequest { port, nth, tries } => self.send_request(port, nth, tries),
        }
    }

    fn send_request(&mut self, port: u16, nth: u32, tries: u32) {
        let flow = self.flows.get_mut(&port).expect("a flow");
        let Some((_, seq)) = flow.accepted.filter(|_| !flow.ended && flow.answered == nth) else {
            return;
        };
        if ms(200 * ((1 << tries.min(3)) - 1) + 1_600 * u64::from(tries.saturating_sub(3)))
            > DEADLINE
        {
            flow.ended = true;
            return;
        }
        let packet = request(port, flow.route, flow.token, nth);
        let packet = FlowPacket { ack: seq + 1 + 1_000 * nth, ..packet };
        self.send(&packet);
        let wait = ms(200 << tries.min(3));
        self.after(wait, Happening::SendRequest { port, nth, tries: tries + 1 });
    }

    fn reach_target(&mut self, via: usize, to: SocketAddr, buf: Vec<u8>) {
        let now = self.world.now;
        let is_there = |p: &Process| p.running && SocketAddr::V4(p.entry.address) == to;
        let Some(p) = self.processes.iter().position(is_there) else { return };
        let process = &mut self.processes[p];
        if now < process.cut_until {
            return;
        }
        if now < process.frozen_until {
            let wait = process.frozen_until - now;
            return self.after(wait, Happening::ToTarget(via, to, buf));
        }
        let Some((key, packet, token)) = parse(&buf) else { return };
        let port = packet.flow.caller.port();
        let Some(flow) = self.flows.get_mut(&port) else { return };
        let name = (process.entry.key, process.entry.incarnation);
        flow.trace.push(format!("{now:?} i{via} -> p{p}{name:?} key={key} t={token:08x}"));
        let owner = flow.accepted.filter(|_| flow.open).map(|(owner, _)| owner);
        if owner == Some(p) {
            flow.strayed.clear();
        } else if owner.is_some() && !matches!(packet.kind, PacketKind::Opening { .. }) {
            // Copies of the opening packet may have waited at a target that was frozen.
            flow.strayed.push((now, via));
            flow.strayed.retain(|(at, _)| now < *at + FLOW_TIME);
            if flow.strayed.len() >= 3 {
                let strayed = flow.strayed.clone();
                let excused = strayed.iter().any(|(_, via)| !self.in_touch(*via));
                self.judge(port, excused, format!("strays to p{p} via i{via}"));
            }
        }
        if key != self.processes[p].entry.key {
            return;
        }
        self.serve(p, via, &packet, token);
    }

    fn serve(&mut self, p: usize, via: usize, packet: &FlowPacket, token: Token) {
        let now = self.world.now;
        let port = packet.flow.caller.port();
        let fresh = self.rng.random_range(10_000..2_000_000_000);
        let late = ms(self.rng.random_range(150..1_000));
        let process = &mut self.processes[p];
        let seq = process.held.get(&port).copied();
        let delay = if now < process.slow_until { late } else { ms(2) };
        let matches = |seq: &u32| packet.ack.wrapping_sub(*seq) < 1 << 20;
        let reply = match packet.kind {
            PacketKind::Opening { .. } if now < process.full_until => return,
            PacketKind::Opening { .. } => Reply::Accept(*process.held.entry(port).or_insert(fresh)),
            PacketKind::Closing => {
                process.held.remove(&port);
                return;
            }
            _ if seq.is_none_or(|seq| !matches(&seq)) => Reply::Reset,
            _ => {
                let flow = self.flows.get_mut(&port).expect("a flow");
                flow.open |= flow.accepted.is_some_and(|(owner, _)| owner == p);
                if packet.data_len == 0 {
                    return;
                }
                let nth = (packet.sequence - 1_001) / 100;
                let closes = process.entry.state == limpetdeck::steering::TargetState::Draining;
                Reply::Response { nth, closes }
            }
        };
        let (from, note) = (Sender::Process(p), String::new());
        if let (Reply::Response { .. }, true) = (reply, delay > ms(200)) {
            let reply = Reply::Acknowledge;
            let note = note.clone();
            self.after(ms(2), Happening::ToCaller { port, from, via, reply, token, note });
        }
        self.after(delay, Happening::ToCaller { port, from, via, reply, token, note });
    }

    fn reach_caller(
        &mut self,
        port: u16,
        from: Sender,
        via: usize,
        reply: Reply,
        token: Token,
        note: &str,
    ) {
        let now = self.world.now;
        let Some(flow) = self.flows.get_mut(&port).filter(|flow| !flow.ended) else { return };
        flow.trace.push(format!("{now:?} <- {from:?} via i{via} {reply:?} t={token:08x} {note}"));
        let owner = flow.accepted.map(|(owner, _)| Sender::Process(owner));
        let is_first = owner.is_none() && now < flow.begun + MAX_OPENING;
        if !matches!(reply, Reply::Reset) && (self.echo_any || owner == Some(from) || is_first) {
            flow.token = token;
        }
        match (reply, from) {
            (Reply::Accept(seq), Sender::Process(p)) if is_first => {
                flow.accepted = Some((p, seq));
                let packet = request(port, flow.route, flow.token, 0);
                self.send(&FlowPacket { ack: seq + 1, data_len: 0, ..packet });
                let pause = self.pause();
                self.after(pause, Happening::SendRequest { port, nth: 0, tries: 0 });
            }
            (Reply::Response { nth, closes }, _) if owner == Some(from) && nth == flow.answered => {
                flow.answered += 1;
                let (_, seq) = flow.accepted.expect("accepted");
                let ack = seq + 1 + 1_000 * flow.answered;
                let mut packet = request(port, flow.route, flow.token, flow.answered);
                packet = FlowPacket { ack, data_len: 0, ..packet };
                if closes || now > flow.begun + ms(30_000) {
                    flow.ended = true;
                    packet.kind = PacketKind::Closing;
                }
                let nth = flow.answered;
                self.send(&packet);
                let pause = self.pause();
                self.after(pause, Happening::SendRequest { port, nth, tries: 0 });
            }
            (Reply::Reset, from) => {
                let sender_excused = match from {
                    Sender::Process(p) => now < self.processes[p].disturbed + STABLE_WINDOW,
                    Sender::Instance(_) => false,
                };
                let excused = sender_excused || !self.in_touch(via);
                if owner != Some(from) {
                    self.judge(port, excused, format!("reset by {from:?} via i{via}: {note}"));
                }
                self.flows.get_mut(&port).expect("a flow").ended = true;
            }
            _ => {}
        }
    }

    fn pause(&mut self) -> Duration {
        let longest = *[50, 300, 1_500, 6_000].choose(&mut self.rng).expect("not empty");
        ms(self.rng.random_range(1..longest))
    }

    fn in_touch(&self, i: usize) -> bool {
        self.planned_only || self.world.now >= self.disturbed[i] + STABLE_WINDOW
    }

    /// Judges what has happened to a flow by the rule.
    fn judge(&mut self, port: u16, excused: bool, what: String) {
        let now = self.world.now;
        let flow = self.flows.get_mut(&port).expect("a flow");
        let Some((p, _)) = flow.accepted.filter(|_| flow.open && !flow.ended) else { return };
        let process = &self.processes[p];
        let lives = process.running && process.held.contains_key(&port);
        let undisturbed = now >= process.disturbed + STABLE_WINDOW;
        let core = self.planned_only || now >= self.core_disturbed + STABLE_WINDOW;
        let is_idle = now >= flow.last_packet + IDLE_TIMEOUT;
        if !lives || !undisturbed || !core || excused || flow.dropped || is_idle {
            return;
        }
        flow.ended = true;
        let entry = &process.entry;
        let events = self.events.iter().filter(|(at, _)| now < *at + ms(12_000));
        let events: Vec<_> = events.map(|(at, event)| format!("  {at:?} {event}")).collect();
        let trace = flow.trace.join("\n    ");
        let own = format!("p{p} {:x}/{} at {}", entry.key, entry.incarnation, entry.address);
        let events = events.join("\n");
        self.breaks.push(format!(
            "{now:?} port {} route {}: {what}; own {own}\n{events}\n    {trace}",
            flow.port, flow.route
        ));
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
