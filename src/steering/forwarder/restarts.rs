//! Flows whose targets have restarted.
//!
//! A restarted target has lost the flows of before. The token of a flow does not tell whether it is
//! one of them: it names the incarnation that was known to the instance that opened the flow, and the
//! entry of the next incarnation may arrive late there. Only the target knows. It answers a packet of
//! a flow that it does not hold with a reset, so packets go to its latest incarnation.
//!
//! Callers without a request to send would learn of the loss only with the next one, which may not
//! be repeated. So once an instance learns of a restart, it sends the last packet of each open flow to
//! the target again: a target that holds the flow takes it for a retransmission.

use std::net::SocketAddrV4;

use super::Forwarder;
use crate::steering::token::TargetIncarnation;
use crate::steering::{Target, Token};

impl Forwarder {
    /// Returns the target of a flow as it is since its restart, with the token that replaces that of
    /// the flow, if there is one. Returns `None` if `holder` has not restarted, or as one of another
    /// service.
    pub fn restarted_holder(
        &mut self,
        service: SocketAddrV4,
        holder: TargetIncarnation,
    ) -> Option<(&Target, Option<Token>)> {
        let latest = self.possible_holder(service, holder).filter(|&latest| latest != holder)?;
        let token = self.changed_token(service, holder, latest);
        Some((self.targets.get(latest)?, token))
    }

    /// Returns whether a target has restarted as one of another service. An entry without a later start
    /// is not one of the target.
    pub(super) fn changed_service(&self, named: TargetIncarnation) -> bool {
        let earlier = self.targets.get(named);
        let successor = self.targets.successor(named);
        earlier.zip(successor).is_some_and(|(earlier, later)| {
            earlier.service != later.service && later.incarnation > earlier.incarnation
        })
    }

    /// Returns whether the entry of a target names an earlier start than a known one, elsewhere or of
    /// another service. It is the late write of a process that had ended by then, or an entry of another
    /// writer. Where the clock was set back, the target is at its address.
    pub(super) fn has_outdated_entry(&self, known: TargetIncarnation) -> bool {
        let entry = self.targets.successor(known);
        self.targets.get(known).zip(entry).is_some_and(|(known, entry)| {
            entry.incarnation < known.incarnation
                && (&entry.service, entry.address) != (&known.service, known.address)
        })
    }

    /// Returns the incarnation of a target that may hold the flows whose token names `named`, or
    /// `None` if the target has restarted as one of another service.
    pub(super) fn possible_holder(
        &self,
        service: SocketAddrV4,
        named: TargetIncarnation,
    ) -> Option<TargetIncarnation> {
        let Some(successor) = self.targets.successor(named) else { return Some(named) };
        let is_routed = || {
            let services = self.routes.get(service).map(|route| &route.services);
            services.is_some_and(|s| s.iter().any(|routed| routed.service == successor.service))
        };
        let may_hold = match self.targets.get(named) {
            Some(_) if self.has_outdated_entry(named) => return Some(named),
            Some(earlier) => earlier.service == successor.service,
            None => is_routed(),
        };
        may_hold.then_some((successor.key, successor.incarnation))
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
