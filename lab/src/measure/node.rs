//! The instances of a run, behind one interface for all policies.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::Classified;
use limpetdeck::hash::HashMap;
use limpetdeck::ids::{FlowId, TargetId};
use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::packet::{Segment, decode, reset_answer, rewrite_destination, rewrite_source};
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::placement::{Binding, Policy as Placing, TargetState, preferred};
use limpetdeck::platform::{Call, Object, Reply};
use limpetdeck::services::{OBJECT_NAME, RawServices, Service, Services};
use limpetdeck::targets::StateChange;
use rand::Rng;
use rand::rngs::SmallRng;

use super::changes::Marks;
use super::settings::Policy;

/// Key of the messages between instances.
const PEER_KEY: [u8; 32] = [7; 32];
/// Control traffic that an instance may send, in bytes a second.
const CONTROL_BUDGET: u32 = 3_000;
/// Flows that an instance's table holds at most.
const FLOW_CAPACITY: usize = 1 << 20;
/// Time between two reads of the services by the naive policy.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// One instance as the fabric and the platform meet it.
pub trait Node {
    /// Takes an event and adds what is to be done to `out`.
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>);
    /// Tells the instance the state of a target, if it does not probe by itself.
    fn told(&mut self, change: StateChange);
    /// Tells whether the fabric should send packets here.
    fn healthy(&self) -> bool;
    /// Returns the marks of the services that are in force.
    fn marks(&self) -> Marks;
    /// Returns the bytes of state about open flows.
    fn state_bytes(&self) -> usize;
}

/// What a new node needs.
#[derive(Debug)]
pub struct NodeConfig {
    /// Number of the instance.
    pub id: u32,
    /// Start number of the instance.
    pub incarnation: u64,
    /// Failure domain that the instance stands in.
    pub failure_domain: String,
    /// Randomness of the instance.
    pub rng: SmallRng,
}

/// Returns the address under which instances reach each other.
pub fn peer_address(id: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, id as u8)), 7_200)
}

/// Makes the node of a policy.
pub fn make(
    now: Duration,
    policy: Policy,
    cfg: NodeConfig,
    services: &Rc<Services>,
    central: &Rc<RefCell<Central>>,
) -> Box<dyn Node> {
    match policy {
        Policy::Naive => Box::new(Naive {
            services: Rc::clone(services),
            gone: Vec::new(),
            next_poll: now + POLL_EVERY.mul_f64(cfg.rng.clone().random()),
        }),
        Policy::Ideal => Box::new(Ideal(Rc::clone(central))),
        Policy::Owner => Box::new(Real::new(now, cfg, Placing::Owner)),
        Policy::Epochs => Box::new(Real::new(now, cfg, Placing::Epochs)),
    }
}

/// The product's own decision parts.
struct Real {
    instance: Instance,
}

impl Real {
    fn new(now: Duration, cfg: NodeConfig, policy: Placing) -> Self {
        let me = MemberInfo {
            id: cfg.id,
            incarnation: cfg.incarnation,
            failure_domain: cfg.failure_domain,
            peer_address: peer_address(cfg.id),
            metrics_address: peer_address(cfg.id),
            state: MemberState::Joining,
        };
        let instance_cfg = InstanceConfig {
            me,
            seeds: (1..=3).map(peer_address).collect(),
            peer_key: PEER_KEY,
            control_budget: CONTROL_BUDGET,
            flow_capacity: FLOW_CAPACITY,
            trace_one_in: 0,
            policy,
        };
        Self { instance: Instance::new(now, instance_cfg, cfg.rng) }
    }
}

impl Node for Real {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.instance.handle(now, event, out);
    }

    fn told(&mut self, _change: StateChange) {}

    fn healthy(&self) -> bool {
        self.instance.healthy()
    }

    fn marks(&self) -> Marks {
        marks(self.instance.pipeline().placement.services())
    }

    /// A table of n entries has a power of two of buckets, at most seven eighths full.
    fn state_bytes(&self) -> usize {
        let flows = self.instance.pipeline().placement.flows().len();
        let shards = 64;
        let buckets = (flows / shards * 8 / 7).next_power_of_two() * shards;
        buckets * (size_of::<(FlowId, Binding)>() + 1)
    }
}

/// Hashes over the list of targets as this instance has it.
struct Naive {
    services: Rc<Services>,
    gone: Vec<TargetId>,
    next_poll: Duration,
}

impl Naive {
    fn poll(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now >= self.next_poll {
            self.next_poll = now + POLL_EVERY;
            out.push(Action::Platform(Call::Get { name: OBJECT_NAME.to_owned() }));
        }
    }

    /// Takes whatever has come last.
    fn adopt(&mut self, object: Object) {
        let raw = serde_json::from_value::<RawServices>(object.value).ok();
        if let Some(services) = raw.and_then(|raw| Services::try_from(raw).ok()) {
            self.services = Rc::new(services);
        }
    }
}

