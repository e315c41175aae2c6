//! How targets and routes spread among instances.
//!
//! What is new is pushed to a few peers of the failure domain, and each of them pushes it on.
//! Digests find what was lost, and bring an instance or a domain up to date that cannot reach
//! the platform.

use std::time::Duration;

use metrics::counter;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::message::{Changes, Digest, Message, Piece};
use super::{RawRoutes, Steer, Target, TargetRecord, TargetStart};
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::peer::Body;
use crate::platform::Revision;

/// Peers of the own failure domain to which news are pushed.
const FANOUT: usize = 2;
/// Least time between two pushes: when many targets change, their changes go together.
const PUSH_EVERY: Duration = Duration::from_millis(200);
/// Peers of the own failure domain that are told of a target that may be dead.
const DOUBT_FANOUT: usize = 3;
/// Time within which the same doubt is not told again.
const TELL_DOUBT_EVERY: Duration = Duration::from_secs(3);
/// Mean time between two digests.
const DIGEST_EVERY: Duration = Duration::from_millis(800);
/// Time between two digests of an instance that knows nothing yet.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// Bytes of records or routes in one message: with its header it fits a datagram of 1,200.
const MESSAGE_BYTES: usize = 1_000;
/// Time between two requests for targets that are gone.
const GONE_EVERY: Duration = Duration::from_millis(300);
/// Requests for targets that are gone: then there may be nobody to ask.
const GONE_TRIES: u32 = 10;
/// Targets that are gone in one message, some 60 bytes each.
const GONE_AT_ONCE: usize = 12;
/// Time after which a piece of routes is asked for again.
const PIECE_TIMEOUT: Duration = Duration::from_millis(300);

/// The live peers.
#[derive(Debug, Default)]
pub struct Peers {
    /// Those of the own failure domain.
    pub home: Vec<InstanceId>,
    /// All others.
    pub away: Vec<InstanceId>,
}

/// Routes that are being fetched from peers.
#[derive(Debug)]
struct Fetch {
    version: Version,
    pieces: u32,
    bytes: Vec<u8>,
    /// Number of the next piece.
    next: u32,
    from: InstanceId,
    asked: Duration,
}

/// The targets that were gone when this instance started, as far as it still asks for them.
#[derive(Debug)]
struct Gone {
    skip: u32,
    tries_left: u32,
    next: Duration,
}

