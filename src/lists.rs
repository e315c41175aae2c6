//! The operators' lists (allowances, plans, services) and their replication among instances.
//!
//! An instance learns a version from the platform or from another instance. It replaces its
//! list only by a higher version that passed all checks, so neither a delayed reply nor an
//! instance that resumes after a pause can bring back an old version.

mod active;
mod bootstrap;
mod content;
mod diff;
mod edit;
mod fetch;
mod message;
mod operation_log;
mod piece_server;
pub mod rules;
mod update;
mod versioned_list;

pub use content::{CheckedList, Entries, Entry, ListKind, RawList};
pub use diff::diff_lines;
pub use edit::{ListChange, ListEdit, check_with_others};
pub use message::{ListVersions, Message, Piece, Pull};
pub use operation_log::{Operation, OperationId, OperationLog, Successor};
pub use rules::{AdmissionRules, Allowance};
pub use update::{Edit, Update, UpdateOutcome, UpdateStep};

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

use active::ActiveLists;
use bootstrap::Bootstrap;
use fetch::Fetch;
use piece_server::PieceServer;
use versioned_list::Payload;

/// Mean time between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Instances that receive each digest.
const DIGEST_FANOUT: usize = 2;
/// Mean time between two digests after a list has changed.
const FAST_DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Instances that receive each digest after a list has changed.
const FAST_DIGEST_FANOUT: usize = 3;
/// Rounds of digests at the higher rate after a list has changed.
const FAST_DIGEST_ROUNDS: u32 = 3;
/// Time without a new fetch of a list after a full payload of it could not be used.
const UNUSABLE_LIST_BACKOFF: Duration = Duration::from_secs(30);

/// Replicates the operators' lists on this instance.
#[derive(Debug)]
pub struct Lists {
    me: InstanceId,
    active: ActiveLists,
    /// The highest versions from the platform or a peer that failed the checks.
    refused_versions: ListVersions,
    bootstrap: Bootstrap,
    fetches: [Option<Fetch>; 3],
    /// Times before which no digest starts the fetch of a list.
    fetch_not_before: [Duration; 3],
    piece_server: PieceServer,
    live: Vec<InstanceId>,
    fast_rounds_left: u32,
    next_digest: Duration,
    rng: SmallRng,
}

impl Lists {
    /// Creates empty lists; they are not ready until they have versions.
    pub fn new(me: InstanceId, rng: SmallRng) -> Self {
        Self {
            me,
            active: ActiveLists::default(),
            refused_versions: ListVersions::default(),
            bootstrap: Bootstrap::NoSource,
            fetches: [const { None }; 3],
            fetch_not_before: [Duration::ZERO; 3],
            piece_server: PieceServer::default(),
            live: Vec::new(),
            fast_rounds_left: 0,
            next_digest: Duration::ZERO,
            rng,
        }
    }

    /// Handles an object from the platform; objects that are not lists are ignored.
    pub fn on_object(&mut self, _now: Duration, object: &Object, _out: &mut Outbox<'_>) {
        let Some(kind) = ListKind::from_object_name(&object.name) else { return };
        if object.version > self.active.list(kind).version() {
            match parse_object(kind, object) {
                Ok((content, checked)) => {
                    self.active.list_mut(kind).replace(object.version, content.entries());
                    self.activate(kind, checked, "platform");
                }
                Err(findings) => self.refuse(kind, object.version, &findings),
            }
        }
        if kind == ListKind::Services {
            self.bootstrap.on_platform();
        }
    }

