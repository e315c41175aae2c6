//! A reset from a target without such a connection does not end a flow on another target.
//!
//! A target sends such a reset, without ACK, for a packet that was forwarded to it by a record
//! or a suggestion that turned out wrong.

use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::packet::{Segment, TcpFlags};
use limpetdeck::placement::{
    DropReason, Placement, PlacementConfig, Policy, Route, Stage, Verdict,
};
use limpetdeck::services::{RawServices, Services};

const NOW: Duration = Duration::from_secs(60);
const SYN: TcpFlags = TcpFlags { syn: true, ack: false, fin: false, rst: false };
const DATA: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: false };
const RESET_WITHOUT_ACK: TcpFlags = TcpFlags { syn: false, ack: false, fin: false, rst: true };
const RESET_WITH_ACK: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: true };

fn services() -> Arc<Services> {
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    Arc::new(Services::try_from(raw).expect("a valid sample"))
}

/// Returns the placement of instance 1 in a cluster with `other`; alone if `other` is 1.
fn placement(other: u32) -> Placement {
    let cfg = PlacementConfig { instance_id: 1, flow_capacity: 100, policy: Policy::Epochs };
    let mut placement = Placement::new(&cfg);
    placement.set_services(Duration::ZERO, 1, services());
    placement.set_members(Duration::ZERO, [1, other], [1, other]);
    placement
}

fn decide(
    placement: &mut Placement,
    port: u16,
    from: Option<u32>,
    flags: TcpFlags,
    route: Route,
) -> Verdict {
    let services = Arc::clone(placement.services());
    let caller = format!("10.9.0.1:{port}").parse().expect("an address");
    let (source, destination) = match from {
        Some(id) => (services.target(id).expect("a target").1.address, caller),
        None => (caller, services.list()[0].address),
    };
    let segment =
        Segment { source, destination, sequence: 9, acknowledgment: 5, flags, payload_len: 0 };
    let class = ClassifiedPacket::new(&services, &segment).expect("a service");
    placement.decide(NOW, &class, &segment, route)
}

fn at(stage: Stage) -> Route {
    Route { stage, hops: 3, suggested_target: None }
}

#[test]
fn record_without_reply() {
    for (flags, expected) in [
        (RESET_WITHOUT_ACK, Verdict::Drop(DropReason::WrongTarget)),
        (RESET_WITH_ACK, Verdict::ToCaller),
    ] {
        let mut placement = placement(1);
        let Verdict::ToTarget(target) = decide(&mut placement, 4_000, None, SYN, Route::ENTRY)
        else {
            panic!("a new flow goes to a target")
        };
        assert_eq!(decide(&mut placement, 4_000, Some(target), flags, Route::ENTRY), expected);
    }
}

#[test]
fn suggested_target() {
    // Search for another instance beside which instance 1 is the placer of the service.
    let mut placement = (2..=60)
        .map(placement)
        .find(|placement| placement.is_placer(1))
        .expect("an instance that ranks behind this one");
    let (port, suggested) = (4_000..4_100)
        .find_map(|port| match decide(&mut placement, port, None, SYN, Route::ENTRY) {
            Verdict::ToInstance(_, Route { suggested_target: Some(target), .. }) => {
                Some((port, target))
            }
            _ => None,
        })
        .expect("a flow that is placed here and owned elsewhere");
    let data =
        |placement: &mut Placement| decide(placement, port, None, DATA, at(Stage::PlacerLookup));
    assert_eq!(data(&mut placement), Verdict::ToTarget(suggested), "tried");
    let reset = decide(&mut placement, port, Some(suggested), RESET_WITHOUT_ACK, at(Stage::Placer));
    assert_eq!(reset, Verdict::Drop(DropReason::WrongTarget));
    assert_eq!(data(&mut placement), Verdict::Drop(DropReason::UnknownFlow), "not tried again");
}
