//! Operators that change a list.
//!
//! The list is the services object. Each change raises the idle timeout of one of its
//! first two services, which serves as a marker: the active value on an instance shows
//! which changes have reached it.

use std::time::Duration;

use limpetdeck::services::OBJECT_NAME;
use serde_json::Value;

use super::platform::Mode;
use super::settings::Policy;
use super::simulation::Simulation;

/// Delay before an operator retries while the platform is down.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Raises a service's marker: the operator reads, changes and writes without delay.
pub fn change_service(sim: &mut Simulation, service: usize) {
    if let Some(read) = read(sim) {
        write(sim, service, read);
    } else {
        sim.call_later(RETRY_INTERVAL, move |sim| change_service(sim, service));
    }
}

/// Lets two operators read the same version and change different services.
pub fn write_concurrently(sim: &mut Simulation) {
    let Some(read) = read(sim) else { return sim.call_later(RETRY_INTERVAL, write_concurrently) };
    write(sim, 0, read.clone());
    write(sim, 1, read);
}

/// Lets an operator read, wait longer than any lease, and write the stale value.
pub fn write_after_delay(sim: &mut Simulation, delay: Duration) {
    let Some(read) = read(sim) else {
        return sim.call_later(RETRY_INTERVAL, move |sim| write_after_delay(sim, delay));
    };
    sim.call_later(delay, move |sim| write(sim, 1, read));
}

type VersionedValue = (u64, Value);

fn read(sim: &Simulation) -> Option<VersionedValue> {
    if matches!(sim.platform.mode, Mode::Down) {
        return None;
    }
    let object = sim.platform.store.get(OBJECT_NAME)?;
    Some((object.version, object.value.clone()))
}

/// Writes the value that was read with one service's marker raised. On a conflict the
/// operator reads again; under the naive policy the write is unconditional.
fn write(sim: &mut Simulation, service: usize, (version, mut value): VersionedValue) {
    if matches!(sim.platform.mode, Mode::Down) {
        return sim.call_later(RETRY_INTERVAL, move |sim| change_service(sim, service));
    }
    let condition = (sim.settings.policy != Policy::Naive).then_some(version);
    let Some(marker) = value.pointer_mut(&format!("/services/{service}/idle_timeout_s")) else {
        return;
    };
    let raised = sim.changes.next_marker(service, marker.as_u64().unwrap_or(0));
    *marker = raised.into();
    if sim.platform.store.put(OBJECT_NAME, condition, value).is_err() {
        return change_service(sim, service);
    }
    let at = sim.now;
    sim.changes.record_accepted(at, service, raised);
    let responses = sim.platform.complete_watches(at);
    sim.schedule_responses(responses);
}
