//! A machine is stopped as planned while half of its zone is frozen, so that its packets go on coming;
//! meanwhile the configuration grows and changes.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Outcome;
use crate::journal::{Journal, Route};
use crate::world::{SIGCONT, SIGSTOP, SIGTERM, World, route_by_hash};

const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_secs(6);
/// Length of the freeze, and time from its start to the SIGTERM.
const FREEZE: Duration = Duration::from_secs(5);
const FREEZE_BEFORE: Duration = Duration::from_millis(300);
const STORM_GAP: Duration = Duration::from_millis(330);
const MORE_ROUTES: u16 = 350;
const MARGIN: Duration = Duration::from_millis(50);
const ZONE: usize = 2;

pub fn run(root: &Path, trouble: bool) -> std::io::Result<(Journal, bool)> {
    let mut world =
        World::start(root, &[7, 9, 4], &[("estacion", &[3, 2, 2]), ("tarifas", &[1, 1, 1])])?;
    let host = Ipv4Addr::new(127, 18, 0, 1);
    let dropped: Route = (host, 8_444);
    let added: Route = (host, 8_445);
    world.routes = vec![
        ((host, 8_443), "estacion".into()),
        ((host, 8_080), "tarifas".into()),
        (dropped, "tarifas".into()),
    ];
    world.configure();
    for node in 0..world.nodes.len() {
        world.start_node(node)?;
    }
    world.start_checks();
    let is_ready = world.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(10));
    let of_zone: Vec<_> = (0..world.nodes.len()).filter(|&i| world.nodes[i].zone == ZONE).collect();
    let (frozen, stopped) = (&of_zone[2..], of_zone[1]);
    let journal = world.journal.clone();
    // Ordinary traffic of the zone.
    let traffic = start_traffic(&world, (host, 8_443), Duration::from_secs(9));
    thread::sleep(Duration::from_secs(1));
    if trouble {
        for &node in frozen {
            journal.note(format!("freeze {}", world.nodes[node].name));
            world.nodes[node].signal(SIGSTOP);
        }
    }
    let frozen_at = Instant::now();
    thread::sleep(FREEZE_BEFORE);
    // Part of a rolling restart.
    journal.note(format!("SIGTERM {}", world.nodes[stopped].name));
    world.nodes[stopped].signal(SIGTERM);
    let term = Instant::now();
    thread::sleep(Duration::from_millis(100));
    world.timeout_ms += 100;
    world.configure();
    thread::sleep(STORM_GAP);
    for port in 0..MORE_ROUTES {
        let more: Route = (Ipv4Addr::new(127, 18, 1, (port / 50) as u8), 9_000 + port % 50);
        world.routes.push((more, "tarifas".into()));
    }
    world.configure();
    thread::sleep(STORM_GAP);
    world.routes.retain(|(route, _)| *route != dropped);
    world.routes.push((added, "tarifas".into()));
    let acknowledged = world.configure();
    let from = (term + STABLE_WINDOW).max(acknowledged + CONFIG_APPLY) + MARGIN;
    let nodes = Arc::clone(&world.nodes);
    let waker = {
        let (nodes, frozen, journal) = (Arc::clone(&nodes), frozen.to_vec(), journal.clone());
        thread::spawn(move || {
            thread::sleep((frozen_at + FREEZE).saturating_duration_since(Instant::now()));
            for node in frozen {
                journal.note(format!("wake {}", nodes[node].name));
                nodes[node].signal(SIGCONT);
            }
        })
    };
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let mut requests = Vec::new();
    let mut number = 0;
    while Instant::now() < term + GRACE {
        for route in [added, dropped] {
            number += 1;
            let (client, id) = (world.client.clone(), format!("c{number}"));
            let (nodes, port) = (Arc::clone(&nodes), world.ports.datagram);
            // Several nodes may get packets of a flow; the one of the first packet counts.
            let node = route_by_hash(&nodes, ZONE, number);
            let address = SocketAddrV4::new(nodes[node].ip, port);
            let sent_to_leaving = node == stopped && !nodes[node].ended();
            requests.push(thread::spawn(move || {
                let report = client.request(route, &id, || address);
                (id, route, node, sent_to_leaving, report)
            }));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let _ = waker.join();
    for request in requests {
        let Ok((id, route, node, to_leaving, report)) = request.join() else { continue };
        let name = &world.nodes[node].name;
        let after = (report.sent[0] - acknowledged).as_secs_f64();
        let since_term = (report.sent[0] - term).as_secs_f64();
        journal.note(format!(
            "{id} to {route:?} through {name}, sent {after:.3} s after the version: {:?}",
            report.outcome
        ));
        let is_in_touch = to_leaving || (node != stopped && !frozen.contains(&node));
        let broken = match &report.outcome {
            Outcome::Refused if route == added => {
                Some("refused though the route is there".to_owned())
            }
            Outcome::Served(by) if route == dropped => {
                Some(format!("run with a dropped route by {by}"))
            }
            _ => None,
        };
        if let Some(broken) = broken.filter(|_| is_in_touch) {
            journal.violation(format!(
                "CONFIG {id} sent {after:.3} s after version {} was acknowledged, {since_term:.3} s after the SIGTERM, through {name}: {broken}",
                world.version()
            ));
        }
    }
    let _ = traffic.join();
    world.stop();
    Ok((journal, is_ready))
}

/// Opens 40 flows a second for a time.
fn start_traffic(world: &World, route: Route, length: Duration) -> thread::JoinHandle<()> {
    let (client, nodes) = (world.client.clone(), Arc::clone(&world.nodes));
    let port = world.ports.datagram;
    let until = Instant::now() + length;
    thread::spawn(move || {
        let mut flow = 1 << 20;
        while Instant::now() < until {
            flow += 1;
            let (client, nodes) = (client.clone(), Arc::clone(&nodes));
            thread::spawn(move || {
                let router =
                    || SocketAddrV4::new(nodes[route_by_hash(&nodes, ZONE, flow)].ip, port);
                client.request(route, &format!("t{flow}"), router);
            });
            thread::sleep(Duration::from_millis(25));
        }
    })
}
