//! The emulated servers, with their addresses, store entries and listeners.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use limpetdeck::hash::HashMap;
use limpetdeck::steering::{RawTarget, TargetKey, TargetState};
use limpetdeck_platform::emulator::target_entry;
use rand::Rng;
use rand::rngs::SmallRng;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task, Timer};

use super::server::{FlowKey, RunState, Server};
use super::store::{SharedStore, fork_rng};

/// Time between two heartbeats of a server to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(770);
/// Time without a heartbeat after which the store removes an entry: three intervals.
const ENTRY_TTL: Duration = Duration::from_millis(3 * 770);
/// Time for which a server still serves after the store accepted its draining state.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time after which a released address may be reused.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// Time that a server takes to restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Unix time at which a run begins, for the incarnations that servers publish.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Time between two looks at whether a server is paused.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Connections that the system completes before a server accepts them.
const LISTEN_BACKLOG: i32 = 128;
/// Slots of a server: few, so that a burst of requests fills the queue.
const SLOTS_PER_SERVER: u32 = 1;

/// Each service with the number of its servers in each failure domain.
pub const SERVICES: [(&str, usize); 5] =
    [("till", 3), ("sheets", 1), ("move-0", 2), ("move-1", 2), ("move-2", 2)];

/// An address at which at most one server runs at a time.
#[derive(Debug)]
struct Host {
    address: SocketAddrV4,
    free_from: Duration,
    listener: Option<Task<()>>,
    /// Whether the server is paused, so that connections to it get no answer.
    silent: Rc<Cell<bool>>,
}

/// All emulated servers.
#[derive(Debug)]
pub struct Fleet {
    /// The servers, including ended ones until their entries have expired.
    pub servers: Vec<Server>,
    hosts: Vec<Host>,
    /// Times of the last and the next heartbeat of each server, by key and incarnation.
    heartbeats: HashMap<(TargetKey, u64), (Duration, Duration)>,
    /// Time for which a server is cold after its start, except at the start of the run.
    cold_start: Duration,
    /// Servers to be started, with the time.
    restarts: Vec<(Duration, RawTarget)>,
    next_key: TargetKey,
    ex: Rc<LocalExecutor<'static>>,
    rng: SmallRng,
}

impl Fleet {
    /// Starts the servers of all services.
    pub fn new(
        ex: Rc<LocalExecutor<'static>>,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
        domains: &[&str],
        rng: SmallRng,
    ) -> Self {
        let host = |address| Host {
            address,
            free_from: Duration::ZERO,
            listener: None,
            silent: Rc::default(),
        };
        let hosts = addresses.into_iter().map(host).collect();
        let mut fleet = Self {
            servers: Vec::new(),
            hosts,
            heartbeats: HashMap::default(),
            cold_start: Duration::ZERO,
            restarts: Vec::new(),
            next_key: 0x10,
            ex,
            rng,
        };
        for (service, count) in SERVICES {
            for domain in domains {
                for _ in 0..count {
                    fleet.add(Duration::ZERO, service, domain);
                }
            }
        }
        fleet
    }

    /// Sets the time for which servers that start from now on are cold.
    pub fn set_cold_start(&mut self, time: Duration) {
        self.cold_start = time;
    }

    /// Makes all servers of a failure domain cold, as after a time without requests.
    pub fn cool_domain(&mut self, now: Duration, domain: &str) {
        let time = self.cold_start;
        for server in self.servers.iter_mut().filter(|s| s.entry.failure_domain == domain) {
            server.cold_until = now + time;
            if let Some((_, next)) =
                self.heartbeats.get_mut(&(server.entry.key, server.entry.incarnation))
            {
                *next = now;
            }
        }
    }

    fn start(&mut self, now: Duration, entry: RawTarget) -> Option<&mut Server> {
        let mut server = Server::new(now, entry, fork_rng(&mut self.rng));
        server.cold_until = now + self.cold_start;
        self.servers.push(server);
        self.servers.last_mut()
    }

