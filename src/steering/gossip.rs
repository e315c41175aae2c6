//! How targets and routes spread among instances.
//!
//! What is new is pushed to a few peers of the failure domain, and each of them pushes it on.
//! Digests find what was lost, and bring an instance or a domain up to date that cannot reach
//! the platform.

mod changes;
mod dedup;
mod removed;
mod route_transfer;

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use self::changes::{changes, take_changes};
use self::dedup::Told;
use self::removed::GoneTargets;
use self::route_transfer::RouteExchange;
use super::message::{Digest, Message};
use super::{Steer, TargetStart};
use crate::budget::Class;
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;
use crate::platform::Revision;

/// Peers of the own failure domain to which news are pushed.
const FANOUT: usize = 2;
/// Least time between two pushes: when many targets change, their changes go together.
const PUSH_EVERY: Duration = Duration::from_millis(200);
/// Peers of the own failure domain that are told of a target that does not answer.
const TELL_FANOUT: usize = 3;
/// Mean time between two digests.
const DIGEST_EVERY: Duration = Duration::from_millis(800);
/// Time between two digests of an instance that knows nothing yet.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// The live peers.
#[derive(Debug, Default)]
pub struct Peers {
    /// Those of the own failure domain.
    pub home: Vec<InstanceId>,
    /// All others.
    pub away: Vec<InstanceId>,
}

/// Spreads what an instance knows.
#[derive(Debug)]
pub struct Sharing {
    peers: Peers,
    next_digest: Duration,
    next_push: Duration,
    /// Revision after which changes are still to be pushed.
    unpushed: Option<Revision>,
    exchange: RouteExchange,
    gone: GoneTargets,
    /// Targets that may be dead.
    doubted: Told,
    /// Targets that keep callers waiting.
    overdue: Told,
    rng: SmallRng,
}

