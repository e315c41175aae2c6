//! UDP socket that connects the hosts of a process to the fabric.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use futures_lite::FutureExt;
use limpetdeck::hash::HashMap;
use smol::Async;

use super::Host;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Datagrams that are received before the hosts are polled.
const MAX_DATAGRAMS_PER_POLL: usize = 512;

/// UDP socket for packets to and from the fabric.
pub struct FabricSocket {
    socket: Async<UdpSocket>,
    fabric: SocketAddr,
    buf: Vec<u8>,
}

impl FabricSocket {
    /// Binds the socket to `listen`; packets are sent to `fabric`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(listen: SocketAddr, fabric: SocketAddr) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        Ok(Self { socket, fabric, buf: vec![0; MAX_DATAGRAM_BYTES] })
    }

    /// Sends a packet. A packet that the operating system does not accept is dropped.
    pub fn send(&self, packet: &[u8]) {
        let _ = self.socket.get_ref().send_to(packet, self.fabric);
    }

    /// Waits for packets, at most for `wait`, and passes them to the hosts of their destination
    /// addresses.
    pub async fn receive(&mut self, wait: Duration, hosts: &mut HashMap<Ipv4Addr, Host>) {
        let readable = async { self.socket.readable().await.is_ok() };
        let timed_out = async {
            smol::Timer::after(wait).await;
            false
        };
        if !readable.or(timed_out).await {
            return;
        }
        for _ in 0..MAX_DATAGRAMS_PER_POLL {
            let Ok((len, _)) = self.socket.get_ref().recv_from(&mut self.buf) else { return };
            let packet = &self.buf[..len];
            let Some(to) = destination(packet) else { continue };
            if let Some(host) = hosts.get_mut(&to) {
                host.enqueue(packet.to_vec());
            }
        }
    }
}

fn destination(packet: &[u8]) -> Option<Ipv4Addr> {
    let header = etherparse::Ipv4HeaderSlice::from_slice(packet).ok()?;
    Some(header.destination_addr())
}
