//! Flows whose targets may have ended.
//!
//! Only a target knows which flows it holds, and it answers a packet of a flow that it does not hold
//! with a reset. A record that tells of its end may be wrong: records arrive late, and clocks are ahead or
//! set back. So the packets of a flow go to the address of its target, whatever happens. While the target
//! may have ended, they are for whichever one runs there, and if it may have moved, they also go to its
//! other address.
//!
//! Callers without a request to send would learn of a loss only with the next one, which may not be
//! repeated. So once a record tells of another target in place of a flow's, the last packet of the flow
//! is sent again: a target that holds the flow takes it for a retransmission.

use std::net::SocketAddrV4;

use derive_more::Display;

use super::{Forwarder, Verdict};
use crate::steering::token::TargetIncarnation;
use crate::steering::{ANY_TARGET, Target, TargetKey, Token};

/// Why the target of a flow may have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Doubt {
    /// A record names another start of it, elsewhere or as one of another service.
    #[display("restarted")]
    Restarted,
    /// A record names another target at its address.
    #[display("address_taken")]
    AddressTaken,
}

/// Where packets of a flow go whose target may have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inquiry<'a> {
    /// The target. Whichever one runs at its address gets the packets.
    pub target: &'a Target,
    /// Why it may have ended.
    pub doubt: Doubt,
    /// Another address at which the target may run.
    pub moved_to: Option<SocketAddrV4>,
}

impl Inquiry<'_> {
    /// Returns the addresses to which packets go, with the key in them.
    pub fn receivers(&self) -> impl Iterator<Item = (SocketAddrV4, TargetKey)> {
        let moved = self.moved_to.map(|address| (address, self.target.key));
        [(self.target.address, ANY_TARGET)].into_iter().chain(moved)
    }
}

/// The targets that records name in place of one: at its address, and as its other start.
pub type Successors = [Option<TargetIncarnation>; 2];

impl Forwarder {
    /// Returns the targets that records name in place of a target.
    pub fn successors(&self, target: TargetIncarnation) -> Successors {
        let other = self.targets.get(target).and_then(|t| self.targets.other_at_address(t));
        [other, self.targets.successor(target)].map(|t| t.map(|t| (t.key, t.incarnation)))
    }

    /// Returns where a packet of an open flow goes once records name other targets in place of its own.
    pub fn verdict_of_open(
        &mut self,
        service: SocketAddrV4,
        target: TargetIncarnation,
    ) -> Option<Verdict<'_>> {
        let holder = self.holder(target);
        let token = self.changed_token(service, target, holder);
        self.aim(holder, token)
    }

    /// Returns the verdict that sends a packet to the target that may hold its flow.
    pub(super) fn aim(
        &self,
        holder: TargetIncarnation,
        token: Option<Token>,
    ) -> Option<Verdict<'_>> {
        let target = self.targets.get(holder)?;
        Some(match self.doubt(target) {
            Some(doubt) => {
                let restarted = self.targets.successor(holder).map(|target| target.address);
                let moved_to = restarted.filter(|address| *address != target.address);
                Verdict::Inquire(Inquiry { target, doubt, moved_to }, token)
            }
            None => Verdict::Forward(target, token),
        })
    }

    /// Returns why a target may have ended, if a record says so.
    pub(super) fn doubt(&self, target: &Target) -> Option<Doubt> {
        match () {
            () if self.targets.has_restarted((target.key, target.incarnation)) => {
                Some(Doubt::Restarted)
            }
            () if self.targets.other_at_address(target).is_some() => Some(Doubt::AddressTaken),
            () => None,
        }
    }

    /// Returns the incarnation of a target that may hold the flows whose token names `named`. A target
    /// that starts again in place may have got a flow before its entry arrived here.
    pub(super) fn holder(&self, named: TargetIncarnation) -> TargetIncarnation {
        let Some(latest) = self.targets.successor(named) else { return named };
        let is_in_place = self.targets.get(named).is_none_or(|earlier| {
            (&earlier.service, earlier.address) == (&latest.service, latest.address)
        });
        if is_in_place { (latest.key, latest.incarnation) } else { named }
    }

    /// Returns the token that replaces that of a flow whose target has restarted, so that instances
    /// that never knew the earlier incarnation can forward the flow.
    pub(super) fn changed_token(
        &mut self,
        service: SocketAddrV4,
        named: TargetIncarnation,
        holder: TargetIncarnation,
    ) -> Option<Token> {
        if named == holder {
            return None;
        }
        let route = self.routes.get(service)?;
        let of_route = route.services.iter().flat_map(|s| self.targets.of_service(&s.service));
        let state = (self.targets.change_count(), self.routes.version());
        self.tokens.survey(service, state, of_route);
        let is_usable = self.tokens.is_usable(service, holder);
        let target = self.targets.get(holder).filter(|_| is_usable)?;
        Some(self.tokens.mint(service, target))
    }
}
