//! Instances in virtual time: what one learns reaches all, with the platform and without.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::{Action, Changeable, Core, Event};
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::platform::{Call, Changes, Object, PlatformError, Reply, Revision};
use limpetdeck::steering::{Node, NodeConfig, RawRoutes, Target, TargetState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use support::*;

const TICK: Duration = Duration::from_millis(100);
/// Bytes that IPv4 and UDP add to each message.
const OVERHEAD: usize = 28;
/// Delay of a message or an answer.
const DELAY: Duration = Duration::from_millis(4);

/// What the platform holds.
#[derive(Default)]
struct Store {
    revision: Revision,
    objects: BTreeMap<String, Object>,
    /// Instances that it does not answer.
    refuses: Vec<usize>,
    down: bool,
    calls: u32,
}

impl Store {
    fn put(&mut self, mut object: Object) {
        self.revision += 1;
        object.version = self.revision;
        self.objects.insert(object.name.clone(), object);
    }

    fn target(&mut self, target: &Target) {
        self.put(object(0, target));
    }

    fn routes(&mut self, raw: &RawRoutes) {
        let value = serde_json::to_value(raw).expect("plain data");
        self.put(Object { name: "routes/main".to_owned(), version: 0, value });
    }

    fn remove(&mut self, key: u64) {
        self.revision += 1;
        let name = format!("targets/{key:x}");
        let gone = Object { name: name.clone(), version: self.revision, value: Value::Null };
        self.objects.insert(name, gone);
    }

    fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let named = self.objects.values().filter(|object| object.name.starts_with(prefix));
        let objects = named.filter(|object| object.version > after).cloned().collect();
        Changes { revision: self.revision, objects }
    }
}

struct World {
    now: Duration,
    store: Store,
    nodes: Vec<Option<Node>>,
    starts: u64,
    flying: BTreeMap<(Duration, u64), (usize, Event)>,
    watches: Vec<(usize, Call, Duration)>,
    sent: u64,
    /// Datagrams to targets and callers, by instance.
    out: Vec<Vec<(SocketAddr, Vec<u8>)>>,
    exited: Vec<bool>,
    /// Bytes of messages to peers, with what IPv4 and UDP add.
    control: usize,
    /// Addresses to which connections were tried, by instance.
    tried: Vec<Vec<SocketAddr>>,
    rng: SmallRng,
}

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, i as u8 + 1], 7_720))
}

