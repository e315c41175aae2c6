//! Object API over HTTP, with injected faults.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use limpetdeck::http::{self, HandlerFuture, Request, Response};
use limpetdeck::platform::Changes;
use limpetdeck::signals::Signals;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::{PutError, Store};

/// Delay of responses in the mode [`FaultMode::Slow`].
const SLOW_DELAY: Duration = Duration::from_secs(2);
/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a call stays open whose response is withheld.
const WITHHELD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Fault that the platform emulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Responds at once.
    #[default]
    None,
    /// Executes no call and withholds all responses.
    Down,
    /// Delays each call.
    Slow,
    /// Executes writes, but withholds their responses.
    LoseAnswer,
    /// Responds to reads with the state at the beginning of the fault.
    Stale,
}

impl FromStr for FaultMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "down" => Ok(Self::Down),
            "slow" => Ok(Self::Slow),
            "lose-answer" => Ok(Self::LoseAnswer),
            "stale" => Ok(Self::Stale),
            _ => Err(format!("{text:?} is not a fault mode")),
        }
    }
}

/// Current fault mode, and the state that stale reads return.
#[derive(Debug, Default)]
pub struct Faults {
    mode: FaultMode,
    stale_store: Option<Store>,
}

#[derive(Debug, Default)]
struct Platform {
    store: RefCell<Store>,
    faults: RefCell<Faults>,
}

pub(super) async fn run(ex: Rc<LocalExecutor<'static>>, listen: Vec<SocketAddr>) -> io::Result<()> {
    let platform = Rc::new(Platform::default());
    for address in listen {
        let listener = TcpListener::bind(address).await?;
        let platform = Rc::clone(&platform);
        let handler = move |req: Request| -> HandlerFuture {
            let platform = Rc::clone(&platform);
            Box::pin(async move { platform.handle(req).await })
        };
        ex.spawn(http::serve(Rc::clone(&ex), listener, Rc::new(handler))).detach();
    }
    log::info!("platform_started");
    Signals::catch()?.next().await;
    Ok(())
}

impl Platform {
    async fn handle(&self, req: Request) -> Response {
        if req.route() == "/faults" {
            return self.set_fault(&req);
        }
        let mode = self.faults.borrow().mode;
        match mode {
            FaultMode::Down => withhold_response().await,
            FaultMode::Slow => {
                smol::Timer::after(SLOW_DELAY).await;
                self.respond(&req).await
            }
            FaultMode::LoseAnswer if is_write(&req) => {
                self.respond(&req).await;
                withhold_response().await
            }
            _ => self.respond(&req).await,
        }
    }

    fn set_fault(&self, req: &Request) -> Response {
        match req.query("mode").unwrap_or_default().parse() {
            Ok(mode) => {
                let stale_store = (mode == FaultMode::Stale).then(|| self.store.borrow().clone());
                *self.faults.borrow_mut() = Faults { mode, stale_store };
                log::info!(mode = format!("{mode:?}").as_str(); "fault");
                text(200, "ok\n")
            }
            Err(problem) => text(400, problem),
        }
    }

    async fn respond(&self, req: &Request) -> Response {
        let name = req.route().strip_prefix("/v1/objects/");
        match (req.method.as_str(), name, req.route()) {
            ("GET", Some(name), _) => self.get(name),
            ("PUT", Some(name), _) => self.put(name, req),
            ("DELETE", Some(name), _) => self.delete(name),
            ("GET", None, "/v1/list") => {
                let prefix = req.query("prefix").unwrap_or_default();
                json(200, &self.read(|store| store.list(prefix)))
            }
            ("GET", None, "/v1/watch") => self.watch(req).await,
            _ => text(404, "no such call\n"),
        }
    }

    fn get(&self, name: &str) -> Response {
        match self.read(|store| store.get(name).cloned()) {
            Some(object) => json(200, &object),
            None => text(404, "no such object\n"),
        }
    }

    fn put(&self, name: &str, req: &Request) -> Response {
        let Ok(value) = serde_json::from_slice(&req.body) else {
            return text(400, "the body is not JSON\n");
        };
        let if_version = match req.query("if_version").map(str::parse).transpose() {
            Ok(version) => version,
            Err(_) => return text(400, "if_version is not a number\n"),
        };
        match self.store.borrow_mut().put(name, if_version, value) {
            Ok(object) => json(200, &object),
            Err(PutError::Conflict(object)) => json(409, &object),
            Err(PutError::TooLarge) => text(413, "the value is too large\n"),
        }
    }

    fn delete(&self, name: &str) -> Response {
        match self.store.borrow_mut().put(name, None, serde_json::Value::Null) {
            Ok(object) => json(200, &object),
            Err(_) => text(500, "cannot delete the object\n"),
        }
    }

    async fn watch(&self, req: &Request) -> Response {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait_ms = req.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut remaining = Duration::from_millis(wait_ms);
        loop {
            let changes: Changes = self.read(|store| store.changed_since(prefix, after));
            if !changes.objects.is_empty() || remaining.is_zero() {
                return json(200, &changes);
            }
            smol::Timer::after(WATCH_POLL_INTERVAL).await;
            remaining = remaining.saturating_sub(WATCH_POLL_INTERVAL);
            if self.faults.borrow().mode == FaultMode::Down {
                return withhold_response().await;
            }
        }
    }

    fn read<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        match &self.faults.borrow().stale_store {
            Some(stale_store) => read(stale_store),
            None => read(&self.store.borrow()),
        }
    }
}

fn is_write(req: &Request) -> bool {
    matches!(req.method.as_str(), "PUT" | "DELETE")
}

async fn withhold_response() -> Response {
    smol::Timer::after(WITHHELD_RESPONSE_TIMEOUT).await;
    text(504, "")
}

fn text(status: u16, body: impl Into<String>) -> Response {
    Response::text(status_code(status), body)
}

fn json(status: u16, body: &impl serde::Serialize) -> Response {
    Response::json(status_code(status), body)
}

fn status_code(status: u16) -> http::StatusCode {
    http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR)
}
