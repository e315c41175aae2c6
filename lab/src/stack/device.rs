//! Network device that keeps IPv4 packets in two queues.

use std::collections::VecDeque;

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest packet that an emulated host sends, in bytes.
const MTU: usize = 1_400;

/// Queues of received packets and of packets to send.
#[derive(Debug, Default)]
pub(super) struct QueueDevice {
    pub(super) received: VecDeque<Vec<u8>>,
    pub(super) sent: Vec<Vec<u8>>,
}

impl Device for QueueDevice {
    type RxToken<'a> = RxPacket;
    type TxToken<'a> = TxQueue<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(RxPacket, TxQueue<'_>)> {
        let packet = self.received.pop_front()?;
        Some((RxPacket(packet), TxQueue(&mut self.sent)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<TxQueue<'_>> {
        Some(TxQueue(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// Received packet that the stack consumes.
pub(super) struct RxPacket(Vec<u8>);

impl RxToken for RxPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

/// Queue to which the stack appends one packet.
pub(super) struct TxQueue<'a>(&'a mut Vec<Vec<u8>>);

impl TxToken for TxQueue<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}
