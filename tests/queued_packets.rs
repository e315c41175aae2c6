//! Log lines of packets that wait for an instance to become ready.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use limpetdeck::instance::{Core, Event};
use limpetdeck::steering::DOMAIN_DRAINS_PREFIX;
use log::{LevelFilter, Log, Metadata, Record};
use support::*;
use world::*;

/// Counts the lines about released packets.
struct Counter(AtomicUsize);

static COUNTER: Counter = Counter(AtomicUsize::new(0));

impl Log for Counter {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string() == "waiting_released" {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// An instance that knows targets and still lacks the orders to drain failure domains queues its
/// packets again with each answer of the platform: it must not report them as released each time.
#[test]
fn queued_again() {
    log::set_logger(&COUNTER).expect("no other logger");
    log::set_max_level(LevelFilter::Info);
    let mut world = World::with_domain_drains(&[true]);
    world.store.silent_prefixes = vec![DOMAIN_DRAINS_PREFIX.to_owned()];
    world.start(0);
    let mut port = 1;
    while !world.node(0).healthy() {
        assert_eq!(COUNTER.0.load(Ordering::Relaxed), 0, "reported before it is ready");
        world.handle(0, Event::Packet(text(&opening(port, 1))));
        world.store.put_target(&target(20, STATION));
        world.run(Duration::from_millis(100));
        port += 1;
    }
    assert!(port > 10, "ready at once");
    assert_eq!(COUNTER.0.load(Ordering::Relaxed), 1);
    assert!(!world.datagrams[0].is_empty());
}
