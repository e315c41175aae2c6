//! The emulated environment of the instances, advanced in steps.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::steering::{ROUTES_PREFIX, RawRoute, RawRoutes, WeightedService};
use limpetdeck_platform::emulator::{
    PacketOrigin, Segment, SegmentKind, routes_entry, split_target_key,
};
use rand::rngs::SmallRng;
use serde_json::json;
use smol::Async;
use xxhash_rust::xxh3::xxh3_64;

use super::addresses::Addresses;
use super::checks::{Checks, Opening, REQUIRED_FLOW_LIFETIME};
use super::cold_targets::{COLD_START, ColdTargets};
use super::domain_checks::warm_ups;
use super::domain_orders::DomainOrders;
use super::instances::Instance;
use super::proxy::{LinkMode, SharedLinkMode};
use super::tally::{Outcome, Tally};
use crate::emulator::caller::{Caller, CallerEvent, OpenFlow};
use crate::emulator::fleet::{Fleet, SERVICES};
use crate::emulator::network::{Impairment, Network};
use crate::emulator::router::Router;
use crate::emulator::server::{FlowKey, Server, ServerEvent};
use crate::emulator::store::SharedStore;

/// The failure domains.
pub const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Number of routes that callers use.
pub const USED_ROUTES: usize = 3;
/// Time after a fault during which the bounds need not be met.
pub const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time after which packets of an open flow may not reach other servers only.
const MAX_DIVERSION: Duration = Duration::from_secs(2);
/// Packets that have to reach other servers meanwhile.
const DIVERTED_PACKETS: u32 = 3;
/// Longest pause between two steps that does not count as a fault. A longer one may cause
/// violations by itself.
const MAX_LAG: Duration = Duration::from_millis(250);
/// Time between two checks of memory and file descriptors.
const RESOURCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Idle timeout of flows.
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// Latency target of all routes.
const LATENCY_TARGET_MS: u64 = 150;

/// A datagram in transit, by its destination.
#[derive(Debug, Clone)]
pub enum Datagram {
    /// To an instance, from a caller or another instance.
    Instance(SocketAddr, Vec<u8>),
    /// To the server at an address, from an instance.
    Server(SocketAddrV4, usize, Vec<u8>),
    /// To a caller, from an instance or (`None`) from a server.
    Caller(Option<usize>, Vec<u8>),
}

/// A failure domain that is partitioned from the others.
#[derive(Debug, Clone, Copy)]
pub struct Partition {
    /// The domain.
    pub domain: usize,
    /// Whether it can still send.
    pub one_way: bool,
}

/// The instances and their emulated environment.
#[derive(Debug)]
pub struct Environment {
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
    /// Mode of each instance's proxy to the store.
    pub links: Vec<SharedLinkMode>,
    /// The routes in force.
    pub routes: RawRoutes,
    /// The network that carries all datagrams.
    pub network: Network<Datagram>,
    /// Partitions in force.
    pub partitions: Vec<Partition>,
    /// Whether the servers' entries expire although the store is silent.
    pub entries_expire: bool,
    /// End of the last fault other than maintenance, of any component.
    pub last_fault: Duration,
    /// End of the last one that is not confined to single instances and servers.
    last_shared_fault: Duration,
    /// Orders to drain failure domains.
    pub orders: DomainOrders,
    /// Check of the limit on new flows to cold servers.
    pub cold_targets: ColdTargets,
    /// Time since which each instance has been in contact with the store.
    pub contact_since: Vec<Duration>,
    /// Time of the last opening that reached a server of each failure domain.
    pub last_openings: [Duration; DOMAINS.len()],
    /// Whether instances are judged while they stop.
    judges_stops: bool,
    /// Whether faults excuse the loss of open flows.
    excuses_flows: bool,
    /// Checks of the promises.
    pub checks: Checks,
    /// Request outcomes.
    pub tally: Tally,
    /// Longest pause between two ticks.
    pub max_lag: Duration,
    /// Peak memory in kilobytes and peak number of file descriptors of an instance.
    pub peak: (u64, usize),
    addresses: Addresses,
    socket: Arc<Async<UdpSocket>>,
    /// Time at which the caller of a flow first sent its opening packet.
    opened: HashMap<FlowKey, Duration>,
    /// Packets of open flows that have reached other servers since one reached their own, and when
    /// the first one did.
    diverted: HashMap<FlowKey, (u32, Duration)>,
    stall_rng: SmallRng,
    next_resource_check: Duration,
}

