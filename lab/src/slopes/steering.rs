//! Decisions about packets that carry tokens, by the number of targets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::flow::FlowKey;
use limpetdeck::platform::Position;
use limpetdeck::steering::{
    FlowPacket, Forwarder, NO_TOKEN, PacketKind, RawRoute, RawRoutes, Target, TargetRecord,
    TargetState, Token, Tokens, Verdict, WeightedService,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::mean_ns;

const KEY: [u8; 32] = [3; 32];
const SERVICE: &str = "a";
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const NOW: Duration = Duration::from_secs(10);
/// Failure domains among which the targets are spread evenly.
const DOMAINS: u64 = 5;
/// Flows that are opened.
const FLOWS: usize = 5_000;

/// Prints the times of an opening packet, and of the first packet of a flow that another instance
/// has opened, as after a restart.
pub(super) fn print(seed: u64) {
    for targets in [30, 300, 3_000, 7_400] {
        let list: Vec<_> = (1..=targets).map(target).collect();
        let mut forwarder = new_forwarder(&list, seed);
        let opening_ns = mean_ns(FLOWS, |n| {
            let opening = packet(n, PacketKind::Opening { repeats: 0 }, NO_TOKEN);
            matches!(forwarder.decide(NOW, &opening), Verdict::Forward(..))
        });
        let tokens = Tokens::new(KEY);
        let tokens: Vec<_> = list.iter().map(|target| tokens.mint(ADDRESS, target)).collect();
        let mut restarted = new_forwarder(&list, seed);
        let within_ns = mean_ns(tokens.len(), |n| {
            let within = packet(n, PacketKind::Within, tokens[n]);
            matches!(restarted.decide(NOW, &within), Verdict::Forward(..))
        });
        println!(
            "slope=steering targets={targets} opening_ns={opening_ns:.0} first_packet_ns={within_ns:.0}"
        );
    }
}

fn new_forwarder(targets: &[Target], seed: u64) -> Forwarder {
    let rng = SmallRng::seed_from_u64(seed);
    let mut forwarder = Forwarder::new("domain-0".to_owned(), KEY, rng);
    let services = vec![WeightedService { service: SERVICE.to_owned(), weight: 1 }];
    let route = RawRoute { name: "r".to_owned(), address: ADDRESS, services };
    let routes = RawRoutes { version: 1, routes: vec![route], ..RawRoutes::default() };
    let adopted = forwarder.routes.adopt(routes);
    assert!(adopted.is_ok(), "the routes are valid");
    let record = |target: &Target| TargetRecord {
        key: target.key,
        position: Position::new(0, 1),
        target: Some(target.clone()),
    };
    let records = targets.iter().map(record).collect();
    forwarder.targets.replace_all(Duration::ZERO, Position::new(0, 2), records);
    forwarder
}

fn target(key: u64) -> Target {
    let [.., high, low] = key.to_be_bytes();
    Target {
        key,
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, high, low), 8_080),
        failure_domain: format!("domain-{}", key % DOMAINS),
        slots: 3,
        state: TargetState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

fn packet(n: usize, kind: PacketKind, token: Token) -> FlowPacket {
    let [.., a, b, c] = (n as u32).to_be_bytes();
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, a, b, c), 40_000);
    FlowPacket {
        flow: FlowKey { caller, service: ADDRESS },
        kind,
        token,
        sequence: 1_000,
        ack: 1,
        data_len: 100,
    }
}
