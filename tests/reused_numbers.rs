//! Flows whose numbers resemble those of an earlier flow or attempt between the same addresses.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::steering::{FlowPacket, Forwarder, PacketKind, Token, Verdict};
use support::*;

/// Returns a packet of a later flow on the same port, whose caller's first number is near by chance.
fn later(packet: FlowPacket) -> FlowPacket {
    FlowPacket { sequence: packet.sequence + (1 << 19), ack: packet.ack ^ (1 << 30), ..packet }
}

/// Returns two instances with the same routes and targets.
fn instances() -> [Forwarder; 2] {
    [(); 2].map(|()| forwarder(&[STATION, FARES], &[target(1, STATION), target(2, FARES)]))
}

/// Drops the route of the second address at one instance, and at the other one drops it and brings it back.
fn drop_route(lagging: &mut Forwarder, current: &mut Forwarder) {
    lagging.routes.adopt(routes(2, &[STATION])).expect("valid");
    current.routes.adopt(routes(3, &[STATION, FARES])).expect("valid");
}

fn open_and_answer(forwarder: &mut Forwarder, caller: u16, nth: u8) -> (u64, Token) {
    let (key, token) = place(forwarder, ms(1_000), &opening(caller, nth));
    forwarder.decide(ms(1_010), &request(caller, nth, token, 0));
    forwarder.decide(ms(1_050), &request(caller, nth, token, 1));
    forwarder.decide(ms(1_060), &acknowledgement(caller, nth, token, 1));
    (key, token)
}

/// A copy of an opening packet passed before the route was dropped. Another copy opened the flow once the
/// route was back.
#[test]
fn attempt_before_drop() {
    let [mut here, mut elsewhere] = instances();
    here.decide(ms(1_000), &opening(1, 2));
    drop_route(&mut here, &mut elsewhere);
    let (_, token) = place(&mut elsewhere, ms(1_200), &retransmitted_opening(1, 2, 1));
    elsewhere.decide(ms(1_210), &request(1, 2, token, 0));
    let verdict = here.decide(ms(1_220), &request(1, 2, token, 0));
    assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}");
}

/// A flow ended here before the route was dropped. Its caller uses the port again once the route is back.
#[test]
fn flow_before_drop() {
    let [mut here, mut elsewhere] = instances();
    let (_, token) = open_and_answer(&mut here, 1, 2);
    let closing = acknowledgement(1, 2, token, 1);
    here.decide(ms(1_100), &FlowPacket { kind: PacketKind::Closing, ..closing });
    drop_route(&mut here, &mut elsewhere);
    let (_, token) = place(&mut elsewhere, ms(3_000), &later(opening(1, 2)));
    let verdict = here.decide(ms(3_010), &later(request(1, 2, token, 0)));
    assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}");
}

/// A flow that was answered here has ended by way of another instance, and so was the next one on its port
/// opened, to another target.
#[test]
fn flow_ended_elsewhere() {
    let targets = [target(1, STATION), target(2, STATION)];
    let [mut here, mut elsewhere] = [(); 2].map(|()| forwarder(&[STATION], &targets));
    let (first, _) = open_and_answer(&mut here, 1, 1);
    let (second, token) = loop {
        let placed = place(&mut elsewhere, ms(3_000), &later(opening(1, 1)));
        if placed.0 != first {
            break placed;
        }
    };
    for nth in 0..3 {
        let at = ms(3_010 + 300 * u64::from(nth));
        let to = receivers(here.decide(at, &later(request(1, 1, token, nth))));
        assert_eq!(to, [(target(second, STATION).address, second)], "{nth}");
    }
}

/// Opening packets carry the number of earlier copies in place of an acknowledgment.
#[test]
fn copy_of_open_flow() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION), target(2, STATION)]);
    open_and_answer(&mut forwarder, 1, 1);
    for repeats in 1..3 {
        let copy = FlowPacket { ack: repeats, ..retransmitted_opening(1, 1, repeats) };
        let verdict = forwarder.decide(ms(1_200), &copy);
        assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}");
    }
}