impl World {
    fn new(instances: usize) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            store: Store::default(),
            nodes: Vec::new(),
            starts: 0,
            flying: BTreeMap::new(),
            watches: Vec::new(),
            sent: 0,
            out: vec![Vec::new(); instances],
            exited: vec![false; instances],
            control: 0,
            tried: vec![Vec::new(); instances],
            rng: SmallRng::seed_from_u64(11),
        };
        world.store.routes(&routes(1, &[TILL]));
        for key in 1..=4 {
            world.store.target(&target(key, TILL));
        }
        for i in 0..instances {
            world.nodes.push(None);
            world.start(i);
        }
        world
    }

    fn start(&mut self, i: usize) {
        self.starts += 1;
        let me = MemberInfo {
            id: i as u32 + 1,
            incarnation: 1_000 + self.starts,
            failure_domain: if i.is_multiple_of(2) { HOME } else { AWAY }.to_owned(),
            peer_address: peer(i),
            metrics_address: peer(i),
            state: MemberState::Live,
        };
        let cfg = NodeConfig {
            me,
            seeds: vec![peer(0), peer(1)],
            peer_key: KEY,
            control_budget: 3_000,
            trace_one_in: 0,
            grace: Duration::from_secs(6),
            format: Box::new(TextPackets),
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.flying.retain(|_, (to, event)| *to != i || !matches!(event, Event::Platform(..)));
        self.watches.retain(|(to, ..)| *to != i);
        self.nodes[i] = Some(Node::new(self.now, cfg, rng));
    }

    fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    fn node(&self, i: usize) -> &Node {
        self.nodes[i].as_ref().expect("it runs")
    }

    fn handle(&mut self, i: usize, event: Event) {
        let Some(node) = &mut self.nodes[i] else { return };
        let mut actions = Vec::new();
        node.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Peer(to, buf) => {
                    self.control += buf.len() + OVERHEAD;
                    if let Some(to) = (0..self.nodes.len()).find(|&i| peer(i) == to) {
                        self.later(to, Event::Peer(buf));
                    }
                }
                Action::Platform(call) => self.call(i, call),
                Action::Datagram(to, buf) => self.out[i].push((to, buf)),
                Action::Reach(address) => self.tried[i].push(address),
                Action::Exit => self.exited[i] = true,
                _ => {}
            }
        }
    }

    fn later(&mut self, to: usize, event: Event) {
        self.sent += 1;
        self.flying.insert((self.now + DELAY, self.sent), (to, event));
    }

    fn call(&mut self, i: usize, call: Call) {
        self.store.calls += 1;
        if self.store.down || self.store.refuses.contains(&i) {
            let refused = PlatformError::Refused("503".to_owned());
            return self.later(i, Event::Platform(call, Err(refused)));
        }
        let reply = match &call {
            Call::List { prefix } => {
                let mut all = self.store.changes(prefix, 0);
                all.objects.retain(|object| !object.value.is_null());
                Reply::Changes(all)
            }
            Call::Watch { wait, .. } => {
                let until = self.now + *wait;
                return self.watches.push((i, call, until));
            }
            _ => Reply::Written(1),
        };
        self.later(i, Event::Platform(call, Ok(reply)));
    }

    fn answer_watches(&mut self) {
        for (i, call, until) in std::mem::take(&mut self.watches) {
            let Call::Watch { prefix, after, .. } = &call else { continue };
            if self.store.down || self.store.refuses.contains(&i) {
                let lost = PlatformError::NoAnswer("reset".to_owned());
                self.later(i, Event::Platform(call, Err(lost)));
                continue;
            }
            let changes = self.store.changes(prefix, *after);
            if changes.objects.is_empty() && self.now < until {
                self.watches.push((i, call, until));
            } else {
                self.later(i, Event::Platform(call, Ok(Reply::Changes(changes))));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.answer_watches();
            for i in 0..self.nodes.len() {
                self.handle(i, Event::Tick);
            }
            let until = self.now + TICK;
            while let Some(entry) = self.flying.first_entry().filter(|e| e.key().0 < until) {
                let ((at, _), (to, event)) = entry.remove_entry();
                self.now = self.now.max(at);
                self.handle(to, event);
            }
            self.now = until - TICK;
        }
    }

    fn all(&self, holds: impl Fn(&Node) -> bool) -> bool {
        self.nodes.iter().flatten().all(holds)
    }

    /// Runs until the condition holds for all instances; returns the time that took.
    fn until(&mut self, most: Duration, holds: impl Fn(&Node) -> bool) -> Duration {
        let start = self.now;
        while !self.all(&holds) {
            assert!(self.now < start + most, "not within {most:?}");
            self.run(TICK);
        }
        self.now - start
    }
}

fn has_left(key: u64) -> impl Fn(&Node) -> bool {
    move |node| !node.steer().directory.usable(Duration::ZERO, TILL).any(|(t, _)| t.key == key)
}

#[test]
fn ready_soon() {
    let mut world = World::new(12);
    let time = world.until(ms(300), Core::healthy);
    println!("ready_after={time:?}");
}

/// A drain is known everywhere well within the three seconds that the users give.
#[test]
fn drain_spreads() {
    let mut world = World::new(24);
    world.run(Duration::from_secs(15));
    let drains = Target { state: TargetState::Draining, ..target(2, TILL) };
    world.store.target(&drains);
    let time = world.until(ms(2_000), has_left(2));
    println!("known_after={time:?}");
}

