//! The operators' objects: adopted in rising versions, and spread among instances.
//!
//! Any instance may learn a version from the platform or from another instance. What an
//! instance holds is only ever replaced by a higher version that was checked whole, so that
//! no answer that comes late and no instance that wakes up late can bring back an old one.

mod content;
mod difference;
mod edit;
mod fetch;
mod held;
mod in_force;
mod joining;
mod message;
pub mod rules;
mod serve;
mod stamp;
mod update;

pub use content::{Checked, Content, Entries, Entry, ListKind};
pub use difference::difference;
pub use edit::{ListChange, ListEdit, check_all};
pub use message::{Message, Piece, Pull, Versions};
pub use rules::{Allowance, Rules};
pub use stamp::{Operation, OperationId, Stamp, Successor};
pub use update::{Edit, Outcome, Step, Update};

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::budget::Class;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::peer::Body;
use crate::platform::Object;
use crate::services::Services;
use crate::settings::Findings;

use fetch::Fetch;
use held::Payload;
use in_force::InForce;
use joining::Joining;
use serve::Serve;

/// Time between two digests, on average.
const DIGEST_EVERY: Duration = Duration::from_secs(1);
/// Instances that are told the versions each time.
const DIGEST_FANOUT: usize = 2;
/// Time between two digests while a change is new.
const NEWS_EVERY: Duration = Duration::from_millis(200);
/// Instances that are told of a new change each time.
const NEWS_FANOUT: usize = 3;
/// Digests after which a change is no longer new.
const NEWS_ROUNDS: u32 = 3;
/// Time for which nothing is fetched after a whole list that could not be used.
const HOLD_OFF: Duration = Duration::from_secs(30);

/// The operators' objects as this instance has them.
#[derive(Debug)]
pub struct Lists {
    me: InstanceId,
    in_force: InForce,
    /// The highest versions that the platform gave and that were refused.
    refused: Versions,
    joining: Joining,
    fetches: [Option<Fetch>; 3],
    /// Times before which a list is not fetched.
    held_off: [Duration; 3],
    serve: Serve,
    live: Vec<InstanceId>,
    news_left: u32,
    next_digest: Duration,
    rng: SmallRng,
}

impl Lists {
    /// Makes lists of which nothing is known yet.
    pub fn new(me: InstanceId, rng: SmallRng) -> Self {
        Self {
            me,
            in_force: InForce::default(),
            refused: Versions::default(),
            joining: Joining::Alone,
            fetches: [const { None }; 3],
            held_off: [Duration::ZERO; 3],
            serve: Serve::default(),
            live: Vec::new(),
            news_left: 0,
            next_digest: Duration::ZERO,
            rng,
        }
    }

