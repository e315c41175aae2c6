//! Tests of target selection in a failure domain with too few targets, at one of many instances.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::steering::{DomainLoad, Forwarder};
use support::*;

/// Opens flows while this instance always has one request waiting. Returns the number of flows
/// placed in another domain.
fn remote_flows(forwarder: &mut Forwarder, instances: usize) -> usize {
    forwarder.set_local_instances(instances);
    let mut remote = 0;
    for caller in 1..100u16 {
        let now = ms(u64::from(caller) * 100);
        forwarder.sample_load(now);
        let (key, token) = place(forwarder, now, &opening(caller, 1));
        forwarder.decide(now, &request(caller, 1, token, 0));
        forwarder.sample_load(now + ms(90));
        forwarder.decide(now + ms(95), &acknowledgement(caller, 1, token, 0));
        remote += usize::from(key > 2);
    }
    remote
}

fn targets() -> [limpetdeck::steering::Target; 4] {
    [target(1, STATION), target(2, STATION), remote_target(3, STATION), remote_target(4, STATION)]
}

/// Two targets with three slots each have enough capacity for one waiting request.
#[test]
fn enough_capacity() {
    let mut forwarder = forwarder(&[STATION], &targets());
    assert_eq!(remote_flows(&mut forwarder, 1), 0);
}

/// If each of 34 instances has one request waiting, 34 requests wait for six slots.
#[test]
fn many_instances() {
    let mut forwarder = forwarder(&[STATION], &targets());
    let remote = remote_flows(&mut forwarder, 34);
    println!("remote={remote}");
    assert!(remote >= 33, "{remote} of 99 flows left a domain with a sixth of the slots it needs");
}

#[test]
fn average_decays() {
    let mut load = DomainLoad::default();
    for i in 1..50 {
        load.sample(ms(i * 100), [(STATION, 3)].into_iter());
    }
    assert!(load.waiting_per_slot(STATION, 2, 6) > 0.9);
    load.sample(ms(10_000), std::iter::empty());
    assert!(load.waiting_per_slot(STATION, 2, 6) < 0.05);
}
