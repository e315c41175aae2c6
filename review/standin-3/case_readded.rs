//! Open connections to the store go silent; a route that was dropped comes back with many others; a
//! machine is stopped as planned, so that its flows go on through others.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Outcome;
use crate::journal::{Journal, Route};
use crate::world::{SIGTERM, World, route_by_hash};

const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const MARGIN: Duration = Duration::from_millis(30);
const EPISODES: u64 = 7;
/// Time without a change before a silence.
const QUIET: Duration = Duration::from_secs(7);
const MORE_ROUTES: u16 = 350;
/// Times after the silence at which clients begin, a machine is stopped, and clients end.
const BEGIN: Duration = Duration::from_millis(2_600);
const STOP: Duration = Duration::from_millis(3_650);
const END: Duration = Duration::from_millis(5_600);

pub fn run(root: &Path, trouble: bool) -> std::io::Result<(Journal, bool)> {
    // The machines of `recarga-gt`, with half of its servers.
    let mut world =
        World::start(root, &[7, 4, 4], &[("estacion", &[3, 2, 2]), ("tarifas", &[1, 1, 1])])?;
    let host = Ipv4Addr::new(127, 18, 0, 1);
    let readded: Route = (host, 8_444);
    world.routes = vec![
        ((host, 8_443), "estacion".into()),
        ((host, 8_080), "tarifas".into()),
        (readded, "estacion".into()),
    ];
    world.configure();
    for node in 0..world.nodes.len() {
        world.start_node(node)?;
    }
    world.start_checks();
    let is_ready = world.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(6));
    for episode in 0..EPISODES {
        play(&mut world, episode, readded, trouble)?;
    }
    let journal = world.journal.clone();
    Ok((journal, is_ready))
}

fn play(world: &mut World, episode: u64, readded: Route, trouble: bool) -> std::io::Result<()> {
    let journal = world.journal.clone();
    // A version without the route.
    world.routes.retain(|(route, _)| *route != readded && route.0.octets()[2] != 1);
    world.configure();
    thread::sleep(QUIET);
    let silent = if trouble { world.store.silence_open_connections() } else { Instant::now() };
    if trouble {
        journal.note("open connections to the store go silent");
    }
    thread::sleep(Duration::from_millis(30));
    // The route is back, and many others come.
    world.routes.push((readded, "estacion".into()));
    for port in 0..MORE_ROUTES {
        let more: Route = (Ipv4Addr::new(127, 18, 1, (port / 50) as u8), 9_000 + port % 50);
        world.routes.push((more, "tarifas".into()));
    }
    world.configure();
    thread::sleep((silent + BEGIN).saturating_duration_since(Instant::now()));
    let Some((zone, stopped)) = find_zone(world, readded, episode) else { return Ok(()) };
    let mut clients = Vec::new();
    for number in 0..90 {
        let (client, nodes) = (world.client.clone(), Arc::clone(&world.nodes));
        let (journal, port) = (journal.clone(), world.ports.datagram);
        clients.push(thread::spawn(move || {
            let mut resets = Vec::new();
            let mut attempt = 0;
            // Each further try is a new flow from a new port.
            while Instant::now() < silent + END {
                attempt += 1;
                let flow = (episode << 40) + (number << 20) + attempt;
                let id = format!("f{episode}-{number}-{attempt}");
                let router =
                    || SocketAddrV4::new(nodes[route_by_hash(&nodes, zone, flow)].ip, port);
                let report = client.requests(readded, &id, silent + END, router);
                if report.outcome == Outcome::ResetOpen {
                    let node = route_by_hash(&nodes, zone, flow);
                    journal.note(format!("{id}: open flow reset, through {}", nodes[node].name));
                    resets.push((id, node, report));
                }
                thread::sleep(Duration::from_millis(50));
            }
            resets
        }));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(
        (silent + STOP - Duration::from_millis(50)).saturating_duration_since(Instant::now()),
    );
    // Part of a rolling restart: a node of the zone that serves the route.
    journal.note(format!("SIGTERM {}", world.nodes[stopped].name));
    world.nodes[stopped].signal(SIGTERM);
    for client in clients {
        let Ok(resets) = client.join() else { continue };
        for (id, node, report) in resets {
            let after = report.ended.saturating_duration_since(silent);
            if node != stopped && after > STABLE_WINDOW + MARGIN {
                journal.violation(format!(
                    "FLOW {id}: open flow reset by {}, {:.3} s after the silence; its server runs, and its route is in version {}",
                    world.nodes[node].name, after.as_secs_f64(), world.version()
                ));
            }
        }
    }
    // It starts again.
    let until = Instant::now() + Duration::from_secs(6);
    while !world.nodes[stopped].ended() && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    world.start_node(stopped)?;
    let until = Instant::now() + Duration::from_secs(5);
    while !world.nodes[stopped].in_rotation.load(Ordering::Relaxed) && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Returns the zone in which the most nodes don't serve the route yet, and a node there that does.
fn find_zone(world: &World, route: Route, episode: u64) -> Option<(usize, usize)> {
    let probes: Vec<_> = (0..world.nodes.len())
        .map(|node| {
            let (client, to) = (world.client.clone(), world.datagram_address(node));
            let id = format!("p{episode}-{node}");
            thread::spawn(move || client.request(route, &id, || to).outcome)
        })
        .collect();
    let outcomes: Vec<_> = probes.into_iter().filter_map(|probe| probe.join().ok()).collect();
    let of_zone = |zone| (0..outcomes.len()).filter(move |&node| world.nodes[node].zone == zone);
    let mut best = None;
    for zone in 0..world.zones.len() {
        let refusing = of_zone(zone).filter(|&n| outcomes[n] == Outcome::Refused).count();
        let serving = of_zone(zone).find(|&n| matches!(outcomes[n], Outcome::Served(_)));
        world.journal.note(format!("{}: {refusing} nodes refuse", world.zones[zone]));
        let rank = (refusing * 100).checked_div(of_zone(zone).count()).unwrap_or(0);
        if let Some(node) = serving {
            best = best.max(Some((rank, zone, node)));
        }
    }
    best.map(|(_, zone, node)| (zone, node))
}
