//! Targets, routes and packets for tests of token steering.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::flow::FlowKey;
use limpetdeck::ids::Version;
use limpetdeck::instance::CheckOutcome;
use limpetdeck::platform::{Object, Position, Revision};
use limpetdeck::steering::{
    ANY_TARGET, FlowPacket, Forwarder, NO_TOKEN, PacketError, PacketFormat, PacketKind, RawRoute,
    RawRoutes, RawTarget, Target, TargetIncarnation, TargetKey, TargetRecord, TargetState, Token,
    Verdict, WeightedService,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const KEY: [u8; 32] = [9; 32];
pub const LOCAL: &str = "gt-centro-a";
pub const REMOTE: &str = "gt-centro-b";
pub const STATION: &str = "estacion";
pub const FARES: &str = "tarifas";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the nth service address.
pub fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, n), 443)
}

/// Returns a ready, warm target with three slots in the local failure domain.
pub fn target(key: TargetKey, service: &str) -> Target {
    let raw = RawTarget {
        key,
        incarnation: 1_000,
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, key as u8), 8_080),
        failure_domain: LOCAL.to_owned(),
        slots: 3,
        state: TargetState::Ready,
        cold_ms: 0,
    };
    Target::try_from(raw).expect("a valid target")
}

pub fn remote_target(key: TargetKey, service: &str) -> Target {
    Target { failure_domain: REMOTE.to_owned(), ..target(key, service) }
}

/// Returns a position in the first era.
pub fn at(revision: Revision) -> Position {
    Position::new(0, revision)
}

pub fn record(revision: Revision, target: Target) -> TargetRecord {
    TargetRecord { key: target.key, position: at(revision), target: Some(target) }
}

pub fn removal(revision: Revision, key: TargetKey) -> TargetRecord {
    TargetRecord { key, position: at(revision), target: None }
}

/// Returns routes from the addresses 1, 2, ... to one service each.
pub fn routes(version: Version, services: &[&str]) -> RawRoutes {
    let route = |(i, service): (usize, &&str)| RawRoute {
        name: format!("r{i}"),
        address: address(i as u8 + 1),
        services: vec![WeightedService { service: (*service).to_owned(), weight: 1 }],
    };
    let routes = services.iter().enumerate().map(route).collect();
    let latency_targets_ms = vec![150; services.len()];
    RawRoutes {
        version,
        routes,
        idle_timeout_ms: 15_000,
        latency_targets_ms,
        ..RawRoutes::default()
    }
}

/// Returns the steering state of an instance with these targets, listed at revision 10.
pub fn forwarder(services: &[&str], targets: &[Target]) -> Forwarder {
    let mut forwarder = Forwarder::new(LOCAL.to_owned(), KEY, SmallRng::seed_from_u64(1));
    forwarder.routes.adopt(routes(1, services)).expect("valid routes");
    let records = targets.iter().cloned().map(|target| record(5, target)).collect();
    forwarder.targets.replace_all(Duration::ZERO, at(10), records);
    forwarder
}

fn packet(caller: u16, n: u8, kind: PacketKind, token: Token) -> FlowPacket {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), caller);
    FlowPacket {
        flow: FlowKey { caller, service: address(n) },
        kind,
        token,
        sequence: 1_000,
        ack: 0,
        data_len: 0,
    }
}

/// Returns the opening packet of a flow from a caller port to address n.
pub fn opening(caller: u16, n: u8) -> FlowPacket {
    packet(caller, n, PacketKind::Opening { repeats: 0 }, NO_TOKEN)
}

pub fn retransmitted_opening(caller: u16, n: u8, repeats: u32) -> FlowPacket {
    packet(caller, n, PacketKind::Opening { repeats }, NO_TOKEN)
}

/// Returns a request packet; `nth` is the index of the request on its flow.
pub fn request(caller: u16, n: u8, token: Token, nth: u32) -> FlowPacket {
    let sequence = 1_001 + 100 * nth;
    // The caller has acknowledged the responses to all earlier requests.
    let ack = 5_000 + 1_000 * nth;
    let packet = packet(caller, n, PacketKind::Within, token);
    FlowPacket { sequence, ack, data_len: 100, ..packet }
}

/// Returns the packet that acknowledges the response to the nth request.
pub fn acknowledgement(caller: u16, n: u8, token: Token, nth: u32) -> FlowPacket {
    let request = request(caller, n, token, nth);
    FlowPacket {
        sequence: request.sequence + 100,
        ack: request.ack + 1_000,
        data_len: 0,
        ..request
    }
}