    /// Starts a server at a free address. Returns it, unless there is none.
    pub fn add(&mut self, now: Duration, service: &str, domain: &str) -> Option<&mut Server> {
        let taken = |host: &Host| self.servers.iter().any(|s| s.is_at(host.address));
        let free = self.hosts.iter().filter(|host| now >= host.free_from && !taken(host));
        // Reuses the most recently released address first, to which late packets of callers may
        // still be sent.
        let Some(address) = free.max_by_key(|host| host.free_from).map(|host| host.address) else {
            log::error!("no_place");
            return None;
        };
        self.next_key += 1;
        let entry = RawTarget {
            key: self.next_key,
            incarnation: EPOCH_MS + now.as_millis() as u64,
            service: service.to_owned(),
            address,
            failure_domain: domain.to_owned(),
            slots: SLOTS_PER_SERVER,
            state: TargetState::Ready,
            cold_ms: 0,
        };
        self.start(now, entry)
    }

    /// Returns the server at an address, unless it has ended.
    pub fn server_at(&mut self, address: SocketAddrV4) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.is_at(address))
    }

    /// Returns the server on which a flow is open.
    pub fn server_with(&self, flow: FlowKey) -> Option<&Server> {
        self.servers.iter().find(|server| server.has_flow(flow))
    }

    /// Returns the server that may hold the flow of a caller that expects a sequence number.
    pub fn holder(&self, flow: FlowKey, expected: u32) -> Option<&Server> {
        self.servers.iter().find(|server| server.may_hold(flow, expected))
    }

    /// Picks a random server that is running and not draining.
    pub fn pick_random(&mut self) -> Option<&mut Server> {
        let serving = |s: &Server| s.is_running() && s.draining_since.is_none();
        let count = self.servers.iter().filter(|s| serving(s)).count();
        let nth = self.rng.random_range(0..count.max(1));
        self.servers.iter_mut().filter(|s| serving(s)).nth(nth)
    }

    /// Drains a random server and starts its replacement.
    pub fn drain(&mut self, now: Duration) {
        let Some(server) = self.pick_random() else { return };
        server.drain(now);
        let (key, incarnation) = (server.entry.key, server.entry.incarnation);
        let (service, domain) = (server.entry.service.clone(), server.entry.failure_domain.clone());
        self.heartbeats.insert((key, incarnation), (now, now));
        if let Some(replacement) = self.add(now, &service, &domain) {
            // A planned start is no fault.
            replacement.last_fault = Duration::ZERO;
        }
    }

    /// Crashes a random server, starts a replacement elsewhere, and gives the address to a new
    /// server of a random service.
    pub fn crash(&mut self, now: Duration) {
        let Some(server) = self.pick_random() else { return };
        let entry = server.entry.clone();
        server.end(now);
        self.release(now, entry.address);
        self.add(now, &entry.service, &entry.failure_domain);
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())].0;
        let start = now + ADDRESS_REUSE_DELAY;
        self.next_key += 1;
        let key = self.next_key;
        self.restarts.push((start, RawTarget { key, service: service.to_owned(), ..entry }));
    }

    /// Crashes a random server and restarts it at its address, with the same key or a new one.
    pub fn restart(&mut self, now: Duration, is_renumbered: bool) {
        let Some(server) = self.pick_random() else { return };
        let mut entry = server.entry.clone();
        server.end(now);
        self.release(now, entry.address);
        if is_renumbered {
            self.next_key += 1;
            entry.key = self.next_key;
        }
        self.restarts.push((now + RESTART_DELAY, entry));
    }

    /// Executes the last heartbeats of servers that have ended, which were lost on their way.
    pub fn write_late(&mut self, now: Duration, store: &SharedStore) {
        for server in self.servers.iter_mut().filter(|s| s.run_state == RunState::Ended) {
            // The store removes the entries as others without heartbeats.
            server.last_fault = now;
            let id = (server.entry.key, server.entry.incarnation);
            self.heartbeats.insert(id, (now, now));
            let value = target_entry(&server.entry, server.entry_sequence);
            store.borrow_mut().put(&object_name(server.entry.key), value);
        }
    }

    /// Advances time: drained servers end, others start, heartbeats are sent and listeners updated.
    /// If `entries_expire`, entries without heartbeats expire even while the store is down.
    pub fn tick(&mut self, now: Duration, store: &SharedStore, entries_expire: bool) {
        self.end_drained(now, store);
        self.start_due(now);
        self.send_heartbeats(now, store, entries_expire);
        self.update_listeners();
    }

    fn release(&mut self, now: Duration, address: SocketAddrV4) {
        for host in self.hosts.iter_mut().filter(|host| host.address == address) {
            host.free_from = now + ADDRESS_REUSE_DELAY + RESTART_DELAY;
        }
    }

    fn end_drained(&mut self, now: Duration, store: &SharedStore) {
        if store.borrow().is_down() {
            return;
        }
        let ended = |s: &Server| {
            s.is_running()
                && s.draining_since
                    .is_some_and(|since| now >= since + DRAIN_TIME + HEARTBEAT_INTERVAL)
        };
        let ended: Vec<_> = (0..self.servers.len()).filter(|&i| ended(&self.servers[i])).collect();
        for i in ended {
            store.borrow_mut().remove(&object_name(self.servers[i].entry.key));
            self.servers[i].end(now);
            self.release(now, self.servers[i].entry.address);
        }
    }

    fn start_due(&mut self, now: Duration) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.restarts).into_iter().partition(|(at, _)| now >= *at);
        self.restarts = rest;
        for (_, entry) in due {
            if self.server_at(entry.address).is_some() {
                continue;
            }
            let incarnation = EPOCH_MS + now.as_millis() as u64;
            self.start(now, RawTarget { incarnation, ..entry });
        }
    }

    fn send_heartbeats(&mut self, now: Duration, store: &SharedStore, entries_expire: bool) {
        let down = store.borrow().is_down();
        for server in &self.servers {
            let first = (now, now + HEARTBEAT_INTERVAL.mul_f64(self.rng.random()));
            let id = (server.entry.key, server.entry.incarnation);
            let known = self.heartbeats.contains_key(&id);
            let (last, next) = self.heartbeats.entry(id).or_insert(first);
            if !down && server.is_running() && (!known || now >= *next) {
                (*last, *next) = (now, now + HEARTBEAT_INTERVAL);
                let value = target_entry(&server.current_entry(now), server.entry_sequence);
                store.borrow_mut().put(&object_name(server.entry.key), value);
            }
            let expired = now >= *last + ENTRY_TTL;
            let current = !self.servers.iter().any(|other| {
                other.entry.key == server.entry.key
                    && other.entry.incarnation > server.entry.incarnation
            });
            if expired && current && (!down || entries_expire) {
                store.borrow_mut().remove(&object_name(server.entry.key));
            }
        }
        let heartbeats = &mut self.heartbeats;
        self.servers.retain(|server| {
            let id = (server.entry.key, server.entry.incarnation);
            let ended =
                server.run_state == RunState::Ended && now >= server.last_fault + 2 * ENTRY_TTL;
            if ended {
                heartbeats.remove(&id);
            }
            !ended
        });
    }

    /// Accepts TCP connections at the addresses of servers that have not ended.
    fn update_listeners(&mut self) {
        for host in &mut self.hosts {
            let server = self.servers.iter().find(|server| server.is_at(host.address));
            host.silent.set(server.is_some_and(|server| !server.is_running()));
            match (server, &host.listener) {
                (Some(_), None) => {
                    let accepting = accept(host.address, Rc::clone(&host.silent));
                    host.listener = Some(self.ex.spawn(accepting));
                }
                (None, Some(_)) => host.listener = None,
                _ => {}
            }
        }
    }
}

