//! Services and packets of a given size.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::PacketBuilder;
use limpetdeck::services::{RawService, RawServices, RawTarget};

/// Base of the services' addresses.
const SERVICE_BASE: u32 = 0x0a01_0000;
/// Base of the targets' addresses.
const TARGET_BASE: u32 = 0x0a02_0000;
/// Base of the callers' addresses.
const CALLER_BASE: u32 = 0x0b00_0000;
/// Port of services and targets.
const PORT: u16 = 443;
/// Number of callers' addresses. The next port is used only once all addresses have been used.
const CALLER_ADDRESSES: u32 = 65_536;
/// Failure domains over which targets are spread.
const FAILURE_DOMAINS: u32 = 5;

/// Creates `addresses` services with `targets` targets spread evenly among them.
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
    SocketAddrV4::new(Ipv4Addr::from(SERVICE_BASE + id), PORT)
}

/// Returns the address of a target.
pub(super) fn target_address(id: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(TARGET_BASE + id), PORT)
}

/// Returns the address of the caller of a flow.
pub(super) fn caller(flow: u32) -> SocketAddrV4 {
    let port = 1_024 + (flow / CALLER_ADDRESSES) as u16;
    SocketAddrV4::new(Ipv4Addr::from(CALLER_BASE + flow % CALLER_ADDRESSES), port)
}

/// Builds a packet of an open flow, with `payload` bytes of data.
pub(super) fn packet(from: SocketAddrV4, to: SocketAddrV4, payload: usize) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64)
        .tcp(from.port(), to.port(), 1_000, 64_000)
        .ack(2_000);
    let mut buf = Vec::new();
    // Writing a packet of this size to memory cannot fail.
    let _ = builder.write(&mut buf, &vec![7; payload]);
    buf
}
