//! Gossip of targets and routes among instances.
//!
//! Changes are pushed to a few peers of the failure domain, and each of them pushes them on: to the
//! next instance in the order of their IDs, and to some at random.
//! Periodic digests detect lost pushes, and bring instances or failure domains up to date that
//! cannot reach the platform. Reports of the last contact with the platform show whether there is
//! anybody left who learns of changes.

mod changes;
mod dedup;
mod domain_drains;
mod listing;
mod platform_contact;
mod reach;
mod removed;
mod route_changes;
mod route_transfer;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use self::changes::{apply_changes, changes_since};
use self::dedup::Dedup;
use self::listing::{ListingTransfer, listing_after};
use self::platform_contact::ContactReports;
use self::removed::RemovedTargets;
use self::route_changes::{RouteChanges, describe_change};
use self::route_transfer::RouteTransfer;
use super::message::{Digest, Message};
use super::{Forwarder, TargetIncarnation};
use crate::budget::Class;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::peer::Body;
use crate::platform::Position;

/// Number of local peers, besides the next one, to which a change of targets is pushed.
const PUSH_FANOUT: usize = 1;
/// Minimum time between two pushes, so that many changes are sent in one message.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Number of local peers, besides the next one, to which a suspected or overdue target is announced.
const ANNOUNCE_FANOUT: usize = 2;
/// Mean time between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(800);
/// Mean time between two digests of an instance that has no routes or targets yet.
const STARTUP_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// The live peers.
#[derive(Debug, Default)]
pub struct Peers {
    /// Peers in the failure domain of this instance.
    pub local: Vec<InstanceId>,
    /// Peers in other failure domains.
    pub remote: Vec<InstanceId>,
    /// The local peer that follows this instance in the order of IDs, which wraps around.
    next: Option<InstanceId>,
}

impl Peers {
    /// Creates the peers of the instance `me`.
    pub fn new(me: InstanceId, local: Vec<InstanceId>, remote: Vec<InstanceId>) -> Self {
        let following = local.iter().copied().filter(|&id| id > me).min();
        let next = following.or_else(|| local.iter().copied().min());
        Self { local, remote, next }
    }

    /// Sends a message that each receiver passes on to the next local peer, and to others at random.
    /// The random ones make the spread fast, the next ones make sure that none is left out.
    fn spread(&self, message: &Message, random: usize, rng: &mut SmallRng, out: &mut Outbox<'_>) {
        let random = self.local.choose_multiple(rng, random).copied();
        let random: Vec<_> = random.filter(|&to| Some(to) != self.next).collect();
        for to in self.next.into_iter().chain(random) {
            send(to, message.clone(), out);
        }
    }
}

/// Gossip state of an instance.
#[derive(Debug)]
pub struct Gossip {
    peers: Peers,
    next_digest: Duration,
    next_push: Duration,
    /// Position after which changes are still to be pushed.
    unpushed: Option<Position>,
    route_changes: RouteChanges,
    route_transfer: RouteTransfer,
    removed_targets: RemovedTargets,
    listing: ListingTransfer,
    /// Announcements of targets that may have stopped.
    suspects: Dedup,
    /// Announcements of targets with overdue responses.
    overdue: Dedup,
    contact_reports: ContactReports,
    rng: SmallRng,
}

