//! A small deployment on loopback addresses: the project's instances as processes, and around them
//! the store, the routers, servers and clients.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{Attempt, State};
use crate::server::{FlowId, Seen, Server};
use crate::store::Store;
use crate::wire::{Origin, Packet};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Bounds of the settings, as on the sheets of the small deployments.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
pub const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);
/// Clients' addresses in each zone.
const CLIENT_IPS: u8 = 4;

/// An instance of the project.
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    misses: Arc<AtomicU32>,
    /// When its process was last started, killed, or ended by itself.
    pub disrupted: Duration,
    pub ended_by_itself: bool,
}

/// An opening packet that a server took.
#[derive(Debug, Clone)]
pub struct Opening {
    pub at: Duration,
    pub sent: Duration,
    pub copy: u32,
    pub server: usize,
    pub node: Option<usize>,
    pub flow: FlowId,
}

pub struct World {
    begin: Instant,
    pub a: u8,
    ports: u16,
    directory: PathBuf,
    record: File,
    command: Vec<String>,
    peer_key: String,
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub attempts: Vec<Attempt>,
    pub openings: Vec<Opening>,
    pub runs: Vec<(Duration, usize, String)>,
    /// Requests that clients sent: when, on which attempt, and their ids.
    requests: Vec<(Duration, usize, String)>,
    pub changed_packets: usize,
    client_sockets: Vec<(Ipv4Addr, UdpSocket)>,
    random: u64,
    next_port: u16,
    stop: Arc<AtomicBool>,
}

impl World {
    /// Creates a deployment without instances and servers.
    pub fn new(directory: &Path, record: &Path, store: Arc<Store>) -> Self {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let mut random = (seed ^ u64::from(std::process::id())) | 1;
        let (a, ports) = loop {
            random = next_random(random);
            let (a, ports) =
                (2 + (random >> 16) as u8 % 240, 20_000 + (random >> 32) as u16 % 9_000);
            if Self::is_free(a, ports) {
                break (a, ports);
            }
        };
        let (command, peer_key) = deploy_command();
        let mut client_sockets = Vec::new();
        for zone in 0..ZONES.len() as u8 {
            for n in 1..=CLIENT_IPS {
                let ip = Ipv4Addr::new(127, a, 100 + zone, n);
                let socket = UdpSocket::bind((ip, ports)).expect("a client's address is free");
                socket.set_nonblocking(true).unwrap();
                client_sockets.push((ip, socket));
            }
        }
        let record = File::options().create(true).append(true).open(record);
        let record = record.expect("the record can be written");
        let world = Self {
            begin: Instant::now(),
            a,
            ports,
            directory: directory.to_owned(),
            record,
            command,
            peer_key,
            store,
            nodes: Vec::new(),
            servers: Vec::new(),
            attempts: Vec::new(),
            openings: Vec::new(),
            runs: Vec::new(),
            requests: Vec::new(),
            changed_packets: 0,
            client_sockets,
            random,
            next_port: 40_000,
            stop: Arc::new(AtomicBool::new(false)),
        };
        world.store.serve(world.store_address());
        world
    }

