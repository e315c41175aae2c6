//! Exhaustive test of event orders: a flow is never forwarded to two targets, or reset by the
//! wrong one, while targets and instances change.
//!
//! The model has three instances and two targets. An event that does not occur in an order was
//! lost or late, and an instance without events was paused, so all orders up to a depth cover
//! all deliveries, losses and pauses up to it.

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use limpetdeck::flow::{ClassifiedPacket, FlowKey};
use limpetdeck::ids::{InstanceId, ServiceId, TargetId};
use limpetdeck::packet::{Segment, TcpFlags};
use limpetdeck::placement::{Placement, PlacementConfig, Policy, Ranks, Route, Verdict};
use limpetdeck::services::{RawServices, Services};

/// ID of the service.
static SERVICE: LazyLock<ServiceId> = LazyLock::new(service_id);
/// The flow that all packets belong to.
static KEY: LazyLock<FlowKey> = LazyLock::new(key);
const NOW: Duration = Duration::from_secs(60);
/// Number of events in one order, including the caller's first SYN.
const DEPTH: usize = 6;
const SYN: TcpFlags = TcpFlags { syn: true, ack: false, fin: false, rst: false };
const SYN_ACK: TcpFlags = TcpFlags { syn: true, ack: true, fin: false, rst: false };
const DATA: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: false };
/// The reset that a target without such a connection sends.
const RESET_WITHOUT_ACK: TcpFlags = TcpFlags { syn: false, ack: false, fin: false, rst: true };

/// A possible event; instances are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// The caller sends its SYN, possibly again.
    Syn(usize),
    /// A target replies to the SYN.
    SynAck(TargetId, usize),
    /// The caller sends data.
    Data(usize),
    /// An instance receives the changed set of targets.
    TargetsUpdate(usize),
    /// An instance receives the changed set of instances.
    MembersUpdate(usize),
    /// The owner of the flow crashes.
    Crash,
}

/// How the set of instances changes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    Join,
    Crash,
}

#[derive(Clone)]
struct Cluster {
    instances: Vec<Option<Placement>>,
    targets_updated: [bool; 3],
    members_updated: [bool; 3],
    /// Targets that have received the SYN.
    syn_targets: Vec<TargetId>,
    /// Target that the caller is connected to.
    connected: Option<TargetId>,
}

/// Returns the ID of a service whose placer is the third instance once it has joined.
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

/// Returns the key of a flow that the third instance owns once it has joined.
fn key() -> FlowKey {
    let ranks = Ranks::new(1..=3);
    let service = "10.1.0.1:7".parse().expect("an address");
    let caller = |port| format!("10.9.0.1:{port}").parse().expect("an address");
    let mut keys = (4_000..5_000).map(|port| FlowKey { caller: caller(port), service });
    keys.find(|key| ranks.at_rank(key.id(), 0) == Some(3)).expect("a flow of the third instance")
}

fn segment(from: Option<TargetId>, flags: TcpFlags) -> Segment {
    let FlowKey { caller, service } = *KEY;
    let target = |id| format!("10.1.1.{id}:7").parse().expect("an address");
    let (source, destination) = match from {
        Some(id) => (target(id), caller),
        None => (caller, service),
    };
    Segment { source, destination, sequence: 9, acknowledgment: 5, flags, payload_len: 0 }
}

impl Cluster {
    /// Creates a cluster of two known instances and a third that joins, or of three known
    /// instances for a crash.
    fn new(change: Change) -> Self {
        let known: Vec<InstanceId> =
            if change == Change::Join { vec![1, 2] } else { vec![1, 2, 3] };
        let instances = (1..=3).map(|me| {
            let cfg =
                PlacementConfig { instance_id: me, flow_capacity: 100, policy: Policy::Epochs };
            let mut placement = Placement::new(&cfg);
            placement.set_services(Duration::ZERO, 1, services(&[1, 2]));
            placement.set_members(Duration::ZERO, known.clone(), 1..=3);
            Some(placement)
        });
        let instances = instances.collect();
        Self {
            instances,
            targets_updated: [false; 3],
            members_updated: [false; 3],
            syn_targets: vec![],
            connected: None,
        }
    }