fn object_name(key: TargetKey) -> String {
    format!("{}s-{key:x}", limpetdeck::steering::TARGETS_PREFIX)
}

async fn accept(address: SocketAddrV4, silent: Rc<Cell<bool>>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(e) => return log::error!(problem = e.to_string().as_str(); "not_listening"),
    };
    loop {
        let waits = async {
            Timer::after(SILENCE_CHECK_INTERVAL).await;
            Ok(())
        };
        let accepts = async { listener.accept().await.map(drop) };
        if accepts.or(waits).await.is_err() {
            return;
        }
        if silent.get() {
            be_silent(&listener, address, &silent).await;
        }
    }
}

/// Leaves connections unanswered: the system drops the packets of those that the queue has no room for.
async fn be_silent(listener: &TcpListener, address: SocketAddrV4, silent: &Cell<bool>) {
    let resized = rustix::net::listen(listener, 0);
    let first = TcpStream::connect(address).await;
    if resized.is_err() || first.is_err() {
        log::error!("not_silent");
    }
    while silent.get() {
        Timer::after(SILENCE_CHECK_INTERVAL).await;
    }
    if let Err(e) = rustix::net::listen(listener, LISTEN_BACKLOG) {
        log::error!(problem = e.to_string().as_str(); "not_listening");
    }
}