    /// Handles a message from another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Digest { versions, wants_reply } => {
                self.on_digest(now, from, &versions, wants_reply, out);
            }
            Message::Pull(pull) => {
                self.piece_server.enqueue(from, pull);
                self.send_pieces(now, out);
            }
            Message::Piece(piece) => self.on_piece(now, from, piece, out),
        }
    }

    /// Sends what is due; to be called about ten times a second with the live instances.
    pub fn tick(&mut self, now: Duration, live: &[InstanceId], out: &mut Outbox<'_>) {
        self.live = live.iter().copied().filter(|&id| id != self.me).collect();
        self.advance_bootstrap(now, self.live.is_empty());
        if now >= self.next_digest {
            self.send_digests(now, out);
        }
        for kind in ListKind::ALL {
            self.send_pulls(now, kind, None, out);
        }
        self.send_pieces(now, out);
    }

    /// Returns the active services and their version if they have changed since the last
    /// call.
    pub fn take_services(&mut self) -> Option<(Version, Arc<Services>)> {
        if self.is_ready() { self.active.take_services() } else { None }
    }

    /// Returns the admission rules if they have changed since the last call. Until the
    /// operators have written plans there are none, and all flows are admitted.
    pub fn take_rules(&mut self) -> Option<Arc<AdmissionRules>> {
        if self.is_ready() { self.active.take_rules() } else { None }
    }

    /// Returns whether the bootstrap is complete and services are known.
    pub fn is_ready(&self) -> bool {
        self.bootstrap == Bootstrap::Done && self.versions().services > 0
    }

    /// Returns the active versions.
    pub fn versions(&self) -> ListVersions {
        self.active.versions()
    }

    /// Returns the highest versions that failed the checks; 0 for a list without any.
    pub fn refused_versions(&self) -> ListVersions {
        self.refused_versions
    }

    /// Returns the active content of a list.
    pub fn content(&self, kind: ListKind) -> RawList {
        self.active.list(kind).content(kind)
    }

    /// Activates a list and announces it to other instances.
    fn activate(&mut self, kind: ListKind, checked: CheckedList, source: &str) {
        let version = self.active.list(kind).version();
        self.fetches[kind as usize] = None;
        log::info!(object = kind.object_name(), version = version, source = source; "list_adopted");
        counter!("limpetdeck_lists_adopted_total", "source" => source.to_owned()).increment(1);
        self.active.set(checked);
        self.fast_rounds_left = FAST_DIGEST_ROUNDS;
        self.next_digest = Duration::ZERO;
    }

    /// Records a version that failed the checks. The last valid version stays active, this
    /// one is not sent to other instances, and a later one is checked independently of it.
    fn refuse(&mut self, kind: ListKind, version: Version, findings: &Findings) {
        if version <= self.refused_versions.get(kind) {
            return;
        }
        self.refused_versions.set(kind, version);
        counter!("limpetdeck_objects_refused_total").increment(1);
        log::warn!(
            object = kind.object_name(),
            version = version,
            findings = findings.to_string().as_str();
            "object_refused"
        );
    }

    fn on_digest(
        &mut self,
        now: Duration,
        from: InstanceId,
        versions: &ListVersions,
        wants_reply: bool,
        out: &mut Outbox<'_>,
    ) {
        self.bootstrap.on_peer(now, versions);
        self.advance_bootstrap(now, false);
        for kind in ListKind::ALL {
            let behind = versions.get(kind) > self.active.list(kind).version();
            if behind && now >= self.fetch_not_before[kind as usize] {
                self.send_pulls(now, kind, Some(from), out);
            }
        }
        if wants_reply || !versions.covers(&self.versions()) {
            self.send_digest(from, false, out);
        }
    }

    /// Requests missing pieces if a fetch is under way. `from` is an instance that has a
    /// newer version; it starts a fetch if there is none.
    fn send_pulls(
        &mut self,
        now: Duration,
        kind: ListKind,
        from: Option<InstanceId>,
        out: &mut Outbox<'_>,
    ) {
        let base = self.active.list(kind).version();
        let slot = &mut self.fetches[kind as usize];
        if slot.as_ref().is_some_and(|fetch| fetch.has_no_pieces() && fetch.stalled(now)) {
            *slot = None;
        }
        if let Some(from) = from {
            let fetch = slot.get_or_insert_with(|| Fetch::new(now, kind, base));
            fetch.add_provider(from);
        }
        let Some(fetch) = slot else { return };
        let providers = fetch.providers(&self.live);
        for pull in fetch.due_pulls(now) {
            if let Some(&to) = providers.choose(&mut self.rng) {
                out.send(to, Class::Lists, &Body::Lists(Message::Pull(pull)));
            }
        }
    }

    fn on_piece(&mut self, now: Duration, from: InstanceId, piece: Piece, out: &mut Outbox<'_>) {
        let kind = piece.kind;
        let Some(fetch) = &mut self.fetches[kind as usize] else { return };
        let payload = fetch.on_piece(now, piece);
        if payload.is_none() && !fetch.is_complete() {
            return self.send_pulls(now, kind, None, out);
        }
        let was_full = fetch.is_full();
        self.fetches[kind as usize] = None;
        if payload.is_some_and(|payload| self.adopt_payload(kind, payload)) {
            self.advance_bootstrap(now, false);
        } else if was_full {
            // The sender may run another release, or this version fails the checks here.
            // Fetching it again at once would fail again.
            counter!("limpetdeck_lists_unusable_total").increment(1);
            log::warn!(object = kind.object_name(), from = from; "list_unusable");
            self.fetch_not_before[kind as usize] = now + UNUSABLE_LIST_BACKOFF;
        } else {
            // The delta does not apply, or the pieces do not decode: fetch the full list.
            self.fetches[kind as usize] = Some(Fetch::new(now, kind, 0));
            self.send_pulls(now, kind, Some(from), out);
        }
    }

    /// Returns false if the payload does not apply or fails the checks.
    fn adopt_payload(&mut self, kind: ListKind, payload: Payload) -> bool {
        if payload.version <= self.active.list(kind).version() {
            return true;
        }
        let Some(entries) = self.active.list(kind).apply(&payload) else { return false };
        match RawList::from_entries(kind, &entries).check() {
            Ok(checked) => {
                self.active.list_mut(kind).install_payload(payload, entries);
                self.activate(kind, checked, "peer");
                true
            }
            Err(findings) => {
                self.refuse(kind, payload.version, &findings);
                false
            }
        }
    }

    fn advance_bootstrap(&mut self, now: Duration, alone: bool) {
        let known = self.versions();
        self.bootstrap.advance(now, &known, alone);
    }

    fn send_digests(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let fast = self.fast_rounds_left > 0;
        let (fanout, interval) = if fast {
            (FAST_DIGEST_FANOUT, FAST_DIGEST_INTERVAL)
        } else {
            (DIGEST_FANOUT, DIGEST_INTERVAL)
        };
        self.fast_rounds_left = self.fast_rounds_left.saturating_sub(1);
        self.next_digest = now + interval.mul_f64(self.rng.random_range(0.5..1.5));
        let to: Vec<_> = self.live.choose_multiple(&mut self.rng, fanout).copied().collect();
        let wants_reply = self.bootstrap != Bootstrap::Done;
        for id in to {
            self.send_digest(id, wants_reply, out);
        }
    }

    fn send_digest(&self, to: InstanceId, wants_reply: bool, out: &mut Outbox<'_>) {
        let message = Message::Digest { versions: self.versions(), wants_reply };
        out.send(to, Class::Lists, &Body::Lists(message));
    }

    fn send_pieces(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let lists = ListKind::ALL.map(|kind| self.active.list(kind));
        self.piece_server.send_pending(now, lists, out);
    }
}

fn parse_object(kind: ListKind, object: &Object) -> Result<(RawList, CheckedList), Findings> {
    let (value, _) = OperationLog::split(object.value.clone())?;
    let content = RawList::from_json(kind, value)?;
    let checked = content.check()?;
    Ok((content, checked))
}
