//! Every order of a few events, with losses, pauses and a crash, keeps a flow whole.
//!
//! Three instances and two targets. An event that is not taken was lost or came too late,
//! and an instance that takes none was paused; so all orders of events up to a depth stand
//! for all orders of delivery, loss and pause up to it.

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use limpetdeck::flow::{Classified, FlowKey};
use limpetdeck::ids::{InstanceId, ServiceId, TargetId};
use limpetdeck::packet::{Flags, Segment};
use limpetdeck::placement::{Placement, PlacementConfig, Policy, Ranks, Route, Verdict};
use limpetdeck::services::{RawServices, Services};

/// Number of the service.
static SERVICE: LazyLock<ServiceId> = LazyLock::new(service_id);
/// The flow that all packets belong to.
static KEY: LazyLock<FlowKey> = LazyLock::new(key);
const NOW: Duration = Duration::from_secs(60);
/// Events in one order, the first of which is the caller's first packet.
const DEPTH: usize = 6;
const SYN: Flags = Flags { syn: true, ack: false, fin: false, rst: false };
const SYN_ACK: Flags = Flags { syn: true, ack: true, fin: false, rst: false };
const DATA: Flags = Flags { syn: false, ack: true, fin: false, rst: false };
/// The reset of a target that has no such connection.
const NO_CONNECTION: Flags = Flags { syn: false, ack: false, fin: false, rst: true };

/// Something that may happen next; instances are counted from 0.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// The caller sends its first packet, perhaps again.
    Opening(usize),
    /// A target's answer to the first packet.
    Answer(TargetId, usize),
    /// The caller sends data.
    Data(usize),
    /// An instance hears of the changed set of targets.
    Update(usize),
    /// An instance hears of the changed set of instances.
    Members(usize),
    /// The flow's owner dies.
    Crash,
}

/// How the set of instances changes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    Join,
    Crash,
}

#[derive(Clone)]
struct World {
    instances: Vec<Option<Placement>>,
    updated: [bool; 3],
    told: [bool; 3],
    /// Targets that have got the first packet.
    opened: Vec<TargetId>,
    /// Target that the caller is connected to.
    connected: Option<TargetId>,
}

/// Returns the number of a service that the third instance places once it is known.
fn service_id() -> ServiceId {
    let ranks = Ranks::new(1..=3);
    (1..100).find(|&id| ranks.placer(id) == Some(3)).expect("a service of the third instance")
}

fn services(targets: &[TargetId]) -> Arc<Services> {
    let targets: Vec<_> = targets
        .iter()
        .map(|id| {
            format!(
                "{{ id = {id}, address = \"10.1.1.{id}:7\", failure_domain = \"a\", slots = 1 }}"
            )
        })
        .collect();
    let text = format!(
        "[[services]]\nid = {}\nname = \"a\"\naddress = \"10.1.0.1:7\"\nweighs = \"broken-flows\"\n\
         idle_timeout_s = 60\ntargets = [{}]\n",
        *SERVICE,
        targets.join(", ")
    );
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    Arc::new(Services::try_from(raw).expect("valid services"))
}

/// Returns the key of a flow that the third instance owns once it is known.
fn key() -> FlowKey {
    let ranks = Ranks::new(1..=3);
    let service = "10.1.0.1:7".parse().expect("an address");
    let caller = |port| format!("10.9.0.1:{port}").parse().expect("an address");
    let mut keys = (4_000..5_000).map(|port| FlowKey { caller: caller(port), service });
    keys.find(|key| ranks.of(key.id(), 0) == Some(3)).expect("a flow of the third instance")
}

fn segment(from: Option<TargetId>, flags: Flags) -> Segment {
    let FlowKey { caller, service } = *KEY;
    let target = |id| format!("10.1.1.{id}:7").parse().expect("an address");
    let (source, destination) = match from {
        Some(id) => (target(id), caller),
        None => (caller, service),
    };
    Segment { source, destination, sequence: 9, acknowledgment: 5, flags, payload_len: 0 }
}

impl World {
    /// For a join the third instance is new; for a crash all three are known.
    fn new(change: Change) -> Self {
        let known: Vec<InstanceId> =
            if change == Change::Join { vec![1, 2] } else { vec![1, 2, 3] };
        let instances = (1..=3).map(|me| {
            let cfg = PlacementConfig { me, flow_capacity: 100, policy: Policy::Epochs };
            let mut placement = Placement::new(&cfg);
            placement.set_services(Duration::ZERO, 1, services(&[1, 2]));
            placement.set_members(Duration::ZERO, known.clone(), 1..=3);
            Some(placement)
        });
        let instances = instances.collect();
        Self { instances, updated: [false; 3], told: [false; 3], opened: vec![], connected: None }
    }

