//! A route moves to another service while the copies of an opening packet are on their way.

use std::net::Ipv4Addr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::journal::{Journal, Route};
use crate::world::World;

const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);
const EPISODES: u64 = 8;
/// Flows that a server holds at most.
const MAX_FLOWS: usize = 12;

pub fn run(root: &Path, trouble: bool) -> std::io::Result<(Journal, bool)> {
    let mut world =
        World::start(root, &[2, 2, 2], &[("estacion", &[1, 0, 0]), ("tarifas", &[1, 0, 0])])?;
    let host = Ipv4Addr::new(198, 18, 0, 1);
    let steady: [Route; 2] = [(host, 8_443), (host, 8_080)];
    let moving: Route = (host, 9_000);
    world.routes = vec![
        (steady[0], "estacion".into()),
        (steady[1], "tarifas".into()),
        (moving, "estacion".into()),
    ];
    world.set_max_flows(MAX_FLOWS);
    world.configure();
    for node in 0..world.nodes.len() {
        world.start_node(node)?;
    }
    world.start_checks();
    let is_ready = world.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(6));
    let journal = world.journal.clone();
    let address = world.datagram_address(0);
    for episode in 0..EPISODES {
        let (old, new) = match episode % 2 {
            0 => ("estacion", "tarifas"),
            _ => ("tarifas", "estacion"),
        };
        // Both services have another caller all the while.
        let begin = Instant::now();
        let mut others = Vec::new();
        let mut hold = |route, name: String, until| {
            let client = world.client.clone();
            others.push(thread::spawn(move || client.requests(route, &name, until, || address)));
            thread::sleep(Duration::from_millis(30));
        };
        for (i, route) in steady.into_iter().enumerate() {
            hold(route, format!("s{episode}-{i}"), begin + Duration::from_secs(3));
        }
        thread::sleep(Duration::from_millis(800));
        // The servers of the old service are full for half a second.
        let full_until = Instant::now() + Duration::from_millis(900);
        let route = steady[usize::from(old == "tarifas")];
        for i in 0..if trouble { MAX_FLOWS - 1 } else { 0 } {
            hold(route, format!("f{episode}-{i}"), full_until);
        }
        thread::sleep(
            (full_until - Duration::from_millis(450)).saturating_duration_since(Instant::now()),
        );
        let client = world.client.clone();
        let late =
            thread::spawn(move || client.request(moving, &format!("late{episode}"), || address));
        thread::sleep(Duration::from_millis(60));
        let at = world.routes.iter().position(|(route, _)| *route == moving).unwrap_or(0);
        world.routes[at].1 = new.into();
        world.configure();
        let mut probes = Vec::new();
        for number in 0..20 {
            let client = world.client.clone();
            probes.push(thread::spawn(move || {
                client.request(moving, &format!("probe{episode}-{number}"), || address)
            }));
            thread::sleep(Duration::from_millis(20));
        }
        let late = late.join();
        for probe in probes {
            let _ = probe.join();
        }
        for other in others {
            let _ = other.join();
        }
        let Ok(late) = late else { continue };
        // When a server first saw the effect of the version.
        let begin = journal.since_start(late.sent[0]);
        let taken = journal.taken();
        let seen = taken.iter().find(|t| t.route == moving && t.at >= begin && t.service == new);
        let Some(seen) = seen else { continue };
        journal.note(format!(
            "version {} seen at {} at {:.3}",
            world.version(),
            seen.server,
            seen.at.as_secs_f64()
        ));
        let stale = taken.iter().filter(|t| t.route == moving && t.at >= begin && t.service == old);
        for taken in stale {
            let copy =
                late.sent.get(taken.copy as usize).filter(|_| taken.client_port == late.port);
            let Some(sent) = copy.map(|&at| journal.since_start(at)) else { continue };
            if sent > seen.at + DOWNGRADE_SLACK {
                journal.violation(format!(
                    "CONFIG late{episode}: copy {} sent {:.3} s after {} saw the effect of version {}, taken by {} of the old service; {:?}",
                    taken.copy, (sent - seen.at).as_secs_f64(), seen.server, world.version(), taken.server, late.outcome
                ));
            }
        }
    }
    world.stop();
    Ok((journal, is_ready))
}