/// Spreads what an instance knows.
#[derive(Debug)]
pub struct Sharing {
    peers: Peers,
    next_digest: Duration,
    next_push: Duration,
    /// Revision after which changes are still to be pushed.
    unpushed: Option<Revision>,
    fetch: Option<Fetch>,
    gone: Option<Gone>,
    /// The highest version of the routes that a peer has told of, and the peer.
    heard: Option<(Version, InstanceId)>,
    /// When others last told, or were told, that a target may be dead.
    doubted: HashMap<TargetStart, Duration>,
    /// The routes in force in their encoded form.
    encoded: (Version, Vec<u8>),
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
            fetch: None,
            gone: Some(Gone { skip: 0, tries_left: GONE_TRIES, next: Duration::ZERO }),
            heard: None,
            doubted: HashMap::default(),
            encoded: (0, Vec::new()),
            rng,
        }
    }

    /// Takes the live peers.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Tells whether a peer has told of newer routes.
    pub fn routes_behind(&self, steer: &Steer) -> bool {
        self.heard.is_some_and(|(version, _)| version > steer.routes.version())
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
        let doubted = &mut self.doubted;
        doubted.retain(|_, told| now < *told + TELL_DOUBT_EVERY);
        let news = targets.iter().filter(|&&target| doubted.insert(target, now).is_none());
        let news: Vec<_> = news.copied().collect();
        if news.is_empty() {
            return;
        }
        for &to in self.peers.home.choose_multiple(&mut self.rng, DOUBT_FANOUT) {
            send(to, Message::Doubt(news.clone()), out);
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
            self.fetch_routes(now, steer, out);
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
                send(from, gone(steer, skip), out);
                false
            }
            Message::Gone { skip, targets, more } => {
                self.take_gone(now, skip, targets, more, steer);
                false
            }
            Message::Doubt(targets) => {
                for &target in &targets {
                    steer.doubt(now, target);
                }
                self.tell_doubts(now, &targets, out);
                false
            }
            Message::PullRoutes { version, piece } => {
                self.send_piece(from, version, piece, steer, out);
                false
            }
            Message::Routes(piece) => self.take_piece(now, from, piece, steer, out),
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
        if theirs.routes > ours.routes
            && self.heard.is_none_or(|(version, _)| theirs.routes >= version)
        {
            self.heard = Some((theirs.routes, from));
        }
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

    /// Asks for targets that were gone when this instance started: their flows may still come
    /// here, and their callers have to be told.
    fn ask_gone(&mut self, now: Duration, steer: &Steer, out: &mut Outbox<'_>) {
        let Some(wanted) = self.gone.as_mut().filter(|wanted| now >= wanted.next) else { return };
        let peers = if self.peers.home.is_empty() { &self.peers.away } else { &self.peers.home };
        let Some(&to) = peers.choose(&mut self.rng) else { return };
        if !steer.ready() {
            return;
        }
        wanted.next = now + GONE_EVERY;
        wanted.tries_left -= 1;
        send(to, Message::PullGone { skip: wanted.skip }, out);
        if wanted.tries_left == 0 {
            self.gone = None;
        }
    }

    fn take_gone(
        &mut self,
        now: Duration,
        skip: u32,
        targets: Vec<Target>,
        more: bool,
        steer: &mut Steer,
    ) {
        let Some(wanted) = self.gone.as_mut().filter(|wanted| wanted.skip == skip) else { return };
        wanted.skip += targets.len() as u32;
        wanted.next = now;
        if !targets.is_empty() {
            log::info!(targets = targets.len(); "gone_targets_learnt");
        }
        for target in targets {
            steer.directory.remember_gone(now, target);
        }
        if !more {
            self.gone = None;
        }
    }

    /// Asks for the next piece of newer routes, if one is due.
    fn fetch_routes(&mut self, now: Duration, steer: &Steer, out: &mut Outbox<'_>) {
        let Some((version, from)) = self.heard.filter(|_| self.routes_behind(steer)) else {
            self.fetch = None;
            return;
        };
        let stale = |fetch: &Fetch| fetch.version != 0 && fetch.version < version;
        if self.fetch.as_ref().is_none_or(stale) {
            let asked = now.saturating_sub(PIECE_TIMEOUT);
            self.fetch =
                Some(Fetch { version: 0, pieces: 1, bytes: Vec::new(), next: 0, from, asked });
        }
        if let Some(fetch) = self.fetch.as_mut().filter(|f| now >= f.asked + PIECE_TIMEOUT) {
            fetch.asked = now;
            let pull = Message::PullRoutes { version: fetch.version, piece: fetch.next };
            send(fetch.from, pull, out);
        }
    }

    fn send_piece(
        &mut self,
        to: InstanceId,
        version: Version,
        piece: u32,
        steer: &Steer,
        out: &mut Outbox<'_>,
    ) {
        let Some(raw) = steer.routes.raw() else { return };
        if self.encoded.0 != raw.version {
            // Routes hold strings and numbers alone, which can always be written.
            self.encoded = (raw.version, postcard::to_stdvec(raw).unwrap_or_default());
        }
        // One that has begun an older version starts again with this one.
        let piece = if version == 0 || version == raw.version { piece } else { 0 };
        let chunks = self.encoded.1.chunks(MESSAGE_BYTES);
        let pieces = chunks.len() as u32;
        let Some(bytes) = self.encoded.1.chunks(MESSAGE_BYTES).nth(piece as usize) else { return };
        let message = Piece { version: raw.version, pieces, piece, bytes: bytes.to_vec() };
        send(to, Message::Routes(message), out);
    }

    fn take_piece(
        &mut self,
        now: Duration,
        from: InstanceId,
        piece: Piece,
        steer: &mut Steer,
        out: &mut Outbox<'_>,
    ) -> bool {
        let Some(fetch) = &mut self.fetch else { return false };
        let begins = piece.piece == 0 && fetch.version != piece.version;
        if begins {
            fetch.version = piece.version;
            fetch.pieces = piece.pieces;
            fetch.bytes.clear();
            fetch.next = 0;
            fetch.from = from;
        }
        if piece.version != fetch.version || piece.piece != fetch.next {
            return false;
        }
        fetch.bytes.extend_from_slice(&piece.bytes);
        fetch.next += 1;
        fetch.asked = now;
        if fetch.next < fetch.pieces {
            let pull = Message::PullRoutes { version: fetch.version, piece: fetch.next };
            send(fetch.from, pull, out);
            return false;
        }
        let bytes = std::mem::take(&mut fetch.bytes);
        self.fetch = None;
        adopt(&bytes, from, steer)
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

/// Returns the targets that are gone, without the first ones.
fn gone(steer: &Steer, skip: u32) -> Message {
    let mut rest = steer.directory.gone().skip(skip as usize);
    let targets: Vec<_> = rest.by_ref().take(GONE_AT_ONCE).cloned().collect();
    Message::Gone { skip, targets, more: rest.next().is_some() }
}

/// Returns the changes after a revision, as many as fit a message.
fn changes(now: Duration, steer: &Steer, since: Revision) -> Changes {
    let newest = steer.directory.complete_to();
    let mut records = steer.directory.since(since);
    let fits = fitting(&records);
    let upto = if fits < records.len() { records[fits - 1].revision } else { newest };
    records.truncate(fits);
    let lapse_ms = steer.directory.lapse_grace(now).as_millis() as u32;
    Changes { since, upto, newest, lapse_ms, records }
}

/// Returns how many of the first records go into a message; records of one revision stay
/// together.
fn fitting(records: &[TargetRecord]) -> usize {
    let mut bytes = 0;
    let mut fits = 0;
    for (i, record) in records.iter().enumerate() {
        bytes += postcard::experimental::serialized_size(record).unwrap_or(MESSAGE_BYTES);
        let ends = records.get(i + 1).is_none_or(|next| next.revision != record.revision);
        if fits > 0 && bytes > MESSAGE_BYTES {
            break;
        }
        if ends {
            fits = i + 1;
        }
    }
    fits
}

fn take_changes(
    now: Duration,
    from: InstanceId,
    changes: Changes,
    steer: &mut Steer,
    out: &mut Outbox<'_>,
) -> bool {
    let known = steer.directory.complete_to();
    steer.directory.extend_lapse(now, Duration::from_millis(u64::from(changes.lapse_ms)));
    let mut news = 0;
    for record in changes.records {
        news += usize::from(steer.directory.merge(now, record));
    }
    if changes.since <= known {
        steer.directory.complete(changes.upto);
    }
    let known = steer.directory.complete_to();
    if changes.newest > known {
        send(from, Message::PullTargets { since: known }, out);
    }
    if news > 0 {
        counter!("limpetdeck_target_changes_total", "source" => "peer").increment(news as u64);
        log::info!(source = "peer", from = from, changes = news, revision = known; "targets_changed");
    }
    news > 0
}

fn adopt(bytes: &[u8], from: InstanceId, steer: &mut Steer) -> bool {
    let raw: RawRoutes = match postcard::from_bytes(bytes) {
        Ok(raw) => raw,
        Err(e) => {
            // The peer may be of another release.
            log::warn!(from = from, problem = e.to_string().as_str(); "routes_unusable");
            return false;
        }
    };
    let version = raw.version;
    match steer.routes.adopt(raw) {
        Ok(news) => {
            if news {
                log::info!(version = version, source = "peer", from = from; "routes_adopted");
            }
            news
        }
        Err(findings) => {
            log::warn!(version = version, from = from, findings = findings.to_string().as_str(); "routes_refused");
            false
        }
    }
}

fn send(to: InstanceId, message: Message, out: &mut Outbox<'_>) {
    let class = match &message {
        // Small, and late news of a target that leaves break flows: never held back.
        Message::Digest { .. }
        | Message::PullTargets { .. }
        | Message::Targets(_)
        | Message::Doubt(_) => Class::Liveness,
        Message::PullGone { .. }
        | Message::Gone { .. }
        | Message::PullRoutes { .. }
        | Message::Routes(_) => Class::Lists,
    };
    out.send(to, class, &Body::Steering(message));
}