    /// Sends a packet through the instances until one decides.
    fn send(&mut self, at: usize, segment: &Segment) -> Option<Verdict> {
        let (mut at, mut route) = (at, Route::ENTRY);
        loop {
            let placement = self.instances[at].as_mut()?;
            let services = Arc::clone(placement.services());
            let class = Classified::new(&services, segment)?;
            match placement.decide(NOW, &class, segment, route) {
                Verdict::ToInstance(to, next) => (at, route) = (to as usize - 1, next),
                verdict => return Some(verdict),
            }
        }
    }

    /// Takes an event; answers false if it cannot happen now.
    fn take(&mut self, event: Event, change: Change, trail: &[Event]) -> bool {
        match event {
            Event::Opening(at) => {
                if self.connected.is_some() {
                    return false;
                }
                if let Some(Verdict::ToTarget(target)) = self.send(at, &segment(None, SYN)) {
                    self.opened.push(target);
                }
            }
            Event::Answer(target, at) => {
                if !self.opened.contains(&target) {
                    return false;
                }
                let verdict = self.send(at, &segment(Some(target), SYN_ACK));
                if verdict == Some(Verdict::ToCaller) {
                    self.connected = self.connected.or(Some(target));
                }
            }
            Event::Data(at) => return self.data(at, change, trail),
            Event::Update(at) => {
                let Some(placement) = &mut self.instances[at] else { return false };
                if std::mem::replace(&mut self.updated[at], true) {
                    return false;
                }
                placement.set_services(NOW, 2, services(&[2]));
            }
            Event::Members(at) => return self.tell(at, change),
            Event::Crash => {
                return change == Change::Crash && self.instances[2].take().is_some();
            }
        }
        true
    }

    fn data(&mut self, at: usize, change: Change, trail: &[Event]) -> bool {
        let Some(connected) = self.connected else { return false };
        let Some(Verdict::ToTarget(target)) = self.send(at, &segment(None, DATA)) else {
            return true;
        };
        assert!(target == connected || change == Change::Crash, "two targets: {trail:?}");
        if target != connected {
            for at in 0..3 {
                let mut next = self.clone();
                let verdict = next.send(at, &segment(Some(target), NO_CONNECTION));
                assert_ne!(verdict, Some(Verdict::ToCaller), "ended by {target}: {trail:?}");
            }
        }
        true
    }

    fn tell(&mut self, at: usize, change: Change) -> bool {
        let crashed = self.instances.iter().position(Option::is_none);
        let Some(placement) = &mut self.instances[at] else { return false };
        if self.told[at] || (change == Change::Crash && crashed.is_none()) {
            return false;
        }
        self.told[at] = true;
        let live = (1..=3).filter(|&id| Some(id as usize - 1) != crashed);
        placement.set_members(NOW, live.clone(), live);
        true
    }
}

fn events() -> Vec<Event> {
    let mut events = vec![Event::Crash];
    for at in 0..3 {
        events.extend([Event::Opening(at), Event::Answer(1, at), Event::Answer(2, at)]);
        events.extend([Event::Data(at), Event::Update(at), Event::Members(at)]);
    }
    events
}

/// Tries all orders and returns how many there were.
fn explore(world: &World, change: Change, trail: &mut Vec<Event>) -> usize {
    if trail.len() == DEPTH {
        return 1;
    }
    let mut orders = 0;
    for event in events() {
        trail.push(event);
        let mut next = world.clone();
        if next.take(event, change, trail) {
            orders += explore(&next, change, trail);
        }
        trail.pop();
    }
    orders
}

/// Tries all orders that begin with the caller's first packet at the first instance.
fn explore_all(change: Change) -> usize {
    let mut world = World::new(change);
    let first = Event::Opening(0);
    assert!(world.take(first, change, &[]));
    explore(&world, change, &mut vec![first])
}

#[test]
fn instance_joins() {
    let orders = explore_all(Change::Join);
    println!("depth={DEPTH} orders={orders}");
    assert!(orders > 10_000);
}

#[test]
fn owner_dies() {
    let orders = explore_all(Change::Crash);
    println!("depth={DEPTH} orders={orders}");
    assert!(orders > 10_000);
}
