//! Updates about this instance itself: refutation, ID conflicts and earlier starts.

use super::{MemberUpdate, Membership, Message};
use crate::budget::Class;
use crate::ids::Incarnation;
use crate::link::Outbox;
use crate::peer::{Body, MemberInfo, MemberState};

impl Membership {
    /// Announces this instance with a higher announcement number, which overrides all earlier
    /// updates about it.
    pub(super) fn announce(&mut self, state: MemberState) {
        self.changed |= self.me.state != state;
        self.me.state = state;
        self.announcement = self.announcement.saturating_add(1);
        self.queue.push(self.own_update(), self.live_count());
    }

    pub(super) fn handle_own_update(&mut self, update: &MemberUpdate) {
        match update {
            MemberUpdate::Alive { info, .. } => self.resolve_id_conflict(info),
            MemberUpdate::Suspect(_, reported) | MemberUpdate::Dead(_, reported) => {
                if reported.incarnation > self.me.incarnation {
                    self.raise_incarnation_above(reported.incarnation);
                } else if reported.incarnation == self.me.incarnation
                    && *reported >= self.revision()
                {
                    log::info!(instance = self.me.id; "suspicion_refuted");
                    self.announcement = reported.announcement;
                    self.announce(self.me.state);
                }
            }
        }
    }

    /// Handles the announcement of another process with this instance's ID: the process with the
    /// lower incarnation is superseded. An announcement with this instance's own address comes
    /// from an earlier start of this instance.
    pub(super) fn resolve_id_conflict(&mut self, other: &MemberInfo) {
        let key = |info: &MemberInfo| (info.incarnation, info.peer_address);
        if key(other) <= key(&self.me) || self.superseded {
            return;
        }
        if other.peer_address == self.me.peer_address {
            return self.raise_incarnation_above(other.incarnation);
        }
        let address = other.peer_address.to_string();
        log::error!(instance = self.me.id, other = address.as_str(); "instance_superseded");
        self.superseded = true;
    }

    /// Raises the incarnation above that of an earlier start whose clock was ahead. Until then
    /// peers drop this instance's messages as replayed.
    pub(super) fn raise_incarnation_above(&mut self, earlier: Incarnation) {
        log::warn!(own = self.me.incarnation, earlier = earlier; "clock_was_ahead");
        self.me.incarnation = earlier.saturating_add(1);
        self.announcement = 0;
        self.changed = true;
        self.announce(self.me.state);
    }

    /// Notifies an earlier start of an instance, at another address, that it is superseded.
    pub(super) fn notify_predecessor(&mut self, info: &MemberInfo, out: &mut Outbox<'_>) {
        let Some(known) = self.table.get(info.id) else { return };
        let moved = known.info.peer_address != info.peer_address;
        if moved && known.info.incarnation < info.incarnation {
            let update = MemberUpdate::Alive { info: info.clone(), announcement: 0 };
            let body = Body::Membership(Message::Gossip(vec![update]));
            out.send_to(known.info.peer_address, Class::Liveness, &body);
        }
    }
}
