//! Models of an instance under each policy, behind one interface.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::hash::HashMap;
use limpetdeck::ids::{FlowId, TargetId};
use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::packet::{Segment, build_reset, decode, rewrite_destination, rewrite_source};
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::placement::{Binding, Policy as PlacementPolicy, TargetState, target_by_hash};
use limpetdeck::platform::{Call, Object, Reply};
use limpetdeck::services::{OBJECT_NAME, RawServices, Service, Services};
use limpetdeck::targets::StateChange;
use rand::Rng;
use rand::rngs::SmallRng;

use super::changes::Markers;
use super::settings::Policy;

/// Key of the messages between instances.
const PEER_KEY: [u8; 32] = [7; 32];
/// Control traffic that an instance may send, in bytes per second.
const CONTROL_BUDGET: u32 = 3_000;
/// Maximum number of flows in an instance's table.
const FLOW_CAPACITY: usize = 1 << 20;
/// Time between reads of the services under the naive policy.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// An instance as seen by the fabric and the platform.
pub trait InstanceModel {
    /// Handles an event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>);
    /// Handles the state of a target; ignored by models that probe targets themselves.
    fn on_target_state(&mut self, change: StateChange);
    /// Returns whether the fabric should send packets to the instance.
    fn is_healthy(&self) -> bool;
    /// Returns the markers of the active services.
    fn active_markers(&self) -> Markers;
    /// Returns the size of the flow state in bytes.
    fn flow_state_bytes(&self) -> usize;
}

/// Configuration of a model.
#[derive(Debug)]
pub struct ModelConfig {
    /// Instance ID.
    pub id: u32,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Random generator of the instance.
    pub rng: SmallRng,
}

/// Returns the peer address of an instance.
pub fn peer_address(id: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, id as u8)), 7_200)
}

/// Creates the model for a policy.
pub fn create(
    now: Duration,
    policy: Policy,
    cfg: ModelConfig,
    services: &Rc<Services>,
    placer: &Rc<RefCell<CentralPlacer>>,
) -> Box<dyn InstanceModel> {
    match policy {
        Policy::Naive => Box::new(NaiveInstance {
            services: Rc::clone(services),
            unavailable: Vec::new(),
            next_poll: now + POLL_INTERVAL.mul_f64(cfg.rng.clone().random()),
        }),
        Policy::Ideal => Box::new(IdealInstance(Rc::clone(placer))),
        Policy::Owner => Box::new(DaemonInstance::new(now, cfg, PlacementPolicy::Owner)),
        Policy::Epochs => Box::new(DaemonInstance::new(now, cfg, PlacementPolicy::Epochs)),
    }
}

/// Runs the decision logic of the daemon.
struct DaemonInstance {
    instance: Instance,
}

impl DaemonInstance {
    fn new(now: Duration, cfg: ModelConfig, policy: PlacementPolicy) -> Self {
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
            peer_keys: PEER_KEY.into(),
            control_budget: CONTROL_BUDGET,
            flow_capacity: FLOW_CAPACITY,
            trace_one_in: 0,
            policy,
        };
        Self { instance: Instance::new(now, instance_cfg, cfg.rng) }
    }
}

impl InstanceModel for DaemonInstance {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.instance.handle(now, event, out);
    }

    fn on_target_state(&mut self, _change: StateChange) {}

    fn is_healthy(&self) -> bool {
        self.instance.healthy()
    }

    fn active_markers(&self) -> Markers {
        service_markers(self.instance.pipeline().placement.services())
    }

    /// The table's number of buckets is a power of two, with a load factor of at most 7/8.
    fn flow_state_bytes(&self) -> usize {
        let flows = self.instance.pipeline().placement.flows().len();
        let shards = 64;
        let buckets = (flows / shards * 8 / 7).next_power_of_two() * shards;
        buckets * (size_of::<(FlowId, Binding)>() + 1)
    }
}

/// Hashes over this instance's own list of targets, without flow state.
struct NaiveInstance {
    services: Rc<Services>,
    unavailable: Vec<TargetId>,
    next_poll: Duration,
}

impl NaiveInstance {
    fn poll(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            out.push(Action::Platform(Call::Get { name: OBJECT_NAME.to_owned() }));
        }
    }

    /// Applies the services received last, whatever their version.
    fn adopt(&mut self, object: Object) {
        let raw = serde_json::from_value::<RawServices>(object.value).ok();
        if let Some(services) = raw.and_then(|raw| Services::try_from(raw).ok()) {
            self.services = Rc::new(services);
        }
    }
}

impl InstanceModel for NaiveInstance {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        let select = |service: &Service, flow: FlowId, _: &Segment| {
            target_by_hash(
                flow,
                service.targets.iter().filter(|target| !self.unavailable.contains(&target.id)),
            )
        };
        match event {
            Event::Packet(packet) => out.extend(forward_stateless(&self.services, packet, select)),
            Event::Stop => out.push(Action::Exit),
            Event::Tick => self.poll(now, out),
            Event::Platform(_, Ok(Reply::Object(object))) => self.adopt(object),
            Event::Peer(_)
            | Event::Platform(..)
            | Event::PlatformPart(..)
            | Event::ProbeFinished(..)
            | Event::ConnectionChecked(..)
            | Event::SettingsChanged(_)
            | Event::PacketsRead(_)
            | Event::TimeLost => {}
        }
    }

    fn on_target_state(&mut self, change: StateChange) {
        self.unavailable.retain(|&target| target != change.target);
        if !accepts_new_flows(change.state) {
            self.unavailable.push(change.target);
        }
    }

    fn is_healthy(&self) -> bool {
        true
    }

    fn active_markers(&self) -> Markers {
        service_markers(&self.services)
    }

    fn flow_state_bytes(&self) -> usize {
        0
    }
}

