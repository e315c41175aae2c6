//! Stand-ins for the platform's store, routers, servers and clients of a small deployment, on
//! loopback addresses and the real clock. Standard library only.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ports of a run, the same on all addresses; free ones, but for the metrics port of the deploy file.
#[derive(Clone, Copy)]
struct Ports {
    datagram: u16,
    ready: u16,
    control: u16,
    store: u16,
    server: u16,
    /// First of the 16 ports between instances.
    internal: u16,
}

static PORTS: OnceLock<Ports> = OnceLock::new();

fn ports() -> Ports {
    *PORTS.get_or_init(|| {
        let is_free = |port: u16| {
            TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok()
                && UdpSocket::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok()
        };
        // Below the ports that the system gives to outgoing connections.
        let first = 20_000 + (std::process::id() % 100) as u16 * 32;
        let base = (first..32_000).step_by(32).find(|&base| (base..base + 21).all(is_free));
        let base = base.unwrap_or(first);
        Ports {
            datagram: base,
            ready: base + 1,
            control: base + 2,
            store: base + 3,
            server: base + 4,
            internal: base + 5,
        }
    })
}

pub const ZONES: [&str; 3] = ["gt-centro-a", "gt-centro-b", "gt-centro-c"];
const SYN: u8 = 32;
const ACK: u8 = 64;
const FIN: u8 = 128;
const RST: u8 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Writes the record of a run: milliseconds since the start of the run, and what happened.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn log(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {line}", self.now());
    }
}

// ---------------------------------------------------------------------------------------- store

struct Object {
    revision: u64,
    spec: String,
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was deleted; then `last` is what it was.
    spec: Option<String>,
    last: String,
    last_revision: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// One object store. Each instance has a listener of its own, so that its path can be cut.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Instances that are cut off from the store.
    cut: Mutex<HashSet<usize>>,
    /// Watches of `servers` that wait, by instance.
    watching: Mutex<HashMap<usize, usize>>,
    closing: AtomicBool,
}

