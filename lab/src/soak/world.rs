//! All that surrounds the instances, advanced together.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::steering::{ROUTES, RawRoute, RawRoutes, WeightedService};
use limpetdeck_platform::emulator::{Origin, Segment, SegmentKind, addressee, routes_entry};
use smol::Async;
use xxhash_rust::xxh3::xxh3_64;

use super::addresses::Addresses;
use super::checks::{Checks, FLOW_AGE, Opening};
use super::instances::Instance;
use super::proxy::SharedMode;
use super::tally::{Outcome, Tally};
use crate::emulator::caller::{Caller, CallerEvent};
use crate::emulator::fleet::Fleet;
use crate::emulator::router::Router;
use crate::emulator::server::{Ends, ServerEvent};
use crate::emulator::store::SharedStore;
use crate::emulator::weather::{Flying, Weather};

/// The failure domains.
pub const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Time after a fault in which a part is not held to bounds, as the users ask.
pub const SETTLED: Duration = Duration::from_secs(4);
/// Delay of the driver itself from which on what it saw meanwhile proves nothing.
const MOST_LAG: Duration = Duration::from_millis(250);
/// Time between two looks at what instances take.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Time after which an idle flow may be given up, in milliseconds.
const IDLE_MS: u64 = 15_000;

/// A datagram on its way.
#[derive(Debug, Clone)]
pub enum Parcel {
    /// To an instance, or between two.
    Instance(SocketAddr, Vec<u8>),
    /// To the server at a place, by an instance.
    Server(SocketAddrV4, usize, Vec<u8>),
    /// To a caller; the instance if one sent it.
    Caller(Option<usize>, Vec<u8>),
}

/// A failure domain that is cut off from the others.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    /// The domain.
    pub domain: usize,
    /// Whether it can still send.
    pub one_way: bool,
}

/// All that surrounds the instances.
#[derive(Debug)]
pub struct World {
    /// Time since the start.
    pub now: Duration,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The servers.
    pub fleet: Fleet,
    /// The callers.
    pub callers: Vec<Caller>,
    /// The routers.
    pub router: Router,
    /// The store.
    pub store: SharedStore,
    /// The ways of the instances to the store.
    pub links: Vec<SharedMode>,
    /// The routes in force.
    pub routes: RawRoutes,
    /// Datagrams on their way.
    pub flying: Flying<Parcel>,
    /// Domains that are cut off.
    pub cuts: Vec<Cut>,
    /// Whether entries run out while the store is away.
    pub lapses: bool,
    /// When unplanned trouble last hit anything.
    pub troubled: Duration,
    /// The promises.
    pub checks: Checks,
    /// What became of requests.
    pub tally: Tally,
    /// Longest delay of the driver.
    pub lag: Duration,
    /// Most memory in kilobytes and most descriptors that an instance took.
    pub most: (u64, usize),
    addresses: Addresses,
    socket: Arc<Async<UdpSocket>>,
    /// When the callers of flows first asked to open them.
    asked: HashMap<Ends, Duration>,
    next_look: Duration,
}

/// What a world is made of.
#[derive(Debug)]
pub struct Parts {
    /// The addresses.
    pub addresses: Addresses,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The servers.
    pub fleet: Fleet,
    /// The callers.
    pub callers: Vec<Caller>,
    /// The store.
    pub store: SharedStore,
    /// The ways of the instances to the store.
    pub links: Vec<SharedMode>,
    /// Datagrams on their way.
    pub flying: Flying<Parcel>,
    /// Socket from which datagrams are sent.
    pub socket: Arc<Async<UdpSocket>>,
}