    /// Takes an object that the platform gave; one that is no list is passed over.
    pub fn on_object(&mut self, _now: Duration, object: &Object, _out: &mut Outbox<'_>) {
        let Some(kind) = ListKind::of_object(&object.name) else { return };
        if object.version > self.in_force.held(kind).version() {
            match read(kind, object) {
                Ok((content, checked)) => {
                    self.in_force.held_mut(kind).replace(object.version, content.entries());
                    self.adopted(kind, checked, "platform");
                }
                Err(findings) => self.refuse(kind, object.version, &findings),
            }
        }
        if kind == ListKind::Services {
            self.joining.on_platform();
        }
    }

    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Digest { versions, asks } => self.digest(now, from, &versions, asks, out),
            Message::Pull(pull) => {
                self.serve.owe(from, pull);
                self.pay(now, out);
            }
            Message::Piece(piece) => self.piece(now, from, piece, out),
        }
    }

    /// Advances time; due about ten times a second. `live` are the live instances.
    pub fn tick(&mut self, now: Duration, live: &[InstanceId], out: &mut Outbox<'_>) {
        self.live = live.iter().copied().filter(|&id| id != self.me).collect();
        self.join(now, self.live.is_empty());
        if now >= self.next_digest {
            self.send_digests(now, out);
        }
        for kind in ListKind::ALL {
            self.ask(now, kind, None, out);
        }
        self.pay(now, out);
    }

    /// Returns the services in force with their version if they have changed since the
    /// last call.
    pub fn take_services(&mut self) -> Option<(Version, Arc<Services>)> {
        if self.ready() { self.in_force.take_services() } else { None }
    }

    /// Returns the rules of admission if they have changed since the last call. There are
    /// none, and everything is admitted, until the operators have written plans.
    pub fn take_rules(&mut self) -> Option<Arc<Rules>> {
        if self.ready() { self.in_force.take_rules() } else { None }
    }

    /// Tells whether enough is known to serve.
    pub fn ready(&self) -> bool {
        self.joining == Joining::Done && self.versions().services > 0
    }

    /// Returns the versions in force.
    pub fn versions(&self) -> Versions {
        self.in_force.versions()
    }

    /// Returns the highest versions that the platform gave and that were refused; 0 where
    /// none was.
    pub fn refused(&self) -> Versions {
        self.refused
    }

    /// Returns what a list says as it is in force.
    pub fn content(&self, kind: ListKind) -> Content {
        self.in_force.held(kind).content(kind)
    }

    /// Puts a list in force and lets others know.
    fn adopted(&mut self, kind: ListKind, checked: Checked, source: &str) {
        let version = self.in_force.held(kind).version();
        self.fetches[kind as usize] = None;
        log::info!(object = kind.object(), version = version, source = source; "list_adopted");
        counter!("limpetdeck_lists_adopted_total", "source" => source.to_owned()).increment(1);
        self.in_force.put(checked);
        self.news_left = NEWS_ROUNDS;
        self.next_digest = Duration::ZERO;
    }

    /// Notes a version that cannot be put in force; the last good one stays. A later one is
    /// read afresh, and nothing of this one is spread.
    fn refuse(&mut self, kind: ListKind, version: Version, findings: &Findings) {
        if version <= self.refused.of(kind) {
            return;
        }
        self.refused.set(kind, version);
        counter!("limpetdeck_objects_refused_total").increment(1);
        log::warn!(
            object = kind.object(),
            version = version,
            findings = findings.to_string().as_str();
            "object_refused"
        );
    }

    fn digest(
        &mut self,
        now: Duration,
        from: InstanceId,
        versions: &Versions,
        asks: bool,
        out: &mut Outbox<'_>,
    ) {
        self.joining.on_peer(now, versions);
        self.join(now, false);
        for kind in ListKind::ALL {
            let behind = versions.of(kind) > self.in_force.held(kind).version();
            if behind && now >= self.held_off[kind as usize] {
                self.ask(now, kind, Some(from), out);
            }
        }
        if asks || !versions.covers(&self.versions()) {
            self.send_digest(from, false, out);
        }
    }

    /// Asks for what a list lacks if that has become known; `from` is an instance that has
    /// it.
    fn ask(
        &mut self,
        now: Duration,
        kind: ListKind,
        from: Option<InstanceId>,
        out: &mut Outbox<'_>,
    ) {
        let have = self.in_force.held(kind).version();
        let slot = &mut self.fetches[kind as usize];
        if slot.as_ref().is_some_and(|fetch| fetch.is_empty() && fetch.stalled(now)) {
            *slot = None;
        }
        if let Some(from) = from {
            let fetch = slot.get_or_insert_with(|| Fetch::new(now, kind, have));
            fetch.add_provider(from);
        }
        let Some(fetch) = slot else { return };
        let providers = fetch.providers(&self.live);
        for pull in fetch.due(now) {
            if let Some(&to) = providers.choose(&mut self.rng) {
                out.send(to, Class::Lists, &Body::Lists(Message::Pull(pull)));
            }
        }
    }

    fn piece(&mut self, now: Duration, from: InstanceId, piece: Piece, out: &mut Outbox<'_>) {
        let kind = piece.kind;
        let Some(fetch) = &mut self.fetches[kind as usize] else { return };
        let payload = fetch.take(now, piece);
        if payload.is_none() && !fetch.is_complete() {
            return self.ask(now, kind, None, out);
        }
        let was_whole = fetch.is_whole();
        self.fetches[kind as usize] = None;
        if payload.is_some_and(|payload| self.adopt_payload(kind, payload)) {
            self.join(now, false);
        } else if was_whole {
            // The other instance may be of another release, or this version is refused here.
            counter!("limpetdeck_lists_unusable_total").increment(1);
            log::warn!(object = kind.object(), from = from; "list_unusable");
            self.held_off[kind as usize] = now + HOLD_OFF;
        } else {
            // A delta that does not fit, or pieces that make no payload: take the whole.
            self.fetches[kind as usize] = Some(Fetch::new(now, kind, 0));
            self.ask(now, kind, Some(from), out);
        }
    }

    /// Answers false if the payload cannot be used.
    fn adopt_payload(&mut self, kind: ListKind, payload: Payload) -> bool {
        if payload.version <= self.in_force.held(kind).version() {
            return true;
        }
        let Some(entries) = self.in_force.held(kind).applied(&payload) else { return false };
        match Content::of_entries(kind, &entries).check() {
            Ok(checked) => {
                self.in_force.held_mut(kind).take(payload, entries);
                self.adopted(kind, checked, "peer");
                true
            }
            Err(findings) => {
                self.refuse(kind, payload.version, &findings);
                false
            }
        }
    }

    fn join(&mut self, now: Duration, alone: bool) {
        let known = self.versions();
        self.joining.advance(now, &known, alone);
    }

    fn send_digests(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let news = self.news_left > 0;
        let (fanout, every) =
            if news { (NEWS_FANOUT, NEWS_EVERY) } else { (DIGEST_FANOUT, DIGEST_EVERY) };
        self.news_left = self.news_left.saturating_sub(1);
        self.next_digest = now + every.mul_f64(self.rng.random_range(0.5..1.5));
        let to: Vec<_> = self.live.choose_multiple(&mut self.rng, fanout).copied().collect();
        let asks = self.joining != Joining::Done;
        for id in to {
            self.send_digest(id, asks, out);
        }
    }

    fn send_digest(&self, to: InstanceId, asks: bool, out: &mut Outbox<'_>) {
        let message = Message::Digest { versions: self.versions(), asks };
        out.send(to, Class::Lists, &Body::Lists(message));
    }

    fn pay(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let lists = ListKind::ALL.map(|kind| self.in_force.held(kind));
        self.serve.pay(now, lists, out);
    }
}

fn read(kind: ListKind, object: &Object) -> Result<(Content, Checked), Findings> {
    let (value, _) = Stamp::split(object.value.clone())?;
    let content = Content::from_json(kind, value)?;
    let checked = content.check()?;
    Ok((content, checked))
}
