//! The sending side of a UDP socket.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics::counter;
use smol::Async;

/// Least time between two lines about datagrams that could not be sent: on a full link they
/// come by the thousand.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// Sends datagrams without waiting: a full socket buffer loses them, as a network would.
#[derive(Debug)]
pub(super) struct Outlet {
    socket: Arc<Async<UdpSocket>>,
    failed: Cell<u64>,
    logged: Cell<Option<Instant>>,
}

impl Outlet {
    pub(super) fn new(socket: &Arc<Async<UdpSocket>>) -> Self {
        Self { socket: Arc::clone(socket), failed: Cell::new(0), logged: Cell::new(None) }
    }

    pub(super) fn send(&self, buf: &[u8], to: SocketAddr) {
        if let Err(e) = self.socket.get_ref().send_to(buf, to) {
            counter!("limpetdeck_send_errors_total").increment(1);
            self.failed.set(self.failed.get() + 1);
            self.report(&e, to);
        }
    }

    fn report(&self, e: &std::io::Error, to: SocketAddr) {
        let now = Instant::now();
        if self.logged.get().is_some_and(|logged| now < logged + LINE_EVERY) {
            return;
        }
        self.logged.set(Some(now));
        let failed = self.failed.take();
        log::warn!(to = to.to_string().as_str(), problem = e.to_string().as_str(), datagrams = failed; "datagrams_unsent");
    }
}
