//! Targets with slots and queues, and callers that retry, for replays of overload in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::flow::FlowKey;
use limpetdeck::instance::Event;
use limpetdeck::steering::{FlowPacket, PacketKind, RawRoutes, RequestClass, Target, Token};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::support::*;
use super::world::*;

pub const SLOTS: u32 = 240;
const QUEUE: usize = 8;
const ATTEMPTS: u16 = 3;

/// Requests of one route: the classes of the returns co-operative.
pub struct Class {
    pub per_s: f64,
    pub work_ms: f64,
    pub latency_target: Duration,
}

pub const CLASSES: [Class; 2] = [
    Class { per_s: 325.0, work_ms: 72.0, latency_target: Duration::from_millis(600) },
    Class { per_s: 1_024.0, work_ms: 55.0, latency_target: Duration::from_millis(500) },
];

/// How openings are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    ByPriority,
    /// As on routes without classes of different priority.
    Always,
    /// At random, as many as the slots serve.
    AtRandom,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Pending,
    InTime,
    Late,
    Failed,
}

pub struct Request {
    pub class: usize,
    pub begin: Duration,
    pub work: Duration,
    pub end: Duration,
    pub outcome: Outcome,
    pub refusals: u32,
    pub held: bool,
    pub attempt: u16,
    pub instance: usize,
    token: Token,
}

#[derive(Default)]
struct Server {
    busy: u32,
    queue: VecDeque<usize>,
}

enum Step {
    Arrive(usize),
    Attempt(usize),
    Done(usize, u64),
}

pub struct Overload {
    pub world: World,
    pub requests: Vec<Request>,
    /// Requests that the targets refused.
    pub shed: usize,
    /// Part of the callers in the failure domain of the first instance, which has half of the slots.
    pub local_share: f64,
    admission: Admission,
    /// Load of each class, as a multiple of the normal one.
    factors: [f64; 2],
    servers: BTreeMap<u64, Server>,
    steps: BTreeMap<(Duration, u64), Step>,
    count: u64,
    rng: SmallRng,
}

impl Overload {
    /// Starts instances and waits until they know each other.
    pub fn new(instances: usize, admission: Admission, seed: u64) -> Self {
        let mut world = World::new(instances);
        let mut raw = RawRoutes { version: 2, ..routes(2, &[STATION, STATION]) };
        raw.latency_targets_ms =
            CLASSES.iter().map(|class| class.latency_target.as_millis() as u64).collect();
        if admission == Admission::ByPriority {
            let class =
                |timeout_ms, priority| RequestClass { timeout_ms, priority, repeatable: false };
            raw.classes = vec![class(3_000, 0), class(2_500, 1)];
        }
        world.store.put_routes(&raw);
        for key in 1..=u64::from(SLOTS) / 2 {
            let domain = if key % 2 == 0 { LOCAL } else { REMOTE }.to_owned();
            world.store.put_target(&Target {
                slots: 2,
                failure_domain: domain,
                ..target(key, STATION)
            });
        }
        world.run(Duration::from_secs(6));
        world.run_until(Duration::from_secs(90), |node| {
            node.membership().live_count() * 20 >= instances * 19
                && node.forwarder().targets.len() == 120
        });
        let servers = (1..=u64::from(SLOTS) / 2).map(|key| (key, Server::default())).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let mut model = Self {
            world,
            requests: Vec::new(),
            shed: 0,
            local_share: 0.5,
            admission,
            factors: [1.0; 2],
            servers,
            steps: BTreeMap::new(),
            count: 0,
            rng,
        };
        (0..CLASSES.len()).for_each(|class| model.plan(model.world.now, Step::Arrive(class)));
        model
    }

    /// Runs with a multiple of the normal load of each class; the duration is a multiple of a tick.
    /// Returns when that began.
    pub fn run(&mut self, duration: Duration, factors: [f64; 2]) -> Duration {
        self.factors = factors;
        let begin = self.world.now;
        let end = self.world.now + duration;
        while self.world.now < end {
            let tick = self.world.now;
            while let Some(entry) = self.steps.first_entry().filter(|e| e.key().0 < tick + TICK) {
                let ((at, _), step) = entry.remove_entry();
                self.world.now = at;
                self.step(step);
            }
            self.world.now = tick;
            self.world.run(TICK);
            (0..self.world.nodes.len()).for_each(|i| self.read_datagrams(i));
        }
        begin
    }

    /// Returns the requests that began within a time.
    pub fn begun(&self, from: Duration, time: Duration) -> impl Iterator<Item = &Request> {
        self.requests.iter().filter(move |r| r.begin >= from && r.begin < from + time)
    }

    fn plan(&mut self, at: Duration, step: Step) {
        self.count += 1;
        self.steps.insert((at, self.count), step);
    }

