//! No reset or refusal of `limpetdeck-entry` hits a flow that a living target holds.

#[path = "support/entry_ends.rs"]
mod ends;
#[path = "support/entry_world.rs"]
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use ends::Ending;
use rand::Rng;
use world::{Disturbance, World};

/// Returns the number of seeds to draw; `PROBER_SEEDS=400` draws as many.
fn drawn_seeds() -> u64 {
    std::env::var("PROBER_SEEDS").map_or(10, |text| text.parse().expect("PROBER_SEEDS=N"))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Draws one disturbance.
fn disturb(world: &mut World) {
    let target = world.rng.random_range(1..=6);
    let instance = world.rng.random_range(0..6);
    let time = millis(world.rng.random_range(5_000..30_000));
    match world.rng.random_range(0..9) {
        0 | 1 => world.disturb(Disturbance::Cut(target), time),
        2 => world.disturb(Disturbance::Error(target), time),
        3 => world.disturb(Disturbance::Partition(target % 3), time),
        4 => world.disturb(Disturbance::NoTarget, time / 3),
        5 => world.disturb(Disturbance::Down(target), time),
        6 => world.stall(instance, time / 6),
        7 => world.crash(instance, time / 3),
        _ => world.restart_target(target),
    }
}

/// Plays three minutes of a seed, the first 15 s and the last 60 s without new disturbances.
fn play(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run(Duration::from_secs(8));
    for second in 8..180 {
        for _ in 0..world.rng.random_range(0..5) {
            let lifetime = millis(world.rng.random_range(1_000..60_000));
            world.open(lifetime);
        }
        if (15..120).contains(&second) && world.rng.random_bool(0.25) {
            disturb(&mut world);
        }
        world.run(Duration::from_secs(1));
    }
    world
}

/// Each target is cut off from its domain's instances, answers probes with errors, is partitioned off,
/// drains, or is truly down; instances stand still and restart; and packets come late and twice.
#[test]
fn held_flows_spared() {
    let (mut hits, mut refusals) = (BTreeMap::new(), BTreeMap::new());
    let mut waits: BTreeMap<_, Vec<u128>> = BTreeMap::new();
    let mut endings: BTreeMap<Option<Ending>, usize> = BTreeMap::new();
    for seed in 1..=drawn_seeds() {
        let world = play(seed);
        for (class, count) in &world.hits {
            *hits.entry(class.clone()).or_insert(0) += count;
        }
        for (reason, count) in &world.refusals {
            *refusals.entry(reason.clone()).or_insert(0) += count;
        }
        for (ending, count) in world.endings() {
            *endings.entry(ending).or_default() += count;
        }
        for (cause, found) in world.waits() {
            waits.entry(cause).or_default().extend(found);
        }
    }
    println!("endings={endings:?} refusals={refusals:?}");
    for (cause, found) in &mut waits {
        found.sort_unstable();
        let (half, nine) = (found[found.len() / 2], found[found.len() * 9 / 10]);
        println!("lost={cause} flows={} wait_ms_p50={half} wait_ms_p90={nine}", found.len());
    }
    assert!(endings[&Some(Ending::Closed)] > 100, "{endings:?}");
    assert_eq!(hits, BTreeMap::new(), "hits on held flows by class");
}
