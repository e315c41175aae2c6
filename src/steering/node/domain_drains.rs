//! Orders to drain failure domains, as read from the platform.

use std::time::Duration;

use super::Node;
use crate::instance::Action;
use crate::platform::{Changes, Position};
use crate::steering::DOMAIN_DRAINS_PREFIX;

impl Node {
    /// Merges the orders, which are `all` there are or those that changed, and tells peers.
    pub(super) fn apply_domain_drains(
        &mut self,
        now: Duration,
        all: bool,
        changes: &Changes,
        out: &mut Vec<Action>,
    ) {
        let position = changes.position();
        let named = changes.objects.iter().filter_map(|object| {
            let domain = object.name.strip_prefix(DOMAIN_DRAINS_PREFIX)?;
            // The name says all: the content of an order is not interpreted.
            let order = Position::new(position.era, object.version);
            Some((domain.to_owned(), (!object.value.is_null()).then_some(order)))
        });
        let withdrawn = changes.objects.iter().any(|object| object.value.is_null());
        if !all && withdrawn && self.forwarder.drains.is_full() {
            self.list_watches.relist_domain_drains(now);
        }
        if self.forwarder.drains.on_read(now, position, all, named.collect()) {
            let mut outbox = self.link.outbox(now, out);
            self.gossip.push_domain_drains(&self.forwarder, &mut outbox);
        }
        self.forwarder.start_warm_ups();
    }

    /// Continues without knowing the orders if nobody sends them.
    pub(super) fn stop_waiting_for_drains(&mut self, now: Duration, out: &mut Vec<Action>) {
        let others_known = self.forwarder.routes.version() > 0
            && self.forwarder.targets.complete_up_to().is_known();
        if self.forwarder.drains.stop_waiting(now, others_known) {
            self.release_queued(now, out);
        }
    }
}
