//! A platform that comes back from an older copy of its data and gives out revisions again.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::instance::Core;
use limpetdeck::platform::{Call, Changes, Position, Reply};
use limpetdeck::steering::{
    ListWatches, Node, TARGETS_PREFIX, Target, TargetDirectory, TargetRecord, TargetState,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;
use world::*;

fn draining(key: u64) -> Target {
    Target { state: TargetState::Draining, ..target(key, STATION) }
}

fn new_era(revision: u64) -> Position {
    Position::new(1, revision)
}

/// Moves a record to the same revision of the new era.
fn restored(record: TargetRecord) -> TargetRecord {
    TargetRecord { position: new_era(record.position.revision), ..record }
}

fn eligible(targets: &TargetDirectory, now: Duration) -> Vec<u64> {
    let mut keys: Vec<_> = targets.eligible(now, STATION).map(|(target, _)| target.key).collect();
    keys.sort_unstable();
    keys
}

/// Targets 1 and 2 at revision 100.
fn directory() -> TargetDirectory {
    let mut targets = TargetDirectory::default();
    let records = vec![record(60, target(1, STATION)), record(61, target(2, STATION))];
    targets.replace_all(ms(0), at(100), records);
    targets
}

fn copied_records() -> Vec<TargetRecord> {
    [record(60, target(1, STATION)), record(61, target(2, STATION))].map(restored).to_vec()
}

/// Changes of the new era are taken although their revisions are lower.
#[test]
fn lower_revisions() {
    let mut targets = directory();
    targets.replace_all(ms(10_000), new_era(80), copied_records());
    assert!(targets.merge(ms(10_100), restored(record(81, draining(1)))));
    assert!(targets.merge(ms(10_100), restored(record(82, target(3, STATION)))));
    assert_eq!(eligible(&targets, ms(10_200)), [2, 3]);
    // Records of the earlier era, from a peer that is behind, change nothing.
    assert!(!targets.merge(ms(10_300), record(100, target(1, STATION))));
    assert!(!targets.merge(ms(10_300), record(101, target(4, STATION))));
    assert!(!targets.merge(ms(10_300), removal(102, 3)));
    assert_eq!(targets.replace_all(ms(10_400), at(110), vec![]), 0);
    assert_eq!(eligible(&targets, ms(10_500)), [2, 3]);
}

/// A target that drains does not become ready again by an entry from the copy, and peers that
/// know only that entry learn of the drain.
#[test]
fn drain_kept() {
    let mut targets = directory();
    targets.merge(ms(10), record(101, draining(1)));
    targets.replace_all(ms(10_000), new_era(80), copied_records());
    assert_eq!(eligible(&targets, ms(10_010)), [2]);
    assert_eq!(targets.unconfirmed(), 1);

    let mut peer = TargetDirectory::default();
    peer.replace_all(ms(10_000), new_era(80), copied_records());
    for record in targets.since(peer.complete_up_to()) {
        peer.merge(ms(10_020), record);
    }
    assert_eq!(eligible(&peer, ms(10_030)), [2]);

    // An entry that the target wrote after the restore counts.
    assert!(targets.merge(ms(10_100), restored(record(85, target(1, STATION)))));
    assert_eq!(eligible(&targets, ms(10_200)), [1, 2]);
}

/// A restarted target stays the later incarnation.
#[test]
fn restart_kept() {
    let mut targets = directory();
    let restarted = Target { incarnation: 2_000, ..target(1, STATION) };
    targets.merge(ms(10), record(101, restarted));
    targets.replace_all(ms(10_000), new_era(80), copied_records());
    assert!(targets.has_restarted((1, 1_000)));
    targets.merge(ms(10_100), restored(record(81, target(1, STATION))));
    assert!(targets.has_restarted((1, 1_000)));
}

/// A target that the copy lacks stays in use until it had time to write its entry again.
#[test]
fn missing_in_use() {
    let mut targets = directory();
    targets.merge(ms(10), record(101, target(3, STATION)));
    targets.replace_all(ms(10_000), new_era(80), copied_records());
    assert_eq!(eligible(&targets, ms(12_000)), [1, 2, 3]);
    assert_eq!(eligible(&targets, ms(12_400)), [1, 2]);
    targets.merge(ms(12_500), restored(record(90, target(3, STATION))));
    assert_eq!(eligible(&targets, ms(12_600)), [1, 2, 3]);
}

/// A target that is known only from the earlier era is removed some seconds later.
#[test]
fn unconfirmed_expire() {
    let mut targets = directory();
    targets.enter_era(ms(10_000), new_era(80));
    targets.merge(ms(10_100), restored(record(81, target(1, STATION))));
    targets.advance_complete_up_to(new_era(81));
    targets.expire(ms(15_000));
    assert_eq!(eligible(&targets, ms(15_000)), [1, 2]);
    targets.expire(ms(16_100));
    assert_eq!(eligible(&targets, ms(16_200)), [1]);
}

/// A second restore during the recovery from the first.
#[test]
fn second_restore() {
    let mut targets = directory();
    targets.merge(ms(10), record(101, draining(1)));
    targets.replace_all(ms(10_000), new_era(80), copied_records());
    targets.merge(ms(10_100), restored(record(81, target(3, STATION))));
    let again = |record| TargetRecord { position: Position::new(2, 60), ..record };
    let records = copied_records().into_iter().map(again).collect();
    targets.replace_all(ms(10_500), Position::new(2, 70), records);
    assert_eq!(eligible(&targets, ms(10_600)), [2, 3]);
    let removed = TargetRecord { position: Position::new(2, 71), ..removal(0, 2) };
    assert!(targets.merge(ms(10_700), removed));
    targets.expire(ms(17_000));
    assert_eq!(eligible(&targets, ms(17_000)), [0; 0]);
}

/// A watch of the earlier era is abandoned; what it still returns is not used.
#[test]
fn watch_abandoned() {
    let mut watches = ListWatches::new(SmallRng::seed_from_u64(3));
    let interest = limpetdeck::steering::Interest { watches: true, ..Default::default() };
    let is_targets = |call: &Call| matches!(call, Call::List { prefix } | Call::Watch { prefix, .. } if prefix == TARGETS_PREFIX);
    let changes = |era| Ok(Reply::Changes(Changes { era, revision: 100, objects: Vec::new() }));
    let list = watches.due(ms(0), interest).into_iter().find(is_targets).expect("a list");
    assert!(watches.on_result(ms(5), &list, &changes(0)));
    let watch = watches.due(ms(1_000), interest).into_iter().find(is_targets).expect("a watch");
    assert!(matches!(watch, Call::Watch { .. }));
    watches.enter_era(ms(1_100), 1);
    let list = watches.due(ms(1_500), interest).into_iter().find(is_targets).expect("a list");
    assert!(matches!(list, Call::List { .. }));
    // The watch's answer lacks changes, whichever era it is of.
    assert!(!watches.on_result(ms(1_510), &watch, &changes(0)));
    assert!(!watches.on_result(ms(1_520), &watch, &changes(1)));
    assert!(!watches.on_result(ms(1_530), &list, &changes(0)));
    assert!(watches.on_result(ms(1_540), &list, &changes(1)));
}

/// A first list that was answered before a restore is repeated.
#[test]
fn outdated_list_repeated() {
    let mut watches = ListWatches::new(SmallRng::seed_from_u64(3));
    let interest = limpetdeck::steering::Interest::default();
    let changes = |era| Ok(Reply::Changes(Changes { era, revision: 100, objects: Vec::new() }));
    let lists = watches.due(ms(0), interest);
    watches.enter_era(ms(5), 1);
    for list in &lists {
        assert!(!watches.on_result(ms(10), list, &changes(0)));
    }
    assert_eq!(watches.due(ms(20), interest), lists);
}

/// Returns a world in which a target has drained and another one has started since the copy.
fn restored_world(instances: usize) -> World {
    let mut world = World::new(instances);
    world.run(Duration::from_secs(15));
    world.store.take_copy();
    world.store.put_target(&draining(1));
    world.store.put_target(&target(5, STATION));
    for _ in 0..20 {
        world.store.put_target(&Target { slots: 4, ..target(4, STATION) });
        world.store.put_target(&target(4, STATION));
    }
    world.run(Duration::from_secs(4));
    assert!(world.all(|node| !uses(node, 1) && uses(node, 5)));
    world.store.restore_copy();
    world
}

fn uses(node: &Node, key: u64) -> bool {
    node.forwarder().targets.eligible(Duration::ZERO, STATION).any(|(t, _)| t.key == key)
}

/// What the servers write again.
fn write_again(world: &mut World) {
    world.store.put_target(&draining(1));
    world.store.put_target(&target(5, STATION));
}

/// After a restore, all instances follow changes whose revisions were given out before, within
/// the required three seconds.
#[test]
fn changes_followed() {
    let mut world = restored_world(24);
    world.run(ms(800));
    write_again(&mut world);
    world.store.put_target(&draining(2));
    let time = world.run_until(ms(3_000), |node| !uses(node, 2) && uses(node, 5));
    println!("known_after={time:?}");
    assert!(world.all(|node| !uses(node, 1)));
    world.run(Duration::from_secs(10));
    assert!(world.all(|node| !uses(node, 1) && !uses(node, 2) && uses(node, 5)));
    assert!(world.all(|node| node.forwarder().targets.unconfirmed() == 0));
}

/// Only the watchers list the objects again, each once, and not all at once.
#[test]
fn no_herd() {
    let mut world = restored_world(40);
    let watchers =
        (0..40).filter(|&i| world.node(i).membership().is_watcher(world.now)).count() as u32;
    world.store.calls = 0;
    let mut most = 0;
    for _ in 0..20 {
        let before = world.store.calls;
        world.run(TICK);
        most = most.max(world.store.calls - before);
    }
    println!("watchers={watchers} calls={} most_in_100_ms={most}", world.store.calls);
    // Each watcher: a retry, a list and a watch of routes and of targets, and its registration.
    assert!(world.store.calls <= watchers * 7);
    assert!(most <= watchers * 2);
}

/// A failure domain that is cut from the platform learns of the new era from the other one.
#[test]
fn cut_domain() {
    let mut world = restored_world(12);
    world.store.refused_instances = vec![0, 2, 4, 6, 8, 10];
    world.run(ms(500));
    write_again(&mut world);
    world.store.put_target(&draining(2));
    let time = world.run_until(ms(3_000), |node| !uses(node, 2));
    println!("known_after={time:?}");
    assert!(world.all(|node| node.forwarder().targets.era() == 1));
}

/// Instances register again after a restore that lost their registrations.
#[test]
fn registered_again() {
    let mut world = World::new(8);
    world.store.take_copy();
    world.run(Duration::from_secs(12));
    let registered = |world: &World| {
        let names = world.store.objects.keys().filter(|name| name.starts_with("instances/"));
        names.cloned().collect::<Vec<_>>()
    };
    let before = registered(&world);
    assert!(!before.is_empty());
    world.store.restore_copy();
    assert!(registered(&world).is_empty());
    world.run(Duration::from_secs(4));
    assert_eq!(registered(&world), before);
}

/// Routes do not go back while the store shows older ones, also not on an instance that starts
/// meanwhile.
#[test]
fn routes_kept() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.store.take_copy();
    world.store.put_routes(&routes(5, &[STATION, STATION]));
    world.run(Duration::from_secs(3));
    world.kill(5);
    world.store.restore_copy();
    world.start(5);
    for _ in 0..20 {
        world.run(TICK);
        let others = (0..8).filter(|&i| i != 5);
        assert!(others.into_iter().all(|i| world.node(i).forwarder().routes.version() == 5));
    }
    assert_eq!(world.node(5).forwarder().routes.version(), 5);
    world.store.put_routes(&routes(5, &[STATION, STATION]));
    world.store.put_routes(&routes(8, &[STATION]));
    world.run_until(ms(3_000), |node| node.forwarder().routes.version() == 8);
}

