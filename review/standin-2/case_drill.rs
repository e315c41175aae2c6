//! One machine is frozen while the store comes back from a copy in a drill. Later the other machines
//! are taken away for good. Does the one that is left learn of configurations and of servers that
//! drain?

use std::path::Path;
use std::time::Duration;

use crate::Outcome;
use crate::store::Store;
use crate::world::{CONFIG_APPLY, World};

/// Time for which the machine stands still: the site files have up to 6.8 s.
const FROZEN: Duration = Duration::from_millis(2_000);
/// When the store goes away and comes back, after the begin of the freeze.
const AWAY: Duration = Duration::from_millis(500);
const BACK: Duration = Duration::from_millis(1_500);
/// `DrainTimeoutMs` of the settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);
const LOOK: Duration = Duration::from_secs(10);

fn configuration(world: &World, version: u64, service: &str) -> String {
    let ip = *world.route(1).ip();
    let route = |name: &str, port: u16, service: &str| {
        format!(
            r#"{{"Name":"{name}","Hostname":"{ip}","PathPrefix":"/{port}/","RouteType":"safe","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":2,"Service":"{service}","Attempts":2}}"#
        )
    };
    let entry = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthCheck":"/healthz","MaxFlows":4286,"Protocol":"h1","Tls":false}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Routes":[{},{}],"Services":[{},{},{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        route("r-moves", 443, service),
        route("r-stays", 444, "stays"),
        entry("stays"),
        entry("old"),
        entry("new")
    )
}

pub fn run(directory: &Path, record: &Path, trouble: bool) -> Outcome {
    let store = Store::new(None);
    store.set_era(1);
    let mut world = World::new(directory, record, store);
    let spec = configuration(&world, 7, "old");
    world.store.write("config", "main", spec.clone());
    for zone in 0..3 {
        for service in ["stays", "stays", "old", "new"] {
            world.add_server(service, zone);
        }
    }
    world.start_nodes(1);
    world.run_until(Duration::from_secs(12));
    if !world.all_ready() {
        return Outcome::CouldNotRun("not all instances are ready after 12 s".to_owned());
    }
    let left = 0;
    let name = world.nodes[left].name.clone();

    // The drill, while the machine stands still. Nothing is written in the seconds that are lost.
    // Before that, a configuration and the entry of a server are written, as on any day.
    let spec = configuration(&world, 8, "old");
    world.store.write("config", "main", spec.clone());
    world.run_for(Duration::from_millis(1_500));
    world.servers[1].crash();
    world.servers[1].start();
    let entry = world.servers[1].entry();
    world.store.write("servers", &world.servers[1].name.clone(), entry);
    world.run_for(Duration::from_millis(700));
    if trouble {
        world.store.take_copy();
        let frozen = world.now();
        world.signal_node(left, "STOP");
        world.note(&format!("{name} stands still"));
        world.run_until(frozen + AWAY);
        world.store.go_away();
        world.note("the store is away");
        world.run_until(frozen + BACK);
        world.store.come_back();
        world.note("the store is back from a copy, with the next era");
        // What the operator and the servers wrote is written again.
        world.store.write("config", "main", spec);
        for i in 0..world.servers.len() {
            let entry = world.servers[i].entry();
            world.store.write("servers", &world.servers[i].name.clone(), entry);
        }
        world.run_until(frozen + FROZEN);
        world.signal_node(left, "CONT");
        world.note(&format!("{name} goes on"));
    } else {
        world.run_for(FROZEN);
    }
    world.run_for(Duration::from_secs(8));

    // The other machines are taken away for good, one after the other.
    for i in 1..world.nodes.len() {
        world.signal_node(i, "TERM");
        let stopped = world.nodes[i].name.clone();
        world.note(&format!("{stopped} is stopped for good"));
        world.run_for(Duration::from_secs(6));
        world.kill_node(i);
    }
    world.run_for(Duration::from_secs(6));

    // A change of the configuration, and a server that drains.
    let draining = 0;
    world.servers[draining].state = "draining";
    let entry = world.servers[draining].entry();
    world.store.write("servers", &world.servers[draining].name.clone(), entry);
    let drained = world.now();
    let server = world.servers[draining].name.clone();
    world.note(&format!("acknowledged: server {server} drains"));
    let spec = configuration(&world, 9, "new");
    world.store.write("config", "main", spec);
    let acknowledged = world.now();
    world.note("acknowledged: version 9, route r-moves goes to `new` from now on");
    let reads = (world.store.reads("config"), world.store.reads("servers"));
    let routes = [world.route(1), std::net::SocketAddrV4::new(*world.route(1).ip(), 444)];
    let mut flows = Vec::new();
    let mut next = acknowledged;
    while world.now() < acknowledged + LOOK {
        if world.now() >= next {
            next += Duration::from_millis(100);
            for to in routes {
                flows.push(world.open(0, to));
            }
        }
        let open: Vec<_> = flows
            .iter()
            .copied()
            .filter(|&i| world.attempts[i].is_idle() && world.attempts[i].answered == 0)
            .collect();
        for i in open {
            world.request(i, "GET", Duration::from_millis(2_000));
        }
        world.step();
    }
    world.run_for(Duration::from_secs(1));
    let now = world.now();
    let reads = (world.store.reads("config") - reads.0, world.store.reads("servers") - reads.1);
    world.note(&format!(
        "since the change, the store was asked {} times for the configuration and {} times for the servers; {name} is in rotation: {}",
        reads.0,
        reads.1,
        world.is_in_rotation(left)
    ));
    world.note_attempts();
    let (mut config, mut drain, mut right) = (0, 0, 0);
    for opening in world.openings.clone() {
        if opening.node != Some(left) || !world.in_touch(left, opening.sent) || opening.at > now {
            continue;
        }
        let service = world.servers[opening.server].service.as_str();
        let is_moved = opening.flow.1 == routes[0];
        if opening.server == draining && opening.at > drained + DRAIN_TIMEOUT {
            drain += 1;
        } else if is_moved && service == "old" && opening.sent > acknowledged + CONFIG_APPLY {
            config += 1;
        } else if opening.sent > acknowledged + CONFIG_APPLY {
            right += 1;
        }
    }
    let answered = flows.iter().filter(|&&i| world.attempts[i].answered > 0).count();
    world.note(&format!(
        "{} flows, {answered} answered; through {name}, in touch: CONFIG: {config} openings to `old` more than {CONFIG_APPLY:?} after the acknowledgement; DRAIN: {drain} openings to the draining server more than {DRAIN_TIMEOUT:?} after it; {right} others",
        flows.len()
    ));
    match () {
        () if config + drain > 0 => Outcome::Broken,
        () if right == 0 => Outcome::CouldNotRun("no flow was opened".to_owned()),
        () => Outcome::Held,
    }
}