impl Sharing {
    /// Makes one that knows no peers.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            peers: Peers::default(),
            next_digest: Duration::ZERO,
            next_push: Duration::ZERO,
            unpushed: None,
            exchange: RouteExchange::default(),
            gone: GoneTargets::new(),
            doubted: Told::default(),
            overdue: Told::default(),
            rng,
        }
    }

    /// Takes the live peers.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Tells whether a peer has told of newer routes.
    pub fn routes_behind(&self, steer: &Steer) -> bool {
        self.exchange.behind(steer)
    }

    /// Notes that targets have changed after a revision, or that there are newer routes, and
    /// pushes that if it is time.
    pub fn note_news(
        &mut self,
        now: Duration,
        steer: &Steer,
        since: Revision,
        out: &mut Outbox<'_>,
    ) {
        self.unpushed = Some(self.unpushed.map_or(since, |before| before.min(since)));
        self.push(now, steer, out);
    }

    /// Tells peers that targets may be dead, unless that was told lately.
    pub fn tell_doubts(&mut self, now: Duration, targets: &[TargetStart], out: &mut Outbox<'_>) {
        let news = self.doubted.news(now, targets);
        self.tell(Message::Doubt, news, out);
    }

    /// Tells peers that targets keep callers waiting, unless that was told lately.
    pub fn tell_overdue(&mut self, now: Duration, targets: &[TargetStart], out: &mut Outbox<'_>) {
        let news = self.overdue.news(now, targets);
        self.tell(Message::Overdue, news, out);
    }

    fn tell(
        &mut self,
        message: fn(Vec<TargetStart>) -> Message,
        news: Vec<TargetStart>,
        out: &mut Outbox<'_>,
    ) {
        if news.is_empty() {
            return;
        }
        for &to in self.peers.home.choose_multiple(&mut self.rng, TELL_FANOUT) {
            send(to, message(news.clone()), out);
        }
    }

    fn push(&mut self, now: Duration, steer: &Steer, out: &mut Outbox<'_>) {
        if now < self.next_push {
            return;
        }
        let Some(since) = self.unpushed.take() else { return };
        self.next_push = now + PUSH_EVERY;
        let changes = changes(now, steer, since);
        let digest = Message::Digest { known: digest(steer), asks: false };
        let message = if changes.records.is_empty() { digest } else { Message::Targets(changes) };
        let some = self.peers.home.choose_multiple(&mut self.rng, FANOUT);
        for &to in some {
            send(to, message.clone(), out);
        }
    }

    /// Advances time; due about ten times a second. `platform_fails` tells whether the routes
    /// cannot be had from the platform.
    pub fn tick(
        &mut self,
        now: Duration,
        steer: &Steer,
        platform_fails: bool,
        out: &mut Outbox<'_>,
    ) {
        if now >= self.next_digest {
            let every = if steer.ready() { DIGEST_EVERY } else { ASK_EVERY };
            self.next_digest = now + every.mul_f64(self.rng.random_range(0.5..1.5));
            let known = digest(steer);
            for to in self.digest_peers() {
                send(to, Message::Digest { known, asks: !steer.ready() }, out);
            }
        }
        self.push(now, steer, out);
        self.ask_gone(now, steer, out);
        if platform_fails {
            self.exchange.fetch(now, steer, out);
        }
    }

    /// Takes a message of a peer. Answers true if it brought news.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        steer: &mut Steer,
        out: &mut Outbox<'_>,
    ) -> bool {
        match message {
            Message::Digest { known, asks } => {
                self.compare(from, known, asks, steer, out);
                false
            }
            Message::PullTargets { since } => {
                send(from, Message::Targets(changes(now, steer, since)), out);
                false
            }
            Message::Targets(changes) => take_changes(now, from, changes, steer, out),
            Message::PullGone { skip } => {
                send(from, removed::answer(steer, skip), out);
                false
            }
            Message::Gone { skip, targets, more } => {
                self.gone.take(now, skip, targets, more, steer);
                false
            }
            Message::Doubt(targets) => {
                for &target in &targets {
                    steer.doubt(now, target);
                }
                self.tell_doubts(now, &targets, out);
                false
            }
            Message::Overdue(targets) => {
                let news = self.overdue.news(now, &targets);
                for &target in &news {
                    steer.note_overdue(now, target);
                }
                self.tell(Message::Overdue, news, out);
                false
            }
            Message::PullRoutes { version, piece } => {
                self.exchange.answer(from, version, piece, steer, out);
                false
            }
            Message::Routes(piece) => self.exchange.take(now, from, piece, steer, out),
        }
    }

    fn compare(
        &mut self,
        from: InstanceId,
        theirs: Digest,
        asks: bool,
        steer: &Steer,
        out: &mut Outbox<'_>,
    ) {
        let ours = digest(steer);
        self.exchange.hear(from, theirs.routes, steer);
        if theirs.targets > ours.targets {
            send(from, Message::PullTargets { since: ours.targets }, out);
        }
        if asks || theirs.targets < ours.targets || theirs.routes < ours.routes {
            // One that knows less is told; what it asks in return it asks once.
            if asks || theirs != ours {
                send(from, Message::Digest { known: ours, asks: false }, out);
            }
        }
    }

    /// Asks a peer for targets that were gone when this instance started.
    fn ask_gone(&mut self, now: Duration, steer: &Steer, out: &mut Outbox<'_>) {
        let peers = if self.peers.home.is_empty() { &self.peers.away } else { &self.peers.home };
        let Some(&to) = peers.choose(&mut self.rng) else { return };
        if steer.ready()
            && let Some(request) = self.gone.ask(now)
        {
            send(to, request, out);
        }
    }

    fn digest_peers(&mut self) -> Vec<InstanceId> {
        let home = self.peers.home.choose(&mut self.rng).copied();
        let away = self.peers.away.choose(&mut self.rng).copied();
        home.into_iter().chain(away).collect()
    }
}

fn digest(steer: &Steer) -> Digest {
    Digest { routes: steer.routes.version(), targets: steer.directory.complete_to() }
}

fn send(to: InstanceId, message: Message, out: &mut Outbox<'_>) {
    let class = match &message {
        // Small, and late news of a target that leaves break flows: never held back.
        Message::Digest { .. }
        | Message::PullTargets { .. }
        | Message::Targets(_)
        | Message::Doubt(_) => Class::Liveness,
        // A hint that is lost costs a few flows.
        Message::Overdue(_) => Class::Lists,
        Message::PullGone { .. }
        | Message::Gone { .. }
        | Message::PullRoutes { .. }
        | Message::Routes(_) => Class::Lists,
    };
    out.send(to, class, &Body::Steering(message));
}