impl Store {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(StoreState { revision: 100, ..StoreState::default() }),
            changed: Condvar::new(),
            cut: Mutex::default(),
            watching: Mutex::default(),
            closing: AtomicBool::new(false),
        })
    }

    /// Writes an object as the operator or a server does. Returns the revision.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.get(&key)
            && known.spec == spec
        {
            return known.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, Object { revision, spec: spec.to_owned() });
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: Some(spec.to_owned()),
            last: String::new(),
            last_revision: 0,
        });
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(last) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: None,
            last: last.spec,
            last_revision: last.revision,
        });
        self.changed.notify_all();
        true
    }

    pub fn set_cut(&self, instances: &[usize], is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        for &i in instances {
            if is_cut {
                cut.insert(i);
            } else {
                cut.remove(&i);
            }
        }
        self.changed.notify_all();
    }

    fn is_cut(&self, instance: usize) -> bool {
        self.cut.lock().unwrap().contains(&instance)
    }

    /// Returns the instances that watch `servers` now.
    pub fn watchers(&self) -> Vec<usize> {
        let watching = self.watching.lock().unwrap();
        let mut watchers: Vec<_> =
            watching.iter().filter(|(_, n)| **n > 0).map(|(&i, _)| i).collect();
        watchers.sort_unstable();
        watchers
    }

    fn serve(self: &Arc<Self>, instance: usize, listener: TcpListener) {
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.connection(instance, stream));
            }
        });
    }

    fn connection(&self, instance: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        loop {
            let Some((method, target, body)) = read_request(&mut stream) else { return };
            if self.is_cut(instance) {
                return self.hold(instance, stream);
            }
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, body) = self.answer(instance, &method, path, query, &body);
            // An answer that would pass a cut is lost, and the connection returns nothing more.
            if self.is_cut(instance) {
                return self.hold(instance, stream);
            }
            thread::sleep(Duration::from_millis(4));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(head.as_bytes()).is_err()
                || stream.write_all(body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    /// Keeps a connection silent while its path is cut, then closes it.
    fn hold(&self, instance: usize, stream: TcpStream) {
        while self.is_cut(instance) && !self.closing.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
        }
        drop(stream);
    }

    fn answer(
        &self,
        instance: usize,
        method: &str,
        path: &str,
        query: &str,
        body: &str,
    ) -> (u16, String) {
        let Some(rest) = path.strip_prefix("/limpetdeck/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let parameter = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        match (method, name) {
            ("GET", None) => match parameter("Watch").and_then(|v| v.parse().ok()) {
                Some(after) => {
                    let wait = parameter("WaitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                    (200, self.watch(instance, kind, after, Duration::from_millis(wait)))
                }
                None => (200, self.list(kind)),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(o) => (200, object_json(name, o.revision, &o.spec)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", None) => {
                let (Some(name), Some(spec)) = (string_field(body, "Name"), spec_of(body)) else {
                    return (400, "{}".into());
                };
                let known = {
                    let state = self.state.lock().unwrap();
                    let key = (kind.to_owned(), name.clone());
                    state.objects.get(&key).map(|o| object_json(&name, o.revision, &o.spec))
                };
                match known {
                    Some(object) => (409, object),
                    None => {
                        let revision = self.write(kind, &name, &spec);
                        (200, object_json(&name, revision, &spec))
                    }
                }
            }
            ("PUT", Some(name)) => {
                let Some(spec) = spec_of(body) else { return (400, "{}".into()) };
                let revision = self.write(kind, name, &spec);
                (200, object_json(name, revision, &spec))
            }
            ("DELETE", Some(name)) => {
                if self.delete(kind, name) {
                    (200, "{}".into())
                } else {
                    (404, "{}".into())
                }
            }
            _ => (400, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<_> =
            of_kind.map(|((_, name), o)| object_json(name, o.revision, &o.spec)).collect();
        format!(
            "{{\"items\":[{}],\"More\":false,\"StoreRevision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, instance: usize, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        if kind == "servers" {
            *self.watching.lock().unwrap().entry(instance).or_default() += 1;
        }
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.kind == kind)
                .map(|change| match &change.spec {
                    Some(spec) => format!(
                        "{{\"Object\":{},\"Deleted\":false}}",
                        object_json(&change.name, change.revision, spec)
                    ),
                    None => format!(
                        "{{\"Object\":{},\"Deleted\":true}}",
                        object_json(&change.name, change.last_revision, &change.last)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            let is_cut = self.is_cut(instance);
            if !events.is_empty() || left.is_zero() || is_cut {
                let revision = state.revision;
                drop(state);
                if kind == "servers" {
                    *self.watching.lock().unwrap().entry(instance).or_default() -= 1;
                }
                return format!(
                    "{{\"events\":[{}],\"StoreRevision\":{revision}}}",
                    events.join(",")
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object_json(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\"Finalizers\":[],\"Deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn string_field(body: &str, field: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{field}\""))? + field.len() + 2..];
    let rest = &rest[rest.find('"')? + 1..];
    Some(rest[..rest.find('"')?].to_owned())
}

/// Returns the text of the field `spec`, an object.
fn spec_of(body: &str) -> Option<String> {
    let rest = &body[body.find("\"spec\"")? + 6..];
    let rest = &rest[rest.find('{')?..];
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (i, c) in rest.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            '{' if !in_string => depth += 1,
            '}' if !in_string => {
                depth -= 1;
                if depth == 0 {
                    return Some(rest[..=i].to_owned());
                }
            }
            _ => {}
        }
    }
    None
}

fn read_request(stream: &mut TcpStream) -> Option<(String, String, String)> {
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    for line in lines {
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    while buf.len() < end + 4 + length {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
    let body = String::from_utf8_lossy(&buf[end + 4..end + 4 + length]).into_owned();
    Some((method, target, body))
}

// -------------------------------------------------------------------------------------- packets

#[derive(Clone, Debug)]
pub struct Packet {
    echo: u32,
    seq: u32,
    ack: u32,
    flags: u8,
    dst: SocketAddrV4,
    src: SocketAddrV4,
    data: Vec<u8>,
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let mut b = vec![0; 32];
        b[0..4].copy_from_slice(&self.echo.to_be_bytes());
        b[4..8].copy_from_slice(&self.seq.to_be_bytes());
        b[8..12].copy_from_slice(&self.ack.to_be_bytes());
        b[12] = self.flags;
        b[14..18].copy_from_slice(&0x5eed_0001_u32.to_be_bytes());
        b[18..22].copy_from_slice(&self.dst.ip().octets());
        b[22..26].copy_from_slice(&self.src.ip().octets());
        b[26..28].copy_from_slice(&self.dst.port().to_be_bytes());
        b[28..30].copy_from_slice(&self.src.port().to_be_bytes());
        b[30..32].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        b.extend_from_slice(&self.data);
        b
    }

    fn decode(b: &[u8]) -> Option<Self> {
        let word = |at: usize| Some(u32::from_be_bytes(b.get(at..at + 4)?.try_into().ok()?));
        let half = |at: usize| Some(u16::from_be_bytes(b.get(at..at + 2)?.try_into().ok()?));
        let address = |ip, port| Some(SocketAddrV4::new(Ipv4Addr::from(word(ip)?), half(port)?));
        Some(Self {
            echo: word(0)?,
            seq: word(4)?,
            ack: word(8)?,
            flags: *b.get(12)?,
            dst: address(18, 26)?,
            src: address(22, 28)?,
            data: b.get(32..)?.to_vec(),
        })
    }
}

// -------------------------------------------------------------------------------------- servers

/// An opening packet that a server took.
#[derive(Clone, Debug)]
pub struct Opening {
    pub at: u64,
    pub server: usize,
    /// Address of the instance that sent it on.
    pub by: Ipv4Addr,
    /// Port of the client: one for each request.
    pub port: u16,
    pub client: Ipv4Addr,
}

pub struct Server {
    pub name: String,
    pub id: u64,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    born: u64,
    draining: AtomicBool,
}

impl Server {
    fn entry(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"ConcurrencyLimit\":3,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }
}

// -------------------------------------------------------------------------------------- clients

/// A request of a client; each has a flow of its own.
#[derive(Clone, Debug)]
pub struct Request {
    pub sent: u64,
    pub zone: usize,
    pub instance: usize,
    pub route: SocketAddrV4,
    pub outcome: Option<(u64, &'static str)>,
    seq: u32,
    ack: u32,
    echo: u32,
    open: bool,
    copies: u32,
    next: u64,
    deadline: u64,
}

// ---------------------------------------------------------------------------------------- world

pub struct Instance {
    pub ip: Ipv4Addr,
    pub zone: usize,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    in_rotation: AtomicBool,
}

pub struct World {
    pub record: Record,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    pub servers: Vec<Server>,
    pub openings: Mutex<Vec<Opening>>,
    pub requests: Mutex<HashMap<(usize, u16), Request>>,
    clients: Vec<UdpSocket>,
    key: String,
    command: Vec<String>,
    stop: AtomicBool,
    next_port: AtomicU32,
    folder: PathBuf,
}

/// Sizes and bounds of a deployment.
pub struct Sizes {
    pub instances_per_zone: usize,
    /// Servers of each zone, by service.
    pub servers: Vec<(&'static str, usize)>,
    pub evacuations: bool,
}

impl World {
    /// Binds all addresses of a deployment. Nothing runs yet.
    pub fn new(record: &Path, sizes: &Sizes) -> Result<Arc<Self>, String> {
        let err = |e: std::io::Error| e.to_string();
        let folder = std::env::temp_dir().join(format!("limpetdeck-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(err)?;
        let net = 20 + (std::process::id() % 200) as u8;
        let ip = |group: usize, i: usize| Ipv4Addr::new(127, net, group as u8, 1 + i as u8);
        let deploy = fs::read_to_string("deploy/system.toml").map_err(err)?;
        let quoted = |line: &str| line.split('"').nth(1).map(str::to_owned);
        let run = deploy.lines().find(|l| l.starts_with("run = ")).and_then(quoted);
        let key = deploy.lines().find(|l| l.starts_with("env = ")).and_then(quoted);
        let command =
            run.ok_or("no command in the deploy file")?.split(' ').map(str::to_owned).collect();
        let Ports { datagram, ready, control, store: store_port, internal, .. } = ports();
        let internal_last = internal + 15;
        let store = Store::new();
        let mut instances = Vec::new();
        let total = sizes.instances_per_zone * ZONES.len();
        let seeds: Vec<_> = (0..3)
            .map(|zone| format!("\"{}:{control}\"", ip(1, zone * sizes.instances_per_zone)))
            .collect();
        for i in 0..total {
            let zone = i / sizes.instances_per_zone;
            let (own, store_ip) = (ip(1, i), ip(9, i));
            let listener = TcpListener::bind((store_ip, ports().store)).map_err(err)?;
            store.serve(i, listener);
            let evacuate = if sizes.evacuations { "EvacuateMs = 5000\n" } else { "" };
            let text = format!(
                "NodeName = \"edge-{z}-{i}\"\nRole = \"node\"\nMachineClass = \"edge\"\nServes = [\"edge\",\"control\"]\nIp = \"{own}\"\nZone = \"{z}\"\nRegion = \"gt-centro\"\nInternalPortRange = [{internal},{internal_last}]\nSeedNodes = [{}]\nBootstrap = true\nFaultCounted = false\nDiscovery = \"platform\"\nHeartbeatMs = 770\nFlowHash = \"steady\"\nForwardingMode = \"echo\"\n[Zones]\ngt-centro-a = \"gt-centro\"\ngt-centro-b = \"gt-centro\"\ngt-centro-c = \"gt-centro\"\n[ListenAddrs]\nDatagramAddr = \"{own}:{datagram}\"\nReady = \"{own}:{ready}\"\nControlPlane = \"{own}:{control}\"\n[Limits]\nCpuQuota = 0.17\nCpuCores = 1\nMemoryMb = 182\nMaxFds = 2870\nLinkMbps = 700.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 4000\nAckTimeoutMs = 5000\nCatchUpS = 4\nDrainTimeoutMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\nDowngradeSlackMs = 250\nMaxStretchMs = 12000\n{evacuate}RecoveryS = 12\nFlowMs = 2000\nFlowMaxS = 60\n[platform]\nAddress = \"{store_ip}:{store_port}\"\nForwardingMode = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
                seeds.join(","),
                z = ZONES[zone],
            );
            let settings = folder.join(format!("node-{i}.toml"));
            fs::write(&settings, text).map_err(err)?;
            instances.push(Instance {
                ip: own,
                zone,
                settings,
                log: folder.join(format!("node-{i}.log")),
                child: Mutex::new(None),
                in_rotation: AtomicBool::new(false),
            });
        }
        let mut servers = Vec::new();
        for zone in ZONES {
            for (service, count) in &sizes.servers {
                for _ in 0..*count {
                    let i = servers.len();
                    let id = 0x7f3a_0000_u64 + 0x101 * (i as u64 + 1);
                    servers.push(Server {
                        name: format!("i-{id:x}"),
                        id,
                        service: (*service).to_owned(),
                        zone,
                        address: SocketAddrV4::new(ip(2, i), ports().server),
                        born: unix_ms(),
                        draining: AtomicBool::new(false),
                    });
                }
            }
        }
        let mut clients = Vec::new();
        for zone in 0..ZONES.len() {
            clients.push(UdpSocket::bind((ip(3, zone), ports().datagram)).map_err(err)?);
        }
        let file = fs::File::create(record).map_err(err)?;
        Ok(Arc::new(Self {
            record: Record { start: Instant::now(), file: Mutex::new(file) },
            store,
            instances,
            servers,
            openings: Mutex::default(),
            requests: Mutex::default(),
            clients,
            key: key.ok_or("no key in the deploy file")?,
            command,
            stop: AtomicBool::new(false),
            next_port: AtomicU32::new(0),
            folder,
        }))
    }

    /// Starts servers, clients, routers and instances.
    pub fn start(self: &Arc<Self>) -> Result<(), String> {
        for i in 0..self.servers.len() {
            let server = &self.servers[i];
            let socket = UdpSocket::bind(server.address).map_err(|e| e.to_string())?;
            let health = TcpListener::bind(server.address).map_err(|e| e.to_string())?;
            // Accepts connections and answers health checks.
            thread::spawn(move || {
                for mut stream in health.incoming().flatten() {
                    thread::spawn(move || {
                        if read_request(&mut stream).is_some() {
                            let _ =
                                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                        }
                    });
                }
            });
            let world = Arc::clone(self);
            thread::spawn(move || world.run_server(i, socket));
            self.report(i);
        }
        for zone in 0..self.clients.len() {
            let world = Arc::clone(self);
            thread::spawn(move || world.receive(zone));
        }
        let world = Arc::clone(self);
        thread::spawn(move || world.repeat());
        for i in 0..self.instances.len() {
            self.start_instance(i)?;
            let world = Arc::clone(self);
            thread::spawn(move || world.probe(i));
        }
        Ok(())
    }

    pub fn start_instance(&self, i: usize) -> Result<(), String> {
        let instance = &self.instances[i];
        let log = fs::File::options().create(true).append(true).open(&instance.log);
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PEER_KEY", &self.key)
            .env("LIMPETDECK_SETTINGS", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.command[0]))?;
        *instance.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Writes a server's entry to the store. Returns the time of the store's answer.
    pub fn report(&self, server: usize) -> u64 {
        let server = &self.servers[server];
        self.store.write("servers", &server.name, &server.entry());
        self.record.now()
    }

    /// Lets a server report that it drains. Returns the time of the store's answer.
    pub fn drain(&self, server: usize) -> u64 {
        self.servers[server].draining.store(true, Ordering::Relaxed);
        self.report(server)
    }

    fn run_server(self: Arc<Self>, index: usize, socket: UdpSocket) {
        struct Flow {
            iss: u32,
            next: u32,
            open: bool,
            response: Vec<u8>,
        }
        let server = &self.servers[index];
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut buf = [0; 2048];
        let mut iss = 0x1000_0000_u32.wrapping_add(index as u32 * 7_919);
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buf) else { continue };
            let at = self.record.now();
            let (Some(id), Some(p)) =
                (buf[..len].first_chunk::<8>(), Packet::decode(&buf[8.min(len)..len]))
            else {
                continue;
            };
            let id = u64::from_be_bytes(*id);
            if id != 0 && id != server.id {
                continue;
            }
            let key = (p.src, p.dst);
            let reply = |flags, seq, ack, data: &[u8]| {
                let answer = Packet {
                    echo: p.echo,
                    seq,
                    ack,
                    flags,
                    dst: p.src,
                    src: p.dst,
                    data: data.to_vec(),
                };
                let _ = socket.send_to(&answer.encode(), (*p.src.ip(), ports().datagram));
            };
            if p.flags & SYN != 0 {
                let std::net::SocketAddr::V4(by) = from else { continue };
                let is_new = !flows.contains_key(&key);
                let flow = flows.entry(key).or_insert_with(|| {
                    iss = iss.wrapping_add(65_537);
                    Flow { iss, next: p.seq.wrapping_add(1), open: false, response: Vec::new() }
                });
                if is_new {
                    self.openings.lock().unwrap().push(Opening {
                        at,
                        server: index,
                        by: *by.ip(),
                        port: p.src.port(),
                        client: *p.src.ip(),
                    });
                    self.record.log(&format!(
                        "server {} takes the opening packet of {} from {}",
                        server.name, p.src, by
                    ));
                }
                reply(SYN | ACK, flow.iss, flow.next, &[]);
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                if p.flags & RST == 0 && p.flags & FIN == 0 {
                    reply(RST, p.ack, 0, &[]);
                }
                continue;
            };
            if p.flags & RST != 0 {
                flows.remove(&key);
                continue;
            }
            if p.flags & FIN != 0 {
                reply(ACK | FIN, flow.iss.wrapping_add(1), p.seq.wrapping_add(1), &[]);
                flows.remove(&key);
                continue;
            }
            flow.open |= p.ack == flow.iss.wrapping_add(1);
            if !p.data.is_empty() && flow.open {
                if p.seq == flow.next {
                    flow.next = p.seq.wrapping_add(p.data.len() as u32);
                    flow.response = format!("stamp {} {}", server.name, p.src).into_bytes();
                    self.record
                        .log(&format!("server {} runs the request of {}", server.name, p.src));
                }
                reply(ACK, flow.iss.wrapping_add(1), flow.next, &flow.response);
            }
        }
    }

    /// Polls the readiness of an instance as the routers do: it is out of rotation after two misses.
    fn probe(self: Arc<Self>, i: usize) {
        let mut misses = 2;
        while !self.stop.load(Ordering::Relaxed) {
            let instance = &self.instances[i];
            let ready = (|| {
                let address = SocketAddrV4::new(instance.ip, ports().ready).into();
                let timeout = Duration::from_millis(400);
                let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
                stream.set_read_timeout(Some(timeout)).ok()?;
                let req = format!("GET /limpetdeck/readyz HTTP/1.1\r\nHost: {address}\r\n\r\n");
                stream.write_all(req.as_bytes()).ok()?;
                let mut head = [0; 12];
                stream.read_exact(&mut head).ok()?;
                (&head[9..12] == b"200").then_some(())
            })();
            misses = if ready.is_some() { 0 } else { misses + 1 };
            instance.in_rotation.store(misses < 2, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(500));
        }
    }

    pub fn all_ready(&self) -> bool {
        self.instances.iter().all(|i| i.in_rotation.load(Ordering::Relaxed))
    }

    /// Returns the instance of a zone that gets the packets of a port (`steady` hash).
    fn route(&self, zone: usize, port: u16) -> Option<usize> {
        let of_zone = |i: &usize| self.instances[*i].zone == zone;
        let all: Vec<_> = (0..self.instances.len()).filter(of_zone).collect();
        let ready: Vec<_> = all
            .iter()
            .copied()
            .filter(|&i| self.instances[i].in_rotation.load(Ordering::Relaxed))
            .collect();
        let used = if ready.len() * 2 < all.len() { all } else { ready };
        used.into_iter().max_by_key(|&i| {
            let mut x =
                (u64::from(port) << 32) ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x ^= x >> 31;
            x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
            x ^ (x >> 29)
        })
    }

    /// Sends a request of a client in a zone to a route, on a flow of its own. With `instance`, it goes
    /// to that one directly.
    pub fn request(&self, zone: usize, route: SocketAddrV4, instance: Option<usize>) {
        let n = self.next_port.fetch_add(1, Ordering::Relaxed);
        let port = 2_000 + (n % 60_000) as u16;
        let Some(instance) = instance.or_else(|| self.route(zone, port)) else { return };
        let sent = self.record.now();
        let seq = n.wrapping_mul(0x9e37_79b9) | 1;
        let request = Request {
            sent,
            zone,
            instance,
            route,
            outcome: None,
            seq,
            ack: 0,
            echo: 0,
            open: false,
            copies: 0,
            next: sent + 200,
            deadline: sent + 5_000,
        };
        self.record.log(&format!(
            "client {}:{port} opens a flow to {route} by way of instance {instance}",
            self.client_ip(zone)
        ));
        self.send_opening(&request, port);
        self.requests.lock().unwrap().insert((zone, port), request);
    }

    /// Returns the address of a route: a loopback address, as all others.
    pub fn route_ip(&self, i: u8) -> Ipv4Addr {
        let [a, b, ..] = self.instances[0].ip.octets();
        Ipv4Addr::new(a, b, 4, i)
    }

    pub fn client_ip(&self, zone: usize) -> Ipv4Addr {
        match self.clients[zone].local_addr() {
            Ok(std::net::SocketAddr::V4(address)) => *address.ip(),
            _ => Ipv4Addr::UNSPECIFIED,
        }
    }

    fn send(&self, request: &Request, port: u16, flags: u8, ack: u32, data: &[u8]) {
        let packet = Packet {
            echo: request.echo,
            seq: request.seq,
            ack,
            flags,
            dst: request.route,
            src: SocketAddrV4::new(self.client_ip(request.zone), port),
            data: data.to_vec(),
        };
        let to = (self.instances[request.instance].ip, ports().datagram);
        let _ = self.clients[request.zone].send_to(&packet.encode(), to);
    }

    fn send_opening(&self, request: &Request, port: u16) {
        self.send(request, port, SYN, request.copies, &[]);
    }

    fn receive(self: Arc<Self>, zone: usize) {
        let mut buf = [0; 2048];
        loop {
            let Ok((len, _)) = self.clients[zone].recv_from(&mut buf) else { continue };
            let Some(p) = Packet::decode(&buf[..len]) else { continue };
            let port = p.dst.port();
            let mut requests = self.requests.lock().unwrap();
            let Some(request) = requests.get_mut(&(zone, port)) else { continue };
            if request.outcome.is_some() || p.src != request.route {
                continue;
            }
            let now = self.record.now();
            let end = |request: &mut Request, what| {
                request.outcome = Some((now, what));
                self.record.log(&format!("client {}: {what}", p.dst));
            };
            if p.flags & RST != 0 {
                end(request, "reset");
            } else if p.flags & SYN != 0 && !request.open {
                request.open = true;
                request.echo = p.echo;
                request.seq = request.seq.wrapping_add(1);
                request.ack = p.seq.wrapping_add(1);
                request.next = now + 200;
                self.send(request, port, ACK, request.ack, b"sale");
            } else if request.open && !p.data.is_empty() {
                end(request, "answered");
                request.echo = p.echo;
                request.seq = request.seq.wrapping_add(4);
                let ack = p.seq.wrapping_add(p.data.len() as u32);
                self.send(request, port, FIN | ACK, ack, &[]);
            }
        }
    }

    /// Sends copies of packets that have had no answer.
    fn repeat(self: Arc<Self>) {
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let now = self.record.now();
            let mut requests = self.requests.lock().unwrap();
            for (&(zone, port), request) in requests.iter_mut() {
                if request.outcome.is_some() || now < request.next {
                    continue;
                }
                let opening_over = !request.open && now >= request.sent + 1_400;
                if opening_over || now >= request.deadline {
                    let what = if request.open { "no answer" } else { "not opened" };
                    request.outcome = Some((now, what));
                    self.record.log(&format!("client {}:{port}: {what}", self.client_ip(zone)));
                    continue;
                }
                if request.open {
                    request.next = now + 400;
                    self.send(request, port, ACK, request.ack, b"sale");
                } else if request.copies < 2 {
                    request.copies += 1;
                    request.next = request.sent + if request.copies == 1 { 600 } else { 1_400 };
                    self.send_opening(request, port);
                }
            }
        }
    }

    /// Returns the index of the instance at an address.
    pub fn instance_at(&self, ip: Ipv4Addr) -> Option<usize> {
        self.instances.iter().position(|i| i.ip == ip)
    }

    pub fn is_running(&self, i: usize) -> bool {
        let mut child = self.instances[i].child.lock().unwrap();
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Ends all processes that were started, and removes the temporary folder.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.store.closing.store(true, Ordering::Relaxed);
        for instance in &self.instances {
            if let Some(mut child) = instance.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}
