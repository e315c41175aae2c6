//! A failure domain with too few targets, seen by one of many instances.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::steering::{Crowding, Steer};
use support::*;

/// Opens flows while one request of this instance always waits; returns those that left the
/// domain.
fn flows_away(steer: &mut Steer, instances: usize) -> usize {
    steer.set_home_instances(instances);
    let mut away = 0;
    for caller in 1..100u16 {
        let now = ms(u64::from(caller) * 100);
        steer.sample(now);
        let (key, token) = placed(steer, now, &opening(caller, 1));
        steer.decide(now, &request(caller, 1, token, 0));
        steer.sample(now + ms(90));
        steer.decide(now + ms(95), &answered(caller, 1, token, 0));
        away += usize::from(key > 2);
    }
    away
}

fn targets() -> [limpetdeck::steering::Target; 4] {
    [target(1, TILL), target(2, TILL), away(3, TILL), away(4, TILL)]
}

/// Two targets with three slots each have room for the one request that waits.
#[test]
fn room_at_home() {
    let mut steer = steer(&[TILL], &targets());
    assert_eq!(flows_away(&mut steer, 1), 0);
}

/// With 34 instances that see as much, 34 requests wait for six slots.
#[test]
fn many_instances() {
    let mut steer = steer(&[TILL], &targets());
    let away = flows_away(&mut steer, 34);
    println!("away={away}");
    assert!(away >= 33, "{away} of 99 flows left a domain that has a sixth of what it needs");
}

#[test]
fn forgets() {
    let mut crowding = Crowding::default();
    for i in 1..50 {
        crowding.sample(ms(i * 100), [(TILL, 3)].into_iter());
    }
    assert!(crowding.per_slot(TILL, 2, 6) > 0.9);
    crowding.sample(ms(10_000), std::iter::empty());
    assert!(crowding.per_slot(TILL, 2, 6) < 0.05);
}