impl Node for Naive {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        let choose = |service: &Service, flow: FlowId, _: &Segment| {
            preferred(flow, service.targets.iter().filter(|target| !self.gone.contains(&target.id)))
        };
        match event {
            Event::Packet(packet) => out.extend(stateless(&self.services, packet, choose)),
            Event::Stop => out.push(Action::Exit),
            Event::Tick => self.poll(now, out),
            Event::Platform(_, Ok(Reply::Object(object))) => self.adopt(object),
            Event::Peer(_)
            | Event::Platform(..)
            | Event::Probed(..)
            | Event::Reached(..)
            | Event::Changed(_) => {}
        }
    }

    fn told(&mut self, change: StateChange) {
        self.gone.retain(|&target| target != change.target);
        if !takes_new(change.state) {
            self.gone.push(change.target);
        }
    }

    fn healthy(&self) -> bool {
        true
    }

    fn marks(&self) -> Marks {
        marks(&self.services)
    }

    fn state_bytes(&self) -> usize {
        0
    }
}

fn marks(services: &Services) -> Marks {
    let mark = |i: usize| services.list().get(i).map_or(0, |s| s.idle_timeout.as_secs());
    [mark(0), mark(1)]
}

/// Decodes, asks for the target, rewrites and forwards.
fn stateless(
    services: &Services,
    mut packet: Vec<u8>,
    choose: impl FnOnce(&Service, FlowId, &Segment) -> Option<TargetId>,
) -> Option<Action> {
    let segment = decode(&packet).ok()?;
    let class = Classified::new(services, &segment)?;
    if class.from.is_some() {
        rewrite_source(&mut packet, class.service.address).ok()?;
        return Some(Action::Fabric(packet));
    }
    let target = choose(class.service, class.flow, &segment).and_then(|id| services.target(id));
    let Some((_, target)) = target else {
        return reset_answer(&segment).map(Action::Fabric);
    };
    rewrite_destination(&mut packet, target.address).ok()?;
    Some(Action::Fabric(packet))
}

/// Tells whether a target in a state takes new flows.
pub fn takes_new(state: TargetState) -> bool {
    matches!(state, TargetState::Serving | TargetState::Cold)
}

/// What the central placer knows of a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Known {
    /// State of the target.
    pub state: TargetState,
    /// Sales and sessions that were placed and are not done.
    pub work: u32,
    /// Open flows.
    pub open: u32,
}

/// A central placer with perfect, instant knowledge.
#[derive(Debug, Default)]
pub struct Central {
    services: Arc<Services>,
    targets: HashMap<TargetId, Known>,
    bound: HashMap<FlowId, (TargetId, u32)>,
}

impl Central {
    /// Makes a placer for the services.
    pub fn new(services: Services) -> Self {
        Self { services: Arc::new(services), ..Self::default() }
    }

    /// Returns what is known of a target, for a change.
    pub fn target(&mut self, id: TargetId) -> &mut Known {
        self.targets.entry(id).or_default()
    }

    /// Notes that work is done.
    pub fn done(&mut self, target: TargetId) {
        let known = self.target(target);
        known.work = known.work.saturating_sub(1);
    }

    /// Finds or chooses the target of a packet's flow.
    fn place(&mut self, service: &Service, flow: FlowId, segment: &Segment) -> Option<TargetId> {
        let known = self.bound.get(&flow).copied();
        if let Some((target, opening)) = known
            && (!segment.flags.opens() || opening == segment.sequence)
        {
            let dead = self.target(target).state == TargetState::Dead;
            return (!dead).then_some(target);
        }
        if !segment.flags.opens() {
            return None;
        }
        let sale = super::traffic::uses_slot(segment.source);
        let use_of = |id: TargetId, slots: u32, weight: u32| {
            let known = self.targets.get(&id).copied().unwrap_or_default();
            let (work, open) = (known.work * 1_000 / slots, known.open * 1_000 / weight);
            if sale { (work, open, id) } else { (open, work, id) }
        };
        let open = service.targets.iter().filter(|target| {
            takes_new(self.targets.get(&target.id).copied().unwrap_or_default().state)
        });
        let best = open.map(|target| use_of(target.id, target.slots, target.weight)).min();
        let (_, _, target) = best?;
        self.bound.insert(flow, (target, segment.sequence));
        if sale {
            self.target(target).work += 1;
        }
        self.target(target).open += 1;
        Some(target)
    }

    /// Notes that a flow has ended.
    pub fn ended(&mut self, caller: SocketAddrV4, service: SocketAddrV4) {
        let flow = limpetdeck::flow::FlowKey { caller, service }.id();
        if let Some((target, _)) = self.bound.remove(&flow) {
            let known = self.target(target);
            known.open = known.open.saturating_sub(1);
        }
    }
}

/// Asks the central placer about each packet.
struct Ideal(Rc<RefCell<Central>>);

impl Node for Ideal {
    fn handle(&mut self, _now: Duration, event: Event, out: &mut Vec<Action>) {
        let services = Arc::clone(&self.0.borrow().services);
        let choose = |service: &Service, flow: FlowId, segment: &Segment| {
            self.0.borrow_mut().place(service, flow, segment)
        };
        match event {
            Event::Packet(packet) => out.extend(stateless(&services, packet, choose)),
            Event::Stop => out.push(Action::Exit),
            Event::Peer(_)
            | Event::Platform(..)
            | Event::Probed(..)
            | Event::Reached(..)
            | Event::Changed(_)
            | Event::Tick => {}
        }
    }

    fn told(&mut self, _change: StateChange) {}

    fn healthy(&self) -> bool {
        true
    }

    fn marks(&self) -> Marks {
        // The central placer has every change at once.
        [u64::MAX; 2]
    }

    fn state_bytes(&self) -> usize {
        0
    }
}
