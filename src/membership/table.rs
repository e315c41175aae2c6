//! What is known of each other instance, and which news change that.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{News, Revision};
use crate::hash::stable_pair;
use crate::ids::InstanceId;
use crate::peer::MemberInfo;

/// Parts into which the table is divided for its fingerprints.
pub(super) const PARTS: u8 = 8;
/// Time for which dead instances are remembered, so that a cut can heal.
const DEAD_KEPT: Duration = Duration::from_secs(3_600);
/// Instances that are remembered at most, dead ones included.
const MOST_MEMBERS: usize = 8_192;
/// Time to refute a suspicion, for each unit of the decimal logarithm of the instances.
const SUSPICION: Duration = Duration::from_millis(1_000);

/// Whether an instance is believed to live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    Alive,
    /// Counts as live until then, unless it refutes before.
    Suspect {
        until: Duration,
    },
    Dead {
        since: Duration,
    },
}

impl Status {
    pub(super) fn is_suspect(self) -> bool {
        matches!(self, Self::Suspect { .. })
    }
}

/// Another instance.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) info: MemberInfo,
    pub(super) announcement: u32,
    pub(super) status: Status,
}

impl Member {
    pub(super) fn revision(&self) -> Revision {
        Revision { incarnation: self.info.incarnation, announcement: self.announcement }
    }

    pub(super) fn lives(&self) -> bool {
        !matches!(self.status, Status::Dead { .. })
    }

    pub(super) fn alive(&self) -> News {
        News::Alive { info: self.info.clone(), announcement: self.announcement }
    }
}

/// The other instances.
#[derive(Debug, Default)]
pub(super) struct Table {
    members: BTreeMap<InstanceId, Member>,
}

impl Table {
    pub(super) fn get(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.lives())
    }

    pub(super) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| !member.lives())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Takes news of another instance, and returns what to pass on if they change anything.
    pub(super) fn apply(&mut self, now: Duration, news: &News) -> Option<News> {
        match news {
            News::Alive { info, announcement } => self.alive(info, *announcement),
            News::Suspect(id, revision) => self.suspect(now, *id, *revision),
            News::Dead(id, revision) => match self.members.get(id)?.status {
                // Those who still hear the instance give it time to refute: after a cut
                // the other side's dead are this side's living.
                Status::Alive => self.suspect(now, *id, *revision),
                Status::Suspect { .. } => self.die(now, *id, *revision),
                Status::Dead { .. } => None,
            },
        }
    }

    /// Starts to suspect a live instance of what is known of it.
    pub(super) fn accuse(&mut self, now: Duration, id: InstanceId) -> Option<News> {
        let revision = self.members.get(&id)?.revision();
        self.suspect(now, id, revision)
    }

    /// Ends the suspicions that were not refuted in time, and returns what to pass on.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<News> {
        let ids: Vec<_> = self.members.iter().filter(|(_, member)| expired(member, now)).collect();
        let ids: Vec<_> = ids.into_iter().map(|(&id, member)| (id, member.revision())).collect();
        ids.into_iter().filter_map(|(id, revision)| self.die(now, id, revision)).collect()
    }

    /// Gives each suspicion more time.
    pub(super) fn postpone(&mut self, gap: Duration) {
        for member in self.members.values_mut() {
            if let Status::Suspect { until } = &mut member.status {
                *until += gap;
            }
        }
    }

    /// Forgets those that have been dead for long.
    pub(super) fn forget(&mut self, now: Duration) {
        self.members.retain(|_, member| match member.status {
            Status::Dead { since } => now < since + DEAD_KEPT,
            _ => true,
        });
    }

    /// Returns the fingerprints of all parts, this instance's own entry included.
    pub(super) fn digests(&self, me: (InstanceId, Revision)) -> Vec<u32> {
        (0..PARTS).map(|part| self.digest(me, part)).collect()
    }

    /// Returns the fingerprint of one part, this instance's own entry included.
    pub(super) fn digest(&self, me: (InstanceId, Revision), number: u8) -> u32 {
        let live = self.live().map(|member| (member.info.id, member.revision()));
        let entries = live.chain([me]).filter(|&(id, _)| part(id) == usize::from(number));
        entries.fold(0, |digest, (id, revision)| digest ^ fingerprint(id, revision))
    }

    fn alive(&mut self, info: &MemberInfo, announcement: u32) -> Option<News> {
        let revision = Revision { incarnation: info.incarnation, announcement };
        match self.members.get(&info.id) {
            Some(known) if known.revision() >= revision => return None,
            None if self.members.len() >= MOST_MEMBERS => return None,
            _ => {}
        }
        let member = Member { info: info.clone(), announcement, status: Status::Alive };
        let news = member.alive();
        self.members.insert(info.id, member);
        Some(news)
    }

    fn suspect(&mut self, now: Duration, id: InstanceId, revision: Revision) -> Option<News> {
        let until = now + self.suspicion();
        let member = self.members.get_mut(&id)?;
        if member.status != Status::Alive || !concerns(member, revision) {
            return None;
        }
        member.announcement = revision.announcement;
        member.status = Status::Suspect { until };
        Some(News::Suspect(id, revision))
    }

    fn die(&mut self, now: Duration, id: InstanceId, revision: Revision) -> Option<News> {
        let member = self.members.get_mut(&id)?;
        if !concerns(member, revision) {
            return None;
        }
        member.announcement = revision.announcement;
        member.status = Status::Dead { since: now };
        Some(News::Dead(id, revision))
    }

    fn suspicion(&self) -> Duration {
        let instances = self.live().count() + 1;
        SUSPICION.mul_f64((instances as f64).log10().max(1.0))
    }
}

/// Returns the part of the table that an instance belongs to.
pub(super) fn part(id: InstanceId) -> usize {
    (id % u32::from(PARTS)) as usize
}

fn fingerprint(id: InstanceId, revision: Revision) -> u32 {
    let start = stable_pair(u64::from(id), revision.incarnation);
    stable_pair(start, u64::from(revision.announcement)) as u32
}

/// Tells whether an accusation speaks of the start that is known, and is not refuted yet.
fn concerns(member: &Member, revision: Revision) -> bool {
    member.info.incarnation == revision.incarnation && member.announcement <= revision.announcement
}

fn expired(member: &Member, now: Duration) -> bool {
    matches!(member.status, Status::Suspect { until } if until <= now)
}
