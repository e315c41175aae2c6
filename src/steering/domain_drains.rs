//! The operator's orders to drain failure domains: which of them get no new flows.
//!
//! An instance holds a snapshot of all orders, with the position at which the platform was read. Of
//! two snapshots, the one with the higher position wins, so an order is withdrawn by its absence
//! from a later snapshot. Snapshots from the platform and from other instances can be merged in any
//! order.
//!
//! A new era begins when the platform comes back from an older copy of its data, which may lack
//! orders. Orders of the earlier era are therefore kept, until a snapshot has been read so late in
//! the new era that they would have been written again.

use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

use metrics::gauge;
use serde::{Deserialize, Serialize};

use crate::ids::FailureDomain;
use crate::platform::Position;

/// Time after the start of an era within which entries are written again, as for targets.
const ERA_SETTLING_TIME: Duration = Duration::from_secs(6);
/// Time for which an instance that knows routes and targets waits for a snapshot before it continues
/// without one: peers of an earlier release send none.
const MAX_SNAPSHOT_WAIT: Duration = Duration::from_secs(2);
/// Time for which an instance that starts in a restored platform waits for a peer's snapshot, which
/// may hold orders that the platform has lost. Longer than it takes to find peers (300 ms).
const MAX_KEPT_ORDERS_WAIT: Duration = Duration::from_millis(500);
/// Time for which it is known that an order was withdrawn: longer than targets take to become warm.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(60);

/// Longest name of a failure domain in an order.
const MAX_NAME_BYTES: usize = 64;
/// Largest size of all orders of a snapshot, so that it fits one datagram of 1,200 bytes.
const MAX_ORDERS_BYTES: usize = 1_000;
/// Largest size of an encoded order without the name: the length of the name and a position.
const ORDER_OVERHEAD_BYTES: usize = 11;

/// Failure domains with the position of the order to drain each.
pub type DrainOrders = BTreeMap<FailureDomain, Position>;

/// All orders, as sent between instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainSnapshot {
    /// Position at which the orders were read; the default if the sender knows none yet.
    pub position: Position,
    /// The orders at that position.
    pub orders: DrainOrders,
    /// Position and orders of the earlier era, while those are kept.
    pub earlier: Option<(Position, DrainOrders)>,
    /// Whether the platform has been read so late in the era that nothing of the earlier one is kept.
    pub settled: bool,
}

impl DrainSnapshot {
    /// Returns whether two snapshots say the same, whenever they were read.
    fn says_same(&self, other: &Self) -> bool {
        (&self.orders, &self.earlier, self.settled)
            == (&other.orders, &other.earlier, other.settled)
    }

    /// Returns whether there is no order.
    fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.earlier.as_ref().is_none_or(|(_, orders)| orders.is_empty())
    }

    /// Returns the orders in force.
    fn in_force(&self) -> DrainOrders {
        let mut in_force = self.earlier.as_ref().map(|(_, orders)| orders.clone());
        in_force.get_or_insert_default().extend(self.orders.clone());
        in_force.unwrap_or_default()
    }

    /// Enters the era of a position. The orders known so far become those of the earlier era.
    fn enter_era(&mut self, position: Position) {
        if position.era > self.position.era {
            if self.position.is_known() {
                self.earlier = Some((self.position, self.in_force()));
            }
            self.orders.clear();
            self.position = Position::new(position.era, 0);
            self.settled = false;
        }
    }

    /// Merges another snapshot. Returns the failure domains for which there is no room.
    fn merge(&mut self, mut theirs: Self) -> Vec<FailureDomain> {
        // A snapshot of an earlier era says nothing about the current one, and what was kept of that
        // era may be later than what it holds.
        if theirs.position.era < self.position.era {
            return Vec::new();
        }
        self.enter_era(theirs.position);
        if theirs.position > self.position {
            self.position = theirs.position;
            self.orders = mem::take(&mut theirs.orders);
        } else if theirs.position == self.position {
            // A list of several pages may hold orders that are later than its position. Without a
            // common result, peers that hold different ones would answer each other without end.
            for (domain, order) in mem::take(&mut theirs.orders) {
                let known = self.orders.entry(domain).or_insert(order);
                *known = order.max(*known);
            }
        }
        self.settled |= theirs.settled;
        self.earlier = match (self.earlier.take(), theirs.earlier) {
            _ if self.settled => None,
            (Some((at, mut orders)), Some((their_at, theirs))) if at == their_at => {
                orders.retain(|domain, _| theirs.contains_key(domain));
                Some((at, orders))
            }
            (ours, theirs) => ours.max(theirs),
        };
        self.drop_confirmed();
        self.limit()
    }

    /// Drops what is beyond the limits, and returns the names. The first orders by name are kept, so
    /// that all instances keep the same ones; those of the earlier era get the rest of the room.
    fn limit(&mut self) -> Vec<FailureDomain> {
        let mut dropped = Vec::new();
        let mut room = MAX_ORDERS_BYTES;
        let earlier = self.earlier.as_mut().map(|(_, orders)| orders);
        for orders in [Some(&mut self.orders), earlier].into_iter().flatten() {
            orders.retain(|domain, _| {
                let has_name = domain.len() <= MAX_NAME_BYTES;
                let left = room.checked_sub(order_bytes(domain)).filter(|_| has_name);
                if left.is_none() {
                    dropped.push(domain.clone());
                }
                if has_name {
                    // After the first order without room, shorter ones are not kept either.
                    room = left.unwrap_or(0);
                }
                left.is_some()
            });
        }
        dropped
    }

    /// Returns whether there may be orders that were dropped for lack of room.
    fn is_full(&self) -> bool {
        let earlier = self.earlier.iter().flat_map(|(_, orders)| orders.keys());
        let bytes: usize = self.orders.keys().chain(earlier).map(|name| order_bytes(name)).sum();
        bytes + MAX_NAME_BYTES + ORDER_OVERHEAD_BYTES > MAX_ORDERS_BYTES
    }

    /// Drops the orders of the earlier era that are in the current one: from now on, their absence
    /// means that they were withdrawn.
    fn drop_confirmed(&mut self) {
        if let Some((_, earlier)) = &mut self.earlier {
            earlier.retain(|domain, _| !self.orders.contains_key(domain));
        }
    }
}