fn service_markers(services: &Services) -> Markers {
    let marker = |i: usize| services.list().get(i).map_or(0, |s| s.idle_timeout.as_secs());
    [marker(0), marker(1)]
}

/// Selects the target of a packet, rewrites the packet and forwards it.
fn forward_stateless(
    services: &Services,
    mut packet: Vec<u8>,
    select: impl FnOnce(&Service, FlowId, &Segment) -> Option<TargetId>,
) -> Option<Action> {
    let segment = decode(&packet).ok()?;
    let class = ClassifiedPacket::new(services, &segment)?;
    if class.from_target.is_some() {
        rewrite_source(&mut packet, class.service.address).ok()?;
        return Some(Action::Fabric(packet));
    }
    let target = select(class.service, class.flow, &segment).and_then(|id| services.target(id));
    let Some((_, target)) = target else {
        return build_reset(&segment).map(Action::Fabric);
    };
    rewrite_destination(&mut packet, target.address).ok()?;
    Some(Action::Fabric(packet))
}

/// Returns whether a target in the given state accepts new flows.
pub fn accepts_new_flows(state: TargetState) -> bool {
    matches!(state, TargetState::Serving | TargetState::Cold)
}

/// State and load of a target as known to the central placer.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetLoad {
    /// State of the target.
    pub state: TargetState,
    /// Sales and sessions placed on the target and not finished.
    pub work: u32,
    /// Open flows.
    pub open: u32,
}

/// Central placer with perfect, instant knowledge.
#[derive(Debug, Default)]
pub struct CentralPlacer {
    services: Arc<Services>,
    targets: HashMap<TargetId, TargetLoad>,
    bindings: HashMap<FlowId, (TargetId, u32)>,
}

impl CentralPlacer {
    /// Creates a placer for the given services.
    pub fn new(services: Services) -> Self {
        Self { services: Arc::new(services), ..Self::default() }
    }

    /// Returns a mutable reference to a target's entry, added if missing.
    pub fn target_mut(&mut self, id: TargetId) -> &mut TargetLoad {
        self.targets.entry(id).or_default()
    }

    /// Records that a sale or session on a target is finished.
    pub fn work_done(&mut self, target: TargetId) {
        let load = self.target_mut(target);
        load.work = load.work.saturating_sub(1);
    }

    /// Returns the target of the packet's flow, selecting one for a new flow.
    fn select_target(
        &mut self,
        service: &Service,
        flow: FlowId,
        segment: &Segment,
    ) -> Option<TargetId> {
        let binding = self.bindings.get(&flow).copied();
        if let Some((target, initial_sequence)) = binding
            && (!segment.flags.opens_flow() || initial_sequence == segment.sequence)
        {
            let dead = self.target_mut(target).state == TargetState::Dead;
            return (!dead).then_some(target);
        }
        if !segment.flags.opens_flow() {
            return None;
        }
        let needs_slot = super::traffic::uses_slot(segment.source);
        let load_key = |id: TargetId, slots: u32, weight: u32| {
            let load = self.targets.get(&id).copied().unwrap_or_default();
            let (work, open) = (load.work * 1_000 / slots, load.open * 1_000 / weight);
            if needs_slot { (work, open, id) } else { (open, work, id) }
        };
        let eligible = service.targets.iter().filter(|target| {
            accepts_new_flows(self.targets.get(&target.id).copied().unwrap_or_default().state)
        });
        let least_loaded =
            eligible.map(|target| load_key(target.id, target.slots, target.weight)).min();
        let (_, _, target) = least_loaded?;
        self.bindings.insert(flow, (target, segment.sequence));
        if needs_slot {
            self.target_mut(target).work += 1;
        }
        self.target_mut(target).open += 1;
        Some(target)
    }

    /// Removes the binding of an ended flow.
    pub fn flow_ended(&mut self, caller: SocketAddrV4, service: SocketAddrV4) {
        let flow = limpetdeck::flow::FlowKey { caller, service }.id();
        if let Some((target, _)) = self.bindings.remove(&flow) {
            let load = self.target_mut(target);
            load.open = load.open.saturating_sub(1);
        }
    }
}

/// Looks up the target of each packet with the central placer.
struct IdealInstance(Rc<RefCell<CentralPlacer>>);

impl InstanceModel for IdealInstance {
    fn handle(&mut self, _now: Duration, event: Event, out: &mut Vec<Action>) {
        let services = Arc::clone(&self.0.borrow().services);
        let select = |service: &Service, flow: FlowId, segment: &Segment| {
            self.0.borrow_mut().select_target(service, flow, segment)
        };
        match event {
            Event::Packet(packet) => out.extend(forward_stateless(&services, packet, select)),
            Event::Stop => out.push(Action::Exit),
            Event::Peer(_)
            | Event::Platform(..)
            | Event::PlatformPart(..)
            | Event::ProbeFinished(..)
            | Event::ConnectionChecked(..)
            | Event::SettingsChanged(_)
            | Event::PacketsRead(_)
            | Event::TimeLost
            | Event::Tick => {}
        }
    }

    fn on_target_state(&mut self, _change: StateChange) {}

    fn is_healthy(&self) -> bool {
        true
    }

    fn active_markers(&self) -> Markers {
        // The central placer knows every change immediately.
        [u64::MAX; 2]
    }

    fn flow_state_bytes(&self) -> usize {
        0
    }
}
