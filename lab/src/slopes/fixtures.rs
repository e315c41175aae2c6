//! Services and packets of a given size.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::PacketBuilder;
use limpetdeck::services::{RawService, RawServices, RawTarget};

/// First address of services.
const SERVICES: u32 = 0x0a01_0000;
/// First address of targets.
const TARGETS: u32 = 0x0a02_0000;
/// First address of callers.
const CALLERS: u32 = 0x0b00_0000;
/// Port of services and targets.
const PORT: u16 = 443;
/// Callers' addresses, with one port each until all are used.
const CALLER_ADDRESSES: u32 = 65_536;
/// Failure domains over which targets are spread.
const FAILURE_DOMAINS: u32 = 5;

/// Makes services that share so many targets evenly.
pub(super) fn services(addresses: u32, targets: u32) -> RawServices {
    let service = |id: u32| RawService {
        id,
        name: format!("service-{id}"),
        address: service_address(id).to_string(),
        weighs: "imbalance".to_owned(),
        idle_timeout_s: 3_600,
        targets: (1..=targets).filter(|t| t % addresses == id % addresses).map(target).collect(),
    };
    RawServices { services: (1..=addresses).map(service).collect() }
}

fn target(id: u32) -> RawTarget {
    let address = target_address(id);
    RawTarget {
        id,
        address: address.to_string(),
        failure_domain: format!("domain-{}", id % FAILURE_DOMAINS),
        slots: 8,
        weight: 100,
        report: Some(format!("{}:9000/load", address.ip())),
    }
}

/// Returns the address of a service.
pub(super) fn service_address(id: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(SERVICES + id), PORT)
}

/// Returns the address of a target.
pub(super) fn target_address(id: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(TARGETS + id), PORT)
}

/// Returns the address of the caller of a flow.
pub(super) fn caller(flow: u32) -> SocketAddrV4 {
    let port = 1_024 + (flow / CALLER_ADDRESSES) as u16;
    SocketAddrV4::new(Ipv4Addr::from(CALLERS + flow % CALLER_ADDRESSES), port)
}

/// Makes a packet of an open flow.
pub(super) fn packet(from: SocketAddrV4, to: SocketAddrV4, payload: usize) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64)
        .tcp(from.port(), to.port(), 1_000, 64_000)
        .ack(2_000);
    let mut buf = Vec::new();
    // Writing to memory fails for no packet of these sizes.
    let _ = builder.write(&mut buf, &vec![7; payload]);
    buf
}
