//! Open connections to the store go silent while new ones work, and a server leaves.

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::journal::{Journal, Route};
use crate::world::World;

const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);
const MARGIN: Duration = Duration::from_millis(30);
const EPISODES: usize = 12;
/// Nodes that watch the servers, and the longest time until they do so again after a change.
const WATCHERS: usize = 6;
const MAX_RETURN: Duration = Duration::from_millis(1_600);

pub fn run(root: &Path, trouble: bool) -> std::io::Result<(Journal, bool)> {
    let mut world =
        World::start(root, &[2, 2, 2], &[("estacion", &[2, 2, 2]), ("tarifas", &[1, 1, 1])])?;
    let route: Route = (Ipv4Addr::new(127, 18, 0, 1), 8443);
    world.routes = vec![(route, "estacion".into())];
    world.configure();
    for node in 0..world.nodes.len() {
        world.start_node(node)?;
    }
    world.start_checks();
    let is_ready = world.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(6));
    for episode in 0..EPISODES {
        let zone = episode % 3;
        let begin = Instant::now();
        // The new server of a release starts first.
        world.add_server("estacion", zone)?;
        thread::sleep(Duration::from_millis(300));
        while world.store.waiting_watches("servers") < WATCHERS && begin.elapsed() < MAX_RETURN {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(10));
        world
            .journal
            .note(format!("{} watches of servers wait", world.store.waiting_watches("servers")));
        let silent = if trouble { world.store.silence_open_connections() } else { Instant::now() };
        if trouble {
            world.journal.note("open connections to the store go silent");
        }
        thread::sleep(Duration::from_millis(30));
        let zone_name = world.zones[zone].clone();
        let old = world.servers.iter().position(|s| {
            s.identity.zone == zone_name
                && s.identity.service == "estacion"
                && !s.is_draining.load(Ordering::Relaxed)
        });
        let Some(old) = old else { continue };
        let name = world.servers[old].identity.name();
        world.servers[old].is_draining.store(true, Ordering::Relaxed);
        let entry = world.servers[old].identity.entry("draining");
        let acknowledged = world.store.put("servers", &name, &entry);
        world.journal.note(format!("{name} drains"));
        let from = (silent + STABLE_WINDOW).max(acknowledged + DRAIN_TIMEOUT) + MARGIN;
        thread::sleep(from.saturating_duration_since(Instant::now()));
        let mut probes = Vec::new();
        let until = from + Duration::from_millis(900);
        let mut number = 0;
        while Instant::now() < until {
            for node in 0..world.nodes.len() {
                if !world.nodes[node].in_rotation.load(Ordering::Relaxed) {
                    continue;
                }
                number += 1;
                let (client, to) = (world.client.clone(), world.datagram_address(node));
                let id = format!("d{episode}-{number}");
                let via = world.nodes[node].name.clone();
                probes.push(thread::spawn(move || (via, client.request(route, &id, || to))));
            }
            thread::sleep(Duration::from_millis(60));
        }
        let mut by_port = std::collections::HashMap::new();
        for probe in probes {
            let Ok((via, report)) = probe.join() else { continue };
            by_port.insert(report.port, via);
        }
        let limit = world.journal.since_start(from);
        for taken in world.journal.taken() {
            if taken.server == name
                && taken.at > limit
                && let Some(via) = by_port.get(&taken.client_port)
            {
                let after =
                    taken.at.as_secs_f64() - world.journal.since_start(acknowledged).as_secs_f64();
                world.journal.violation(format!("DRAIN a flow reaches {name} through {via} {after:.3} s after it was acknowledged as draining"));
            }
        }
        // The server leaves at last.
        world.servers[old].is_gone.store(true, Ordering::Relaxed);
        world.store.remove("servers", &name);
        thread::sleep(Duration::from_millis(1_300));
    }
    let journal = world.journal.clone();
    world.stop();
    Ok((journal, is_ready))
}
