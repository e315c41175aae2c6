//! The UDP socket that joins a process of hosts to the fabric.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use futures_lite::FutureExt;
use limpetdeck::hash::HashMap;
use smol::Async;

use super::Host;

/// Largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 65_536;
/// Datagrams that are read before the hosts are polled.
const MOST_AT_ONCE: usize = 512;

/// The way of packets to and from the fabric.
pub struct Port {
    socket: Async<UdpSocket>,
    fabric: SocketAddr,
    buf: Vec<u8>,
}

impl Port {
    /// Opens a port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be used.
    pub fn open(listen: SocketAddr, fabric: SocketAddr) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        Ok(Self { socket, fabric, buf: vec![0; LARGEST_DATAGRAM] })
    }

    /// Sends a packet; one that the system cannot take is lost.
    pub fn send(&self, packet: &[u8]) {
        let _ = self.socket.get_ref().send_to(packet, self.fabric);
    }

    /// Waits for packets, no longer than so long, and hands them to their hosts.
    pub async fn receive(&mut self, wait: Duration, hosts: &mut HashMap<Ipv4Addr, Host>) {
        let readable = async { self.socket.readable().await.is_ok() };
        let expired = async {
            smol::Timer::after(wait).await;
            false
        };
        if !readable.or(expired).await {
            return;
        }
        for _ in 0..MOST_AT_ONCE {
            let Ok((len, _)) = self.socket.get_ref().recv_from(&mut self.buf) else { return };
            let packet = &self.buf[..len];
            let Some(to) = destination(packet) else { continue };
            if let Some(host) = hosts.get_mut(&to) {
                host.receive(packet.to_vec());
            }
        }
    }
}

fn destination(packet: &[u8]) -> Option<Ipv4Addr> {
    let header = etherparse::Ipv4HeaderSlice::from_slice(packet).ok()?;
    Some(header.destination_addr())
}
