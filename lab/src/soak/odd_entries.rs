//! Entries of another writer beside those of the servers: none is one of a server, and all have names
//! that end like those of the servers.

use std::time::Duration;

use limpetdeck::steering::TARGETS_PREFIX;
use limpetdeck_platform::emulator::Oddity;
use rand::Rng;
use rand::rngs::SmallRng;

use super::environment::Environment;
use super::plan::{Fault, RECOVERY_SAMPLE_TIME, RECOVERY_TIME, STARTUP_TIME, ScheduledFault};

/// Time between two sets of odd entries.
const ROUND: Duration = Duration::from_secs(7);
/// Time for which a set stands.
const STANDING: Duration = Duration::from_secs(6);
/// Generates sets of odd entries. Instances stop and start while they stand, or are killed.
pub fn odd_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let first = rng.random_range(0..Oddity::ALL.len());
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME;
    for round in 0.. {
        if at + ROUND > end {
            break;
        }
        let oddity = Oddity::ALL[(first + round) % Oddity::ALL.len()];
        let mut add = |after: f64, duration, fault| {
            let at = at + Duration::from_secs_f64(after);
            faults.push(ScheduledFault { at, duration, fault });
        };
        add(0.0, STANDING, Fault::OddEntries { oddity });
        let beside = match round % 3 {
            0 => [Fault::Roll, Fault::Drain, Fault::Roll],
            1 => [Fault::Kill { share: 0.4 }, Fault::Routes { times: 2 }, Fault::Roll],
            _ => [Fault::Kill { share: 1.0 }, Fault::Drain, Fault::Restart { renumbered: false }],
        };
        for (i, fault) in beside.into_iter().enumerate() {
            add(1.0 + i as f64 + rng.random_range(0.0..1.0), Duration::ZERO, fault);
        }
        at += ROUND;
    }
    faults
}

/// Writes an odd entry beside each server's. Returns the names.
pub fn write(env: &Environment, oddity: Oddity) -> Vec<String> {
    let mut store = env.store.borrow_mut();
    let keys = env.fleet.servers.iter().map(|server| server.entry.key);
    let names: Vec<_> = keys.map(|key| format!("{TARGETS_PREFIX}zz-{key:x}")).collect();
    names.iter().for_each(|name| store.put(name, oddity.content()));
    names
}

/// Removes odd entries.
pub fn remove(env: &Environment, names: &[String]) {
    let mut store = env.store.borrow_mut();
    names.iter().for_each(|name| store.remove(name));
}
