//! Changes of a list, and how long each takes to be in force.

use std::time::Duration;

use super::figures::Figures;

/// Idle timeouts of the first two services, in seconds.
pub type Marks = [u64; 2];

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
    /// Returns a mark for a service that is higher than all before and than the one in force.
    pub fn next_mark(&self, service: usize, held: u64) -> u64 {
        self.next[service].max(held) + 1
    }

    /// Notes a change that the platform has accepted.
    pub fn accepted(&mut self, at: Duration, service: usize, mark: u64) {
        self.next[service] = mark;
        self.accepted.push(Accepted { service, mark, at });
    }

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
