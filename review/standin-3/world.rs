//! The platform around the nodes: settings, processes, readiness checks, and the operator.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::Client;
use crate::journal::{Journal, Route};
use crate::server::{Identity, MAX_FLOWS, Server};
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_464;
/// Time between two readiness checks, and their time limit.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_LIMIT: Duration = Duration::from_millis(400);

/// Ports that are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// One machine with its process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub ip: Ipv4Addr,
    child: Mutex<Option<Child>>,
    pub in_rotation: AtomicBool,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // The process was started by this script and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

/// The whole deployment.
pub struct World {
    pub journal: Journal,
    pub store: Store,
    pub nodes: Arc<Vec<Node>>,
    pub servers: Vec<Server>,
    pub client: Client,
    pub ports: Ports,
    pub zones: Vec<String>,
    net: (u8, u8),
    root: PathBuf,
    dir: PathBuf,
    next_host: u8,
    version: u64,
    pub routes: Vec<(Route, String)>,
    pub timeout_ms: u64,
}

impl World {
    /// Starts store, servers and nodes; `counts` are the nodes and servers of each zone.
    pub fn start(
        root: &Path,
        counts: &[usize],
        services: &[(&str, &[usize])],
    ) -> std::io::Result<Self> {
        let journal = Journal::new();
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let seed = stamp ^ (u64::from(std::process::id()) << 40);
        let draw = |n: u64| {
            let mixed = (seed ^ n << 56).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (mixed ^ mixed >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
        };
        let net = (20 + (draw(3) % 180) as u8, 1 + (draw(5) % 250) as u8);
        let first = Ipv4Addr::new(127, net.0, net.1, 10);
        let ports = free_ports(first, draw(11));
        let dir = std::env::temp_dir().join(format!("limpetdeck-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let zones: Vec<_> =
            (0..counts.len()).map(|z| format!("zone-{}", (b'a' + z as u8) as char)).collect();
        let store_at = SocketAddrV4::new(Ipv4Addr::new(127, net.0, net.1, 2), ports.control + 1);
        let store = Store::start(store_at)?;
        let client =
            Client::start(Ipv4Addr::new(127, net.0, net.1, 3), ports.datagram, journal.clone())?;
        let mut world = Self {
            journal,
            store,
            nodes: Arc::default(),
            servers: Vec::new(),
            client,
            ports,
            zones,
            net,
            root: root.to_owned(),
            dir,
            next_host: 100,
            version: 10,
            routes: Vec::new(),
            timeout_ms: 2_000,
        };
        for (service, counts) in services {
            for (zone, &count) in counts.iter().enumerate() {
                for _ in 0..count {
                    world.add_server(service, zone)?;
                }
            }
        }
        let mut nodes = Vec::new();
        let mut host = 10;
        for (zone, &count) in counts.iter().enumerate() {
            for _ in 0..count {
                let ip = Ipv4Addr::new(127, net.0, net.1, host);
                host += 1;
                let name = format!("edge-{}-{}", world.zones[zone], host);
                let settings = world.dir.join(format!("{name}.toml"));
                let log = world.dir.join(format!("{name}.log"));
                nodes.push(Node {
                    name,
                    zone,
                    ip,
                    child: Mutex::new(None),
                    in_rotation: AtomicBool::new(false),
                    settings,
                    log,
                });
            }
        }
        world.nodes = Arc::new(nodes);
        Ok(world)
    }

    /// Adds a server and registers it.
    pub fn add_server(&mut self, service: &str, zone: usize) -> std::io::Result<usize> {
        let host = self.next_host;
        self.next_host += 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let key = 0x76e7_7ecb_a1u64.wrapping_mul(u64::from(host) * 2 + 1) & 0xff_ffff_ffff;
        let identity = Identity {
            key,
            service: service.to_owned(),
            zone: self.zones[zone].clone(),
            address: SocketAddrV4::new(
                Ipv4Addr::new(127, self.net.0, self.net.1, host),
                self.ports.control + 2,
            ),
            born,
        };
        let server = Server::start(identity, self.ports.datagram, self.journal.clone())?;
        self.store.put("servers", &server.identity.name(), &server.identity.entry("ready"));
        self.journal.note(format!(
            "server {} of {service} in {}",
            server.identity.name(),
            self.zones[zone]
        ));
        self.servers.push(server);
        Ok(self.servers.len() - 1)
    }

    /// Writes the configuration in full. Returns when it was acknowledged.
    pub fn configure(&mut self) -> Instant {
        self.version += 3;
        let routes = self.routes.iter().map(|(route, service)| {
            format!(
                "{{\"Name\":\"r-{service}-{}-{}\",\"Hostname\":\"{}\",\"PathPrefix\":\"/{}/\",\"RouteType\":\"safe\",\"TimeoutMs\":{},\"TargetLatencyMs\":200,\"Priority\":2,\"Service\":\"{service}\",\"Attempts\":2}}",
                route.0.octets()[3], route.1, route.0, route.1, self.timeout_ms
            )
        });
        let routes: Vec<_> = routes.collect();
        let mut services: Vec<&str> =
            self.servers.iter().map(|s| s.identity.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<_> = services.iter().map(|name| {
            format!("{{\"Name\":\"{name}\",\"HealthCheck\":\"/healthz\",\"MaxFlows\":{},\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":2.0,\"WarmupPerS\":0.0}}", MAX_FLOWS)
        }).collect();
        let spec = format!(
            "{{\"Version\":{},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":12000}}}}",
            self.version,
            routes.join(","),
            services.join(",")
        );
        let at = self.store.put("config", "main", &spec);
        self.journal.note(format!("config {} acknowledged, {} routes", self.version, routes.len()));
        at
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Starts the process of a node, as the deploy file says.
    pub fn start_node(&self, index: usize) -> std::io::Result<()> {
        let node = &self.nodes[index];
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let quoted = |key: &str| {
            let (_, rest) = deploy.split_once(key)?;
            rest.split('"').nth(1).map(str::to_owned)
        };
        let run =
            quoted("\nrun = ").ok_or_else(|| std::io::Error::other("no run in the deploy file"))?;
        let peer_key = quoted("PEER_KEY = ").unwrap_or_default();
        fs::write(&node.settings, self.settings(node))?;
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(program)
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LIMPETDECK_SETTINGS", &node.settings)
            .env("PEER_KEY", peer_key)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.journal.note(format!("start {} ({})", node.name, node.ip));
        *node.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn settings(&self, node: &Node) -> String {
        let Ports { datagram, ready, control, internal } = self.ports;
        let (ip, last) = (node.ip, internal + 15);
        let mut firsts = Vec::new();
        for zone in 0..self.zones.len() {
            firsts.extend(
                self.nodes
                    .iter()
                    .find(|n| n.zone == zone)
                    .map(|n| format!("\"{}:{control}\"", n.ip)),
            );
        }
        let seeds = firsts[..firsts.len().min(3)].join(",");
        let zones: Vec<_> =
            self.zones.iter().map(|zone| format!("{zone} = \"region-1\"")).collect();
        format!(
            "NodeName = \"{name}\"\nRole = \"node\"\nMachineClass = \"edge\"\nServes = [\"edge\",\"control\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"region-1\"\nInternalPortRange = [{internal},{last}]\nSeedNodes = [{seeds}]\nBootstrap = true\nFaultCounted = false\nDiscovery = \"platform\"\nEntryKind = \"announcement\"\nHeartbeatMs = 770\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\nFlowHash = \"steady\"\nForwardingMode = \"echo\"\n[Zones]\n{zones}\n[ListenAddrs]\nDatagramAddr = \"{ip}:{datagram}\"\nReady = \"{ip}:{ready}\"\nControlPlane = \"{ip}:{control}\"\n[Limits]\nCpuQuota = 0.17\nCpuCores = 1\nMemoryMb = 182\nMaxFds = 2870\nLinkMbps = 700.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 4000\nAckTimeoutMs = 5000\nCatchUpS = 4\nDrainTimeoutMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\nDowngradeSlackMs = 250\nMaxStretchMs = 12000\nRecoveryS = 12\nFlowMs = 2000\nFlowMaxS = 60\n[platform]\nAddress = \"{store}:{store_port}\"\nForwardingMode = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            name = node.name,
            zone = self.zones[node.zone],
            zones = zones.join("\n"),
            store = Ipv4Addr::new(127, self.net.0, self.net.1, 2),
            store_port = control + 1,
        )
    }

    /// Starts the readiness checks of the routers.
    pub fn start_checks(&self) {
        for index in 0..self.nodes.len() {
            let (nodes, port, journal) =
                (Arc::clone(&self.nodes), self.ports.ready, self.journal.clone());
            thread::spawn(move || {
                let node = &nodes[index];
                let mut misses = 0;
                loop {
                    let next = Instant::now() + CHECK_INTERVAL;
                    let is_ready = check(SocketAddrV4::new(node.ip, port)).unwrap_or(false);
                    misses = if is_ready { 0 } else { misses + 1 };
                    let was = node.in_rotation.load(Ordering::Relaxed);
                    let is = is_ready || (was && misses < 2);
                    if is != was {
                        journal.note(format!(
                            "{} is {} rotation",
                            node.name,
                            if is { "in" } else { "out of" }
                        ));
                    }
                    node.in_rotation.store(is, Ordering::Relaxed);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
    }

    /// Waits until all nodes are in rotation.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter().all(|node| node.in_rotation.load(Ordering::Relaxed)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        for node in self.nodes.iter().filter(|node| !node.in_rotation.load(Ordering::Relaxed)) {
            let log = fs::read_to_string(&node.log).unwrap_or_default();
            let last = log.lines().last().unwrap_or_default().to_owned();
            self.journal.note(format!(
                "{} is not ready, ended: {}; {last}",
                node.name,
                node.ended()
            ));
        }
        false
    }

    pub fn datagram_address(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node].ip, self.ports.datagram)
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        for node in self.nodes.iter() {
            node.signal(SIGCONT);
            node.signal(SIGKILL);
            if let Some(mut child) = node.child.lock().unwrap().take() {
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns the nodes of a zone that get packets: those in rotation, all if these are fewer than half,
/// and those in rotation of the other zones if there is none.
fn used(nodes: &[Node], zone: usize) -> Vec<usize> {
    let of_zone: Vec<_> = (0..nodes.len()).filter(|&i| nodes[i].zone == zone).collect();
    let is_in = |&i: &usize| nodes[i].in_rotation.load(Ordering::Relaxed);
    let ready: Vec<_> = of_zone.iter().copied().filter(is_in).collect();
    match ready.len() {
        0 => (0..nodes.len()).filter(|i| is_in(i)).collect(),
        n if n * 2 < of_zone.len() => of_zone,
        _ => ready,
    }
}

/// Returns the node of a zone that gets a flow: the same one as long as the nodes that are used stay the same,
/// and as few others as possible when they change.
pub fn route_by_hash(nodes: &[Node], zone: usize, flow: u64) -> usize {
    let weight = |node: usize| {
        let mixed = (flow ^ (node as u64) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    };
    used(nodes, zone).into_iter().max_by_key(|&node| weight(node)).unwrap_or(0)
}

fn check(address: SocketAddrV4) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address.into(), CHECK_LIMIT)?;
    stream.set_read_timeout(Some(CHECK_LIMIT))?;
    stream
        .write_all(b"GET /limpetdeck/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
    let mut buf = [0; 64];
    let n = stream.read(&mut buf)?;
    Ok(buf[..n].starts_with(b"HTTP/1.1 200"))
}

/// Draws ports until those of a first machine are free.
fn free_ports(ip: Ipv4Addr, seed: u64) -> Ports {
    for i in 0..50 {
        let base = 20_000 + ((seed + i * 613) % 20_000) as u16;
        let ports =
            Ports { datagram: base, ready: base + 1, control: base + 2, internal: base + 10 };
        let is_free = |port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok();
        if is_free(ports.ready) && is_free(METRICS_PORT) {
            return ports;
        }
    }
    Ports { datagram: 41_000, ready: 41_001, control: 41_002, internal: 41_010 }
}
