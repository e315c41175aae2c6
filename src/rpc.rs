//! JSON-RPC for operators: status and graceful stop of an instance.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use jsonrpsee_core::RpcResult;
use jsonrpsee_core::server::RpcModule;

use crate::instance::Status;

/// Method that returns the instance's status.
pub const STATUS: &str = "status";
/// Method that requests a graceful stop.
pub const STOP: &str = "stop";
/// Response to a body that is not a JSON-RPC request.
const PARSE_ERROR: &str =
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"Parse error"}}"#;
/// Buffer size for subscription messages; the interface requires one, but there are no
/// subscriptions.
const SUBSCRIPTION_BUFFER: usize = 1;

/// A JSON-RPC method could not be registered.
#[derive(Debug, Display, Error)]
#[display("JSON-RPC: {_0}")]
pub struct SetupError(#[error(not(source))] String);

/// State shared by the methods and the daemon. The methods have to be `Send` and cannot access the
/// instance itself, which belongs to one thread.
#[derive(Debug, Default)]
struct Shared {
    status: Mutex<Option<Status>>,
    stop_requested: AtomicBool,
}

/// JSON-RPC methods of one instance.
#[derive(Debug)]
pub struct Rpc {
    shared: Arc<Shared>,
    module: RpcModule<Arc<Shared>>,
}

impl Rpc {
    /// Registers the methods; the status is null until it is first set.
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
                shared.stop_requested.store(true, Ordering::Relaxed);
                Ok(true)
            })
            .map_err(|e| SetupError(e.to_string()))?;
        Ok(Self { shared, module })
    }

    /// Sets the status that the method returns.
    pub fn set_status(&self, status: Status) {
        *self.shared.status() = Some(status);
    }

    /// Returns whether a stop was requested since the last call.
    pub fn take_stop_request(&self) -> bool {
        self.shared.stop_requested.swap(false, Ordering::Relaxed)
    }

    /// Handles the body of a JSON-RPC request and returns the body of the response.
    pub async fn handle_request(&self, body: &[u8]) -> String {
        let Ok(text) = std::str::from_utf8(body) else { return PARSE_ERROR.to_owned() };
        match self.module.raw_json_request(text, SUBSCRIPTION_BUFFER).await {
            Ok((response, _)) => response.get().to_owned(),
            Err(_) => PARSE_ERROR.to_owned(),
        }
    }
}

impl Shared {
    fn status(&self) -> MutexGuard<'_, Option<Status>> {
        // A poisoned lock is harmless: the status is always replaced as a whole.
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
