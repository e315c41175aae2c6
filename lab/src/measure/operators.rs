//! Operators who change a list.
//!
//! The list is the services object. Each of its first two services has an idle timeout
//! that only rises from change to change, so that what an instance has in force shows how
//! many changes have reached it.

use std::time::Duration;

use limpetdeck::services::OBJECT_NAME;
use serde_json::Value;

use super::platform::Mode;
use super::settings::Policy;
use super::world::World;

/// Time after which an operator tries a refused or unanswered write again.
const RETRY: Duration = Duration::from_millis(500);
/// Changes a service's mark now; the operator reads, changes and writes at once.
pub fn change(world: &mut World, service: usize) {
    if let Some(read) = read(world) {
        write(world, service, read);
    } else {
        world.later(RETRY, move |world| change(world, service));
    }
}

/// Two operators read the same version and change different services.
pub fn collide(world: &mut World) {
    let Some(read) = read(world) else { return world.later(RETRY, collide) };
    write(world, 0, read.clone());
    write(world, 1, read);
}

/// An operator reads, sleeps past any lease, and writes what it then holds for new.
pub fn oversleep(world: &mut World, sleep: Duration) {
    let Some(read) = read(world) else {
        return world.later(RETRY, move |world| oversleep(world, sleep));
    };
    world.later(sleep, move |world| write(world, 1, read));
}

type Read = (u64, Value);

fn read(world: &World) -> Option<Read> {
    if matches!(world.platform.mode, Mode::Down) {
        return None;
    }
    let object = world.platform.store.get(OBJECT_NAME)?;
    Some((object.version, object.value.clone()))
}

/// Writes what was read with one service's mark raised. A conflict is settled by reading
/// again; the naive operator writes in any case.
fn write(world: &mut World, service: usize, (version, mut value): Read) {
    if matches!(world.platform.mode, Mode::Down) {
        return world.later(RETRY, move |world| change(world, service));
    }
    let condition = (world.settings.policy != Policy::Naive).then_some(version);
    let Some(mark) = value.pointer_mut(&format!("/services/{service}/idle_timeout_s")) else {
        return;
    };
    let next = world.changes.next_mark(service, mark.as_u64().unwrap_or(0));
    *mark = next.into();
    if world.platform.store.put(OBJECT_NAME, condition, value).is_err() {
        return change(world, service);
    }
    let at = world.now;
    world.changes.accepted(at, service, next);
    let answers = world.platform.wake(at);
    world.deliver(answers);
}
