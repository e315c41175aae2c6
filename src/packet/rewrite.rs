//! Rewriting of the source or destination of a packet, with both checksums.

use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use etherparse::{Ipv4Header, TcpHeader};

/// A packet cannot be rewritten because it is not a complete IPv4/TCP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("packet has no complete IPv4 and TCP headers")]
pub struct RewriteError;

/// Sets the destination address and port of a packet and updates both checksums.
///
/// # Errors
///
/// Returns an error if the packet has no complete IPv4 and TCP headers.
pub fn rewrite_destination(buf: &mut [u8], to: SocketAddrV4) -> Result<(), RewriteError> {
    rewrite(buf, |ip, tcp| {
        ip.destination = to.ip().octets();
        tcp.destination_port = to.port();
    })
}

/// Sets the source address and port of a packet and updates both checksums.
///
/// # Errors
///
/// Returns an error if the packet has no complete IPv4 and TCP headers.
pub fn rewrite_source(buf: &mut [u8], from: SocketAddrV4) -> Result<(), RewriteError> {
    rewrite(buf, |ip, tcp| {
        ip.source = from.ip().octets();
        tcp.source_port = from.port();
    })
}

fn rewrite(
    buf: &mut [u8],
    edit: impl FnOnce(&mut Ipv4Header, &mut TcpHeader),
) -> Result<(), RewriteError> {
    let (mut ip, rest) = Ipv4Header::from_slice(buf).map_err(|_| RewriteError)?;
    let (mut tcp, payload) = TcpHeader::from_slice(rest).map_err(|_| RewriteError)?;
    edit(&mut ip, &mut tcp);
    ip.header_checksum = ip.calc_header_checksum();
    tcp.checksum = tcp.calc_checksum_ipv4(&ip, payload).map_err(|_| RewriteError)?;
    let ip_bytes = ip.to_bytes();
    let tcp_bytes = tcp.to_bytes();
    let tcp_end = ip_bytes.len() + tcp_bytes.len();
    buf[..ip_bytes.len()].copy_from_slice(&ip_bytes);
    buf[ip_bytes.len()..tcp_end].copy_from_slice(&tcp_bytes);
    Ok(())
}