fn order_bytes(domain: &str) -> usize {
    domain.len() + ORDER_OVERHEAD_BYTES
}

/// A drained failure domain, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedDomain {
    /// Name of the failure domain.
    pub failure_domain: FailureDomain,
    /// Era of the order's position.
    pub era: u64,
    /// Revision of the order's position.
    pub revision: u64,
    /// Milliseconds since the instance learned of the order.
    pub known_ms: u64,
}

/// Which failure domains an instance drains. By default, it knows nothing of such orders and needs
/// no snapshot.
#[derive(Debug, Default)]
pub struct DomainDrains {
    enabled: bool,
    snapshot: DrainSnapshot,
    /// When the era of the snapshot became known.
    era_since: Duration,
    /// The orders in force, each with the time at which it became known.
    in_force: BTreeMap<FailureDomain, (Position, Duration)>,
    /// When the last order for a failure domain was withdrawn.
    withdrawn: BTreeMap<FailureDomain, Duration>,
    /// Whether a peer has sent a snapshot.
    heard_peer: bool,
    /// Whether the platform has been read, but may lack orders that peers have kept.
    may_lack_orders: bool,
    /// Since when only the snapshot has been missing.
    waiting_since: Option<Duration>,
    /// Whether the instance continues without a snapshot.
    gave_up: bool,
}

impl DomainDrains {
    /// Creates the state of an instance whose deployment has orders, and that knows none yet.
    pub fn enabled() -> Self {
        Self { enabled: true, ..Self::default() }
    }

    /// Returns whether the deployment has such orders.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns whether new flows may be placed: a snapshot is known, or none is needed.
    pub fn ready(&self) -> bool {
        let is_known = self.snapshot.position.is_known() && !self.may_lack_orders;
        !self.enabled || self.gave_up || is_known
    }

    /// Returns whether a failure domain gets no new flows.
    pub fn is_drained(&self, domain: &str) -> bool {
        !self.in_force.is_empty() && self.in_force.contains_key(domain)
    }

    /// Returns whether any failure domain is drained.
    pub fn any(&self) -> bool {
        !self.in_force.is_empty()
    }

    /// Returns the failure domains whose last order was withdrawn recently, each with the time at
    /// which this instance learned of it.
    pub fn withdrawn(&self) -> impl Iterator<Item = (&str, Duration)> {
        self.withdrawn.iter().map(|(domain, &at)| (domain.as_str(), at))
    }

    /// Returns the drained failure domains, with the ages of the orders.
    pub fn drained(&self, now: Duration) -> Vec<DrainedDomain> {
        let drained = self.in_force.iter().map(|(domain, &(position, since))| DrainedDomain {
            failure_domain: domain.clone(),
            era: position.era,
            revision: position.revision,
            known_ms: now.saturating_sub(since).as_millis() as u64,
        });
        drained.collect()
    }

    /// Returns the snapshot, which is that of the highest known position.
    pub fn snapshot(&self) -> &DrainSnapshot {
        &self.snapshot
    }

    /// Returns whether orders may have been dropped for lack of room. After a withdrawal, only a list
    /// tells them.
    pub fn is_full(&self) -> bool {
        self.snapshot.is_full()
    }

    /// Returns whether peers are to be told of the orders from time to time: there are some.
    pub fn has_news(&self) -> bool {
        self.enabled && !self.snapshot.is_empty()
    }