    /// Passes a packet between instances until one of them decides.
    fn send(&mut self, at: usize, segment: &Segment) -> Option<Verdict> {
        let (mut at, mut route) = (at, Route::ENTRY);
        loop {
            let placement = self.instances[at].as_mut()?;
            let services = Arc::clone(placement.services());
            let class = ClassifiedPacket::new(&services, segment)?;
            match placement.decide(NOW, &class, segment, route) {
                Verdict::ToInstance(to, next) => (at, route) = (to as usize - 1, next),
                verdict => return Some(verdict),
            }
        }
    }

    /// Applies an event; returns false if it cannot occur now.
    fn apply(&mut self, event: Event, change: Change, history: &[Event]) -> bool {
        match event {
            Event::Syn(at) => {
                if self.connected.is_some() {
                    return false;
                }
                if let Some(Verdict::ToTarget(target)) = self.send(at, &segment(None, SYN)) {
                    self.syn_targets.push(target);
                }
            }
            Event::SynAck(target, at) => {
                if !self.syn_targets.contains(&target) {
                    return false;
                }
                let verdict = self.send(at, &segment(Some(target), SYN_ACK));
                if verdict == Some(Verdict::ToCaller) {
                    self.connected = self.connected.or(Some(target));
                }
            }
            Event::Data(at) => return self.send_data(at, change, history),
            Event::TargetsUpdate(at) => {
                let Some(placement) = &mut self.instances[at] else { return false };
                if std::mem::replace(&mut self.targets_updated[at], true) {
                    return false;
                }
                placement.set_services(NOW, 2, services(&[2]));
            }
            Event::MembersUpdate(at) => return self.update_members(at, change),
            Event::Crash => {
                return change == Change::Crash && self.instances[2].take().is_some();
            }
        }
        true
    }

    fn send_data(&mut self, at: usize, change: Change, history: &[Event]) -> bool {
        let Some(connected) = self.connected else { return false };
        let Some(Verdict::ToTarget(target)) = self.send(at, &segment(None, DATA)) else {
            return true;
        };
        assert!(target == connected || change == Change::Crash, "two targets: {history:?}");
        if target != connected {
            for at in 0..3 {
                let mut next = self.clone();
                let verdict = next.send(at, &segment(Some(target), RESET_WITHOUT_ACK));
                assert_ne!(verdict, Some(Verdict::ToCaller), "ended by {target}: {history:?}");
            }
        }
        true
    }

    fn update_members(&mut self, at: usize, change: Change) -> bool {
        let crashed = self.instances.iter().position(Option::is_none);
        let Some(placement) = &mut self.instances[at] else { return false };
        if self.members_updated[at] || (change == Change::Crash && crashed.is_none()) {
            return false;
        }
        self.members_updated[at] = true;
        let live = (1..=3).filter(|&id| Some(id as usize - 1) != crashed);
        placement.set_members(NOW, live.clone(), live);
        true
    }
}

fn events() -> Vec<Event> {
    let mut events = vec![Event::Crash];
    for at in 0..3 {
        events.extend([Event::Syn(at), Event::SynAck(1, at), Event::SynAck(2, at)]);
        events.extend([Event::Data(at), Event::TargetsUpdate(at), Event::MembersUpdate(at)]);
    }
    events
}

/// Explores all orders and returns their number.
fn explore(cluster: &Cluster, change: Change, history: &mut Vec<Event>) -> usize {
    if history.len() == DEPTH {
        return 1;
    }
    let mut orders = 0;
    for event in events() {
        history.push(event);
        let mut next = cluster.clone();
        if next.apply(event, change, history) {
            orders += explore(&next, change, history);
        }
        history.pop();
    }
    orders
}

/// Explores all orders that begin with the caller's SYN at the first instance.
fn explore_all(change: Change) -> usize {
    let mut cluster = Cluster::new(change);
    let first = Event::Syn(0);
    assert!(cluster.apply(first, change, &[]));
    explore(&cluster, change, &mut vec![first])
}

#[test]
fn instance_join() {
    let orders = explore_all(Change::Join);
    println!("depth={DEPTH} orders={orders}");
    assert!(orders > 10_000);
}

#[test]
fn owner_crash() {
    let orders = explore_all(Change::Crash);
    println!("depth={DEPTH} orders={orders}");
    assert!(orders > 10_000);
}
