//! Calls of the platform and of instances.

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
use super::arguments::Common;
use crate::http::{self, Request};
use crate::ids::Version;
use crate::lists::{Content, Edit, ListKind, Outcome, Stamp, Step, Update};
use crate::peer::MemberInfo;
use crate::platform::{Call, HttpPlatform, Object, Platform, PlatformError, Reply};

/// Time after which an instance counts as not answering.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Beginning of the names under which instances register.
const INSTANCES: &str = "instances/";

/// Reads an object; one that is missing has version 0.
pub(super) fn object(common: &Common, name: &str) -> Result<Object, CtlError> {
    let call = Call::Get { name: name.to_owned() };
    match smol::block_on(HttpPlatform::new(common.platform()?).call(call)) {
        Ok(Reply::Object(object)) => Ok(object),
        Ok(_) => Err(PlatformError::NoAnswer("the answer is no object".to_owned()).into()),
        Err(PlatformError::NotFound) => {
            Ok(Object { name: name.to_owned(), version: 0, value: Value::Null })
        }
        Err(e) => Err(e.into()),
    }
}

/// Reads a list; one that is missing is empty and has version 0.
pub(super) fn list(common: &Common, kind: ListKind) -> Result<(Version, Content, Stamp), CtlError> {
    let object = object(common, kind.object())?;
    let (value, stamp) = Stamp::split(object.value)?;
    let content = match value {
        Value::Null => Content::empty(kind),
        value => Content::from_json(kind, value)?,
    };
    Ok((object.version, content, stamp))
}

/// Reads the registered instances.
pub(super) fn registered(common: &Common) -> Result<Vec<MemberInfo>, CtlError> {
    let call = Call::List { prefix: INSTANCES.to_owned() };
    let reply = smol::block_on(HttpPlatform::new(common.platform()?).call(call))?;
    let Reply::Changes(changes) = reply else {
        return Err(PlatformError::NoAnswer("the answer is no list".to_owned()).into());
    };
    let values = changes.objects.into_iter().map(|object| object.value);
    let mut infos: Vec<MemberInfo> =
        values.filter_map(|value| serde_json::from_value(value).ok()).collect();
    infos.sort_by_key(|info| info.id);
    Ok(infos)
}

/// What an update did.
#[derive(Debug)]
pub(super) struct Done {
    pub operation: String,
    pub version: Version,
    pub lines: Vec<String>,
}

/// Changes an object, and waits until the change is proven or out of reach.
pub(super) fn update(
    common: &Common,
    edit: Arc<dyn Edit>,
    if_version: Option<Version>,
) -> Result<Done, CtlError> {
    let platform = HttpPlatform::new(common.platform()?);
    let mut rng = SmallRng::from_os_rng();
    let operation = format!("{:016x}", rng.random::<u64>());
    let update = Update::new(operation.clone(), edit, if_version, common.timeout, rng);
    match smol::block_on(run(update, platform)) {
        Outcome::Applied { version, lines } => Ok(Done { operation, version, lines }),
        Outcome::Unchanged(version) => Ok(Done { operation, version, lines: Vec::new() }),
        Outcome::Invalid(findings) => Err(findings.into()),
        Outcome::Conflict { ours, theirs, version } => {
            Err(CtlError::Conflict { version, ours, theirs })
        }
        Outcome::Refused(problem) => Err(PlatformError::Refused(problem).into()),
        Outcome::NotReached(problem) => Err(CtlError::NotReached(problem)),
        Outcome::Unsettled(problem) => Err(CtlError::Unsettled { problem, operation }),
    }
}

async fn run(mut update: Update, platform: HttpPlatform) -> Outcome {
    let started = Clock::now();
    loop {
        match update.next(started.elapsed()) {
            Step::Done(outcome) => return outcome,
            Step::Wait(until) => {
                smol::Timer::after(until.saturating_sub(started.elapsed())).await;
            }
            Step::Call(call) => {
                let result = platform.call(call).await;
                update.on_result(started.elapsed(), result);
            }
        }
    }
}

/// The answer of an instance's JSON-RPC.
#[derive(Debug, Deserialize)]
struct Answer {
    #[serde(default)]
    result: Value,
    error: Option<Value>,
}

/// Calls a method of several instances at once; an instance that does not answer gives none.
pub(super) fn instances<T: DeserializeOwned + 'static>(
    addresses: &[SocketAddr],
    method: &str,
) -> Vec<Option<T>> {
    let ex = Rc::new(smol::LocalExecutor::new());
    let body = json!({ "jsonrpc": "2.0", "id": 1, "method": method }).to_string();
    let calls: Vec<_> =
        addresses.iter().map(|&to| ex.spawn(call_instance(to, body.clone()))).collect();
    smol::block_on(ex.run(async {
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await);
        }
        answers
    }))
}

async fn call_instance<T: DeserializeOwned>(to: SocketAddr, body: String) -> Option<T> {
    let response = http::call(to, Request::post("/rpc", body), INSTANCE_TIMEOUT).await.ok()?;
    let answer: Answer = serde_json::from_slice(&response.body).ok()?;
    match answer.error {
        Some(_) => None,
        None => serde_json::from_value(answer.result).ok(),
    }
}
