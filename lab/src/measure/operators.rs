//! Operators who change a list, and how long each change takes to be in force.
//!
//! The list is the services object. Each of its first two services has an idle timeout
//! that only rises from change to change, so that what an instance has in force shows how
//! many changes have reached it.

use std::time::Duration;

use limpetdeck::services::OBJECT_NAME;
use serde_json::Value;

use super::figures::Figures;
use super::platform::Mode;
use super::settings::Policy;
use super::world::World;

/// Idle timeouts of the first two services, in seconds.
pub type Marks = [u64; 2];

/// Time after which an operator tries a refused or unanswered write again.
const RETRY: Duration = Duration::from_millis(500);
/// Time in which a change has to be in force, so that a later one is not held for lost.
const IN_FORCE: Duration = Duration::from_secs(5);

/// A change that the platform has accepted.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    service: usize,
    mark: u64,
    at: Duration,
}

/// What an instance has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InForce {
    /// Start of the instance that the marks belong to.
    start: u64,
    marks: Marks,
    /// Since when the instance could have heard of changes.
    reachable: Duration,
}

/// The changes of a run.
#[derive(Debug, Default)]
pub struct Changes {
    accepted: Vec<Accepted>,
    /// The highest mark that was ever written for each service.
    next: Marks,
    in_force: Vec<InForce>,
}

impl Changes {
    /// Notes what an instance has in force, with the times that it took.
    pub fn note(&mut self, now: Duration, member: (usize, u64), marks: Marks, f: &mut Figures) {
        let (index, start) = member;
        let known = self.entry(index);
        if known.start != start {
            *known = InForce { start, marks: [0; 2], reachable: now };
        }
        let before = std::mem::replace(&mut known.marks, marks);
        let reachable = known.reachable;
        if before == marks {
            return;
        }
        f.reverts += u64::from(marks.iter().zip(before).any(|(mark, before)| *mark < before));
        for change in &self.accepted {
            if (before[change.service] + 1..=marks[change.service]).contains(&change.mark) {
                let took = now.saturating_sub(change.at.max(reachable));
                f.list_change.get_or_insert_default().add(took.as_micros() as u64);
            }
        }
    }

    /// Notes that an instance can hear of changes from now on.
    pub fn reachable(&mut self, now: Duration, index: usize) {
        self.entry(index).reachable = now;
    }

    /// Counts, over the instances that run, the changes that are not in force in the end.
    pub fn finish(&self, now: Duration, running: &[usize], f: &mut Figures) {
        f.list_change.get_or_insert_default();
        for change in self.accepted.iter().filter(|change| now > change.at + IN_FORCE) {
            let lacks = |&&index: &&usize| {
                let known = self.in_force.get(index).copied().unwrap_or_default();
                now > known.reachable + IN_FORCE && known.marks[change.service] < change.mark
            };
            f.lost_changes += u64::from(running.iter().any(|index| lacks(&index)));
        }
    }

    fn entry(&mut self, index: usize) -> &mut InForce {
        if self.in_force.len() <= index {
            self.in_force.resize(index + 1, InForce::default());
        }
        &mut self.in_force[index]
    }
}

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
    let next = world.changes.next[service].max(mark.as_u64().unwrap_or(0)) + 1;
    *mark = next.into();
    if world.platform.store.put(OBJECT_NAME, condition, value).is_err() {
        return change(world, service);
    }
    let at = world.now;
    world.changes.next[service] = next;
    world.changes.accepted.push(Accepted { service, mark: next, at });
    let answers = world.platform.wake(at);
    world.deliver(answers);
}
