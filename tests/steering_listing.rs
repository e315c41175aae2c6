//! Removals that an instance missed, and of which its peers have no record.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use limpetdeck::steering::{Target, TargetDirectory, TargetState};
use support::*;
use world::*;

/// A target with a key above those that `target` can address.
fn numbered(key: u64) -> Target {
    let [.., high, low] = key.to_be_bytes();
    let mut numbered = target(key, STATION);
    numbered.address.set_ip([10, 128, high, low].into());
    numbered
}

fn eligible(world: &World, i: usize) -> BTreeSet<u64> {
    let targets = &world.node(i).forwarder().targets;
    targets.eligible(world.now, STATION).map(|(target, _)| target.key).collect()
}

/// An instance that cannot reach the platform runs on while its only peer restarts, and meanwhile
/// targets leave that the restarted peer has never known.
#[test]
fn peer_restarted() {
    let mut world = World::new(2);
    for key in 5..=350 {
        world.store.put_target(&numbered(key));
    }
    world.run(Duration::from_secs(15));
    assert_eq!(eligible(&world, 0).len(), 350);
    world.store.refused_instances = vec![0];
    world.kill(1);
    world.run(Duration::from_secs(1));
    let gone = [2, 90, 101, 102, 202, 300, 349, 350];
    for key in gone {
        world.store.remove_target(key);
    }
    world.store.put_target(&numbered(400));
    world.start(1);
    world.run(Duration::from_secs(8));
    let expected: BTreeSet<_> = (1..=350).chain([400]).filter(|key| !gone.contains(key)).collect();
    assert_eq!(eligible(&world, 1), expected);
    assert_eq!(eligible(&world, 0), expected);
    // What follows comes as changes again.
    world.store.remove_target(7);
    world.run(Duration::from_secs(3));
    assert!(!eligible(&world, 0).contains(&7));
}

/// A target that changed after the listing was made is not removed by it.
#[test]
fn newer_entry_kept() {
    let mut directory = TargetDirectory::default();
    let records = vec![record(3, target(1, STATION)), record(4, target(2, STATION))];
    directory.replace_all(ms(0), at(10), records);
    directory.merge(ms(1), record(15, target(3, STATION)));
    let removed = directory.remove_unlisted(ms(2), at(12), .., &[1].into_iter().collect());
    assert_eq!(removed, 1);
    let left: Vec<_> = directory.eligible(ms(3), STATION).map(|(target, _)| target.key).collect();
    assert_eq!(left, [1, 3]);
}

/// An instance knows from where on its records tell of all removals.
#[test]
fn known_removals() {
    let mut directory = TargetDirectory::default();
    directory.replace_all(ms(0), at(10), vec![record(3, target(1, STATION))]);
    assert!(!directory.knows_removals_since(at(9)), "what was removed before the first list");
    assert!(directory.knows_removals_since(at(10)));
    directory.merge(ms(1), removal(12, 1));
    assert!(directory.knows_removals_since(at(10)));
    directory.merge(ms(1), removal(14, 9));
    assert!(!directory.knows_removals_since(at(13)), "target 9 was never known here");
    assert!(directory.knows_removals_since(at(14)));
    directory.merge(ms(2), record(16, target(2, STATION)));
    directory.merge(ms(2), removal(20, 2));
    directory.expire(ms(61_000));
    assert!(!directory.knows_removals_since(at(19)), "the removal of target 2 is forgotten");
}

/// An instance that was cut off for longer than removals are remembered learns of them.
#[test]
fn cut_off_long() {
    let mut world = World::new(4);
    world.run(Duration::from_secs(15));
    let cut = 2;
    world.partitioned = vec![cut];
    world.store.silent_instances = vec![cut];
    world.store.remove_target(2);
    world.store.put_target(&Target { state: TargetState::Draining, ..target(3, STATION) });
    world.run(Duration::from_secs(75));
    assert!(eligible(&world, cut).contains(&2), "nobody could tell");
    world.partitioned.clear();
    world.run(Duration::from_secs(15));
    assert_eq!(eligible(&world, cut), BTreeSet::from([1, 4]));
}