#[test]
fn routes_spread() {
    let mut world = World::new(24);
    world.run(Duration::from_secs(15));
    world.store.routes(&routes(5, &[TILL, TILL]));
    let time = world.until(ms(2_500), |node| node.steer().routes.version() == 5);
    println!("in_force_after={time:?}");
}

/// The calls of an instance do not rise with their number.
#[test]
fn few_calls() {
    let calls_of = |instances| {
        let mut world = World::new(instances);
        world.run(Duration::from_secs(15));
        world.store.calls = 0;
        world.run(Duration::from_secs(30));
        world.store.calls
    };
    let (few, many) = (calls_of(10), calls_of(40));
    println!("calls_in_30_s few={few} many={many}");
    // Three watchers in each of two domains, two watches each.
    assert!(many <= few + few / 4, "{few} calls of 10 instances, {many} of 40");
}

/// Messages between instances stay within what the users allow, at rest and while targets
/// change, whatever the number of instances.
#[test]
fn control_bytes() {
    for instances in [10, 40, 100] {
        let mut world = World::new(instances);
        world.run(Duration::from_secs(60));
        let mut spent = Vec::new();
        for changes in [0, 40] {
            world.control = 0;
            for n in 0..20 {
                for key in 0..changes / 20_u64 {
                    let start = 2_000 + n;
                    world.store.target(&Target { start, ..target(key + 1, TILL) });
                }
                world.run(ms(500));
            }
            spent.push(world.control / instances / 10);
        }
        println!("instances={instances} at_rest={} busy={} bytes_per_s", spent[0], spent[1]);
        assert!(spent.iter().all(|&bytes| bytes <= 3_000), "{spent:?} bytes a second");
    }
}

/// An instance that starts while the platform is away learns all from the others.
#[test]
fn start_in_outage() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.store.down = true;
    world.kill(5);
    world.run(ms(500));
    world.start(5);
    let time = world.until(ms(4_000), Core::healthy);
    println!("ready_after={time:?}");
    assert_eq!(world.node(5).steer().directory.len(), 4);
    assert_eq!(world.node(5).steer().routes.version(), 1);
}

/// An instance that starts after a target was gone learns of it, so that it can tell the
/// callers of its flows.
#[test]
fn gone_before_start() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.kill(4);
    for key in 1..=3 {
        world.store.remove(key);
    }
    world.run(Duration::from_secs(5));
    world.start(4);
    world.run(ms(1_500));
    assert!(world.node(4).healthy());
    for key in 1..=3 {
        assert!(world.node(4).steer().directory.get((key, 1_000)).is_some(), "target {key}");
        assert!(has_left(key)(world.node(4)));
    }
    assert_eq!(world.node(4).steer().directory.len(), 1);
}

/// All instances start while the platform is away: nobody knows anything, and none says
/// that it is ready before the platform is back.
#[test]
fn all_start_in_outage() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.store.down = true;
    for i in 0..8 {
        world.kill(i);
    }
    for i in 0..8 {
        world.start(i);
    }
    world.run(Duration::from_secs(5));
    assert!(world.nodes.iter().flatten().all(|node| !node.healthy()));
    world.store.down = false;
    let time = world.until(ms(1_200), Core::healthy);
    println!("ready_after={time:?}");
}

/// The platform turns a whole domain away; what changes comes from the other one.
#[test]
fn domain_turned_away() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(10));
    world.store.refuses = vec![0, 2, 4, 6, 8, 10];
    world.run(Duration::from_secs(2));
    world.store.target(&Target { state: TargetState::Draining, ..target(3, TILL) });
    world.store.routes(&routes(9, &[TILL]));
    let time =
        world.until(ms(3_000), |node| has_left(3)(node) && node.steer().routes.version() == 9);
    println!("known_after={time:?}");
}

/// A watcher that dies is replaced.
#[test]
fn watchers_die() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(12));
    let watchers: Vec<_> =
        (0..12).filter(|&i| world.node(i).membership().watches(world.now)).collect();
    assert_eq!(watchers.len(), 6);
    for i in watchers {
        world.kill(i);
    }
    world.run(Duration::from_secs(12));
    world.store.target(&Target { state: TargetState::Draining, ..target(1, TILL) });
    world.until(ms(2_500), has_left(1));
}

