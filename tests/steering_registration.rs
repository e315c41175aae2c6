//! Registration of simulated instances with the platform.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use world::*;

fn registered(world: &World) -> Vec<String> {
    let names = world.store.objects.keys().filter(|name| name.starts_with("instances/"));
    names.cloned().collect()
}

/// Time within which each watcher has checked the registrations twice.
const TWO_CHECKS: Duration = Duration::from_secs(15 * 60);

/// The registration of a dead instance is removed, and those of live instances stay.
#[test]
fn dead_deregistered() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    let before = registered(&world);
    println!("registered={before:?}");
    assert!(before.len() >= 2, "too few registrations: {before:?}");
    let dead = before[0].trim_start_matches("instances/").parse::<usize>().expect("a number");
    world.kill(dead - 1);
    world.run(TWO_CHECKS);
    let after = registered(&world);
    assert!(!after.contains(&before[0]), "{after:?}");
    assert!(before[1..].iter().all(|name| after.contains(name)), "{after:?}");
}

/// A live instance whose registration was removed by mistake registers again.
#[test]
fn live_restored() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    let before = registered(&world);
    world.store.objects.remove(&before[0]);
    world.run(TWO_CHECKS);
    assert_eq!(registered(&world), before);
}
