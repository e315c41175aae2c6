//! The servers with their places, their entries in the store and what listens there.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::steering::{RawTarget, TargetKey, TargetState};
use limpetdeck_platform::emulator::target_entry;
use rand::Rng;
use rand::rngs::SmallRng;
use smol::net::TcpListener;
use smol::{LocalExecutor, Task};

use super::server::{Ends, Presence, Server};
use super::store::{SharedStore, fork};

/// Time between two words of a server to the store.
const BEAT: Duration = Duration::from_millis(770);
/// Silence after which the store drops an entry: three beats.
const LAPSE: Duration = Duration::from_millis(3 * 770);
/// Time for which a server serves after the store took its word that it drains.
const DRAIN: Duration = Duration::from_secs(3);
/// Time after which a place is used again.
const REUSE: Duration = Duration::from_secs(2);
/// Time that a server takes to start again.
const RESTART: Duration = Duration::from_millis(400);
/// Unix time in milliseconds at which a run begins, as far as servers tell.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Requests that a server works on at once: few, so that a herd of callers fills the queue.
const SLOTS: u32 = 1;

/// A service with the number of its servers in each failure domain.
pub const SERVICES: [(&str, usize); 5] =
    [("till", 3), ("sheets", 1), ("move-0", 2), ("move-1", 2), ("move-2", 2)];

#[derive(Debug)]
struct Place {
    address: SocketAddrV4,
    free_from: Duration,
    listener: Option<Task<()>>,
}

/// All servers.
#[derive(Debug)]
pub struct Fleet {
    /// The servers, gone ones among them until they are forgotten.
    pub servers: Vec<Server>,
    places: Vec<Place>,
    /// Last and next word of each server to the store.
    beats: HashMap<(TargetKey, u64), (Duration, Duration)>,
    /// Servers that start again.
    restarts: Vec<(Duration, RawTarget)>,
    next_key: TargetKey,
    ex: Rc<LocalExecutor<'static>>,
    rng: SmallRng,
}

impl Fleet {
    /// Starts the servers of all services.
    pub fn new(
        ex: Rc<LocalExecutor<'static>>,
        places: impl IntoIterator<Item = SocketAddrV4>,
        domains: &[&str],
        rng: SmallRng,
    ) -> Self {
        let place = |address| Place { address, free_from: Duration::ZERO, listener: None };
        let places = places.into_iter().map(place).collect();
        let mut fleet = Self {
            servers: Vec::new(),
            places,
            beats: HashMap::default(),
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

    /// Starts a server at a free place.
    pub fn add(&mut self, now: Duration, service: &str, domain: &str) {
        let taken = |place: &Place| self.servers.iter().any(|s| s.is_at(place.address));
        let free = self.places.iter().filter(|p| now >= p.free_from && !taken(p));
        // The place that was freed last is taken first: callers' late packets still come there.
        let Some(address) = free.max_by_key(|place| place.free_from).map(|place| place.address)
        else {
            log::error!("no_place");
            return;
        };
        self.next_key += 1;
        let entry = RawTarget {
            key: self.next_key,
            start: EPOCH_MS + now.as_millis() as u64,
            service: service.to_owned(),
            address,
            failure_domain: domain.to_owned(),
            slots: SLOTS,
            state: TargetState::Ready,
            cold_ms: 0,
        };
        let rng = fork(&mut self.rng);
        self.servers.push(Server::new(now, entry, rng));
    }

    /// Returns the server at a place.
    pub fn at(&mut self, place: SocketAddrV4) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.is_at(place))
    }

    /// Returns the server that holds an open flow.
    pub fn holder(&self, ends: Ends) -> Option<&Server> {
        self.servers.iter().find(|server| server.holds(ends))
    }

    /// Draws a server that serves and does not leave.
    pub fn draw(&mut self) -> Option<&mut Server> {
        let serving = |s: &Server| s.is_up() && s.drains.is_none();
        let count = self.servers.iter().filter(|s| serving(s)).count();
        let nth = self.rng.random_range(0..count.max(1));
        self.servers.iter_mut().filter(|s| serving(s)).nth(nth)
    }

    /// Has a server leave and another one come.
    pub fn drain(&mut self, now: Duration) {
        let Some(server) = self.draw() else { return };
        server.drain(now);
        let (key, start) = (server.entry.key, server.entry.start);
        let (service, domain) = (server.entry.service.clone(), server.entry.failure_domain.clone());
        self.beats.insert((key, start), (now, now));
        self.add(now, &service, &domain);
    }

