//! Health checks of the instances: the fabric sends only to those that answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::http::{self, Request, StatusCode};

use crate::arguments::Pair;

/// Time between two checks of an instance.
const CHECK_EVERY: Duration = Duration::from_millis(300);
/// Time after which a check has failed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// The instances that answered their last check.
pub(super) type Healthy = Rc<RefCell<Vec<SocketAddr>>>;

/// Checks one instance until the future is dropped.
pub(super) async fn check(entry: Pair<SocketAddr>, healthy: Healthy) {
    loop {
        let response = http::call(entry.key, Request::get("/healthz"), CHECK_TIMEOUT).await;
        let ok = response.is_ok_and(|response| response.status == StatusCode::OK);
        note(entry.address, ok, &healthy);
        smol::Timer::after(CHECK_EVERY).await;
    }
}

fn note(address: SocketAddr, ok: bool, healthy: &Healthy) {
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
