//! A network device that is two queues of IPv4 packets.

use std::collections::VecDeque;

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest packet that a stand-in sends, in bytes.
const MTU: usize = 1_400;

/// Packets in and packets out.
#[derive(Debug, Default)]
pub(super) struct QueueDevice {
    pub(super) received: VecDeque<Vec<u8>>,
    pub(super) sent: Vec<Vec<u8>>,
}

impl Device for QueueDevice {
    type RxToken<'a> = Received;
    type TxToken<'a> = Sending<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Received, Sending<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Received(packet), Sending(&mut self.sent)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Sending<'_>> {
        Some(Sending(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// A packet that the stack takes in.
pub(super) struct Received(Vec<u8>);

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

/// Room for a packet that the stack sends.
pub(super) struct Sending<'a>(&'a mut Vec<Vec<u8>>);

impl TxToken for Sending<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}
