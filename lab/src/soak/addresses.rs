//! Addresses of a run: a loopback subnet that no other run uses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};

/// Port for packets. Like the other ports it is the same for all processes, as on the platform.
pub const PACKET_PORT: u16 = 8_172;
const PEER_PORT: u16 = 7_720;
const READY_PORT: u16 = 8_167;
const STORE_PORT: u16 = 8_169;
const SERVER_PORT: u16 = 8_080;
/// Values of the second octet (127.x.0.0/16) that runs may use.
const SUBNETS: std::ops::Range<u8> = 16..250;

/// A loopback subnet, claimed for the lifetime of this value.
#[derive(Debug)]
pub struct Addresses {
    subnet: u8,
    _claim: UdpSocket,
}

impl Addresses {
    /// Claims the first free subnet, starting at the one that the seed selects.
    ///
    /// # Errors
    ///
    /// Fails if no subnet is free.
    pub fn claim(seed: u64) -> io::Result<Self> {
        let subnets =
            SUBNETS.cycle().skip((seed % SUBNETS.len() as u64) as usize).take(SUBNETS.len());
        let mut claimed = subnets.filter_map(|subnet| {
            let socket = UdpSocket::bind((Ipv4Addr::new(127, subnet, 0, 1), PACKET_PORT)).ok()?;
            Some(Self { subnet, _claim: socket })
        });
        claimed.next().ok_or_else(|| io::Error::other("no loopback subnet is free"))
    }

    fn ip(&self, group: u8, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, group, n as u8 + 1)
    }

    fn at(&self, group: u8, n: usize, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.ip(group, n), port).into()
    }

    /// Returns the address at which an instance receives packets.
    pub fn packets(&self, instance: usize) -> SocketAddr {
        self.at(1, instance, PACKET_PORT)
    }

    /// Returns the address at which an instance receives peer messages.
    pub fn peer(&self, instance: usize) -> SocketAddr {
        self.at(1, instance, PEER_PORT)
    }

    /// Returns the address of an instance's readiness endpoint.
    pub fn ready(&self, instance: usize) -> SocketAddr {
        self.at(1, instance, READY_PORT)
    }

    /// Returns the address of the proxy to which peers send messages for an instance.
    pub fn peer_proxy(&self, instance: usize) -> SocketAddr {
        self.at(2, instance, PEER_PORT)
    }

    /// Returns the address of the proxy through which an instance calls the store.
    pub fn store_proxy(&self, instance: usize) -> SocketAddr {
        self.at(3, instance, STORE_PORT)
    }

    /// Returns the address at which the store serves an instance, behind its proxy.
    pub fn store(&self, instance: usize) -> SocketAddr {
        self.at(4, instance, STORE_PORT)
    }

    /// Returns the n-th address for servers.
    pub fn server(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(5, n), SERVER_PORT)
    }

    /// Returns the address of a caller.
    pub fn caller(&self, n: usize) -> Ipv4Addr {
        self.ip(6, n)
    }

    /// Returns the instance that sent a datagram from this address.
    pub fn sender(&self, from: SocketAddr) -> Option<usize> {
        match from {
            SocketAddr::V4(from) if from.ip().octets()[2] == 1 => {
                Some(usize::from(from.ip().octets()[3]) - 1)
            }
            _ => None,
        }
    }

    /// Returns the instance whose peer proxy has this address.
    pub fn proxied_instance(&self, at: SocketAddrV4) -> Option<usize> {
        let [.., group, n] = at.ip().octets();
        (group == 2).then(|| usize::from(n) - 1)
    }

    /// Returns whether the address is one for servers.
    pub fn is_server(&self, at: SocketAddrV4) -> bool {
        at.ip().octets()[2] == 5
    }
}
