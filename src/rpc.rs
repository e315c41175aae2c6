//! JSON-RPC for operators: the state of an instance, and its graceful stop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use jsonrpsee_core::RpcResult;
use jsonrpsee_core::server::RpcModule;

use crate::instance::Status;

/// Method that returns the state.
pub const STATUS: &str = "status";
/// Method that begins the graceful stop.
pub const STOP: &str = "stop";
/// Answer to what is no JSON-RPC request.
const PARSE_ERROR: &str =
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"Parse error"}}"#;
/// Messages that a subscription may hold back; there are no subscriptions here.
const SUBSCRIPTION_BUFFER: usize = 1;

/// Why the methods could not be set up.
#[derive(Debug, Display, Error)]
#[display("JSON-RPC: {_0}")]
pub struct SetupError(#[error(not(source))] String);

/// What the methods and the instance share: a method cannot reach into the instance, which
/// lives on one thread.
#[derive(Debug, Default)]
struct Shared {
    status: Mutex<Option<Status>>,
    stop: AtomicBool,
}

/// The methods of one instance.
#[derive(Debug)]
pub struct Rpc {
    shared: Arc<Shared>,
    module: RpcModule<Arc<Shared>>,
}

impl Rpc {
    /// Makes the methods; the state is empty until it is first set.
    ///
    /// # Errors
    ///
    /// Fails if a method cannot be registered.
    pub fn new() -> Result<Self, SetupError> {
        let shared = Arc::new(Shared::default());
        let mut module = RpcModule::new(Arc::clone(&shared));
        module
            .register_method(STATUS, |_, shared, _| -> RpcResult<Option<Status>> {
                Ok(shared.status().clone())
            })
            .map_err(|e| SetupError(e.to_string()))?;
        module
            .register_method(STOP, |_, shared, _| -> RpcResult<bool> {
                shared.stop.store(true, Ordering::Relaxed);
                Ok(true)
            })
            .map_err(|e| SetupError(e.to_string()))?;
        Ok(Self { shared, module })
    }

    /// Sets the state that callers are told.
    pub fn set_status(&self, status: Status) {
        *self.shared.status() = Some(status);
    }

    /// Tells whether a stop was asked for since the last call.
    pub fn take_stop(&self) -> bool {
        self.shared.stop.swap(false, Ordering::Relaxed)
    }

    /// Answers a request.
    pub async fn answer(&self, body: &[u8]) -> String {
        let Ok(text) = std::str::from_utf8(body) else { return PARSE_ERROR.to_owned() };
        match self.module.raw_json_request(text, SUBSCRIPTION_BUFFER).await {
            Ok((answer, _)) => answer.get().to_owned(),
            Err(_) => PARSE_ERROR.to_owned(),
        }
    }
}

impl Shared {
    fn status(&self) -> MutexGuard<'_, Option<Status>> {
        // The state is replaced whole, so that it is sound even after a panic.
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
