//! Connection checks with attempts that succeed, fail or get no answer.

use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::time::{Duration, Instant};

use limpetdeck::daemon::{CheckError, check_connection};

/// How an attempt ends.
#[derive(Debug, Clone, Copy)]
enum Attempt {
    Accepted(Duration),
    /// The process stands still for a time after the connection was requested, and reads the answer
    /// only some time later.
    AcceptedAfterStall(Duration),
    Refused,
    Lost,
    /// The operating system does not let this process connect.
    Failed(i32),
}

/// Runs a check whose attempts end as given. Returns the result, its time and the number of
/// attempts.
fn check(script: &[Attempt]) -> (Result<(), CheckError>, Duration, usize) {
    let attempts = RefCell::new(script.iter());
    let begin = Instant::now();
    let connect = || {
        let attempt = *attempts.borrow_mut().next().expect("two attempts at most");
        async move {
            match attempt {
                Attempt::Accepted(after) => {
                    smol::Timer::after(after).await;
                    Ok(())
                }
                Attempt::AcceptedAfterStall(stall) => {
                    smol::Timer::after(Duration::from_millis(1)).await;
                    std::thread::sleep(stall);
                    smol::Timer::after(Duration::from_millis(20)).await;
                    Ok(())
                }
                Attempt::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
                Attempt::Lost => pending().await,
                Attempt::Failed(errno) => Err(io::Error::from_raw_os_error(errno)),
            }
        }
    };
    let result = smol::block_on(check_connection(connect));
    let made = script.len() - attempts.borrow().len();
    (result, begin.elapsed(), made)
}

const SOON: Attempt = Attempt::Accepted(Duration::from_millis(1));

#[test]
fn accepted_at_once() {
    let (result, _, made) = check(&[SOON, SOON]);
    assert_eq!((result, made), (Ok(()), 1), "a second connection costs the target work");
}

/// The loss of one packet does not make a target look dead.
#[test]
fn first_lost() {
    let (result, time, made) = check(&[Attempt::Lost, SOON]);
    assert_eq!((result, made), (Ok(()), 2));
    assert!(time < Duration::from_millis(350), "{time:?}");
}

/// The first attempt may succeed while the second one is lost or refused.
#[test]
fn first_slow() {
    let slow = Attempt::Accepted(Duration::from_millis(180));
    for second in [Attempt::Lost, Attempt::Refused] {
        let (result, _, made) = check(&[slow, second]);
        assert_eq!((result, made), (Ok(()), 2), "{second:?}");
    }
}

/// A target that accepts does not look dead because this process stood still over a large
/// configuration meanwhile: its open flows were reset.
#[test]
fn process_stalled() {
    let stalled = Attempt::AcceptedAfterStall(Duration::from_millis(700));
    let (result, _, _) = check(&[stalled, Attempt::Lost]);
    assert_eq!(result, Ok(()));
}

#[test]
fn both_lost() {
    let (result, time, made) = check(&[Attempt::Lost, Attempt::Lost]);
    assert_eq!((result, made), (Err(CheckError::TimedOut), 2));
    assert!(time >= Duration::from_millis(350), "{time:?}");
}

#[test]
fn both_refused() {
    let (result, time, made) = check(&[Attempt::Refused, Attempt::Refused]);
    let refused = CheckError::Failed(io::ErrorKind::ConnectionRefused);
    assert_eq!((result, made), (Err(refused), 2));
    assert!(time < Duration::from_millis(100), "{time:?}");
}

/// A target that restarts refuses connections for a moment.
#[test]
fn refused_once() {
    let (result, _, made) = check(&[Attempt::Refused, SOON]);
    assert_eq!((result, made), (Ok(()), 2));
}

/// What keeps this process from connecting says nothing about the target: open flows would be reset.
#[test]
fn local_errors() {
    const EMFILE: i32 = 24;
    const EADDRNOTAVAIL: i32 = 99;
    const ENETUNREACH: i32 = 101;
    for errno in [EMFILE, EADDRNOTAVAIL, ENETUNREACH] {
        let (result, ..) = check(&[Attempt::Failed(errno), Attempt::Failed(errno)]);
        assert!(matches!(result, Err(CheckError::Local(_))), "{result:?}");
    }
}