/// Handles an opening packet, and returns the target and the token that its flow got.
pub fn place(forwarder: &mut Forwarder, now: Duration, packet: &FlowPacket) -> (TargetKey, Token) {
    match forwarder.decide(now, packet) {
        Verdict::Forward(target, Some(token)) => (target.key, token),
        other => panic!("not placed: {other:?}"),
    }
}

/// Returns the addresses that get a packet of an open flow, with the keys in the datagrams.
pub fn receivers(verdict: Verdict<'_>) -> Vec<(SocketAddrV4, TargetKey)> {
    match verdict {
        Verdict::Forward(target, _) => vec![(target.address, target.key)],
        Verdict::Inquire(inquiry, _) => inquiry.receivers().collect(),
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Returns whether a target gets a packet of an open flow. All other targets drop it, unless they run in
/// its place.
pub fn reaches(verdict: Verdict<'_>, target: &Target) -> bool {
    let is_meant = |key| key == target.key || key == ANY_TARGET;
    let receivers = receivers(verdict);
    let others = receivers.iter().filter(|(address, _)| *address != target.address);
    let is_sound = others.clone().all(|(_, key)| *key == target.key);
    is_sound && receivers.iter().any(|&(at, key)| at == target.address && is_meant(key))
}

/// Returns a target as a platform object.
pub fn object(revision: Revision, target: &Target) -> Object {
    let raw = RawTarget {
        key: target.key,
        incarnation: target.incarnation,
        service: target.service.clone(),
        address: target.address,
        failure_domain: target.failure_domain.clone(),
        slots: target.slots,
        state: target.state,
        cold_ms: target.warm_up_left.as_millis() as u64,
    };
    let value = serde_json::to_value(raw).expect("plain data");
    Object { name: format!("targets/{:x}", target.key), version: revision, value }
}

/// A packet format for tests: the fields as text, separated by spaces.
#[derive(Debug)]
pub struct TextPackets;

pub fn text(packet: &FlowPacket) -> Vec<u8> {
    let (kind, repeats) = match packet.kind {
        PacketKind::Opening { repeats } => (1, repeats),
        PacketKind::Closing => (2, 0),
        _ => (0, 0),
    };
    let FlowPacket { flow, token, sequence, ack, data_len, .. } = packet;
    let (caller, service) = (flow.caller, flow.service);
    format!("{caller} {service} {kind} {repeats} {token} {sequence} {ack} {data_len}").into_bytes()
}

impl PacketFormat for TextPackets {
    fn read(&self, buf: &[u8]) -> Result<FlowPacket, PacketError> {
        let text = std::str::from_utf8(buf).map_err(|_| PacketError::Truncated)?;
        let fields: Vec<_> = text.split(' ').collect();
        let [caller, service, kind, repeats, token, sequence, ack, len] = fields[..] else {
            return Err(PacketError::Truncated);
        };
        let number = |text: &str| text.parse::<u32>().map_err(|_| PacketError::WrongLength);
        let socket_address = |text: &str| text.parse().map_err(|_| PacketError::Truncated);
        let kind = match kind {
            "1" => PacketKind::Opening { repeats: number(repeats)? },
            "2" => PacketKind::Closing,
            _ => PacketKind::Within,
        };
        Ok(FlowPacket {
            flow: FlowKey { caller: socket_address(caller)?, service: socket_address(service)? },
            kind,
            token: number(token)?,
            sequence: number(sequence)?,
            ack: number(ack)?,
            data_len: number(len)? as u16,
        })
    }

    fn forward(&self, buf: &[u8], token: Option<Token>, target: TargetKey) -> Vec<u8> {
        let token = token.map_or(String::new(), |token| format!(" {token}"));
        [format!("{target:x}").as_bytes(), b">", buf, token.as_bytes()].concat()
    }

    fn opening_age(&self, repeats: u32) -> Duration {
        [ms(0), ms(200), ms(600)].get(repeats as usize).copied().unwrap_or(ms(1_400))
    }

    fn reset(&self, packet: &FlowPacket) -> (SocketAddrV4, Vec<u8>) {
        (packet.flow.caller, b"reset".to_vec())
    }
}

pub fn socket(address: SocketAddrV4) -> SocketAddr {
    SocketAddr::V4(address)
}

/// Records that a target refuses connections, and that another one of its failure domain accepts the one
/// that shows whether the path works. Returns the targets that count as dead from now on.
pub fn refuse(forwarder: &mut Forwarder, at: u64, address: SocketAddr) -> Vec<TargetIncarnation> {
    let dead = forwarder.record_connection_check(ms(at), address, CheckOutcome::Refused);
    for check in forwarder.take_connection_checks() {
        let is_other = check != address;
        let outcome = if is_other { CheckOutcome::Accepted } else { CheckOutcome::Refused };
        forwarder.record_connection_check(ms(at), check, outcome);
    }
    dead
}
