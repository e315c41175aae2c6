//! Addresses of a run: a part of the loopback network that no other run uses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};

/// Ports, which are the same for all processes as on the platform.
pub const PACKET_PORT: u16 = 8_172;
const PEER_PORT: u16 = 7_720;
const READY_PORT: u16 = 8_167;
const STORE_PORT: u16 = 8_169;
const SERVER_PORT: u16 = 8_080;
/// Second numbers of addresses that runs use.
const NETS: std::ops::Range<u8> = 16..250;

/// The part of the loopback network, taken for as long as this lives.
#[derive(Debug)]
pub struct Addresses {
    net: u8,
    _taken: UdpSocket,
}

impl Addresses {
    /// Takes a part that is free, from a seed's own on.
    ///
    /// # Errors
    ///
    /// Fails if none is free.
    pub fn take(seed: u64) -> io::Result<Self> {
        let nets = NETS.cycle().skip((seed % NETS.len() as u64) as usize).take(NETS.len());
        let mut taken = nets.filter_map(|net| {
            let socket = UdpSocket::bind((Ipv4Addr::new(127, net, 0, 1), PACKET_PORT)).ok()?;
            Some(Self { net, _taken: socket })
        });
        taken.next().ok_or_else(|| io::Error::other("no part of the loopback network is free"))
    }

    fn ip(&self, group: u8, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, group, n as u8 + 1)
    }

    fn at(&self, group: u8, n: usize, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.ip(group, n), port).into()
    }

    /// Returns where an instance takes packets.
    pub fn packets(&self, instance: usize) -> SocketAddr {
        self.at(1, instance, PACKET_PORT)
    }

    /// Returns where an instance takes messages.
    pub fn peer(&self, instance: usize) -> SocketAddr {
        self.at(1, instance, PEER_PORT)
    }

    /// Returns where an instance tells whether it is ready.
    pub fn ready(&self, instance: usize) -> SocketAddr {
        self.at(1, instance, READY_PORT)
    }

    /// Returns where others send messages for an instance.
    pub fn peer_proxy(&self, instance: usize) -> SocketAddr {
        self.at(2, instance, PEER_PORT)
    }

    /// Returns where an instance finds the store.
    pub fn store_proxy(&self, instance: usize) -> SocketAddr {
        self.at(3, instance, STORE_PORT)
    }

    /// Returns where the store answers an instance.
    pub fn store(&self, instance: usize) -> SocketAddr {
        self.at(4, instance, STORE_PORT)
    }

    /// Returns the address of a server's place.
    pub fn server(&self, place: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(5, place), SERVER_PORT)
    }

    /// Returns the address of a caller.
    pub fn caller(&self, caller: usize) -> Ipv4Addr {
        self.ip(6, caller)
    }

    /// Returns the instance that sent a datagram.
    pub fn instance_at(&self, from: SocketAddr) -> Option<usize> {
        match from {
            SocketAddr::V4(from) if from.ip().octets()[2] == 1 => {
                Some(usize::from(from.ip().octets()[3]) - 1)
            }
            _ => None,
        }
    }

    /// Returns the instance whose messages come to an address first.
    pub fn proxied(&self, at: SocketAddrV4) -> Option<usize> {
        let [.., group, n] = at.ip().octets();
        (group == 2).then(|| usize::from(n) - 1)
    }

    /// Tells whether an address is a server's place.
    pub fn is_server(&self, at: SocketAddrV4) -> bool {
        at.ip().octets()[2] == 5
    }
}
