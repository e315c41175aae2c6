//! A route moves from a service that is full to another one while clients wait for its servers: do
//! the copies of their opening packets go to the new service?

use std::path::Path;
use std::time::Duration;

use crate::Outcome;
use crate::store::Store;
use crate::world::{DOWNGRADE_SLACK, World};

/// Flows that a server of the old service holds.
const MAX_FLOWS: usize = 12;
const WAITING: usize = 24;

fn configuration(world: &World, version: u64, service: &str) -> String {
    let ip = *world.route(1).ip();
    let entry = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthCheck":"/healthz","MaxFlows":{MAX_FLOWS},"Protocol":"h1","Tls":false}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-sales","Hostname":"{ip}","PathPrefix":"/443/","RouteType":"unsafe","TimeoutMs":2500,"TargetLatencyMs":1500,"Priority":1,"Service":"{service}","Attempts":2}}],"Services":[{},{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        entry("old"),
        entry("new")
    )
}

pub fn run(directory: &Path, record: &Path, trouble: bool) -> Outcome {
    let mut world = World::new(directory, record, Store::new(None));
    let spec = configuration(&world, 7, "old");
    world.store.write("config", "main", spec);
    for zone in 0..3 {
        let old = world.add_server("old", zone);
        world.servers[old].max_flows = MAX_FLOWS;
        world.add_server("new", zone);
    }
    world.start_nodes(3);
    world.run_until(Duration::from_secs(12));
    if !world.all_ready() {
        return Outcome::CouldNotRun("not all instances are ready after 12 s".to_owned());
    }
    let to = world.route(1);

    // Long flows fill the servers of the old service; their clients go on working.
    let mut long = Vec::new();
    for _ in 0..8 {
        for zone in 0..3 {
            let more: Vec<_> = (0..3).map(|_| world.open(zone, to)).collect();
            long.extend(more);
        }
        world.run_for(Duration::from_millis(120));
        if (0..6).filter(|i| i % 2 == 0).all(|i| world.servers[i].open_flows() >= MAX_FLOWS) {
            break;
        }
    }
    let work = |world: &mut World, time: Duration, next: &mut Duration| {
        let until = world.now() + time;
        while world.now() < until {
            if world.now() >= *next {
                *next = world.now() + Duration::from_millis(60);
                for &i in &long {
                    if world.attempts[i].is_idle() {
                        world.request(i, "POST", Duration::from_millis(2_500));
                    }
                }
            }
            // All other clients send one request as soon as their flow is open.
            for i in long.len()..world.attempts.len() {
                if world.attempts[i].is_idle() && world.attempts[i].answered == 0 {
                    world.request(i, "POST", Duration::from_millis(2_500));
                }
            }
            world.step();
        }
    };
    let mut next = world.now();
    work(&mut world, Duration::from_millis(5_000), &mut next);
    let full: Vec<_> = (0..6).step_by(2).map(|i| world.servers[i].open_flows()).collect();
    world.note(&format!("open flows on the servers of `old`: {full:?}, at most {MAX_FLOWS}"));

    // More clients come; the servers are full and send nothing.
    let waiting: Vec<_> = (0..WAITING).map(|n| world.open(n % 3, to)).collect();
    work(&mut world, Duration::from_millis(40), &mut next);
    let version = if trouble { 9 } else { 7 };
    if trouble {
        let spec = configuration(&world, version, "new");
        world.store.write("config", "main", spec);
        world.note("acknowledged: version 9, the route goes to `new` from now on");
    }
    let acknowledged = world.now();
    // Clients that come now show which version is in force.
    let mut probes = Vec::new();
    for _ in 0..8 {
        for zone in 0..3 {
            probes.extend((0..3).map(|_| world.open(zone, to)).collect::<Vec<_>>());
        }
        work(&mut world, Duration::from_millis(40), &mut next);
    }
    // Some of the long flows end, so the servers of the old service have room again.
    work(&mut world, Duration::from_millis(60), &mut next);
    for &i in &long {
        let holder = world.holder(world.attempts[i].id);
        if holder.is_some() && world.random() % 3 == 0 {
            world.close(i);
        }
    }
    work(&mut world, Duration::from_millis(1_500), &mut next);

    world.note_attempts();
    // The first opening on a server of the new service through each machine.
    let openings = world.openings.clone();
    let mut broken = 0;
    for opening in openings.iter().filter(|o| o.at >= acknowledged) {
        let Some(node) = opening.node else { continue };
        if world.servers[opening.server].service != "old" {
            continue;
        }
        let seen = openings.iter().find(|o| {
            o.node == Some(node) && o.at >= acknowledged && world.servers[o.server].service == "new"
        });
        let Some(seen) = seen.map(|o| o.at) else { continue };
        // Counted is what the old service ran, not only took.
        if !world.was_run(opening.flow, opening.server) {
            continue;
        }
        let by_waiting = waiting.iter().any(|&i| world.attempts[i].id == opening.flow);
        if opening.sent > seen + DOWNGRADE_SLACK {
            broken += 1;
            let text = format!(
                "CONFIG: {} sent copy {} of an opening packet, sent by its client at {:.3}, to `old`, which ran its request; a server of `new` saw version {version} through it at {:.3} (client waited since before: {by_waiting})",
                world.nodes[node].name,
                opening.copy,
                opening.sent.as_secs_f64(),
                seen.as_secs_f64()
            );
            world.note(&text);
        }
    }
    let on_new = probes
        .iter()
        .filter(|&&i| {
            let id = world.attempts[i].id;
            openings.iter().any(|o| o.flow == id && world.servers[o.server].service == "new")
        })
        .count();
    let on_old = waiting
        .iter()
        .filter(|&&i| {
            let id = world.attempts[i].id;
            openings.iter().any(|o| o.flow == id && world.servers[o.server].service == "old")
        })
        .count();
    world.note(&format!(
        "{on_new} of {} later clients were taken by `new`; {on_old} of {} waiting clients by `old`; CONFIG: {broken} of these were sent more than {DOWNGRADE_SLACK:?} after a server saw the effect",
        probes.len(),
        waiting.len()
    ));
    if trouble && on_new == 0 {
        return Outcome::CouldNotRun("no client came to the new service".to_owned());
    }
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}