impl Gossip {
    /// Creates the state of an instance that knows no peers.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            peers: Peers::default(),
            next_digest: Duration::ZERO,
            next_push: Duration::ZERO,
            unpushed: None,
            route_changes: RouteChanges::default(),
            route_transfer: RouteTransfer::default(),
            removed_targets: RemovedTargets::new(),
            listing: ListingTransfer::default(),
            suspects: Dedup::default(),
            overdue: Dedup::default(),
            // Numbers of its own: the other messages do not depend on when the platform answers.
            contact_reports: ContactReports::new(SmallRng::from_rng(&mut rng.clone())),
            rng,
        }
    }

    /// Replaces the live peers.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Returns the live peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns whether newer routes are to be read from the platform: a peer has announced them, and
    /// peers do not send them.
    pub fn reads_routes(&self, now: Duration, forwarder: &Forwarder) -> bool {
        self.route_changes.reads_platform(now, forwarder)
    }

    /// Records that routes have been adopted in place of those of version `before`, and pushes what
    /// has changed if a push is due.
    pub fn note_routes(
        &mut self,
        now: Duration,
        forwarder: &Forwarder,
        before: Version,
        out: &mut Outbox<'_>,
    ) {
        self.route_changes.note_adopted(now, before, forwarder);
        self.push_routes(now, forwarder, out);
    }

    fn push_routes(&mut self, now: Duration, forwarder: &Forwarder, out: &mut Outbox<'_>) {
        self.route_changes.push(now, forwarder, &self.peers, &mut self.rng, out);
    }

    /// Records that targets have changed after a position, and pushes the changes if a push is due.
    pub fn note_changes(
        &mut self,
        now: Duration,
        forwarder: &Forwarder,
        since: Position,
        out: &mut Outbox<'_>,
    ) {
        self.unpushed = Some(self.unpushed.map_or(since, |before| before.min(since)));
        self.push(now, forwarder, out);
    }

    /// Announces to peers that targets may have stopped. Recent announcements are not repeated.
    pub fn announce_suspects(
        &mut self,
        now: Duration,
        targets: &[TargetIncarnation],
        out: &mut Outbox<'_>,
    ) {
        let new = self.suspects.filter_new(now, targets);
        self.announce(Message::Suspect, new, out);
    }

    /// Announces to peers that targets have overdue responses. Recent announcements are not
    /// repeated.
    pub fn announce_overdue(
        &mut self,
        now: Duration,
        targets: &[TargetIncarnation],
        out: &mut Outbox<'_>,
    ) {
        let new = self.overdue.filter_new(now, targets);
        self.announce(Message::Overdue, new, out);
    }

    fn announce(
        &mut self,
        message: fn(Vec<TargetIncarnation>) -> Message,
        targets: Vec<TargetIncarnation>,
        out: &mut Outbox<'_>,
    ) {
        if targets.is_empty() {
            return;
        }
        self.peers.spread(&message(targets), ANNOUNCE_FANOUT, &mut self.rng, out);
    }

    fn push(&mut self, now: Duration, forwarder: &Forwarder, out: &mut Outbox<'_>) {
        if now < self.next_push {
            return;
        }
        let Some(since) = self.unpushed.take() else { return };
        self.next_push = now + MIN_PUSH_INTERVAL;
        let changes = changes_since(now, forwarder, since);
        // A new era may begin without changed records.
        let digest = Message::Digest { known: digest(forwarder), wants_reply: false };
        // Receivers would take the changes for all since then.
        let is_complete = forwarder.targets.knows_removals_since(since);
        let message = if changes.records.is_empty() || !is_complete {
            digest
        } else {
            Message::Targets(changes)
        };
        self.peers.spread(&message, PUSH_FANOUT, &mut self.rng, out);
    }

    /// Sends what is due; called about ten times a second. `routes_failing` is set while
    /// reads of the routes from the platform fail.
    pub fn tick(
        &mut self,
        now: Duration,
        forwarder: &Forwarder,
        routes_failing: bool,
        out: &mut Outbox<'_>,
    ) {
        if now >= self.next_digest {
            let interval =
                if forwarder.ready() { DIGEST_INTERVAL } else { STARTUP_DIGEST_INTERVAL };
            self.next_digest = now + interval.mul_f64(self.rng.random_range(0.5..1.5));
            let known = digest(forwarder);
            for to in self.digest_peers() {
                send(to, Message::Digest { known, wants_reply: !forwarder.ready() }, out);
                domain_drains::remind(to, forwarder, out);
            }
        }
        self.push(now, forwarder, out);
        self.push_routes(now, forwarder, out);
        self.request_removed(now, forwarder, out);
        self.route_transfer.fetch(now, routes_failing, forwarder, out);
    }

    /// Handles a message from a peer. Returns whether it changed targets or routes.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) -> bool {
        match message {
            Message::Digest { known, wants_reply } => {
                self.on_digest(now, from, known, wants_reply, forwarder, out);
                false
            }
            Message::PullTargets { since } => {
                let reply = if since.is_known() && !forwarder.targets.knows_removals_since(since) {
                    listing_after(forwarder, 0)
                } else {
                    Message::Targets(changes_since(now, forwarder, since))
                };
                send(from, reply, out);
                false
            }
            Message::Listing(part) => self.listing.on_part(now, from, part, forwarder, out),
            Message::PullListing { after } => {
                send(from, listing_after(forwarder, after), out);
                false
            }
            Message::PullChanges { since } => {
                send(from, Message::Targets(changes_since(now, forwarder, since)), out);
                false
            }
            Message::Targets(changes) => apply_changes(now, from, changes, forwarder, out),
            Message::PullRemoved { skip } => {
                send(from, removed::reply(forwarder, skip), out);
                false
            }
            Message::Removed { skip, targets, more } => {
                self.removed_targets.on_reply(now, skip, targets, more, forwarder);
                false
            }
            Message::Suspect(targets) => {
                for &target in &targets {
                    forwarder.doubt_target(now, target);
                }
                self.announce_suspects(now, &targets, out);
                false
            }
            Message::Overdue(targets) => {
                let new = self.overdue.filter_new(now, &targets);
                for &target in &new {
                    forwarder.record_overdue(now, target);
                }
                self.announce(Message::Overdue, new, out);
                false
            }
            Message::PullRoutes { version, piece } => {
                self.route_transfer.send_piece(from, version, piece, forwarder, out);
                false
            }
            Message::Routes(piece) => {
                self.route_transfer.on_piece(now, from, piece, forwarder, out)
            }
            Message::PullRouteChange { since } => {
                if since < forwarder.routes.version() {
                    send(from, describe_change(since, forwarder), out);
                }
                false
            }
            Message::RouteChange(change) => {
                forwarder.routes.note_announced(change.version);
                self.route_transfer.note_version(from, change.version, forwarder);
                self.route_changes.on_change(now, from, &change, forwarder, out)
            }
            Message::NewRoutes { version } => {
                forwarder.routes.note_announced(version);
                self.route_transfer.note_version(from, version, forwarder);
                let (peers, rng) = (&self.peers, &mut self.rng);
                self.route_changes.on_announced(now, version, forwarder, peers, rng, out);
                false
            }
            Message::DomainDrains(snapshot) => {
                self.on_domain_drains(now, from, snapshot, forwarder, out);
                false
            }
            Message::DomainUnreachable(domain) => {
                self.on_unreachable(now, domain, forwarder, out);
                false
            }
            Message::PlatformAnswered => {
                self.on_platform_answer(now, forwarder, out);
                false
            }
            // The node handles it: reads of the platform depend on it, not targets or routes.
            Message::PlatformContact(_) => false,
        }
    }

    fn on_digest(
        &mut self,
        now: Duration,
        from: InstanceId,
        theirs: Digest,
        wants_reply: bool,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) {
        forwarder.targets.enter_era(now, theirs.targets);
        forwarder.routes.note_announced(theirs.routes);
        let ours = digest(forwarder);
        self.route_transfer.note_version(from, theirs.routes, forwarder);
        self.route_changes.note_version(now, from, theirs.routes, forwarder, out);
        if theirs.targets > ours.targets {
            send(from, Message::PullTargets { since: ours.targets }, out);
        }
        if wants_reply {
            domain_drains::reply(from, forwarder, out);
        }
        if wants_reply || theirs.targets < ours.targets || theirs.routes < ours.routes {
            // A peer that lacks something gets our digest and pulls what it lacks. The digest asks
            // for no reply, so that the exchange ends.
            if wants_reply || theirs != ours {
                send(from, Message::Digest { known: ours, wants_reply: false }, out);
            }
        }
    }

    /// Requests from a peer the targets that were removed before this instance started.
    fn request_removed(&mut self, now: Duration, forwarder: &Forwarder, out: &mut Outbox<'_>) {
        let peers =
            if self.peers.local.is_empty() { &self.peers.remote } else { &self.peers.local };
        let Some(&to) = peers.choose(&mut self.rng) else { return };
        if forwarder.ready()
            && let Some(request) = self.removed_targets.due(now)
        {
            send(to, request, out);
        }
    }

    fn digest_peers(&mut self) -> Vec<InstanceId> {
        let local = self.peers.local.choose(&mut self.rng).copied();
        let remote = self.peers.remote.choose(&mut self.rng).copied();
        local.into_iter().chain(remote).collect()
    }
}

fn digest(forwarder: &Forwarder) -> Digest {
    Digest { routes: forwarder.routes.version(), targets: forwarder.targets.complete_up_to() }
}

fn send(to: InstanceId, message: Message, out: &mut Outbox<'_>) {
    let class = match &message {
        // Small messages that are never deferred: a target that leaves must be known in time, or
        // flows break.
        Message::Digest { .. }
        | Message::PullTargets { .. }
        | Message::Targets(_)
        | Message::Suspect(_)
        | Message::PullChanges { .. }
        | Message::PullRouteChange { .. }
        | Message::RouteChange(_)
        | Message::NewRoutes { .. }
        | Message::DomainDrains(_)
        | Message::DomainUnreachable(_)
        | Message::PlatformAnswered
        | Message::PlatformContact(_) => Class::Liveness,
        // A lost announcement costs only a few flows.
        Message::Overdue(_) => Class::Lists,
        Message::PullRemoved { .. }
        | Message::Removed { .. }
        | Message::PullRoutes { .. }
        | Message::Listing(_)
        | Message::PullListing { .. }
        | Message::Routes(_) => Class::Lists,
    };
    out.send(to, class, &Body::Steering(message));
}
