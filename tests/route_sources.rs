//! Routes come from another peer if the one that sends them is lost.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use support::*;
use world::*;

/// Starts an instance that does not reach the platform, beside two that do, and loses one of these
/// some time later. Returns how long it took from then on until the instance knew the routes.
fn fetch_time(services: &[&str], lost: usize, lost_after: Duration, timeout: Duration) -> Duration {
    let mut world = World::new(3);
    world.store.put_routes(&routes(2, services));
    world.run(Duration::from_secs(8));
    world.store.silent_instances = vec![2];
    world.start(2);
    world.run(lost_after);
    world.partitioned = vec![lost];
    world.run_until(timeout, |node| node.forwarder().routes.version() == 2)
}

/// An instance asked the same peer for the routes for good, as no piece had arrived from it.
#[test]
fn source_lost() {
    for lost in [0, 1] {
        for lost_after in (0..20).map(|n| TICK * n) {
            let took = fetch_time(&[STATION], lost, lost_after, Duration::from_secs(3));
            println!("lost={lost} lost_after={lost_after:?} known_after={took:?}");
        }
    }
}

/// The peer is lost after some of the pieces: the transfer begins anew.
#[test]
fn source_lost_midway() {
    let services = [STATION; 120];
    for lost in [0, 1] {
        for lost_after in (0..20).map(|n| TICK * n) {
            let took = fetch_time(&services, lost, lost_after, Duration::from_secs(12));
            println!("lost={lost} lost_after={lost_after:?} known_after={took:?}");
        }
    }
}
