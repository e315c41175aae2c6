//! The start of an instance while no order to drain a failure domain is in force.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::instance::Core;
use support::ms;
use world::World;

/// An instance that starts while the store is down hears from its peers that there is no order.
/// Guards against peers that tell only of orders: it would wait for 2 s for nothing, and then not
/// know whether there are any.
#[test]
fn no_order_in_outage() {
    let mut world = World::with_domain_drains(&[true; 8]);
    world.run(Duration::from_secs(12));
    world.store.down = true;
    world.run(Duration::from_secs(20));
    world.start(5);
    world.run_until(ms(4_000), Core::healthy);
    assert!(world.node(5).forwarder().drains.snapshot().position.is_known());
}
