//! How often the platform is called by an instance that watches it.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use limpetdeck::platform::{Call, Changes, Object, Reply};
use limpetdeck::steering::{Interest, ListWatches, ROUTES_PREFIX};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

/// Returns the calls for the routes in a minute, if each watch ends after `wait` and returns
/// `objects`.
fn calls_per_minute(watchers: u32, wait: Duration, objects: &[Object]) -> usize {
    let mut watches = ListWatches::new(SmallRng::seed_from_u64(3));
    let interest = Interest { watches: true, watchers, ..Interest::default() };
    let (mut now, mut calls) = (ms(0), 0);
    while now < Duration::from_secs(60) {
        now += ms(10);
        for call in watches.due(now, interest) {
            let (Call::List { prefix } | Call::Watch { prefix, .. }) = &call else { continue };
            if prefix != ROUTES_PREFIX {
                continue;
            }
            calls += 1;
            if matches!(call, Call::Watch { .. }) {
                now += wait;
            }
            let changes = Changes { era: 0, revision: 9, objects: objects.to_vec() };
            watches.on_result(now, &call, &Ok(Reply::Changes(changes)));
        }
    }
    calls
}

/// A platform that answers each watch at once, without changes, is not called in a loop.
#[test]
fn empty_at_once() {
    let calls = calls_per_minute(1, ms(1), &[]);
    assert!((100..=180).contains(&calls), "{calls} calls");
}

/// A watch that has waited goes on at once, so that a change in between is not late.
#[test]
fn empty_after_waiting() {
    let calls = calls_per_minute(3, ms(3_000), &[]);
    assert!((19..=21).contains(&calls), "{calls} calls");
}

/// Watchers that share a failure domain each make their part of the calls while targets change.
#[test]
fn shared_changes() {
    let change = object(5, &target(1, STATION));
    let [one, three] = [1, 3].map(|n| calls_per_minute(n, ms(1), std::slice::from_ref(&change)));
    assert!(3 * three <= one + 6, "{one} calls of one watcher, {three} of each of three");
}