    fn step(&mut self, step: Step) {
        let now = self.world.now;
        match step {
            Step::Arrive(class) => {
                let Class { per_s, work_ms, .. } = CLASSES[class];
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / (per_s * self.factors[class]);
                self.plan(now + Duration::from_secs_f64(gap), Step::Arrive(class));
                let work = Duration::from_secs_f64(work_ms / 1e3 * self.rng.random_range(0.5..1.5));
                self.requests.push(Request {
                    class,
                    begin: now,
                    work,
                    end: now,
                    outcome: Outcome::Pending,
                    refusals: 0,
                    held: false,
                    attempt: 0,
                    instance: 0,
                    token: 0,
                });
                self.step(Step::Attempt(self.requests.len() - 1));
            }
            Step::Attempt(n) => {
                // The targets serve three times the normal load.
                if self.admission == Admission::AtRandom
                    && self.rng.random_range(0.0..self.factors[0].max(3.0)) > 3.0
                {
                    return self.end_attempt(n);
                }
                // Instances with even numbers are in the same failure domain.
                let pair = self.rng.random_range(0..self.world.nodes.len() / 2);
                let i = 2 * pair + usize::from(!self.rng.random_bool(self.local_share));
                self.requests[n].instance = i;
                let before = self.requests[n].attempt;
                self.send(n, PacketKind::Opening { repeats: 0 });
                let request = &mut self.requests[n];
                request.held |= request.token == 0 && request.attempt == before;
            }
            Step::Done(n, key) => {
                self.answer(n);
                let request = &mut self.requests[n];
                request.end = now;
                let in_time = now - request.begin <= CLASSES[request.class].latency_target;
                request.outcome = if in_time { Outcome::InTime } else { Outcome::Late };
                let server = self.servers.get_mut(&key).expect("a target");
                server.busy -= 1;
                if let Some(next) = server.queue.pop_front() {
                    self.begin(next, key);
                }
            }
        }
    }

    fn packet(&self, n: usize, kind: PacketKind) -> FlowPacket {
        let Request { class, attempt, token, .. } = self.requests[n];
        let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + n as u32);
        let caller = SocketAddrV4::new(ip, 1_000 + attempt);
        let service = address(class as u8 + 1);
        FlowPacket { flow: FlowKey { caller, service }, kind, ..request(1, 1, token, 0) }
    }

    fn send(&mut self, n: usize, kind: PacketKind) {
        let i = self.requests[n].instance;
        let packet = self.packet(n, kind);
        self.world.handle(i, Event::Packet(text(&packet)));
        self.read_datagrams(i);
    }

    fn read_datagrams(&mut self, i: usize) {
        for (to, buf) in std::mem::take(&mut self.world.datagrams[i]) {
            let text = String::from_utf8(buf).expect("text");
            let caller = text.split(['>', ' ']).nth(1).and_then(|caller| caller.parse().ok());
            let caller: SocketAddrV4 =
                caller.unwrap_or_else(|| to.to_string().parse().expect("IPv4"));
            let n = (u32::from(*caller.ip()) - u32::from(Ipv4Addr::new(100, 64, 0, 0))) as usize;
            if caller.port() != 1_000 + self.requests[n].attempt {
                continue;
            }
            if text == "reset" {
                self.requests[n].refusals += 1;
                self.end_attempt(n);
            } else if text.split(' ').nth(2) == Some("1") {
                let key = text.split('>').next().map(|key| u64::from_str_radix(key, 16));
                let token = text.rsplit(' ').next().map(str::parse);
                self.requests[n].token = token.expect("a token").expect("a number");
                self.arrive(n, key.expect("a key").expect("a number"));
            }
        }
    }

    /// A request reaches a target.
    fn arrive(&mut self, n: usize, key: u64) {
        self.send(n, PacketKind::Within);
        let server = self.servers.get_mut(&key).expect("a target");
        if server.busy < 2 {
            self.begin(n, key);
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(n);
        } else {
            self.shed += 1;
            self.answer(n);
            self.end_attempt(n);
        }
    }

    fn begin(&mut self, n: usize, key: u64) {
        self.servers.get_mut(&key).expect("a target").busy += 1;
        self.plan(self.world.now + self.requests[n].work, Step::Done(n, key));
    }

    /// The caller gets an answer and closes the flow.
    fn answer(&mut self, n: usize) {
        let ack = FlowPacket { ack: 6_000, data_len: 0, ..self.packet(n, PacketKind::Within) };
        self.world.handle(self.requests[n].instance, Event::Packet(text(&ack)));
        self.send(n, PacketKind::Closing);
    }

    fn end_attempt(&mut self, n: usize) {
        let now = self.world.now;
        let request = &mut self.requests[n];
        request.attempt += 1;
        request.token = 0;
        if request.attempt < ATTEMPTS {
            self.plan(now + ms(1), Step::Attempt(n));
        } else {
            request.end = now;
            request.outcome = Outcome::Failed;
        }
    }
}
