//! One IPv4 host with its TCP sockets.

use std::net::Ipv4Addr;
use std::time::Duration;

use limpetdeck::packet::decode;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

use super::device::QueueDevice;

/// Size of each socket's buffers, in bytes.
const BUFFER: usize = 1_024;

/// A host of the stand-ins.
pub struct Host {
    iface: Interface,
    device: QueueDevice,
    sockets: SocketSet<'static>,
}

impl Host {
    /// Makes a host with an address; the seed makes its sequence numbers.
    pub fn new(address: Ipv4Addr, seed: u64) -> Self {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut device, Instant::ZERO);
        // Every other address is on the same link: the fabric knows the way.
        iface.update_ip_addrs(|addresses| {
            addresses.push(IpCidr::new(IpAddress::Ipv4(address), 0)).ok();
        });
        Self { iface, device, sockets: SocketSet::new(Vec::new()) }
    }

    /// Adds a closed socket.
    pub fn add(&mut self) -> SocketHandle {
        let buffer = || SocketBuffer::new(vec![0; BUFFER]);
        let mut socket = Socket::new(buffer(), buffer());
        socket.set_ack_delay(None);
        self.sockets.add(socket)
    }

    /// Removes a socket.
    pub fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }

    /// Returns a socket.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Opens a connection from a port to an address.
    pub fn connect(
        &mut self,
        handle: SocketHandle,
        to: std::net::SocketAddrV4,
        from_port: u16,
    ) -> bool {
        let socket = self.sockets.get_mut::<Socket<'static>>(handle);
        let remote = (IpAddress::Ipv4(*to.ip()), to.port());
        socket.connect(self.iface.context(), remote, from_port).is_ok()
    }

    /// Takes a packet in at the next poll.
    ///
    /// The stack offers a SYN to the first socket that takes it, which may be a listening
    /// one although the connection exists. A repeated SYN is therefore left out, as the
    /// connection's socket repeats its answer by itself.
    pub fn receive(&mut self, packet: Vec<u8>) {
        if !self.repeats_opening(&packet) {
            self.device.received.push_back(packet);
        }
    }

    fn repeats_opening(&self, packet: &[u8]) -> bool {
        let Ok(segment) = decode(packet) else { return false };
        if !segment.flags.opens() {
            return false;
        }
        let remote = (IpAddress::Ipv4(*segment.source.ip()), segment.source.port()).into();
        self.sockets.iter().any(|(_, socket)| {
            let smoltcp::socket::Socket::Tcp(socket) = socket;
            let ended = matches!(socket.state(), State::Closed | State::TimeWait);
            !ended && socket.remote_endpoint() == Some(remote)
        })
    }

    /// Lets the stack work and returns the packets that it sends.
    pub fn poll(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.iface.poll(instant(now), &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.sent)
    }
}

fn instant(now: Duration) -> Instant {
    Instant::from_micros(now.as_micros() as i64)
}
