//! The object API over HTTP, with faults.

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

/// Delay of a slow answer.
const SLOW: Duration = Duration::from_secs(2);
/// Time between two looks of a waiting watch.
const WATCH_STEP: Duration = Duration::from_millis(20);
/// Time for which a call without an answer is left open.
const NEVER: Duration = Duration::from_secs(30);

/// How the platform misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Answers at once.
    #[default]
    None,
    /// Executes nothing and answers nothing.
    Down,
    /// Answers late.
    Slow,
    /// Executes writes without an answer.
    LoseAnswer,
    /// Reads give an old state.
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
            _ => Err(format!("{text:?} is no fault")),
        }
    }
}

/// The current fault and the old state that stale reads give.
#[derive(Debug, Default)]
pub struct Faults {
    mode: FaultMode,
    old: Option<Store>,
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
            FaultMode::Down => no_answer().await,
            FaultMode::Slow => {
                smol::Timer::after(SLOW).await;
                self.answer(&req).await
            }
            FaultMode::LoseAnswer if is_write(&req) => {
                self.answer(&req).await;
                no_answer().await
            }
            _ => self.answer(&req).await,
        }
    }

    fn set_fault(&self, req: &Request) -> Response {
        match req.query("mode").unwrap_or_default().parse() {
            Ok(mode) => {
                let old = (mode == FaultMode::Stale).then(|| self.store.borrow().clone());
                *self.faults.borrow_mut() = Faults { mode, old };
                log::info!(mode = format!("{mode:?}").as_str(); "fault");
                text(200, "ok\n")
            }
            Err(problem) => text(400, problem),
        }
    }

    async fn answer(&self, req: &Request) -> Response {
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
            Err(_) => text(500, "cannot delete\n"),
        }
    }

    async fn watch(&self, req: &Request) -> Response {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait_ms = req.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut left = Duration::from_millis(wait_ms);
        loop {
            let changes: Changes = self.read(|store| store.since(prefix, after));
            if !changes.objects.is_empty() || left.is_zero() {
                return json(200, &changes);
            }
            smol::Timer::after(WATCH_STEP).await;
            left = left.saturating_sub(WATCH_STEP);
            if self.faults.borrow().mode == FaultMode::Down {
                return no_answer().await;
            }
        }
    }

    fn read<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        match &self.faults.borrow().old {
            Some(old) => read(old),
            None => read(&self.store.borrow()),
        }
    }
}

fn is_write(req: &Request) -> bool {
    matches!(req.method.as_str(), "PUT" | "DELETE")
}

async fn no_answer() -> Response {
    smol::Timer::after(NEVER).await;
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
