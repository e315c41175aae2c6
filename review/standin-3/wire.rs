//! Packet header of the platform: 32 bytes, big-endian, as PROTOCOL.md gives it.

use std::net::Ipv4Addr;

pub const SYN: u8 = 32;
pub const ACK: u8 = 64;
pub const FIN: u8 = 128;
pub const RST: u8 = 2;
pub const BOUNCED: u8 = 1;
pub const HEADER: usize = 32;

/// Key of the sums. Only clients and servers know it.
const SUM_KEY: u32 = 0x5bd1_e995;

/// One packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub dst: (Ipv4Addr, u16),
    pub src: (Ipv4Addr, u16),
    pub data: Vec<u8>,
}

impl Packet {
    /// Encodes the packet with its sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![0; HEADER];
        buf[0..4].copy_from_slice(&self.echo.to_be_bytes());
        buf[4..8].copy_from_slice(&self.seq.to_be_bytes());
        buf[8..12].copy_from_slice(&self.ack.to_be_bytes());
        buf[12] = self.flags;
        buf[18..22].copy_from_slice(&self.dst.0.octets());
        buf[22..26].copy_from_slice(&self.src.0.octets());
        buf[26..28].copy_from_slice(&self.dst.1.to_be_bytes());
        buf[28..30].copy_from_slice(&self.src.1.to_be_bytes());
        buf[30..32].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        buf.extend_from_slice(&self.data);
        let sum = sum(&buf);
        buf[14..18].copy_from_slice(&sum.to_be_bytes());
        buf
    }

    /// Decodes a datagram; the second value tells whether the sum is right. `None` if it is no packet.
    pub fn decode(buf: &[u8]) -> Option<(Self, bool)> {
        if buf.len() < HEADER {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
        let half = |at: usize| u16::from_be_bytes([buf[at], buf[at + 1]]);
        if usize::from(half(30)) + HEADER != buf.len() {
            return None;
        }
        let packet = Self {
            echo: word(0),
            seq: word(4),
            ack: word(8),
            flags: buf[12] & !BOUNCED,
            dst: (Ipv4Addr::from(word(18)), half(26)),
            src: (Ipv4Addr::from(word(22)), half(28)),
            data: buf[HEADER..].to_vec(),
        };
        Some((packet, word(14) == sum(buf)))
    }

    /// Returns whether this is a reset that the system may send: no data, and the sum is 0.
    pub fn is_system_reset(buf: &[u8]) -> bool {
        buf.len() == HEADER && buf[12] & RST != 0 && buf[14..18] == [0; 4]
    }
}

/// Computes the sum over all fields but `echo`, `pad`, BOUNCED and the sum itself.
fn sum(buf: &[u8]) -> u32 {
    let mut hash = SUM_KEY;
    for (at, &byte) in buf.iter().enumerate() {
        let byte = match at {
            0..4 | 13..18 => continue,
            12 => byte & !BOUNCED,
            _ => byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    }
    hash.max(1)
}
