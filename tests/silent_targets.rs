//! Targets that live and hold their flows, but look dead from an instance, as the bench plays them. No
//! flow is reset, however long that lasts, and its packets go to the target.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::instance::CheckOutcome::{self, Accepted, NoAnswer, Refused};
use limpetdeck::steering::{Forwarder, Target, Token, Verdict};
use support::*;

/// Completes a flow that another instance has opened to a target, with one request that the target
/// answers. Returns its token.
fn open_at(forwarder: &mut Forwarder, target: &Target, caller: u16) -> Token {
    let mut elsewhere = support::forwarder(&[STATION], std::slice::from_ref(target));
    let (_, token) = place(&mut elsewhere, ms(1_000), &opening(caller, 1));
    forwarder.decide(ms(1_010), &request(caller, 1, token, 0));
    forwarder.decide(ms(1_050), &acknowledgement(caller, 1, token, 0));
    token
}

/// Ends all connection checks: those of the target with an outcome, the others with an accepted one.
fn end_checks(forwarder: &mut Forwarder, at: u64, target: &Target, outcome: CheckOutcome) {
    for address in forwarder.take_connection_checks() {
        let outcome = if address == socket(target.address) { outcome } else { Accepted };
        forwarder.record_connection_check(ms(at), address, outcome);
    }
}

/// Sends a request at 2 s that is repeated until its caller gives up, while others are answered.
fn check_kept(targets: &[Target], outcome: CheckOutcome, removed: bool) {
    let silent = &targets[0];
    let mut forwarder = forwarder(&[STATION], targets);
    let token = open_at(&mut forwarder, silent, 1);
    let other = open_at(&mut forwarder, &targets[1], 2);
    if removed {
        forwarder.targets.merge(ms(1_900), removal(11, silent.key));
    }
    for (nth, at) in (1..).zip([2_000, 2_200, 2_600, 3_400, 5_000, 6_600]) {
        let verdict = forwarder.decide(ms(at), &request(1, 1, token, 1));
        assert!(!matches!(verdict, Verdict::Reset(_)), "{verdict:?} at {at} ms");
        assert!(reaches(verdict, silent), "{verdict:?} at {at} ms");
        forwarder.decide(ms(at), &request(2, 1, other, nth));
        forwarder.decide(ms(at + 2), &acknowledgement(2, 1, other, nth));
        for later in [10, 110] {
            end_checks(&mut forwarder, at + later, silent, outcome);
            forwarder.check_flow_targets(ms(at + later));
        }
    }
    assert_eq!(forwarder.flows.load((silent.key, 1_000)).flows, 1);
}

/// An instance stands still, and then reads a request and its copy at once. Its checks time out meanwhile.
#[test]
fn stall_looks_silent() {
    let targets = [target(1, STATION), target(2, STATION)];
    let mut forwarder = forwarder(&[STATION], &targets);
    let token = open_at(&mut forwarder, &targets[0], 1);
    let other = open_at(&mut forwarder, &targets[1], 2);
    for at in [3_000, 3_002] {
        let verdict = forwarder.decide(ms(at), &request(1, 1, token, 1));
        assert!(reaches(verdict, &targets[0]), "{verdict:?}");
        end_checks(&mut forwarder, at + 1, &targets[0], NoAnswer);
    }
    forwarder.decide(ms(3_004), &request(2, 1, other, 1));
    forwarder.decide(ms(3_006), &acknowledgement(2, 1, other, 1));
    for at in [3_100, 3_300, 3_500] {
        end_checks(&mut forwarder, at, &targets[0], NoAnswer);
        forwarder.check_flow_targets(ms(at));
        let verdict = forwarder.decide(ms(at), &request(1, 1, token, 1));
        assert!(reaches(verdict, &targets[0]), "{verdict:?}");
    }
}

/// A target that has just started answers after more than 200 ms, and accepts connections late.
#[test]
fn cold_looks_silent() {
    let cold = Target { warm_up_left: ms(10_000), ..target(1, STATION) };
    check_kept(&[cold, target(2, STATION)], NoAnswer, false);
}

/// A device on the path refuses connections to one target.
#[test]
fn path_refuses_one() {
    check_kept(&[target(1, STATION), target(2, STATION)], Refused, false);
}

/// A target is cut off for seconds, and the platform removes it meanwhile.
#[test]
fn cut_off_and_removed() {
    for outcome in [Refused, NoAnswer] {
        check_kept(&[target(1, STATION), target(2, STATION)], outcome, true);
    }
}

/// The failure domains do not reach each other, and targets elsewhere answer.
#[test]
fn cut_domain_looks_dead() {
    for outcome in [Refused, NoAnswer] {
        check_kept(&[remote_target(1, STATION), target(2, STATION)], outcome, false);
    }
}
