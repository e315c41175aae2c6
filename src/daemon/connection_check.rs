//! Check whether an address accepts connections.
//!
//! Load pattern: a large configuration keeps a slow instance busy for longer than the time limit of a
//! check. The answers have arrived, but are read only afterwards. So the limit holds for the time in
//! which the process runs.

use std::future::Future;
use std::io;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::FutureExt;

/// Time limit for a check, in parts. A running target accepts within a millisecond, however busy it
/// is. If the process stands still, it loses one part at most.
const TIMEOUT_PART: Duration = Duration::from_millis(70);
const TIMEOUT_PARTS: u32 = 5;
/// Time after which a second connection is attempted: a packet of the first one may be lost.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(120);

/// Reason why a check has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CheckError {
    /// Both attempts failed; holds the error of the second one.
    #[display("{_0}")]
    Failed(#[error(not(source))] io::ErrorKind),
    /// The second attempt failed within this process, for lack of descriptors or ports or without a
    /// route, which says nothing about the target.
    #[display("{_0}")]
    Local(#[error(not(source))] io::ErrorKind),
    /// No attempt got an answer in time.
    #[display("timed out")]
    TimedOut,
}

/// Checks whether one of two attempts to `connect` succeeds in time. The second one begins when the
/// first has failed, or has taken unusually long.
///
/// # Errors
///
/// Returns why neither attempt succeeded.
pub async fn check_connection<F>(connect: impl Fn() -> F) -> Result<(), CheckError>
where
    F: Future<Output = io::Result<()>>,
{
    let expired = async {
        for _ in 0..TIMEOUT_PARTS {
            smol::Timer::after(TIMEOUT_PART).await;
        }
        Err(CheckError::TimedOut)
    };
    attempt_twice(connect).or(expired).await
}

async fn attempt_twice<F>(connect: impl Fn() -> F) -> Result<(), CheckError>
where
    F: Future<Output = io::Result<()>>,
{
    let mut first = Box::pin(connect());
    let delay = async {
        smol::Timer::after(SECOND_ATTEMPT_DELAY).await;
        None
    };
    match async { Some(first.as_mut().await.is_ok()) }.or(delay).await {
        Some(true) => Ok(()),
        Some(false) => connect().await.map_err(|e| classify(e.kind())),
        None => succeeds(first).or(succeeds(connect())).await,
    }
}

fn classify(kind: io::ErrorKind) -> CheckError {
    match kind {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::TimedOut => CheckError::Failed(kind),
        _ => CheckError::Local(kind),
    }
}

/// Waits for an attempt to succeed; one that fails is left to the other.
async fn succeeds(attempt: impl Future<Output = io::Result<()>>) -> Result<(), CheckError> {
    match attempt.await {
        Ok(()) => Ok(()),
        Err(_) => std::future::pending().await,
    }
}