/// Components of an [`Environment`].
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
    /// Mode of each instance's proxy to the store.
    pub links: Vec<SharedLinkMode>,
    /// The network that carries all datagrams.
    pub network: Network<Datagram>,
    /// Socket that sends datagrams to the instances.
    pub socket: Arc<Async<UdpSocket>>,
    /// New flows per second that a cold server bears; 0 if no limit is announced.
    pub cold_flows_per_s: f64,
    /// Whether instances are judged while they stop.
    pub judges_stops: bool,
    /// Whether faults excuse the loss of open flows.
    pub excuses_flows: bool,
    /// Whether nearly all flows move when an instance stops or starts.
    pub moves_all_flows: bool,
    /// Generator for the stalls of instances.
    pub stall_rng: SmallRng,
}

impl Environment {
    /// Creates an environment and writes the initial routes.
    pub fn new(parts: Parts) -> Self {
        let mut environment = Self {
            now: Duration::ZERO,
            contact_since: vec![Duration::ZERO; parts.instances.len()],
            router: Router::new(
                parts.instances.iter().map(|instance| instance.domain),
                parts.moves_all_flows,
            ),
            instances: parts.instances,
            fleet: parts.fleet,
            callers: parts.callers,
            store: parts.store,
            links: parts.links,
            routes: first_routes(),
            network: parts.network,
            partitions: Vec::new(),
            entries_expire: false,
            last_fault: Duration::ZERO,
            last_shared_fault: Duration::ZERO,
            orders: DomainOrders::default(),
            cold_targets: ColdTargets::new(parts.cold_flows_per_s),
            last_openings: [Duration::ZERO; DOMAINS.len()],
            judges_stops: parts.judges_stops,
            excuses_flows: parts.excuses_flows,
            checks: Checks::default(),
            tally: Tally::default(),
            max_lag: Duration::ZERO,
            peak: (0, 0),
            addresses: parts.addresses,
            socket: parts.socket,
            opened: HashMap::default(),
            diverted: HashMap::default(),
            stall_rng: parts.stall_rng,
            next_resource_check: Duration::ZERO,
        };
        if parts.cold_flows_per_s > 0.0 {
            environment.fleet.set_cold_start(COLD_START);
            environment.routes.warm_ups = warm_ups(parts.cold_flows_per_s);
        }
        environment.write_routes();
        environment
    }

    /// Writes changed routes to the store.
    pub fn write_routes(&mut self) {
        self.write_routes_again();
        self.checks.record_routes(self.now, &self.routes);
    }

    /// Writes the current routes to the store, which may have lost them in a restore.
    pub fn write_routes_again(&mut self) {
        let mut value = routes_entry(&self.routes);
        if let Some(listed) = value["Services"].as_array_mut() {
            // Those with a limit of cold targets are listed by the routes.
            let others = SERVICES
                .iter()
                .map(|(name, _)| *name)
                .filter(|name| !listed.iter().any(|s| s["Name"] == *name));
            let others: Vec<_> = others.map(|name| json!({ "Name": name })).collect();
            listed.extend(others);
        }
        self.store.borrow_mut().put(&format!("{ROUTES_PREFIX}main"), value);
    }

    /// Returns whether the instance and its environment were free of faults for the settling time. Where
    /// stops are judged, being told to terminate is no fault until the process is gone.
    pub fn is_settled(&self, instance: usize) -> bool {
        let settled = |since: Duration| self.now >= since + SETTLING_TIME;
        let instance = &self.instances[instance];
        let is_judged_stop =
            self.judges_stops && instance.is_terminating() && !instance.earlier_release;
        let runs = instance.is_running() || is_judged_stop;
        runs && settled(instance.last_fault) && settled(self.last_fault)
    }

    /// Harms the way of an instance to the store until a time.
    pub fn lose_link(&mut self, instance: usize, mode: LinkMode, until: Duration) {
        self.links[instance].set(mode);
        let instance = &mut self.instances[instance];
        instance.last_fault = instance.last_fault.max(until);
    }

    /// Advances all components to a time.
    ///
    /// # Errors
    ///
    /// Fails if an instance cannot be started.
    pub fn tick(&mut self, now: Duration) -> io::Result<()> {
        let lag = now.saturating_sub(self.now);
        self.now = now;
        self.max_lag = self.max_lag.max(lag);
        if lag > MAX_LAG {
            log::warn!(lag_ms = lag.as_millis() as u64; "driver_late");
            self.record_shared_fault();
        }
        self.tick_instances()?;
        self.record_contact();
        for datagram in self.network.arrived(now) {
            self.deliver(datagram);
        }
        self.fleet.tick(now, &self.store, self.entries_expire);
        self.tick_servers();
        self.tick_callers();
        Ok(())
    }

