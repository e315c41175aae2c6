//! Drives three instances from a custom event loop, in virtual time and without sockets.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use etherparse::PacketBuilder;
use limpetdeck::ids::InstanceId;
use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::lists::{ListKind, RawList};
use limpetdeck::packet::decode;
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::placement::Policy;
use limpetdeck::platform::{Call, Changes, Object, PlatformError, Reply};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Number of ticks until all instances have joined and own flows.
const JOIN_TICKS: u32 = 100;
/// Number of instances; their IDs start at 1.
const INSTANCE_COUNT: InstanceId = 3;

fn main() {
    let mut simulation = Simulation::new();
    for _ in 0..JOIN_TICKS {
        simulation.tick();
    }
    let live = simulation.instances[0].status(simulation.now).live_instances;
    println!("{:?}: {live} instances are live", simulation.now);
    for port in 4_000..4_004 {
        // The fabric may send any packet to any instance.
        let receiver = InstanceId::from(port) % INSTANCE_COUNT + 1;
        simulation.deliver(receiver, Event::Packet(opening_packet(port)));
    }
}

/// The instances, their clock and the events in transit.
struct Simulation {
    now: Duration,
    instances: Vec<Instance>,
    /// Events not yet handled, each with its receiver.
    events: VecDeque<(InstanceId, Event)>,
}

impl Simulation {
    fn new() -> Self {
        let instances = (1..=INSTANCE_COUNT).map(new_instance).collect();
        Self { now: Duration::ZERO, instances, events: VecDeque::new() }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for id in 1..=INSTANCE_COUNT {
            self.deliver(id, Event::Tick);
        }
    }

    /// Delivers an event and all events that result from it.
    fn deliver(&mut self, to: InstanceId, event: Event) {
        self.events.push_back((to, event));
        while let Some((id, event)) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.instances[id as usize - 1].handle(self.now, event, &mut actions);
            for action in actions {
                self.execute(id, action);
            }
        }
    }

    /// Executes an action of an instance; the daemon uses sockets here.
    fn execute(&mut self, id: InstanceId, action: Action) {
        match action {
            Action::Fabric(packet) => print_sent(id, &packet),
            Action::Peer(to, buf) => {
                self.events.push_back((InstanceId::from(to.port()), Event::Peer(buf)));
            }
            Action::Redirect(to, buf) => {
                println!("instance {id} redirects a packet to instance {}", to.port());
                self.events.push_back((InstanceId::from(to.port()), Event::Peer(buf)));
            }
            // A watch ends when an object changes, which does not happen here.
            Action::Platform(Call::Watch { .. }) => {}
            Action::Platform(call) => {
                let result = platform_result(&call);
                self.events.push_back((id, Event::Platform(call, result)));
            }
            // The sample's targets have no load reports, and no instance is stopped.
            Action::Datagram(..)
            | Action::CheckConnection(_)
            | Action::TraceSpan(_)
            | Action::Probe(..)
            | Action::Exit => {}
        }
    }
}

fn new_instance(id: InstanceId) -> Instance {
    let me = MemberInfo {
        id,
        incarnation: 1,
        failure_domain: "gt-centro-a".to_owned(),
        peer_address: peer_address(id),
        metrics_address: peer_address(id),
        state: MemberState::Joining,
    };
    let cfg = InstanceConfig {
        me,
        seeds: (1..=INSTANCE_COUNT).map(peer_address).collect(),
        peer_keys: [7; 32].into(),
        control_budget: 3_000,
        flow_capacity: 1_000,
        trace_one_in: 0,
        policy: Policy::Epochs,
    };
    Instance::new(Duration::ZERO, cfg, SmallRng::seed_from_u64(id.into()))
}

/// Returns an address whose port is the instance ID; nothing listens there.
fn peer_address(id: InstanceId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], id as u16))
}

/// Simulates a platform that holds the sample's services.
fn platform_result(call: &Call) -> Result<Reply, PlatformError> {
    match call {
        Call::Get { .. } => Err(PlatformError::NotFound),
        Call::Put { .. } | Call::Delete { .. } => Ok(Reply::Written(1)),
        Call::List { .. } | Call::Watch { .. } => {
            let text = include_str!("../sample_configs/recarga/services.toml");
            let services = RawList::from_toml(ListKind::Services, text).expect("a valid sample");
            let name = ListKind::Services.object_name().to_owned();
            let objects = vec![Object { name, version: 1, value: services.to_json() }];
            Ok(Reply::Changes(Changes { era: 0, revision: 1, objects }))
        }
    }
}

/// Builds the first packet of a flow to the sample's first service.
fn opening_packet(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], [10, 1, 0, 1], 64).tcp(port, 7_000, 5, 100);
    let mut buf = Vec::new();
    builder.syn().write(&mut buf, &[]).expect("a packet in memory");
    buf
}

fn print_sent(id: InstanceId, packet: &[u8]) {
    let segment = decode(packet).expect("instances send valid packets");
    println!("instance {id} sends {} -> {}", segment.source, segment.destination);
}
