//! Opening packets at `limpetdeck-entry`: late ones do not move open flows, and callers that cannot be
//! served are refused under load too.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::packet::{Segment, TcpFlags};
use limpetdeck::placement::TargetState::{Dead, Draining};
use limpetdeck::placement::{
    Placement, PlacementConfig, Policy, Route, TargetState, TargetView, Verdict,
};
use limpetdeck::services::{RawServices, Services};

const SYN: TcpFlags = TcpFlags { syn: true, ack: false, fin: false, rst: false };
const DATA: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: false };
const SYN_ACK: TcpFlags = TcpFlags { syn: true, ack: true, fin: false, rst: false };
/// New flows a second.
const RATE: u32 = 5_000;

fn placement() -> Placement {
    let cfg = PlacementConfig { instance_id: 1, flow_capacity: 2_000_000, policy: Policy::Epochs };
    let mut placement = Placement::new(&cfg);
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    let services = Services::try_from(raw).expect("a valid sample");
    placement.set_services(Duration::ZERO, 1, Arc::new(services));
    placement.set_members(Duration::ZERO, [1], [1]);
    placement
}

fn caller(n: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a09_0000 + n / 50_000), (1_000 + n % 50_000) as u16)
}

/// Decides about a packet of a caller's flow at a time in milliseconds, from the target or the caller.
fn decide(
    placement: &mut Placement,
    at: u64,
    caller: SocketAddrV4,
    from: Option<u32>,
    flags: TcpFlags,
    sequence: u32,
) -> Verdict {
    let services = Arc::clone(placement.services());
    let (source, destination) = match from {
        Some(id) => (services.target(id).expect("a target").1.address, caller),
        None => (caller, services.list()[0].address),
    };
    let segment =
        Segment { source, destination, sequence, acknowledgment: 5, flags, payload_len: 10 };
    let class = ClassifiedPacket::new(&services, &segment).expect("a service");
    placement.decide(Duration::from_millis(at), &class, &segment, Route::ENTRY)
}

fn set_state(placement: &mut Placement, at: u64, target: u32, state: TargetState) {
    let view = TargetView { state, version: 9, since: Duration::from_millis(at) };
    placement.set_target_state(target, view);
}

/// A target is wrongly reported as dead. A late opening packet of an earlier flow on the port arrives.
#[test]
#[ignore = "KNOWN-RED 55"]
fn packet_of_earlier_flow() {
    let mut placement = placement();
    let caller = caller(1);
    let verdict = decide(&mut placement, 60_000, caller, None, SYN, 9);
    let Verdict::ToTarget(target) = verdict else { panic!("{verdict:?}") };
    decide(&mut placement, 60_001, caller, Some(target), SYN_ACK, 500);
    let verdict = decide(&mut placement, 60_002, caller, None, DATA, 10);
    assert_eq!(verdict, Verdict::ToTarget(target));
    set_state(&mut placement, 61_000, target, Dead);
    decide(&mut placement, 61_100, caller, None, SYN, 7_000_000);
    let verdict = decide(&mut placement, 61_200, caller, None, DATA, 20);
    assert_eq!(verdict, Verdict::ToTarget(target));
}

/// The same with a flow that was learned from the answers of its target.
#[test]
#[ignore = "KNOWN-RED 55"]
fn packets_of_earlier_flows() {
    let mut placement = placement();
    let caller = caller(1);
    assert_eq!(decide(&mut placement, 60_000, caller, Some(1), DATA, 500), Verdict::ToCaller);
    set_state(&mut placement, 61_000, 1, Dead);
    decide(&mut placement, 61_100, caller, None, SYN, 7_000_000);
    decide(&mut placement, 61_150, caller, None, SYN, 9);
    let verdict = decide(&mut placement, 61_200, caller, None, DATA, 20);
    assert_eq!(verdict, Verdict::ToTarget(1));
}

/// Load pattern: thousands of new flows a second for a minute. Then no target accepts new ones, and the
/// next caller is told so at once.
#[test]
fn refused_under_load() {
    let mut placement = placement();
    for n in 0..60 * RATE {
        let at = 61_000 + u64::from(n) * 1_000 / u64::from(RATE);
        decide(&mut placement, at, caller(n), None, SYN, n + 1);
    }
    let services = Arc::clone(placement.services());
    for target in &services.list()[0].targets {
        set_state(&mut placement, 121_000, target.id, Draining);
    }
    let verdict = decide(&mut placement, 121_500, caller(4_000_000), None, SYN, 9);
    assert!(matches!(verdict, Verdict::Refuse(..)), "{verdict:?}");
}
