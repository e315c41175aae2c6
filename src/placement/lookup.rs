//! Queries to the other live instances for flows that are unknown on a packet's route.

use std::time::Duration;

use super::Message;
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{FlowId, InstanceId};
use crate::link::Outbox;
use crate::peer::Body;

/// Time between the first two queries for a flow; it doubles after each query.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum time between two queries for a flow.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time since the first query after which the flow's target in the oldest epoch is tried. Until
/// then a target retransmits unacknowledged data several times, and each retransmission lets
/// the instances learn the binding.
const FALLBACK_DELAY: Duration = Duration::from_secs(6);
/// Time after which a lookup is discarded, so that a new one may start.
const LOOKUP_TTL: Duration = Duration::from_secs(40);
/// Minimum time between two queries, so that several flows share a datagram.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of flows in one query.
const MAX_BATCH_FLOWS: usize = 8;
/// Maximum number of instances that one query is sent to.
const MAX_QUERY_PEERS: usize = 20;
/// Minimum number of instances that the budget must cover: a query to fewer is not worth its
/// share of the budget.
const MIN_QUERY_PEERS: usize = 4;
/// Bytes of a query without its flows, including datagram header and seal.
const QUERY_HEADER_LEN: usize = 70;
/// Bytes of one flow in a query.
const FLOW_LEN: usize = 10;
/// Maximum number of lookups, which bounds memory under a flood of unknown flows.
const MAX_PENDING: usize = 4_096;

/// Status of the lookup of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LookupStatus {
    /// The live instances are being queried.
    Pending,
    /// No instance has answered: the target in the oldest epoch may be tried.
    TryFallback,
    /// There are too many lookups to start another.
    Full,
}

/// Progress of the lookup of a flow.
#[derive(Debug, Clone)]
struct PendingLookup {
    /// When the first packet of the unknown flow arrived.
    created: Duration,
    /// When the first query was sent; none before.
    first_query: Option<Duration>,
    next_query: Duration,
    backoff: Duration,
    /// Whether the flow waits for the next query.
    queued: bool,
    /// Whether the target that was tried does not know the flow.
    target_rejected: bool,
}

impl PendingLookup {
    fn new(created: Duration, next_query: Duration) -> Self {
        Self {
            created,
            first_query: None,
            next_query,
            backoff: INITIAL_BACKOFF,
            queued: false,
            target_rejected: false,
        }
    }
}

/// The lookups of unknown flows.
#[derive(Debug, Clone, Default)]
pub(super) struct Lookups {
    pending: HashMap<FlowId, PendingLookup>,
    /// Flows to include in the next queries.
    queue: Vec<FlowId>,
    /// Index of the first peer that the next query is sent to.
    next_peer: usize,
    next_batch: Duration,
    next_expiry: Duration,
}

impl Lookups {
    /// Starts or continues the lookup of a flow and returns its status.
    pub(super) fn search(&mut self, now: Duration, flow: FlowId) -> LookupStatus {
        if self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&flow) {
            return LookupStatus::Full;
        }
        let lookup = self.pending.entry(flow).or_insert(PendingLookup::new(now, now));
        let elapsed = lookup
            .first_query
            .map_or(Duration::ZERO, |first_query| now.saturating_sub(first_query));
        if elapsed >= FALLBACK_DELAY && !lookup.target_rejected {
            return LookupStatus::TryFallback;
        }
        if now >= lookup.next_query && !lookup.queued {
            lookup.queued = true;
            self.queue.push(flow);
        }
        LookupStatus::Pending
    }

    /// Returns whether a packet may be sent to the target that the placer has counted the flow
    /// on, which may never have accepted it. From now on a reset can reject that target.
    pub(super) fn may_try_target(&mut self, now: Duration, flow: FlowId) -> bool {
        if self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&flow) {
            return true;
        }
        !self
            .pending
            .entry(flow)
            .or_insert(PendingLookup::new(now, now + INITIAL_BACKOFF))
            .target_rejected
    }

    /// Records that a target does not know a flow. Returns whether that target was only
    /// tried, that is, whether there is a lookup of the flow.
    pub(super) fn reject_target(&mut self, flow: FlowId) -> bool {
        let Some(lookup) = self.pending.get_mut(&flow) else { return false };
        lookup.target_rejected = true;
        true
    }

    /// Ends the lookup of a flow that is known now.
    pub(super) fn resolve(&mut self, flow: FlowId) {
        self.pending.remove(&flow);
    }

    /// Queries peers for the queued flows, as far as the budget allows. Successive queries go to
    /// successive peers, so that all are asked even if the budget covers only a few.
    pub(super) fn send_queries(
        &mut self,
        now: Duration,
        peers: &[InstanceId],
        out: &mut Outbox<'_>,
    ) {
        if now >= self.next_expiry {
            self.next_expiry = now + LOOKUP_TTL;
            self.pending.retain(|_, lookup| now < lookup.created + LOOKUP_TTL);
        }
        if now < self.next_batch || self.queue.is_empty() || peers.is_empty() {
            return;
        }
        self.next_batch = now + BATCH_INTERVAL;
        let pending = &self.pending;
        self.queue.retain(|flow| pending.contains_key(flow));
        let count = self.queue.len().min(MAX_BATCH_FLOWS);
        let affordable = out.available(Class::Epochs) / (QUERY_HEADER_LEN + count * FLOW_LEN);
        let reach = affordable.min(peers.len()).min(MAX_QUERY_PEERS);
        if reach < peers.len().min(MIN_QUERY_PEERS) || count == 0 {
            return;
        }
        let flows: Vec<_> = self.queue.drain(..count).collect();
        for flow in &flows {
            self.record_query(now, *flow);
        }
        let query = Body::Flows(Message::Lookup(flows));
        for &peer in peers.iter().cycle().skip(self.next_peer % peers.len()).take(reach) {
            out.send(peer, Class::Epochs, &query);
        }
        self.next_peer = (self.next_peer + reach) % peers.len();
    }

    fn record_query(&mut self, now: Duration, flow: FlowId) {
        if let Some(lookup) = self.pending.get_mut(&flow) {
            lookup.queued = false;
            lookup.first_query = lookup.first_query.or(Some(now));
            lookup.next_query = now + lookup.backoff;
            lookup.backoff = (lookup.backoff * 2).min(MAX_BACKOFF);
        }
    }
}