/// A restart while the clock is behind: the others still take the new start for new.
#[test]
fn clock_behind() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(10));
    world.kill(4);
    world.starts = 0;
    world.start(4);
    world.run(Duration::from_secs(10));
    assert!(!world.exited[4], "it gave way to its own earlier start");
    assert_eq!(world.node(4).membership().live().len(), 6);
    assert!(world.node(0).membership().live().contains(&5));
}

/// What comes before routes and targets are known waits for them, and goes out once.
#[test]
fn packets_wait() {
    let mut world = World::new(1);
    let packet = opening(7, 1);
    world.handle(0, Event::Packet(text(&packet)));
    world.handle(0, Event::Packet(text(&reopening(7, 1, 1))));
    assert!(world.out[0].is_empty());
    world.run(ms(200));
    assert_eq!(world.out[0].len(), 1, "{:?}", world.out[0]);
}

#[test]
fn graceful_stop() {
    let mut world = World::new(2);
    world.run(Duration::from_secs(2));
    world.handle(0, Event::Stop);
    assert!(!world.node(0).healthy());
    // It carries on with what still arrives, and goes once nothing does.
    for n in 0..20 {
        world.handle(0, Event::Packet(text(&opening(n + 1, 1))));
        world.run(TICK);
        assert!(!world.exited[0], "gone after {n} packets");
    }
    assert_eq!(world.out[0].len(), 20);
    world.run(ms(900));
    assert!(world.exited[0]);
}

/// Packets that never end do not keep it beyond the time for the stop.
#[test]
fn stop_in_time() {
    let mut world = World::new(1);
    world.run(Duration::from_secs(2));
    let settings = Changeable { seeds: Vec::new(), grace: Duration::from_secs(3) };
    world.handle(0, Event::Changed(settings));
    world.handle(0, Event::Stop);
    let mut time = Duration::ZERO;
    while !world.exited[0] {
        world.handle(0, Event::Packet(text(&opening(1, 1))));
        world.run(TICK);
        time += TICK;
        assert!(time < Duration::from_secs(3), "still there after {time:?}");
    }
}

/// An object that cannot be read names no target; the others hold.
#[test]
fn odd_objects() {
    let mut world = World::new(1);
    let odd = [
        serde_json::json!({ "key": 9 }),
        serde_json::json!("no target at all"),
        serde_json::json!({ "key": 0, "start": 1, "service": TILL, "address": "10.0.0.1:80",
            "failure_domain": HOME, "slots": 3, "state": "ready", "cold_ms": 0 }),
        serde_json::json!({ "key": 9, "start": 1, "service": TILL, "address": "10.0.0.1:80",
            "failure_domain": HOME, "slots": 3, "state": "asleep", "cold_ms": 0 }),
    ];
    for (i, value) in odd.into_iter().enumerate() {
        world.store.put(Object { name: format!("targets/{:x}", 100 + i), version: 0, value });
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.node(0).steer().directory.len(), 4);
    assert!(world.node(0).healthy());
}

/// What one instance takes for dead the others of its domain try for themselves.
#[test]
fn doubts_spread() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(12));
    let dead = socket(target(1, TILL).address);
    world.nodes[0].as_mut().expect("it runs").doubt(world.now, (1, 1_000));
    world.run(TICK);
    assert_eq!(world.tried[0], [dead]);
    // One attempt may be lost, so a second one follows.
    world.handle(0, Event::Reached(dead, false));
    assert_eq!(world.tried[0], [dead, dead]);
    world.handle(0, Event::Reached(dead, false));
    world.run(ms(600));
    let home: Vec<_> = (0..12).step_by(2).filter(|&i| !world.tried[i].is_empty()).collect();
    assert!(home.len() >= 5, "only {home:?} of six have tried");
    assert!(world.tried[1..].iter().all(|tried| tried.len() <= 1), "{:?}", world.tried);
}
