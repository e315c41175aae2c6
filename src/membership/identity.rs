//! What is said of this instance itself, by others and by its own earlier starts.

use super::{Membership, Message, News};
use crate::budget::Class;
use crate::ids::Incarnation;
use crate::link::Outbox;
use crate::peer::{Body, MemberInfo, MemberState};

impl Membership {
    /// Makes this instance known anew, so that nothing said of it before counts.
    pub(super) fn announce(&mut self, state: MemberState) {
        self.changed |= self.me.state != state;
        self.me.state = state;
        self.announcement = self.announcement.saturating_add(1);
        self.queue.push(self.alive(), self.live().len());
    }

    pub(super) fn hear_of_self(&mut self, news: &News) {
        match news {
            News::Alive { info, .. } => self.meet_namesake(info),
            News::Suspect(_, said) | News::Dead(_, said) => {
                if said.incarnation > self.me.incarnation {
                    self.overtake(said.incarnation);
                } else if said.incarnation == self.me.incarnation && *said >= self.revision() {
                    log::info!(instance = self.me.id; "suspicion_refuted");
                    self.announcement = said.announcement;
                    self.announce(self.me.state);
                }
            }
        }
    }

    /// Another process with this instance's number: the older start gives way.
    pub(super) fn meet_namesake(&mut self, other: &MemberInfo) {
        let key = |info: &MemberInfo| (info.incarnation, info.peer_address);
        if key(other) <= key(&self.me) || self.superseded {
            return;
        }
        if other.peer_address == self.me.peer_address {
            return self.overtake(other.incarnation);
        }
        let address = other.peer_address.to_string();
        log::error!(instance = self.me.id, other = address.as_str(); "instance_superseded");
        self.superseded = true;
    }

    /// Goes beyond an earlier start of this instance that had a higher number, as its clock
    /// was ahead: until then the others take what this one sends for a replay.
    pub(super) fn overtake(&mut self, earlier: Incarnation) {
        log::warn!(own = self.me.incarnation, earlier = earlier; "clock_was_ahead");
        self.me.incarnation = earlier.saturating_add(1);
        self.announcement = 0;
        self.changed = true;
        self.announce(self.me.state);
    }

    /// Tells an instance's earlier start at another address that it was superseded.
    pub(super) fn tell_predecessor(&mut self, info: &MemberInfo, out: &mut Outbox<'_>) {
        let Some(known) = self.table.get(info.id) else { return };
        let moved = known.info.peer_address != info.peer_address;
        if moved && known.info.incarnation < info.incarnation {
            let news = News::Alive { info: info.clone(), announcement: 0 };
            let body = Body::Membership(Message::Gossip(vec![news]));
            out.send_to(known.info.peer_address, Class::Liveness, &body);
        }
    }
}