    fn tick_instances(&mut self) -> io::Result<()> {
        let check_due = self.now >= self.next_resource_check;
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if let Some(status) = instance.tick(self.now, &mut self.stall_rng)? {
                let seen = format!("instance {i} ended on its own, {status}");
                self.checks.record(self.now, "exit_of_its_own", seen, None);
            }
            // A process that has just been forked still counts the resources of this one.
            let past_start = self.now >= instance.last_fault + RESOURCE_CHECK_INTERVAL;
            if check_due
                && past_start
                && let Some((memory, descriptors)) = instance.resources()
            {
                self.checks.check_resources(self.now, i, memory, descriptors);
                self.peak = (self.peak.0.max(memory), self.peak.1.max(descriptors));
            }
        }
        if check_due {
            self.next_resource_check = self.now + RESOURCE_CHECK_INTERVAL;
        }
        Ok(())
    }

    fn tick_servers(&mut self) {
        let mut out = Vec::new();
        for i in 0..self.fleet.servers.len() {
            let mut events = Vec::new();
            out.extend(self.fleet.servers[i].tick(self.now, &mut events));
            self.handle_server_events(i, None, events);
        }
        self.send_to_callers(out);
    }

    fn tick_callers(&mut self) {
        let addresses = service_addresses();
        for i in 0..self.callers.len() {
            let mut events = Vec::new();
            let out = self.callers[i].tick(self.now, &addresses, &mut events);
            let domain = self.callers[i].domain;
            self.handle_caller_events(None, events);
            for segment in out {
                let flow = (segment.from, segment.to);
                if segment.kind == SegmentKind::Opening && segment.acknowledged == 0 {
                    self.opened.insert(flow, self.now);
                }
                let instance = self.router.pick(domain, &segment);
                let datagram =
                    Datagram::Instance(self.addresses.packets(instance), segment.encode(checksum));
                self.network.send(self.now, datagram);
            }
        }
    }

    /// Handles a datagram that an instance sent to a socket of the environment.
    pub fn receive(&mut self, at: SocketAddrV4, from: SocketAddr, buf: &[u8]) {
        let Some(instance) = self.addresses.sender(from) else { return };
        let datagram = if let Some(to) = self.addresses.proxied_instance(at) {
            if self.is_partitioned(self.instances[instance].domain, self.instances[to].domain) {
                return;
            }
            Datagram::Instance(self.addresses.peer(to), buf.to_vec())
        } else if self.addresses.is_server(at) {
            Datagram::Server(at, instance, buf.to_vec())
        } else {
            Datagram::Caller(Some(instance), buf.to_vec())
        };
        self.network.send(self.now, datagram);
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let blocks = |partition: &Partition| {
            from != to
                && (partition.domain == to || (partition.domain == from && !partition.one_way))
        };
        self.partitions.iter().any(blocks)
    }

    fn deliver(&mut self, datagram: Datagram) {
        match datagram {
            Datagram::Instance(to, buf) => {
                // A full send buffer drops the datagram, as a network would.
                let _ = self.socket.get_ref().send_to(&buf, to);
            }
            Datagram::Server(at, instance, buf) => self.deliver_to_server(at, instance, &buf),
            Datagram::Caller(instance, buf) => self.deliver_to_caller(instance, &buf),
        }
    }

    fn deliver_to_server(&mut self, address: SocketAddrV4, instance: usize, buf: &[u8]) {
        let Some((key, packet)) = split_target_key(buf) else { return };
        let Some(i) = self.fleet.servers.iter().position(|server| server.is_at(address)) else {
            return;
        };
        let from = self.instances[instance].domain;
        let to = &self.fleet.servers[i].entry.failure_domain;
        if DOMAINS.iter().position(|d| d == to).is_some_and(|to| self.is_partitioned(from, to)) {
            return;
        }
        let Ok((segment, origin)) = Segment::decode(packet, checksum) else { return };
        if origin != PacketOrigin::Endpoint {
            let flow = (segment.from, segment.to);
            self.checks.record_for_flow(self.now, "packet_changed", format!("{segment:?}"), flow);
            return;
        }
        self.check_diversion(i, instance, &segment);
        let mut events = Vec::new();
        let out = self.fleet.servers[i].receive(self.now, key, &segment, &mut events);
        self.handle_server_events(i, Some(instance), events);
        self.send_to_callers(out);
    }

    fn deliver_to_caller(&mut self, instance: Option<usize>, buf: &[u8]) {
        let Ok((segment, origin)) = Segment::decode(buf, checksum) else { return };
        let (ip, port) = (*segment.to.ip(), segment.to.port());
        let Some(caller) = self.callers.iter_mut().find(|c| c.ip == ip && c.uses_port(port)) else {
            return;
        };
        let mut events = Vec::new();
        caller.receive(self.now, &segment, origin, &mut events);
        self.handle_caller_events(instance, events);
    }

    fn send_to_callers(&mut self, segments: Vec<Segment>) {
        for segment in segments {
            self.network.send(self.now, Datagram::Caller(None, segment.encode(checksum)));
        }
    }

    fn handle_server_events(
        &mut self,
        i: usize,
        instance: Option<usize>,
        events: Vec<ServerEvent>,
    ) {
        for event in events {
            match event {
                ServerEvent::Opened(flow) => self.check_opening(i, instance, flow),
                ServerEvent::Started(flow, id, kind) => {
                    self.checks.check_start(self.now, flow, id, kind);
                }
                ServerEvent::Modified(flow) => {
                    self.checks.record_for_flow(
                        self.now,
                        "request_changed",
                        format!("{flow:?}"),
                        flow,
                    );
                }
                ServerEvent::UnknownFlow(flow) => {
                    let excuses = self.excuses_flows;
                    let holder = self.fleet.server_with(flow);
                    if let Some(server) = holder.filter(|s| s.is_running() || !excuses) {
                        let seen = format!(
                            "flow is open on server {:x}, packet reached another one",
                            server.entry.key
                        );
                        self.checks.record_for_flow(self.now, "flow_misled", seen, flow);
                    }
                }
            }
        }
    }

    fn check_opening(&mut self, i: usize, instance: Option<usize>, flow: FlowKey) {
        let Some(instance) = instance else { return };
        self.check_domain(i, instance, flow);
        let sent = self.opened.get(&flow).copied().unwrap_or(self.now);
        let server = &self.fleet.servers[i];
        let opening = Opening {
            flow,
            sent,
            service: &server.entry.service,
            draining_since: server.draining_since,
            instance: (instance, self.instances[instance].starts),
            settled: self.is_settled(instance),
            stopping: self.instances[instance].is_terminating(),
        };
        self.checks.check_opening(self.now, &opening);
    }

    fn handle_caller_events(&mut self, instance: Option<usize>, events: Vec<CallerEvent>) {
        for event in events {
            match event {
                CallerEvent::Issued(id) => self.checks.record_sent(id),
                CallerEvent::Finished { served, .. } => {
                    self.checks.counts.responses += u64::from(served);
                    let outcome = if served { Outcome::Served } else { Outcome::Failed };
                    self.tally.record(self.now, outcome);
                }
                CallerEvent::NotExecuted(id) => self.checks.record_not_executed(self.now, id, None),
                CallerEvent::Invalid { caller, what, id } => {
                    let seen = format!("{what}, request {id:x?}");
                    self.checks.record(self.now, "answer", seen, Some(caller));
                }
                CallerEvent::Reset { caller, service, open: Some(open) } => {
                    self.check_reset(instance, (caller, service), open);
                }
                CallerEvent::Reset { open: None, .. } => {
                    self.tally.record(self.now, Outcome::Refused);
                }
            }
        }
    }

    /// Checks a reset of an open flow. It is allowed only if the flow does not have to be kept, even if
    /// the caller ignores it, which depends on the numbers that were drawn.
    fn check_reset(&mut self, instance: Option<usize>, flow: FlowKey, open: OpenFlow) {
        let Some(server) = self.fleet.holder(flow, open.expected) else { return };
        if self.must_keep(server, instance, flow, open.since) {
            let key = server.entry.key;
            let is_earlier = instance.is_some_and(|i| self.instances[i].earlier_release);
            let seen = format!(
                "reset by instance {instance:?}{}, but server {key:x} is {:?}; open for {:.2} s; {}",
                if is_earlier { " of an earlier release" } else { "" },
                server.run_state,
                (self.now - open.since).as_secs_f64(),
                self.describe_faults(server, instance),
            );
            let promise = if open.ends { "flow_broken" } else { "flow_refused" };
            self.checks.record_for_flow(self.now, promise, seen, flow);
        }
    }

    /// Checks that the packets of an open flow do not reach other servers only.
    fn check_diversion(&mut self, i: usize, instance: usize, segment: &Segment) {
        let flow = (segment.from, segment.to);
        let holder = self.fleet.server_with(flow);
        let reached = &self.fleet.servers[i];
        let since = self.opened.get(&flow).copied().unwrap_or(self.now);
        let Some(holder) = holder.filter(|holder| {
            holder.entry.address != reached.entry.address
                && self.must_keep(holder, Some(instance), flow, since)
        }) else {
            self.diverted.remove(&flow);
            return;
        };
        if segment.kind == SegmentKind::Opening {
            return;
        }
        let (count, first) = self.diverted.entry(flow).or_insert((0, self.now));
        *count += 1;
        if *count >= DIVERTED_PACKETS && self.now >= *first + MAX_DIVERSION {
            let key = holder.entry.key;
            let seen =
                format!("{count} packets reached other servers than {key:x}, which has the flow");
            self.diverted.remove(&flow);
            self.checks.record_for_flow(self.now, "flow_diverted", seen, flow);
        }
    }

    /// Returns the faults that may excuse the loss of a flow, as text.
    fn describe_faults(&self, server: &Server, instance: Option<usize>) -> String {
        let age = |at: Duration| self.now.as_secs_f64() - at.as_secs_f64();
        let instance = instance.map_or(Duration::ZERO, |i| self.instances[i].last_fault);
        format!(
            "last faults: server {:.2} s ago, instance {:.2} s ago, shared {:.2} s ago; partitions {:?}",
            age(server.last_fault),
            age(instance),
            age(self.last_shared_fault),
            self.partitions.iter().map(|partition| partition.domain).collect::<Vec<_>>(),
        )
    }

    /// Returns whether a flow has to be kept that has been open on a server since a time: not if
    /// the server was hit by a fault, the route was removed or the flow is old. A fault that is no
    /// maintenance excuses the instances and servers that it hits, or all if it is shared. Without
    /// excuses, the flow has to be kept as long as the server holds it.
    fn must_keep(
        &self,
        server: &Server,
        instance: Option<usize>,
        flow: FlowKey,
        since: Duration,
    ) -> bool {
        let settled = |since: Duration| self.now >= since + SETTLING_TIME;
        let is_in_touch = |i: usize| {
            let instance = &self.instances[i];
            let runs = instance.is_running() || instance.is_terminating();
            runs && settled(instance.last_fault)
        };
        let in_touch = settled(self.last_shared_fault)
            && settled(server.started)
            && instance.is_some_and(is_in_touch);
        let excused = || {
            !server.is_running()
                || !settled(server.last_fault)
                || !(settled(self.last_fault) || in_touch)
        };
        self.now < since + REQUIRED_FLOW_LIFETIME
            && !self.checks.was_dropped_since(since, flow.1)
            && !(self.excuses_flows && excused())
    }

    /// Records a fault that is not confined to single instances and servers.
    pub fn record_shared_fault(&mut self) {
        self.last_fault = self.last_fault.max(self.now);
        self.last_shared_fault = self.now;
    }

    /// Sets the impairment of the network.
    pub fn set_impairment(&mut self, impairment: Impairment) {
        self.network.impairment = impairment;
    }
}

/// Returns the checksum that callers and servers add to a packet. It is never 0, which stands
/// for resets by instances.
fn checksum(buf: &[u8]) -> u32 {
    xxh3_64(buf) as u32 | 1
}

/// Returns the service addresses: feeds and sales, sheets, and the one whose service changes.
fn service_addresses() -> [SocketAddrV4; USED_ROUTES] {
    [1, 2, 3].map(|n| SocketAddrV4::new([198, 18, 0, n].into(), 443))
}

fn first_routes() -> RawRoutes {
    let services = ["till", "sheets", "move-0"];
    let route = |(address, service): (SocketAddrV4, &str)| RawRoute {
        name: format!("to-{}", address.ip()),
        address,
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
    };
    let routes: Vec<_> = service_addresses().into_iter().zip(services).map(route).collect();
    let latency_targets_ms = vec![LATENCY_TARGET_MS; routes.len()];
    RawRoutes {
        version: 1,
        routes,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        latency_targets_ms,
        ..RawRoutes::default()
    }
}
