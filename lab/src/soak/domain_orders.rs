//! Orders to drain failure domains, and the check that they are obeyed.

use std::time::Duration;

use limpetdeck::steering::DOMAIN_DRAINS_PREFIX;
use serde_json::json;

use super::environment::DOMAINS;
use crate::emulator::store::ObjectStore;

/// Time after the store's answer to an order within which it has to be obeyed, as the settings file
/// states it (`Bounds.EvacuateMs`).
const MAX_ORDER_DELAY: Duration = Duration::from_secs(5);
/// Number of failure domains that may be drained at a time; the others have to carry the load.
const MAX_DRAINED: usize = 2;
/// Failure domain of an order that has no effect.
const UNKNOWN_DOMAIN: &str = "domain-x";

/// An order that is in force.
#[derive(Debug, Clone, Copy)]
struct Order {
    given: Duration,
    /// Time at which a restore of the store lost the order, if it did.
    lost: Option<Duration>,
    /// Time at which the operator has given it again after that.
    given_again: Option<Duration>,
}

/// How an instance came to know of the orders.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// Time of the last start.
    pub started: Duration,
    /// Time since which the instance has been in contact with the store.
    pub contact_since: Duration,
}

/// The orders of the operator.
#[derive(Debug, Default)]
pub struct DomainOrders {
    in_force: [Option<Order>; DOMAINS.len()],
    /// Withdrawn orders whose objects are still to be removed.
    marked: Vec<usize>,
}

impl DomainOrders {
    /// Gives an order, and one for an unknown failure domain, unless enough domains are drained.
    /// Returns whether it was given.
    pub fn give(&mut self, now: Duration, domain: usize, store: &mut ObjectStore) -> bool {
        let drained = self.in_force.iter().flatten().count();
        if store.is_down() || self.in_force[domain].is_some() || drained >= MAX_DRAINED {
            return false;
        }
        self.in_force[domain] = Some(Order { given: now, lost: None, given_again: None });
        self.marked.retain(|&marked| marked != domain);
        store.put(&object_name(DOMAINS[domain]), json!({}));
        store.put(&object_name(UNKNOWN_DOMAIN), json!({}));
        true
    }

    /// Withdraws an order. Its object is removed, or marked as being deleted and removed later.
    pub fn withdraw(&mut self, domain: usize, mark: bool, store: &mut ObjectStore) {
        self.in_force[domain] = None;
        if mark {
            self.marked.push(domain);
            store.mark_deleting(&object_name(DOMAINS[domain]));
        } else {
            store.remove(&object_name(DOMAINS[domain]));
        }
    }

    /// Removes the objects of withdrawn orders that were only marked.
    pub fn remove_marked(&mut self, store: &mut ObjectStore) {
        for domain in self.marked.drain(..) {
            store.remove(&object_name(DOMAINS[domain]));
        }
    }

    /// Notes which orders the store has lost in a restore.
    pub fn record_restore(&mut self, now: Duration, store: &ObjectStore) {
        for (order, domain) in self.in_force.iter_mut().zip(DOMAINS) {
            if let Some(order) = order.as_mut().filter(|_| !store.has(&object_name(domain))) {
                order.given = order.given_again.take().unwrap_or(order.given);
                order.lost = Some(now);
            }
        }
    }

    /// Gives and withdraws the orders again that a restore has lost or brought back.
    pub fn write_again(&mut self, now: Duration, store: &mut ObjectStore) {
        for (order, domain) in self.in_force.iter_mut().zip(DOMAINS) {
            let name = object_name(domain);
            match order {
                Some(_) if store.has(&name) => {}
                Some(order) => {
                    order.given_again = Some(now);
                    store.put(&name, json!({}));
                }
                None => store.remove(&name),
            }
        }
        self.marked.clear();
    }

    /// Returns the time of the order to drain a failure domain, if an instance has to obey it by
    /// now.
    pub fn in_force_since(
        &self,
        now: Duration,
        domain: usize,
        instance: Knowledge,
    ) -> Option<Duration> {
        let order = self.in_force[domain]?;
        // An instance that knew the order keeps it when a restore loses it, until the operator has
        // had the time to give it again.
        let knew = order.lost.is_none_or(|lost| {
            let first = order.given.max(instance.started).max(instance.contact_since);
            lost > first + MAX_ORDER_DELAY
        });
        let since = if knew { order.given } else { order.given_again? };
        let due = now > since.max(instance.contact_since) + MAX_ORDER_DELAY;
        due.then_some(since)
    }
}

fn object_name(domain: &str) -> String {
    format!("{DOMAIN_DRAINS_PREFIX}{domain}")
}