    /// Has a server crash; one of another service gets its place.
    pub fn crash(&mut self, now: Duration) {
        let Some(server) = self.draw() else { return };
        let entry = server.entry.clone();
        server.end(now);
        self.free(now, entry.address);
        self.add(now, &entry.service, &entry.failure_domain);
        let other = SERVICES[self.rng.random_range(0..SERVICES.len())].0;
        let start = now + REUSE;
        self.next_key += 1;
        let key = self.next_key;
        self.restarts.push((start, RawTarget { key, service: other.to_owned(), ..entry }));
    }

    /// Has a server crash and start again under its number.
    pub fn restart(&mut self, now: Duration) {
        let Some(server) = self.draw() else { return };
        let entry = server.entry.clone();
        server.end(now);
        self.free(now, entry.address);
        self.restarts.push((now + RESTART, entry));
    }

    /// Advances time: entries, departures, starts and listeners. `lapses` tells whether the
    /// entries of silent servers run out although the store is away.
    pub fn tick(&mut self, now: Duration, store: &SharedStore, lapses: bool) {
        self.leave(now, store);
        self.start_again(now);
        self.beat(now, store, lapses);
        self.listen();
    }

    fn free(&mut self, now: Duration, address: SocketAddrV4) {
        for place in self.places.iter_mut().filter(|place| place.address == address) {
            place.free_from = now + REUSE + RESTART;
        }
    }

    fn leave(&mut self, now: Duration, store: &SharedStore) {
        if store.borrow().is_down() {
            return;
        }
        let over =
            |s: &Server| s.is_up() && s.drains.is_some_and(|since| now >= since + DRAIN + BEAT);
        let over: Vec<_> = (0..self.servers.len()).filter(|&i| over(&self.servers[i])).collect();
        for i in over {
            store.borrow_mut().remove(&name(self.servers[i].entry.key));
            self.servers[i].end(now);
            self.free(now, self.servers[i].entry.address);
        }
    }

    fn start_again(&mut self, now: Duration) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.restarts).into_iter().partition(|(at, _)| now >= *at);
        self.restarts = rest;
        for (_, entry) in due {
            if self.at(entry.address).is_some() {
                continue;
            }
            let start = EPOCH_MS + now.as_millis() as u64;
            let rng = fork(&mut self.rng);
            self.servers.push(Server::new(now, RawTarget { start, ..entry }, rng));
        }
    }

    fn beat(&mut self, now: Duration, store: &SharedStore, lapses: bool) {
        let down = store.borrow().is_down();
        for server in &self.servers {
            let first = (now, now + BEAT.mul_f64(self.rng.random()));
            let id = (server.entry.key, server.entry.start);
            let known = self.beats.contains_key(&id);
            let (last, next) = self.beats.entry(id).or_insert(first);
            if !down && server.is_up() && (!known || now >= *next) {
                (*last, *next) = (now, now + BEAT);
                let value = target_entry(&server.entry, server.said);
                store.borrow_mut().put(&name(server.entry.key), value);
            }
            let silent = now >= *last + LAPSE;
            let current = !self.servers.iter().any(|other| {
                other.entry.key == server.entry.key && other.entry.start > server.entry.start
            });
            if silent && current && (!down || lapses) {
                store.borrow_mut().remove(&name(server.entry.key));
            }
        }
        let beats = &mut self.beats;
        self.servers.retain(|server| {
            let id = (server.entry.key, server.entry.start);
            let over = server.presence == Presence::Gone && now >= server.troubled + 2 * LAPSE;
            if over {
                beats.remove(&id);
            }
            !over
        });
    }

    /// Accepts connections at the places of servers that are there, as they do themselves.
    fn listen(&mut self) {
        for place in &mut self.places {
            let there = self.servers.iter().any(|server| server.is_at(place.address));
            match (there, &place.listener) {
                (true, None) => place.listener = Some(self.ex.spawn(accept(place.address))),
                (false, Some(_)) => place.listener = None,
                _ => {}
            }
        }
    }
}

fn name(key: TargetKey) -> String {
    format!("{}s-{key:x}", limpetdeck::steering::TARGETS)
}

async fn accept(address: SocketAddrV4) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(e) => return log::error!(problem = e.to_string().as_str(); "not_listening"),
    };
    while listener.accept().await.is_ok() {}
}
