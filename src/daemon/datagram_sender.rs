//! Non-blocking sending over a UDP socket.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics::counter;
use smol::Async;

/// Minimum time between two log lines about unsent datagrams: a saturated link drops thousands.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Sends datagrams without waiting. If the socket buffer is full, they are lost, as on a network.
#[derive(Debug)]
pub(super) struct DatagramSender {
    socket: Arc<Async<UdpSocket>>,
    /// Datagrams that failed since the last log line.
    failed: Cell<u64>,
    last_logged: Cell<Option<Instant>>,
}

impl DatagramSender {
    pub(super) fn new(socket: &Arc<Async<UdpSocket>>) -> Self {
        Self { socket: Arc::clone(socket), failed: Cell::new(0), last_logged: Cell::new(None) }
    }

    pub(super) fn send(&self, buf: &[u8], to: SocketAddr) {
        if let Err(e) = self.socket.get_ref().send_to(buf, to) {
            counter!("limpetdeck_send_errors_total").increment(1);
            self.failed.set(self.failed.get() + 1);
            self.log_failure(&e, to);
        }
    }

    fn log_failure(&self, e: &std::io::Error, to: SocketAddr) {
        let now = Instant::now();
        if self.last_logged.get().is_some_and(|logged| now < logged + LOG_INTERVAL) {
            return;
        }
        self.last_logged.set(Some(now));
        let failed = self.failed.take();
        log::warn!(to = to.to_string().as_str(), problem = e.to_string().as_str(), datagrams = failed; "datagrams_unsent");
    }
}
