//! IPv4 host with TCP sockets.

use std::net::Ipv4Addr;
use std::time::Duration;

use limpetdeck::packet::decode;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

use super::device::QueueDevice;

/// Size of a socket's receive buffer, and of its send buffer.
const SOCKET_BUFFER_BYTES: usize = 1_024;

/// Emulated host with one IPv4 address.
pub struct Host {
    iface: Interface,
    device: QueueDevice,
    sockets: SocketSet<'static>,
}

impl Host {
    /// Creates a host. Its TCP sequence numbers are derived from `seed`.
    pub fn new(address: Ipv4Addr, seed: u64) -> Self {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut device, Instant::ZERO);
        // Prefix length 0 puts all addresses on one link, as routing is up to the fabric.
        iface.update_ip_addrs(|addresses| {
            addresses.push(IpCidr::new(IpAddress::Ipv4(address), 0)).ok();
        });
        Self { iface, device, sockets: SocketSet::new(Vec::new()) }
    }

    /// Adds a socket in the state `Closed`.
    pub fn add_socket(&mut self) -> SocketHandle {
        let buffer = || SocketBuffer::new(vec![0; SOCKET_BUFFER_BYTES]);
        let mut socket = Socket::new(buffer(), buffer());
        socket.set_ack_delay(None);
        self.sockets.add(socket)
    }

    /// Removes a socket, without sending packets for it.
    pub fn remove_socket(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }

    /// Returns the socket of a handle.
    ///
    /// # Panics
    ///
    /// Panics if the socket has been removed.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Begins to open a connection, and returns whether the stack accepts the addresses.
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

    /// Queues a packet for the next poll, unless it is a retransmitted SYN.
    ///
    /// The stack gives a SYN to the first socket that accepts it, which may be a listening
    /// one although the connection exists. A retransmitted SYN is therefore dropped; the
    /// connection's socket retransmits its SYN-ACK by itself.
    pub fn enqueue(&mut self, packet: Vec<u8>) {
        if !self.is_retransmitted_syn(&packet) {
            self.device.received.push_back(packet);
        }
    }

    fn is_retransmitted_syn(&self, packet: &[u8]) -> bool {
        let Ok(segment) = decode(packet) else { return false };
        if !segment.flags.opens_flow() {
            return false;
        }
        let remote = (IpAddress::Ipv4(*segment.source.ip()), segment.source.port()).into();
        self.sockets.iter().any(|(_, socket)| {
            let smoltcp::socket::Socket::Tcp(socket) = socket;
            let ended = matches!(socket.state(), State::Closed | State::TimeWait);
            !ended && socket.remote_endpoint() == Some(remote)
        })
    }

    /// Processes the queued packets and expired timers, and returns the packets to send.
    pub fn poll(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.iface.poll(instant(now), &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.sent)
    }
}

fn instant(now: Duration) -> Instant {
    Instant::from_micros(now.as_micros() as i64)
}