    fn is_free(a: u8, ports: u16) -> bool {
        let udp = |port| UdpSocket::bind((Ipv4Addr::new(127, a, 1, 1), port)).is_ok();
        let tcp = |port| TcpListener::bind((Ipv4Addr::new(127, a, 1, 1), port)).is_ok();
        udp(ports)
            && udp(ports + 10)
            && tcp(ports + 1)
            && tcp(ports + 30)
            && tcp(ports + 40)
            && tcp(9_464)
    }

    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.a, 250, 1), self.ports + 40))
    }

    /// Returns the address of a route: a loopback address that nobody listens at.
    pub fn route(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.a, 240, n), 443)
    }

    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    pub fn random(&mut self) -> u64 {
        self.random = next_random(self.random);
        self.random >> 11
    }

    pub fn note(&mut self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.record, "{at:9.3} {text}");
    }

    /// Adds a server, starts it and registers it.
    pub fn add_server(&mut self, service: &str, zone: usize) -> usize {
        let n = self.servers.len() as u8 + 1;
        let address = SocketAddrV4::new(Ipv4Addr::new(127, self.a, 200, n), self.ports + 30);
        let id = (self.random() & 0xffff_ff00) | u64::from(n);
        let mut server = Server::new(id, service, ZONES[zone], address, self.ports);
        server.start();
        self.store.write("servers", &server.name, server.entry());
        self.servers.push(server);
        self.servers.len() - 1
    }

    /// Starts the instances, `per_zone` in each zone.
    pub fn start_nodes(&mut self, per_zone: u8) {
        let ips: Vec<_> = (0..ZONES.len() as u8)
            .flat_map(|zone| (1..=per_zone).map(move |n| (zone, n)))
            .collect();
        let seeds = ips.iter().filter(|(_, n)| *n == 1).map(|(zone, n)| {
            format!("\"{}:{}\"", Ipv4Addr::new(127, self.a, zone + 1, *n), self.ports + 2)
        });
        let seeds = seeds.collect::<Vec<_>>().join(",");
        for (zone, n) in ips {
            let ip = Ipv4Addr::new(127, self.a, zone + 1, n);
            let name = format!("edge-{}-{n}", ZONES[usize::from(zone)]);
            let settings = self.directory.join(format!("{name}.toml"));
            let text = self.settings(&name, usize::from(zone), ip, &seeds, self.store_address());
            std::fs::write(&settings, text).expect("the settings can be written");
            let misses = Arc::new(AtomicU32::new(2));
            poll_ready(SocketAddr::from((ip, self.ports + 1)), &misses, &self.stop);
            self.nodes.push(Node {
                name: name.clone(),
                zone: usize::from(zone),
                ip,
                settings,
                log: self.directory.join(format!("{name}.log")),
                child: None,
                misses,
                disrupted: Duration::ZERO,
                ended_by_itself: false,
            });
            self.start_node(self.nodes.len() - 1);
        }
    }

    fn settings(
        &self,
        name: &str,
        zone: usize,
        ip: Ipv4Addr,
        seeds: &str,
        store: SocketAddr,
    ) -> String {
        let p = self.ports;
        let (internal, last) = (p + 10, p + 25);
        let (ready, control) = (p + 1, p + 2);
        let zones: String = ZONES.iter().map(|z| format!("{z} = \"region\"\n")).collect();
        let zone = ZONES[zone];
        format!(
            r#"NodeName = "{name}"
Role = "node"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "region"
InternalPortRange = [{internal},{last}]
SeedNodes = [{seeds}]
Bootstrap = true
FaultCounted = false
Discovery = "platform"
EntryKind = "announcement"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","flows","platform"]
FlowHash = "steady"
ForwardingMode = "echo"
[Zones]
{zones}[ListenAddrs]
DatagramAddr = "{ip}:{p}"
Ready = "{ip}:{ready}"
ControlPlane = "{ip}:{control}"
[Limits]
CpuQuota = 0.17
CpuCores = 1
MemoryMb = 182
MaxFds = 2870
LinkMbps = 700.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StableWindowMs = 4000
AckTimeoutMs = 5000
CatchUpS = 4
DrainTimeoutMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
DowngradeSlackMs = 250
MaxStretchMs = 12000
RecoveryS = 12
FlowMs = 2000
FlowMaxS = 60
[platform]
Address = "{store}"
ForwardingMode = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#
        )
    }

    /// Starts an instance with the command of the deploy file.
    pub fn start_node(&mut self, i: usize) {
        let now = self.now();
        let node = &mut self.nodes[i];
        let log = File::options().create(true).append(true).open(&node.log).unwrap();
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("PEER_KEY", &self.peer_key).env("LIMPETDECK_SETTINGS", &node.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        node.child = Some(command.spawn().expect("the program of the deploy file starts"));
        node.disrupted = now;
    }

    /// Kills the process of an instance (SIGKILL).
    pub fn kill_node(&mut self, i: usize) {
        let now = self.now();
        if let Some(mut child) = self.nodes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.nodes[i].disrupted = now;
    }

    /// Sends a signal to the process of an instance.
    pub fn signal_node(&mut self, i: usize, signal: &str) {
        let now = self.now();
        if let Some(child) = &self.nodes[i].child {
            let pid = child.id().to_string();
            let _ = Command::new("sh").args(["-c", &format!("kill -s {signal} {pid}")]).status();
        }
        self.nodes[i].disrupted = now;
    }

    /// Returns whether an instance is in touch: its process ran undisturbed for `StableWindowMs`.
    pub fn in_touch(&self, node: usize, at: Duration) -> bool {
        let node = &self.nodes[node];
        node.child.is_some() && at >= node.disrupted + STABLE_WINDOW
    }

    pub fn is_in_rotation(&self, i: usize) -> bool {
        self.nodes[i].misses.load(Ordering::Relaxed) < 2
    }

    pub fn all_ready(&self) -> bool {
        (0..self.nodes.len()).all(|i| self.is_in_rotation(i))
    }

    /// Returns the instance to which the routers send a flow's packets now.
    pub fn router(&self, zone: usize, flow: FlowId) -> usize {
        let all: Vec<_> = (0..self.nodes.len()).collect();
        let of_zone: Vec<_> = all.iter().copied().filter(|&i| self.nodes[i].zone == zone).collect();
        let ready: Vec<_> = of_zone.iter().copied().filter(|&i| self.is_in_rotation(i)).collect();
        let elsewhere: Vec<_> = all.iter().copied().filter(|&i| self.is_in_rotation(i)).collect();
        let candidates = match () {
            () if ready.is_empty() && !elsewhere.is_empty() => elsewhere,
            () if ready.len() * 2 < of_zone.len() => of_zone,
            () => ready,
        };
        let hash = |i: usize| {
            let (from, to) = flow;
            let key = (u64::from(u32::from(*from.ip())) << 16) | u64::from(from.port());
            let other = (u64::from(u32::from(*to.ip())) << 16) | u64::from(to.port());
            next_random(next_random(key ^ (i as u64) << 52) ^ other)
        };
        candidates.into_iter().max_by_key(|&i| hash(i)).unwrap_or(0)
    }

    /// Opens a flow of a client of a zone.
    pub fn open(&mut self, zone: usize, to: SocketAddrV4) -> usize {
        let ip = Ipv4Addr::new(
            127,
            self.a,
            100 + zone as u8,
            1 + (self.random() % u64::from(CLIENT_IPS)) as u8,
        );
        self.next_port = if self.next_port >= 65_000 { 40_000 } else { self.next_port + 1 };
        let from = SocketAddrV4::new(ip, self.next_port);
        let seq = self.random() as u32;
        let attempt = Attempt::new(self.now(), zone, from, to, seq);
        let opening = attempt.opening(0);
        self.attempts.push(attempt);
        self.send(zone, &opening);
        self.attempts.len() - 1
    }

    /// Sends a request on an open flow.
    pub fn request(&mut self, i: usize, method: &str, deadline: Duration) -> String {
        let now = self.now();
        let id = format!("{:012x}", self.random() & 0xffff_ffff_ffff);
        let zone = self.attempts[i].zone;
        let packet = self.attempts[i].request(now, &id, method, deadline);
        self.send(zone, &packet);
        self.requests.push((now, i, id.clone()));
        id
    }

    /// Returns whether a server has begun to run a request of a flow.
    pub fn was_run(&self, flow: FlowId, server: usize) -> bool {
        self.requests
            .iter()
            .filter(|(_, i, _)| self.attempts[*i].id == flow)
            .any(|(_, _, id)| self.runs.iter().any(|(_, at, run)| *at == server && run == id))
    }

    /// Writes into the record what each client attempt sent, which servers took it, and its end.
    pub fn note_attempts(&mut self) {
        let mut text = String::new();
        for (i, attempt) in self.attempts.iter().enumerate() {
            let (from, to) = attempt.id;
            let began = attempt.began.as_secs_f64();
            text += &format!("flow {from} to {to}: opened by its client at {began:.3}");
            for opening in self.openings.iter().filter(|opening| opening.flow == attempt.id) {
                let server = &self.servers[opening.server];
                let node = opening.node.map_or("?", |node| self.nodes[node].name.as_str());
                let at = opening.at.as_secs_f64();
                let copy = opening.copy;
                text += &format!(
                    "; {} ({}) took packet {copy} through {node} at {at:.3}",
                    server.name, server.service
                );
            }
            for (at, _, id) in self.requests.iter().filter(|(_, of, _)| *of == i) {
                text += &format!("; request {id} sent at {:.3}", at.as_secs_f64());
                for (at, server, _) in self.runs.iter().filter(|(_, _, run)| run == id) {
                    let name = &self.servers[*server].name;
                    text += &format!(", run by {name} at {:.3}", at.as_secs_f64());
                }
            }
            let Attempt { answered, foreign, state, .. } = attempt;
            text += &format!("; {answered} answered, {foreign} foreign answers, {state:?}\n");
        }
        let _ = self.record.write_all(text.as_bytes());
    }

    /// Closes an open flow from its client's side.
    pub fn close(&mut self, i: usize) {
        let now = self.now();
        let zone = self.attempts[i].zone;
        let packet = self.attempts[i].close(now);
        self.send(zone, &packet);
    }

    fn send(&mut self, zone: usize, packet: &Packet) {
        let node = self.router(zone, (packet.src, packet.dst));
        let to = SocketAddr::from((self.nodes[node].ip, self.ports));
        let socket = self.client_sockets.iter().find(|(ip, _)| ip == packet.src.ip());
        if let Some((_, socket)) = socket {
            let _ = socket.send_to(&packet.encode(), to);
        }
    }

    /// Returns the instance with a packet address.
    fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| address == SocketAddr::from((node.ip, self.ports)))
    }

    /// Lets the deployment run for a moment.
    pub fn step(&mut self) {
        let now = self.now();
        for i in 0..self.nodes.len() {
            let ended =
                self.nodes[i].child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))));
            if ended {
                self.nodes[i].child = None;
                self.nodes[i].ended_by_itself = true;
                self.nodes[i].disrupted = now;
                self.note(&format!("{} ended by itself", self.nodes[i].name.clone()));
            }
        }
        for i in 0..self.servers.len() {
            for seen in self.servers[i].tick(now) {
                self.record_seen(now, i, seen);
            }
        }
        let mut arrived = Vec::new();
        for (_, socket) in &self.client_sockets {
            let mut buf = [0; 2_048];
            while let Ok((len, _)) = socket.recv_from(&mut buf) {
                arrived.extend(Packet::decode(&buf[..len]));
            }
        }
        let mut out = Vec::new();
        for (packet, origin) in arrived {
            if origin == Origin::Changed {
                self.changed_packets += 1;
                continue;
            }
            let id = (packet.dst, packet.src);
            let attempt = self.attempts.iter_mut().rev().find(|attempt| attempt.id == id);
            if let Some(attempt) = attempt {
                let zone = attempt.zone;
                out.extend(attempt.receive(now, &packet, origin).into_iter().map(|p| (zone, p)));
            }
        }
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.is_live()) {
            let zone = attempt.zone;
            out.extend(attempt.tick(now).into_iter().map(|packet| (zone, packet)));
        }
        for (zone, packet) in out {
            self.send(zone, &packet);
        }
        thread::sleep(Duration::from_micros(400));
    }

    fn record_seen(&mut self, now: Duration, server: usize, seen: Seen) {
        match seen {
            Seen::Opening { flow, copy, node } => {
                let began = self.attempts.iter().rev().find(|a| a.id == flow).map(|a| a.began);
                let age = [0, 200, 600].get(copy as usize).copied().unwrap_or(600);
                let sent = began.unwrap_or(now) + Duration::from_millis(age);
                let node = self.node_at(node);
                self.openings.push(Opening { at: now, sent, copy, server, node, flow });
            }
            Seen::Opened => {}
            Seen::Run { id } => self.runs.push((now, server, id)),
            Seen::Changed { node } => {
                self.changed_packets += 1;
                self.note(&format!("a packet was changed on its way through {node}"));
            }
        }
    }

    pub fn run_until(&mut self, until: Duration) {
        while self.now() < until {
            self.step();
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now() + time);
    }

    /// Opens flows and sends a request on each once it is open. Returns those that were answered.
    pub fn open_and_use(&mut self, flows: &[usize], method: &str, within: Duration) -> Vec<usize> {
        let until = self.now() + within;
        let mut waiting: Vec<_> = flows.to_vec();
        while self.now() < until {
            self.step();
            let open: Vec<_> = waiting
                .iter()
                .copied()
                .filter(|&i| self.attempts[i].state == State::Open)
                .collect();
            waiting.retain(|i| !open.contains(i));
            for i in open {
                self.request(i, method, Duration::from_millis(2_500));
            }
        }
        flows.iter().copied().filter(|&i| self.attempts[i].answered > 0).collect()
    }

    /// Returns the server that holds an open flow.
    pub fn holder(&self, flow: FlowId) -> Option<usize> {
        self.servers.iter().position(|server| server.is_running() && server.holds(flow))
    }

    /// Returns the number of lines with a text in the logs of an instance.
    pub fn log_lines(&self, node: usize, text: &str) -> usize {
        let log = std::fs::read_to_string(&self.nodes[node].log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Asks for the readiness of an instance twice a second, as the routers do.
fn poll_ready(address: SocketAddr, misses: &Arc<AtomicU32>, stop: &Arc<AtomicBool>) {
    let (misses, stop) = (Arc::clone(misses), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let begin = Instant::now();
            if is_ready(address).unwrap_or(false) {
                misses.store(0, Ordering::Relaxed);
            } else {
                misses.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(500).saturating_sub(begin.elapsed()));
        }
    });
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let limit = Duration::from_millis(400);
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream
        .write_all(b"GET /limpetdeck/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(&head == b"HTTP/1.1 200")
}

/// Returns the command and the key of the deploy file.
fn deploy_command() -> (Vec<String>, String) {
    let text = std::fs::read_to_string("deploy/system.toml").expect("run in the repository");
    let quoted = |line: &str, key: &str| {
        let rest = line.split_once(key)?.1;
        let rest = rest.trim_start().strip_prefix('=')?.trim_start().strip_prefix('"')?;
        Some(rest.split('"').next()?.to_owned())
    };
    let find = |key: &str| {
        text.lines().filter(|line| !line.starts_with('#')).find_map(|line| quoted(line, key))
    };
    let run = find("run").expect("the deploy file has a command");
    let key = find("PEER_KEY").expect("the deploy file has a key");
    (run.split(' ').map(str::to_owned).collect(), key)
}

fn next_random(state: u64) -> u64 {
    let mut x = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
