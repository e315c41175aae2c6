//! Registrations of instances, in virtual time.

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

/// Time within which each watcher has looked twice.
const TWO_LOOKS: Duration = Duration::from_secs(15 * 60);

/// The registration of an instance that died goes, and those of living ones stay.
#[test]
fn dead_taken_off() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    let before = registered(&world);
    println!("registered={before:?}");
    assert!(before.len() >= 2, "nobody is registered: {before:?}");
    let dead = before[0].trim_start_matches("instances/").parse::<usize>().expect("a number");
    world.kill(dead - 1);
    world.run(TWO_LOOKS);
    let after = registered(&world);
    assert!(!after.contains(&before[0]), "{after:?}");
    assert!(before[1..].iter().all(|name| after.contains(name)), "{after:?}");
}

/// A living instance whose registration was taken off by mistake registers again.
#[test]
fn living_restored() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    let before = registered(&world);
    world.store.objects.remove(&before[0]);
    world.run(TWO_LOOKS);
    assert_eq!(registered(&world), before);
}
