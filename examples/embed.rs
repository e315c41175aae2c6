//! Drives three instances from a loop of one's own, in virtual time and without sockets.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use etherparse::PacketBuilder;
use limpetdeck::ids::InstanceId;
use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::lists::{Content, ListKind};
use limpetdeck::packet::decode;
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::placement::Policy;
use limpetdeck::platform::{Call, Changes, Object, PlatformError, Reply};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Ticks until all instances own flows.
const JOIN_TICKS: u32 = 100;
/// Instances of the example, numbered from 1.
const INSTANCES: InstanceId = 3;

fn main() {
    let mut world = World::new();
    for _ in 0..JOIN_TICKS {
        world.tick();
    }
    let live = world.instances[0].status(world.now).live_instances;
    println!("{:?}: {live} instances are live", world.now);
    for port in 4_000..4_004 {
        // Any instance takes any packet.
        let entry = InstanceId::from(port) % INSTANCES + 1;
        world.deliver(entry, Event::Packet(opening(port)));
    }
}

/// The instances with what stands around them.
struct World {
    now: Duration,
    instances: Vec<Instance>,
    /// Events that are still to be handed over, and to whom.
    events: VecDeque<(InstanceId, Event)>,
}

impl World {
    fn new() -> Self {
        let instances = (1..=INSTANCES).map(instance).collect();
        Self { now: Duration::ZERO, instances, events: VecDeque::new() }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for id in 1..=INSTANCES {
            self.deliver(id, Event::Tick);
        }
    }

    /// Hands over an event, and all that follows from it.
    fn deliver(&mut self, to: InstanceId, event: Event) {
        self.events.push_back((to, event));
        while let Some((id, event)) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.instances[id as usize - 1].handle(self.now, event, &mut actions);
            for action in actions {
                self.act(id, action);
            }
        }
    }

    /// Does what an instance wants done. A daemon uses sockets here.
    fn act(&mut self, id: InstanceId, action: Action) {
        match action {
            Action::Fabric(packet) => sent(id, &packet),
            Action::Peer(to, buf) => {
                self.events.push_back((InstanceId::from(to.port()), Event::Peer(buf)));
            }
            Action::PassOn(to, buf) => {
                println!("instance {id} passes a packet on to instance {}", to.port());
                self.events.push_back((InstanceId::from(to.port()), Event::Peer(buf)));
            }
            // A watch ends when something changes, and here nothing does.
            Action::Platform(Call::Watch { .. }) => {}
            Action::Platform(call) => {
                let result = answer(&call);
                self.events.push_back((id, Event::Platform(call, result)));
            }
            // The sample's targets have no load reports, and nobody stops the instances.
            Action::Datagram(..)
            | Action::Reach(_)
            | Action::Traced(_)
            | Action::Probe(..)
            | Action::Exit => {}
        }
    }
}

fn instance(id: InstanceId) -> Instance {
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
        seeds: (1..=INSTANCES).map(peer_address).collect(),
        peer_key: [7; 32],
        control_budget: 3_000,
        flow_capacity: 1_000,
        trace_one_in: 0,
        policy: Policy::Epochs,
    };
    Instance::new(Duration::ZERO, cfg, SmallRng::seed_from_u64(id.into()))
}

/// Returns an address whose port is the instance's number; nothing listens there.
fn peer_address(id: InstanceId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], id as u16))
}

/// Answers as a platform that holds the sample's services.
fn answer(call: &Call) -> Result<Reply, PlatformError> {
    match call {
        Call::Get { .. } => Err(PlatformError::NotFound),
        Call::Put { .. } | Call::Delete { .. } => Ok(Reply::Written(1)),
        Call::List { .. } | Call::Watch { .. } => {
            let text = include_str!("../sample_configs/recarga/services.toml");
            let services = Content::from_toml(ListKind::Services, text).expect("a valid sample");
            let name = ListKind::Services.object().to_owned();
            let objects = vec![Object { name, version: 1, value: services.to_json() }];
            Ok(Reply::Changes(Changes { revision: 1, objects }))
        }
    }
}

/// Makes the first packet of a flow to the sample's first service.
fn opening(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], [10, 1, 0, 1], 64).tcp(port, 7_000, 5, 100);
    let mut buf = Vec::new();
    builder.syn().write(&mut buf, &[]).expect("a packet in memory");
    buf
}

fn sent(id: InstanceId, packet: &[u8]) {
    let segment = decode(packet).expect("instances send valid packets");
    println!("instance {id} sends {} -> {}", segment.source, segment.destination);
}
