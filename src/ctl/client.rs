//! Calls to the platform and to instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant as Clock};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::CtlError;
use super::arguments::CommonOptions;
use crate::http::{self, Request};
use crate::ids::Version;
use crate::lists::{Edit, ListKind, OperationLog, RawList, Update, UpdateOutcome, UpdateStep};
use crate::peer::MemberInfo;
use crate::platform::{Call, HttpPlatform, Object, Platform, PlatformError, Reply};

/// Time limit for a JSON-RPC call to an instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Prefix of the objects under which instances register.
const INSTANCES_PREFIX: &str = "instances/";

/// Reads an object; a missing one is returned with version 0 and a null value.
pub(super) fn get_object(options: &CommonOptions, name: &str) -> Result<Object, CtlError> {
    let call = Call::Get { name: name.to_owned() };
    match smol::block_on(HttpPlatform::new(options.platform()?).call(call)) {
        Ok(Reply::Object(object)) => Ok(object),
        Ok(_) => Err(PlatformError::NoAnswer("the response is not an object".to_owned()).into()),
        Err(PlatformError::NotFound) => {
            Ok(Object { name: name.to_owned(), version: 0, value: Value::Null })
        }
        Err(e) => Err(e.into()),
    }
}

/// Reads a list; a missing one is returned empty with version 0.
pub(super) fn get_list(
    options: &CommonOptions,
    kind: ListKind,
) -> Result<(Version, RawList, OperationLog), CtlError> {
    let object = get_object(options, kind.object_name())?;
    let (value, operation_log) = OperationLog::split(object.value)?;
    let content = match value {
        Value::Null => RawList::empty(kind),
        value => RawList::from_json(kind, value)?,
    };
    Ok((object.version, content, operation_log))
}

/// Returns the registered instances in the order of their IDs; skips unreadable entries.
pub(super) fn registered_instances(options: &CommonOptions) -> Result<Vec<MemberInfo>, CtlError> {
    let call = Call::List { prefix: INSTANCES_PREFIX.to_owned() };
    let reply = smol::block_on(HttpPlatform::new(options.platform()?).call(call))?;
    let Reply::Changes(changes) = reply else {
        return Err(
            PlatformError::NoAnswer("the response is not a list of objects".to_owned()).into()
        );
    };
    let values = changes.objects.into_iter().map(|object| object.value);
    let mut infos: Vec<MemberInfo> =
        values.filter_map(|value| serde_json::from_value(value).ok()).collect();
    infos.sort_by_key(|info| info.id);
    Ok(infos)
}

/// Result of a successful update.
#[derive(Debug)]
pub(super) struct UpdateResult {
    /// ID of the operation, as in the object's history.
    pub operation: String,
    pub version: Version,
    /// Diff lines; empty if the object needed no change.
    pub lines: Vec<String>,
}

/// Changes an object and waits until the outcome is known or the time limit has passed.
pub(super) fn update_object(
    options: &CommonOptions,
    edit: Arc<dyn Edit>,
    if_version: Option<Version>,
) -> Result<UpdateResult, CtlError> {
    let platform = HttpPlatform::new(options.platform()?);
    let mut rng = SmallRng::from_os_rng();
    let operation = format!("{:016x}", rng.random::<u64>());
    let update = Update::new(operation.clone(), edit, if_version, options.timeout, rng);
    match smol::block_on(drive(update, platform)) {
        UpdateOutcome::Applied { version, lines } => Ok(UpdateResult { operation, version, lines }),
        UpdateOutcome::Unchanged(version) => {
            Ok(UpdateResult { operation, version, lines: Vec::new() })
        }
        UpdateOutcome::Invalid(findings) => Err(findings.into()),
        UpdateOutcome::Conflict { ours, theirs, version } => {
            Err(CtlError::Conflict { version, ours, theirs })
        }
        UpdateOutcome::Refused(problem) => Err(PlatformError::Refused(problem).into()),
        UpdateOutcome::Unreachable(problem) => Err(CtlError::Unreachable(problem)),
        UpdateOutcome::Unsettled(problem) => Err(CtlError::Unsettled { problem, operation }),
    }
}

async fn drive(mut update: Update, platform: HttpPlatform) -> UpdateOutcome {
    let started = Clock::now();
    loop {
        match update.next(started.elapsed()) {
            UpdateStep::Done(outcome) => return outcome,
            UpdateStep::Wait(until) => {
                smol::Timer::after(until.saturating_sub(started.elapsed())).await;
            }
            UpdateStep::Call(call) => {
                let result = platform.call(call).await;
                update.on_result(started.elapsed(), result);
            }
        }
    }
}

/// JSON-RPC response of an instance.
#[derive(Debug, Deserialize)]
struct RpcResponse {
    #[serde(default)]
    result: Value,
    error: Option<Value>,
}

/// Calls a method of several instances concurrently; returns `None` for each instance that
/// does not respond or returns an error.
pub(super) fn call_instances<T: DeserializeOwned + 'static>(
    addresses: &[SocketAddr],
    method: &str,
) -> Vec<Option<T>> {
    let ex = Rc::new(smol::LocalExecutor::new());
    let body = json!({ "jsonrpc": "2.0", "id": 1, "method": method }).to_string();
    let calls: Vec<_> =
        addresses.iter().map(|&address| ex.spawn(call_instance(address, body.clone()))).collect();
    smol::block_on(ex.run(async {
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await);
        }
        results
    }))
}

async fn call_instance<T: DeserializeOwned>(address: SocketAddr, body: String) -> Option<T> {
    let http_response =
        http::call(address, Request::post("/rpc", body), INSTANCE_TIMEOUT).await.ok()?;
    let response: RpcResponse = serde_json::from_slice(&http_response.body).ok()?;
    match response.error {
        Some(_) => None,
        None => serde_json::from_value(response.result).ok(),
    }
}