    /// Advances time; `others_known` is set if routes and targets are known. Returns whether the
    /// instance stops waiting for the snapshot of a peer now.
    pub fn stop_waiting(&mut self, now: Duration, others_known: bool) -> bool {
        if self.ready() || !others_known {
            return false;
        }
        let since = *self.waiting_since.get_or_insert(now);
        if self.may_lack_orders {
            self.may_lack_orders = now < since + MAX_KEPT_ORDERS_WAIT;
        } else if now >= since + MAX_SNAPSHOT_WAIT {
            log::warn!("domain_drains_unknown");
            self.gave_up = true;
        }
        self.ready()
    }

    /// Merges what was read from the platform at a position: `changes` of the orders, `None` if one
    /// was withdrawn; `all` is set if they are all there are. Returns whether anything has changed
    /// that peers have to know.
    pub fn on_read(
        &mut self,
        now: Duration,
        position: Position,
        all: bool,
        changes: Vec<(FailureDomain, Option<Position>)>,
    ) -> bool {
        if position < self.snapshot.position {
            return false;
        }
        let same_era = position.era == self.snapshot.position.era;
        let mut orders =
            if all || !same_era { DrainOrders::new() } else { self.snapshot.orders.clone() };
        for (domain, order) in changes {
            match order {
                Some(order) => drop(orders.insert(domain, order)),
                None => drop(orders.remove(&domain)),
            }
        }
        let is_first = !self.snapshot.position.is_known() && !self.heard_peer;
        self.may_lack_orders |= is_first && position.era > 0;
        let settled = same_era && position.era > 0 && now >= self.era_since + ERA_SETTLING_TIME;
        self.merge(now, DrainSnapshot { position, orders, earlier: None, settled }, "platform")
    }

    /// Merges the snapshot of a peer. Returns whether anything has changed that other peers have to
    /// know.
    pub fn on_peer_snapshot(&mut self, now: Duration, snapshot: DrainSnapshot) -> bool {
        if !self.enabled || !snapshot.position.is_known() {
            return false;
        }
        self.heard_peer = true;
        if snapshot.position.era >= self.snapshot.position.era {
            self.may_lack_orders = false;
            return self.merge(now, snapshot, "peer");
        }
        if !self.may_lack_orders || self.snapshot.settled || self.snapshot.earlier.is_some() {
            return false;
        }
        // The peer does not know the new era yet. Until one that does answers, its orders are the
        // best known.
        let mut kept = self.snapshot.clone();
        kept.earlier = Some((snapshot.position, snapshot.in_force()));
        self.merge(now, kept, "peer")
    }

    /// Returns whether a peer that has sent a snapshot, which was merged, lacks something.
    pub fn is_behind(&self, theirs: &DrainSnapshot) -> bool {
        self.enabled
            && self.snapshot.position.is_known()
            && theirs.position <= self.snapshot.position
            && !theirs.says_same(&self.snapshot)
    }

    fn merge(&mut self, now: Duration, snapshot: DrainSnapshot, source: &str) -> bool {
        if snapshot.position.era > self.snapshot.position.era || !self.snapshot.position.is_known()
        {
            self.era_since = now;
        }
        let before = self.snapshot.clone();
        let dropped = self.snapshot.merge(snapshot);
        if !dropped.is_empty() {
            log::warn!(source = source, orders = dropped.len(), failure_domains = dropped.join(" ").as_str(); "domain_drains_over_limit");
        }
        let kept = |snapshot: &DrainSnapshot| snapshot.earlier.clone().unwrap_or_default().1;
        let changed =
            before.orders != self.snapshot.orders || kept(&before) != kept(&self.snapshot);
        if changed {
            self.update_in_force(now, source);
        }
        changed
    }

    fn update_in_force(&mut self, now: Duration, source: &str) {
        let orders = self.snapshot.in_force();
        let read_at = self.snapshot.position;
        let log = |event: &str, domain: &str, position: Position, since: Duration| {
            let age_ms = now.saturating_sub(since).as_millis() as u64;
            log::info!(failure_domain = domain, source = source, order_era = position.era, order_revision = position.revision, era = read_at.era, revision = read_at.revision, age_ms = age_ms; "{event}");
        };
        for (domain, (position, since)) in mem::take(&mut self.in_force) {
            if orders.contains_key(&domain) {
                self.in_force.insert(domain, (position, since));
            } else {
                log("domain_drain_withdrawn", &domain, position, since);
                self.withdrawn.insert(domain, now);
            }
        }
        for (domain, position) in orders {
            let known = self.in_force.entry(domain.clone()).or_insert_with(|| {
                log("domain_drained", &domain, position, now);
                (position, now)
            });
            known.0 = position;
            self.withdrawn.remove(&domain);
        }
        self.withdrawn.retain(|_, at| now < *at + WITHDRAWN_RETENTION);
        gauge!("limpetdeck_domains_drained").set(self.in_force.len() as f64);
    }
}
