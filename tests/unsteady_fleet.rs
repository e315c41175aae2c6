//! Failure records of many instances, in virtual time.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::steering::Target;
use support::*;
use world::*;

/// Returns the largest number of unsteady targets at any instance over some seconds.
fn most_unsteady(world: &mut World, seconds: u64) -> usize {
    let unsteady = |world: &mut World| {
        world.run(ms(500));
        let nodes = world.nodes.iter().flatten();
        nodes.map(|node| node.forwarder().unsteady_targets(world.now)).max()
    };
    (0..2 * seconds).filter_map(|_| unsteady(world)).max().unwrap_or_default()
}

/// Two crashes are known to all instances from the entries alone, without a message of their own.
#[test]
fn all_agree() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    for nth in 1..=2 {
        let next = Target { key: 100 + nth, incarnation: 1_000 + nth, ..target(1, STATION) };
        world.store.put_target(&Target { address: target(1, STATION).address, ..next });
        world.run(Duration::from_millis(1_500));
    }
    assert!(world.all(|node| node.forwarder().unsteady_targets(world.now) == 1));
}

/// Instances restart in turn, and the store's entries expire in an outage and are written again,
/// twice within the time for which failures count. No target has failed.
#[test]
fn no_failures() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(10));
    for i in 0..6 {
        world.kill(i);
        world.run(Duration::from_secs(1));
        world.start(i);
        assert_eq!(most_unsteady(&mut world, 3), 0, "restart of instance {i}");
    }
    for _ in 0..2 {
        world.store.down = true;
        assert_eq!(most_unsteady(&mut world, 6), 0);
        (1..=4).for_each(|key| world.store.remove_target(key));
        world.store.down = false;
        assert_eq!(most_unsteady(&mut world, 3), 0);
        (1..=4).for_each(|key| world.store.put_target(&target(key, STATION)));
        assert_eq!(most_unsteady(&mut world, 3), 0);
        assert!(world.all(|node| node.forwarder().targets.len() == 4));
    }
    // An instance that is cut off from its peers, and comes back.
    world.partitioned.push(2);
    assert_eq!(most_unsteady(&mut world, 6), 0);
    world.partitioned.clear();
    assert_eq!(most_unsteady(&mut world, 6), 0);
}
