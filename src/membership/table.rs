//! Table of the other instances, and the rules by which updates change it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{MemberUpdate, Revision};
use crate::hash::stable_pair;
use crate::ids::InstanceId;
use crate::peer::MemberInfo;

/// Number of parts into which the table is divided for its digests.
pub(super) const DIGEST_PARTS: u8 = 8;
/// Time for which dead instances are kept, so that a partition can heal.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of instances that are kept, including dead ones.
const MAX_MEMBERS: usize = 8_192;
/// Time to refute a suspicion, multiplied by the decimal logarithm of the number of instances,
/// or by 1 if that is less.
const BASE_SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Health of another instance, as this one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    Alive,
    /// Counts as live; declared dead at `until` unless it refutes the suspicion before.
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

    pub(super) fn is_live(&self) -> bool {
        !matches!(self.status, Status::Dead { .. })
    }

    pub(super) fn to_update(&self) -> MemberUpdate {
        MemberUpdate::Alive { info: self.info.clone(), announcement: self.announcement }
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
        self.members.values().filter(|member| member.is_live())
    }

    pub(super) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| !member.is_live())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Applies an update about another instance. Returns the update to send on if it changed
    /// the table.
    pub(super) fn apply(&mut self, now: Duration, update: &MemberUpdate) -> Option<MemberUpdate> {
        match update {
            MemberUpdate::Alive { info, announcement } => self.mark_alive(info, *announcement),
            MemberUpdate::Suspect(id, revision) => self.mark_suspect(now, *id, *revision),
            MemberUpdate::Dead(id, revision) => match self.members.get(id)?.status {
                // An instance that is alive here gets time to refute: after a partition, the
                // other side reports live instances of this side as dead.
                Status::Alive => self.mark_suspect(now, *id, *revision),
                Status::Suspect { .. } => self.mark_dead(now, *id, *revision),
                Status::Dead { .. } => None,
            },
        }
    }

    /// Suspects an instance that did not answer, at its known revision. Returns the update to
    /// send on.
    pub(super) fn suspect_unresponsive(
        &mut self,
        now: Duration,
        id: InstanceId,
    ) -> Option<MemberUpdate> {
        let revision = self.members.get(&id)?.revision();
        self.mark_suspect(now, id, revision)
    }

    /// Declares dead the instances whose suspicion was not refuted in time. Returns the updates
    /// to send on.
    pub(super) fn expire_suspicions(&mut self, now: Duration) -> Vec<MemberUpdate> {
        let ids: Vec<_> =
            self.members.iter().filter(|(_, member)| suspicion_expired(member, now)).collect();
        let ids: Vec<_> = ids.into_iter().map(|(&id, member)| (id, member.revision())).collect();
        ids.into_iter().filter_map(|(id, revision)| self.mark_dead(now, id, revision)).collect()
    }

    /// Extends the time to refute of each suspicion.
    pub(super) fn extend_suspicions(&mut self, gap: Duration) {
        for member in self.members.values_mut() {
            if let Status::Suspect { until } = &mut member.status {
                *until += gap;
            }
        }
    }

    /// Removes instances that have been dead longer than the retention time.
    pub(super) fn remove_long_dead(&mut self, now: Duration) {
        self.members.retain(|_, member| match member.status {
            Status::Dead { since } => now < since + DEAD_RETENTION,
            _ => true,
        });
    }

    /// Returns the digests of all parts, including this instance's own entry.
    pub(super) fn digests(&self, me: (InstanceId, Revision)) -> Vec<u32> {
        (0..DIGEST_PARTS).map(|part| self.digest(me, part)).collect()
    }

    /// Returns the digest of one part, including this instance's own entry.
    pub(super) fn digest(&self, me: (InstanceId, Revision), part: u8) -> u32 {
        let live = self.live().map(|member| (member.info.id, member.revision()));
        let entries = live.chain([me]).filter(|&(id, _)| part_of(id) == usize::from(part));
        entries.fold(0, |digest, (id, revision)| digest ^ entry_hash(id, revision))
    }

    fn mark_alive(&mut self, info: &MemberInfo, announcement: u32) -> Option<MemberUpdate> {
        let revision = Revision { incarnation: info.incarnation, announcement };
        match self.members.get(&info.id) {
            Some(known) if known.revision() >= revision => return None,
            None if self.members.len() >= MAX_MEMBERS => return None,
            _ => {}
        }
        let member = Member { info: info.clone(), announcement, status: Status::Alive };
        let update = member.to_update();
        self.members.insert(info.id, member);
        Some(update)
    }

    fn mark_suspect(
        &mut self,
        now: Duration,
        id: InstanceId,
        revision: Revision,
    ) -> Option<MemberUpdate> {
        let until = now + self.suspicion_timeout();
        let member = self.members.get_mut(&id)?;
        if member.status != Status::Alive || !applies_to(member, revision) {
            return None;
        }
        member.announcement = revision.announcement;
        member.status = Status::Suspect { until };
        Some(MemberUpdate::Suspect(id, revision))
    }

    fn mark_dead(
        &mut self,
        now: Duration,
        id: InstanceId,
        revision: Revision,
    ) -> Option<MemberUpdate> {
        let member = self.members.get_mut(&id)?;
        if !applies_to(member, revision) {
            return None;
        }
        member.announcement = revision.announcement;
        member.status = Status::Dead { since: now };
        Some(MemberUpdate::Dead(id, revision))
    }

    fn suspicion_timeout(&self) -> Duration {
        let instances = self.live().count() + 1;
        BASE_SUSPICION_TIMEOUT.mul_f64((instances as f64).log10().max(1.0))
    }
}

/// Returns the part of the table that an instance belongs to.
pub(super) fn part_of(id: InstanceId) -> usize {
    (id % u32::from(DIGEST_PARTS)) as usize
}

fn entry_hash(id: InstanceId, revision: Revision) -> u32 {
    let start = stable_pair(u64::from(id), revision.incarnation);
    stable_pair(start, u64::from(revision.announcement)) as u32
}

/// Returns whether a suspicion or death concerns the known incarnation and is not refuted yet.
fn applies_to(member: &Member, revision: Revision) -> bool {
    member.info.incarnation == revision.incarnation && member.announcement <= revision.announcement
}

fn suspicion_expired(member: &Member, now: Duration) -> bool {
    matches!(member.status, Status::Suspect { until } if until <= now)
}
