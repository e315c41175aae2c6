//! Packets as `PROTOCOL.md` describes them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 32;
pub const ACK: u8 = 64;
pub const FIN: u8 = 128;
pub const RST: u8 = 2;
const BOUNCED: u8 = 1;
const HEAD: usize = 32;

#[derive(Debug, Clone, PartialEq)]
pub struct Packet {
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

/// What the sum of a packet says about its sender.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Origin {
    /// A client or a server wrote it so.
    Endpoint,
    /// A reset of the system's own: no data, and no sum.
    System,
    /// Neither of them.
    Changed,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![0; HEAD];
        buf[0..4].copy_from_slice(&self.echo.to_be_bytes());
        buf[4..8].copy_from_slice(&self.seq.to_be_bytes());
        buf[8..12].copy_from_slice(&self.ack.to_be_bytes());
        buf[12] = self.flags;
        buf[18..22].copy_from_slice(&self.dst.ip().octets());
        buf[22..26].copy_from_slice(&self.src.ip().octets());
        buf[26..28].copy_from_slice(&self.dst.port().to_be_bytes());
        buf[28..30].copy_from_slice(&self.src.port().to_be_bytes());
        buf[30..32].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        buf.extend_from_slice(&self.data);
        let sum = keyed_sum(&buf);
        buf[14..18].copy_from_slice(&sum.to_be_bytes());
        buf
    }

    pub fn decode(buf: &[u8]) -> Option<(Self, Origin)> {
        if buf.len() < HEAD {
            return None;
        }
        let u32_at = |at: usize| u32::from_be_bytes(buf[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(buf[at..at + 2].try_into().unwrap());
        let address = |ip, port| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        if buf.len() != HEAD + usize::from(u16_at(30)) {
            return None;
        }
        let packet = Self {
            echo: u32_at(0),
            seq: u32_at(4),
            ack: u32_at(8),
            flags: buf[12],
            src: address(22, 28),
            dst: address(18, 26),
            data: buf[HEAD..].to_vec(),
        };
        let origin = match u32_at(14) {
            sum if sum == keyed_sum(buf) => Origin::Endpoint,
            0 if packet.flags == RST && packet.data.is_empty() => Origin::System,
            _ => Origin::Changed,
        };
        Some((packet, origin))
    }
}

/// A keyed sum over all fields but echo, pad and BOUNCED; never 0.
fn keyed_sum(buf: &[u8]) -> u32 {
    let mut hash: u64 = 0x9e37_79b9_7f4a_7c15;
    for (at, &byte) in buf.iter().enumerate() {
        let byte = match at {
            0..4 | 13..18 => 0,
            12 => byte & !BOUNCED,
            _ => byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    ((hash >> 32) as u32 ^ hash as u32) | 1
}
