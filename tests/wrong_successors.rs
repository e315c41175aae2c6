//! Records that seem to tell of the successor of a target that lives, and holds its flows. No flow is
//! reset, and its packets reach the target.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::steering::{Forwarder, Target, TargetRecord, Verdict};
use support::*;

/// Opens a flow to the only target, lets records arrive, and checks that they do not end the flow.
fn check_kept(living: &Target, records: Vec<TargetRecord>) {
    let n = if living.service == STATION { 1 } else { 2 };
    let mut forwarder: Forwarder = forwarder(&[STATION, FARES], std::slice::from_ref(living));
    let (_, token) = place(&mut forwarder, ms(1_000), &opening(1, n));
    forwarder.decide(ms(1_010), &request(1, n, token, 0));
    forwarder.decide(ms(1_050), &acknowledgement(1, n, token, 0));
    for record in records {
        forwarder.targets.merge(ms(2_000), record);
    }
    forwarder.check_flow_targets(ms(2_010));
    for at in [2_100, 2_300, 2_700] {
        let verdict = forwarder.decide(ms(at), &request(1, n, token, 1));
        assert!(!matches!(verdict, Verdict::Reset(_)), "{verdict:?}");
        assert!(reaches(verdict, living), "{verdict:?}");
    }
    forwarder.check_flow_targets(ms(3_000));
}

/// Returns the target that has ended before the living one started at its address.
fn predecessor(incarnation: u64, service: &str) -> Target {
    Target { key: 9, address: target(1, STATION).address, incarnation, ..target(9, service) }
}

/// The clock of the predecessor was ahead, and its last write is executed late. It is not known here.
#[test]
fn successor_with_clock_ahead() {
    check_kept(&target(1, STATION), vec![record(20, predecessor(3_000, STATION))]);
}

/// As before, and the entry of the living target has lapsed.
#[test]
fn clock_ahead_of_removed() {
    for service in [STATION, FARES] {
        let late = vec![removal(19, 1), record(20, predecessor(3_000, service))];
        check_kept(&target(1, STATION), late);
    }
}

/// The clock of a target was set back before it started for another service. A write of its earlier
/// process is executed late.
#[test]
fn clock_back_for_other_service() {
    let earlier = Target { incarnation: 3_000, ..target(1, STATION) };
    check_kept(&target(1, FARES), vec![record(20, earlier)]);
}

/// As before, for the same service at another address.
#[test]
fn clock_back_elsewhere() {
    let earlier =
        Target { incarnation: 3_000, address: target(7, STATION).address, ..target(1, STATION) };
    check_kept(&target(1, STATION), vec![record(20, earlier)]);
}
