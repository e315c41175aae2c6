//! Health checks of the instances: the fabric sends only to those that respond.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::http::{self, Request, StatusCode};

use crate::arguments::AddressMapping;

/// Pause between two checks of an instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a response after which a check fails.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Packet addresses of the instances whose last check succeeded.
pub(super) type Healthy = Rc<RefCell<Vec<SocketAddr>>>;

/// Checks one instance repeatedly until the future is dropped.
pub(super) async fn check_instance(entry: AddressMapping<SocketAddr>, healthy: Healthy) {
    loop {
        let response = http::call(entry.key, Request::get("/healthz"), CHECK_TIMEOUT).await;
        let ok = response.is_ok_and(|response| response.status == StatusCode::OK);
        record(entry.address, ok, &healthy);
        smol::Timer::after(CHECK_INTERVAL).await;
    }
}

fn record(address: SocketAddr, ok: bool, healthy: &Healthy) {
    let mut healthy = healthy.borrow_mut();
    let known = healthy.contains(&address);
    if ok && !known {
        healthy.push(address);
    }
    if !ok && known {
        healthy.retain(|other| *other != address);
    }
    if ok != known {
        log::info!(instance = address.to_string().as_str(), healthy = ok; "health");
    }
}
