//! Log lines of many instances that start, fail and come back together.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use log::{LevelFilter, Log, Metadata, Record};
use world::*;

/// Counts the lines about membership.
struct Counter(AtomicUsize);

static COUNTER: Counter = Counter(AtomicUsize::new(0));

impl Log for Counter {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let text = record.args().to_string();
        if text == "members" || text.starts_with("instance_") {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Returns the lines for each instance while all start, and while a quarter dies and comes back.
fn lines_per_instance(instances: usize) -> usize {
    COUNTER.0.store(0, Ordering::Relaxed);
    let mut world = World::new(instances);
    world.run(Duration::from_secs(20));
    for i in 0..instances / 4 {
        world.kill(i);
    }
    world.run(Duration::from_secs(10));
    for i in 0..instances / 4 {
        world.start(i);
    }
    world.run(Duration::from_secs(10));
    COUNTER.0.load(Ordering::Relaxed) / instances
}

/// Load pattern: all instances start at once, and later many die at once. Each instance learns of
/// each other one, but does not write a line for it.
#[test]
fn lines_bounded() {
    log::set_logger(&COUNTER).expect("no other logger");
    log::set_max_level(LevelFilter::Info);
    let (few, many) = (lines_per_instance(20), lines_per_instance(120));
    println!("lines_per_instance few={few} many={many}");
    // One summary in five seconds, and the failures that an instance has found itself.
    assert!(few <= 16 && many <= 16, "{few} lines at each of 20 instances, {many} at each of 120");
}
