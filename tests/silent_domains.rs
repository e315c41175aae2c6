//! Probes of failure domains whose targets fall silent, beside connection checks of these targets.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use limpetdeck::instance::CheckOutcome::Refused;
use limpetdeck::steering::Target;
use support::*;

/// Time within which a failure domain whose targets are all silent counts as unreachable, in milliseconds.
const MAX_DETECTION_MS: u64 = 1_500;
/// Time that a check takes that is not answered, in milliseconds.
const CHECK_MS: u64 = 350;

/// Opens flows to targets that are all silent. Returns when their domain counts as unreachable, in
/// milliseconds.
fn detection_time(targets: u64) -> Option<u64> {
    let targets: Vec<_> = (1..=targets).map(|key| remote_target(key, STATION)).collect();
    let mut forwarder = forwarder(&[STATION], &targets);
    let mut checks: Vec<(u64, SocketAddr)> = Vec::new();
    for at in (0..8_000).step_by(10) {
        let ended: Vec<_> = checks.extract_if(.., |(end, _)| *end <= at).collect();
        for (_, address) in ended {
            forwarder.record_connection_check(ms(at), address, Refused);
        }
        if at % 100 == 0 {
            let port = (at / 100) as u16 + 10;
            forwarder.decide(ms(at), &opening(port, 1));
            forwarder.decide(ms(at), &retransmitted_opening(port - 2, 1, 1));
            forwarder.decide(ms(at), &retransmitted_opening(port - 6, 1, 2));
            let probes = forwarder.take_reach_probes(ms(at));
            checks.extend(probes.into_iter().map(|address| (at + CHECK_MS, address)));
            forwarder.check_flow_targets(ms(at));
        }
        let begun = forwarder.take_connection_checks();
        checks.extend(begun.into_iter().map(|address| (at + CHECK_MS, address)));
        if forwarder.unreachable_domains() > 0 {
            return Some(at);
        }
    }
    None
}

/// The unanswered packet that raises the doubt also begins a check of its target.
#[test]
fn small_domains() {
    for targets in 1..=6 {
        let time = detection_time(targets);
        assert!(time.is_some_and(|time| time <= MAX_DETECTION_MS), "{targets} targets: {time:?}");
    }
}

/// Two targets of different services are at one address for a time.
#[test]
fn shared_address() {
    let later =
        Target { service: FARES.to_owned(), incarnation: 2_000, ..remote_target(1, STATION) };
    let targets = [
        remote_target(1, STATION),
        Target { key: 2, ..later },
        remote_target(3, STATION),
        remote_target(4, STATION),
    ];
    let mut forwarder = forwarder(&[STATION, FARES], &targets);
    for caller in 0..8 {
        forwarder.decide(ms(u64::from(caller)), &opening(caller, 1));
    }
    forwarder.decide(ms(205), &retransmitted_opening(0, 1, 1));
    let checks = forwarder.take_connection_checks();
    let begun: Vec<_> = checks.into_iter().chain(forwarder.take_reach_probes(ms(206))).collect();
    let addresses: BTreeSet<_> = begun.iter().collect();
    assert_eq!(addresses.len(), begun.len(), "one check at a time for an address: {begun:?}");
}
