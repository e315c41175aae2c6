//! Tests of target selection in a failure domain with too few targets, at one of many instances.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::steering::{Crowding, Steer};
use support::*;

/// Opens flows while this instance always has one request waiting. Returns the number of flows
/// placed in another domain.
fn remote_flows(steer: &mut Steer, instances: usize) -> usize {
    steer.set_home_instances(instances);
    let mut remote = 0;
    for caller in 1..100u16 {
        let now = ms(u64::from(caller) * 100);
        steer.sample(now);
        let (key, token) = placed(steer, now, &opening(caller, 1));
        steer.decide(now, &request(caller, 1, token, 0));
        steer.sample(now + ms(90));
        steer.decide(now + ms(95), &answered(caller, 1, token, 0));
        remote += usize::from(key > 2);
    }
    remote
}

fn targets() -> [limpetdeck::steering::Target; 4] {
    [target(1, TILL), target(2, TILL), away(3, TILL), away(4, TILL)]
}

/// Two targets with three slots each have enough capacity for one waiting request.
#[test]
fn enough_capacity() {
    let mut steer = steer(&[TILL], &targets());
    assert_eq!(remote_flows(&mut steer, 1), 0);
}

/// If each of 34 instances has one request waiting, 34 requests wait for six slots.
#[test]
fn many_instances() {
    let mut steer = steer(&[TILL], &targets());
    let remote = remote_flows(&mut steer, 34);
    println!("remote={remote}");
    assert!(remote >= 33, "{remote} of 99 flows left a domain with a sixth of the slots it needs");
}

#[test]
fn average_decays() {
    let mut load = Crowding::default();
    for i in 1..50 {
        load.sample(ms(i * 100), [(TILL, 3)].into_iter());
    }
    assert!(load.per_slot(TILL, 2, 6) > 0.9);
    load.sample(ms(10_000), std::iter::empty());
    assert!(load.per_slot(TILL, 2, 6) < 0.05);
}