/// An instance that was frozen over the restore and one that starts during it agree with the
/// others.
#[test]
fn frozen_and_started() {
    let mut world = restored_world(8);
    let frozen = world.nodes[3].take();
    world.kill(6);
    world.run(Duration::from_secs(2));
    world.start(6);
    world.run(Duration::from_secs(2));
    write_again(&mut world);
    world.store.put_target(&draining(2));
    world.nodes[3] = frozen;
    let time = world.run_until(ms(3_000), |node| !uses(node, 2));
    println!("known_after={time:?}");
    world.run(Duration::from_secs(8));
    assert!(world.all(|node| !uses(node, 1) && !uses(node, 2) && uses(node, 5)));
    assert!(world.all(Core::healthy));
}

/// A restore while all instances restart and the store refuses half of them.
#[test]
fn while_restarting() {
    let mut world = restored_world(8);
    for i in 0..8 {
        world.kill(i);
        world.start(i);
    }
    world.store.refused_instances = vec![0, 2, 4, 6];
    world.run(Duration::from_secs(1));
    world.store.take_copy();
    write_again(&mut world);
    world.run(Duration::from_secs(1));
    world.store.restore_copy();
    world.store.refused_instances.clear();
    world.run(Duration::from_secs(1));
    write_again(&mut world);
    world.run_until(ms(3_000), |node| !uses(node, 1) && uses(node, 5) && node.healthy());
    assert!(world.all(|node| node.forwarder().targets.era() == 2));
}

/// An instance that was paused while the platform came back from a copy goes on reading, also as the
/// last one. It waited for good for a watch that had begun before, and read nothing any more.
#[test]
fn paused_in_restore() {
    for pause_begin in [ms(300), ms(900), ms(1_500), ms(2_100), ms(2_700)] {
        let mut world = World::new(2);
        world.run(Duration::from_secs(10) + pause_begin);
        world.store.take_copy();
        world.paused.insert(0, Vec::new());
        world.run(ms(1_300));
        world.store.restore_copy();
        world.run(ms(700));
        world.resume(0);
        world.run(Duration::from_secs(12));
        world.kill(1);
        world.store.put_target(&draining(1));
        world.store.put_routes(&routes(2, &[STATION, FARES]));
        world.run(Duration::from_secs(3));
        assert!(!uses(world.node(0), 1), "after {pause_begin:?}");
        assert_eq!(world.node(0).forwarder().routes.version(), 2, "after {pause_begin:?}");
    }
}