impl World {
    /// Makes a world with its first routes.
    pub fn new(parts: Parts) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            router: Router::new(parts.instances.iter().map(|instance| instance.domain)),
            instances: parts.instances,
            fleet: parts.fleet,
            callers: parts.callers,
            store: parts.store,
            links: parts.links,
            routes: first_routes(),
            flying: parts.flying,
            cuts: Vec::new(),
            lapses: false,
            troubled: Duration::ZERO,
            checks: Checks::default(),
            tally: Tally::default(),
            lag: Duration::ZERO,
            most: (0, 0),
            addresses: parts.addresses,
            socket: parts.socket,
            asked: HashMap::default(),
            next_look: Duration::ZERO,
        };
        world.write_routes();
        world
    }

    /// Writes changed routes to the store.
    pub fn write_routes(&mut self) {
        let value = routes_entry(&self.routes);
        self.store.borrow_mut().put(&format!("{ROUTES}main"), value);
        self.checks.routes_sent(self.now, &self.routes);
    }

    /// Tells whether an instance was free of faults for a time, and with it all that it needs.
    pub fn in_touch(&self, instance: usize) -> bool {
        let settled = |since: Duration| self.now >= since + SETTLED;
        let instance = &self.instances[instance];
        instance.runs() && settled(instance.troubled) && settled(self.troubled)
    }

    /// Advances all to a time.
    ///
    /// # Errors
    ///
    /// Fails if an instance cannot be started.
    pub fn tick(&mut self, now: Duration) -> io::Result<()> {
        let lag = now.saturating_sub(self.now);
        self.now = now;
        self.lag = self.lag.max(lag);
        if lag > MOST_LAG {
            log::warn!(lag_ms = lag.as_millis() as u64; "driver_late");
            self.troubled = self.troubled.max(now);
        }
        self.tick_instances()?;
        for parcel in self.flying.arrived(now) {
            self.arrive(parcel);
        }
        self.fleet.tick(now, &self.store, self.lapses);
        self.tick_servers();
        self.tick_callers();
        Ok(())
    }

    fn tick_instances(&mut self) -> io::Result<()> {
        let looks = self.now >= self.next_look;
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if let Some(status) = instance.tick(self.now)? {
                let seen = format!("instance {i} ended by itself, {status}");
                self.checks.push(self.now, "exit_of_its_own", seen, None);
            }
            // A process that is just being started still holds what this one does.
            let started = self.now >= instance.troubled + LOOK_EVERY;
            if looks
                && started
                && let Some((memory, files)) = instance.resources()
            {
                self.checks.resources(self.now, i, memory, files);
                self.most = (self.most.0.max(memory), self.most.1.max(files));
            }
        }
        if looks {
            self.next_look = self.now + LOOK_EVERY;
        }
        Ok(())
    }

    fn tick_servers(&mut self) {
        let mut out = Vec::new();
        for i in 0..self.fleet.servers.len() {
            let mut events = Vec::new();
            out.extend(self.fleet.servers[i].tick(self.now, &mut events));
            self.note_server(i, None, events);
        }
        self.answer(out);
    }

    fn tick_callers(&mut self) {
        let addresses = service_addresses();
        for i in 0..self.callers.len() {
            let mut events = Vec::new();
            let out = self.callers[i].tick(self.now, &addresses, &mut events);
            let domain = self.callers[i].domain;
            self.note_caller(None, events);
            for segment in out {
                let ends = (segment.from, segment.to);
                if segment.kind == SegmentKind::Opening && segment.acknowledged == 0 {
                    self.asked.insert(ends, self.now);
                }
                let instance = self.router.pick(domain, &segment);
                let parcel = Parcel::Instance(self.addresses.packets(instance), segment.write(sum));
                self.flying.send(self.now, parcel);
            }
        }
    }

    /// Takes a datagram that reached a socket.
    pub fn received(&mut self, at: SocketAddrV4, from: SocketAddr, buf: &[u8]) {
        let Some(instance) = self.addresses.instance_at(from) else { return };
        let parcel = if let Some(to) = self.addresses.proxied(at) {
            if self.is_cut(self.instances[instance].domain, self.instances[to].domain) {
                return;
            }
            Parcel::Instance(self.addresses.peer(to), buf.to_vec())
        } else if self.addresses.is_server(at) {
            Parcel::Server(at, instance, buf.to_vec())
        } else {
            Parcel::Caller(Some(instance), buf.to_vec())
        };
        self.flying.send(self.now, parcel);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let cuts =
            |cut: &Cut| from != to && (cut.domain == to || (cut.domain == from && !cut.one_way));
        self.cuts.iter().any(cuts)
    }

    fn arrive(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Instance(to, buf) => {
                // A full buffer loses the datagram, as a network would.
                let _ = self.socket.get_ref().send_to(&buf, to);
            }
            Parcel::Server(place, instance, buf) => self.arrive_at_server(place, instance, &buf),
            Parcel::Caller(instance, buf) => self.arrive_at_caller(instance, &buf),
        }
    }

    fn arrive_at_server(&mut self, place: SocketAddrV4, instance: usize, buf: &[u8]) {
        let Some((key, packet)) = addressee(buf) else { return };
        let Some(i) = self.fleet.servers.iter().position(|server| server.is_at(place)) else {
            return;
        };
        let from = self.instances[instance].domain;
        let to = &self.fleet.servers[i].entry.failure_domain;
        if DOMAINS.iter().position(|d| d == to).is_some_and(|to| self.is_cut(from, to)) {
            return;
        }
        let Ok((segment, origin)) = Segment::read(packet, sum) else { return };
        if origin != Origin::End {
            let ends = (segment.from, segment.to);
            self.checks.broken(self.now, "packet_changed", format!("{segment:?}"), ends);
            return;
        }
        let mut events = Vec::new();
        let out = self.fleet.servers[i].take(self.now, key, &segment, &mut events);
        self.note_server(i, Some(instance), events);
        self.answer(out);
    }

    fn arrive_at_caller(&mut self, instance: Option<usize>, buf: &[u8]) {
        let Ok((segment, origin)) = Segment::read(buf, sum) else { return };
        let (ip, port) = (*segment.to.ip(), segment.to.port());
        let Some(caller) = self.callers.iter_mut().find(|c| c.ip == ip && c.holds(port)) else {
            return;
        };
        let mut events = Vec::new();
        caller.take(self.now, &segment, origin, &mut events);
        self.note_caller(instance, events);
    }

    fn answer(&mut self, segments: Vec<Segment>) {
        for segment in segments {
            self.flying.send(self.now, Parcel::Caller(None, segment.write(sum)));
        }
    }

    fn note_server(&mut self, i: usize, instance: Option<usize>, events: Vec<ServerEvent>) {
        for event in events {
            match event {
                ServerEvent::Took(ends) => self.check_opening(i, instance, ends),
                ServerEvent::Ran(ends, id, kind) => self.checks.ran(self.now, ends, id, kind),
                ServerEvent::Garbled(ends) => {
                    self.checks.broken(self.now, "request_changed", format!("{ends:?}"), ends);
                }
                ServerEvent::Stray(ends) => {
                    if let Some(holder) = self.fleet.holder(ends).filter(|holder| holder.is_up()) {
                        let seen = format!("held by {:x}, reached another", holder.entry.key);
                        self.checks.broken(self.now, "flow_misled", seen, ends);
                    }
                }
            }
        }
    }

    fn check_opening(&mut self, i: usize, instance: Option<usize>, ends: Ends) {
        let Some(instance) = instance else { return };
        let sent = self.asked.get(&ends).copied().unwrap_or(self.now);
        let server = &self.fleet.servers[i];
        let opening = Opening {
            ends,
            sent,
            service: &server.entry.service,
            drains: server.drains,
            instance: (instance, self.instances[instance].starts),
            in_touch: self.in_touch(instance),
        };
        self.checks.opened(self.now, &opening);
    }

    fn note_caller(&mut self, instance: Option<usize>, events: Vec<CallerEvent>) {
        for event in events {
            match event {
                CallerEvent::Issued(id) => self.checks.issued(id),
                CallerEvent::Ended { served, .. } => {
                    self.checks.tested.answers += u64::from(served);
                    let outcome = if served { Outcome::Served } else { Outcome::Failed };
                    self.tally.note(self.now, outcome);
                }
                CallerEvent::SaidNotRun(id) => self.checks.said_not_run(self.now, id, None),
                CallerEvent::Wrong { caller, what, id } => {
                    let seen = format!("{what}, request {id:x?}");
                    self.checks.push(self.now, "answer", seen, Some(caller));
                }
                CallerEvent::Reset { caller, service, open_since: Some(since) } => {
                    self.check_reset(instance, (caller, service), since);
                }
                CallerEvent::Reset { open_since: None, .. } => {
                    self.tally.note(self.now, Outcome::Refused);
                }
            }
        }
    }

    /// A reset of an open flow is right only if its server is gone or was hit by a fault, its
    /// route was dropped, or the flow is old; or else if faults hit the instance itself.
    fn check_reset(&mut self, instance: Option<usize>, ends: Ends, since: Duration) {
        let Some(holder) = self.fleet.holder(ends) else { return };
        let living = holder.is_up() && self.now >= holder.troubled + SETTLED;
        let due = self.now >= since + FLOW_AGE || !self.checks.allows(ends.1);
        let planned_alone = self.now >= self.troubled + SETTLED;
        let excused = !planned_alone && !instance.is_some_and(|i| self.in_touch(i));
        if living && !due && !excused {
            let key = holder.entry.key;
            let seen = format!("reset by instance {instance:?}, server {key:x} lives");
            self.checks.broken(self.now, "flow_broken", seen, ends);
        }
    }

    /// Sets the weather.
    pub fn set_weather(&mut self, weather: Weather) {
        self.flying.weather = weather;
    }
}

/// The sum over a packet that its writer vouches for; 0 stands for none.
fn sum(buf: &[u8]) -> u32 {
    xxh3_64(buf) as u32 | 1
}

/// Returns the addresses for feeds and sales, for sheets and of the moving service.
fn service_addresses() -> [SocketAddrV4; 3] {
    [1, 2, 3].map(|n| SocketAddrV4::new([198, 18, 0, n].into(), 443))
}

fn first_routes() -> RawRoutes {
    let services = ["till", "sheets", "move-0"];
    let route = |(address, service): (SocketAddrV4, &str)| RawRoute {
        name: format!("to-{}", address.ip()),
        address,
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
    };
    let routes = service_addresses().into_iter().zip(services).map(route).collect();
    RawRoutes { version: 1, routes, idle_timeout_ms: IDLE_MS }
}
