//! Exhaustive search over small histories with a restore of the platform: two instances and two
//! targets, with messages in any order, lost or repeated.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use limpetdeck::hash::HashSet;
use limpetdeck::platform::Position;
use limpetdeck::steering::{Target, TargetDirectory, TargetKey, TargetRecord, TargetState};
use support::*;

/// Longest history of the search.
const DEPTH: usize = 8;
/// All actions of the search happen at once, within the grace period of the era.
const NOW: Duration = Duration::from_secs(10);
/// A time after the end of all grace periods.
const LATER: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    /// Target 1 drains.
    Drain,
    /// Target 2 leaves, or its entry lapses.
    Leave,
    /// Target 2 writes the same entry again.
    Return,
    /// The platform comes back from the copy of the start.
    Restore,
    /// The targets write their entries again.
    Rewrite,
    /// An instance starts again and lists all entries.
    Start(usize),
    /// An instance lists all entries.
    List(usize),
    /// An instance reads the changes since its last read, or lists in a new era.
    Read(usize),
    /// An instance sends its changes to the other one.
    Send(usize),
    /// A message arrives. It stays in flight, as it may arrive again.
    Deliver(usize),
}

/// The platform's entries: the target, or `None` if it was removed, with the revision.
type Entries = BTreeMap<TargetKey, (u64, Option<TargetState>)>;

#[derive(Default)]
struct Instance {
    directory: TargetDirectory,
    read_up_to: Position,
    /// Whether it has known that target 1 drains.
    saw_drain: bool,
}

struct Message {
    to: usize,
    newest: Position,
    records: Vec<TargetRecord>,
}

struct World {
    era: u64,
    /// Whether instances distinguish the eras.
    eras_known: bool,
    revision: u64,
    entries: Entries,
    copy: (u64, Entries),
    drained: bool,
    left: bool,
    rewritten: bool,
    instances: [Instance; 2],
    messages: Vec<Message>,
}

impl World {
    fn new(eras_known: bool) -> Self {
        let entries: Entries =
            [(1, (11, Some(TargetState::Ready))), (2, (12, Some(TargetState::Ready)))].into();
        let mut world = Self {
            era: 0,
            eras_known,
            revision: 12,
            copy: (12, entries.clone()),
            entries,
            drained: false,
            left: false,
            rewritten: true,
            instances: Default::default(),
            messages: Vec::new(),
        };
        world.list(0);
        world.list(1);
        world
    }

    fn position(&self, revision: u64) -> Position {
        Position::new(if self.eras_known { self.era } else { 0 }, revision)
    }

    fn write(&mut self, key: TargetKey, state: Option<TargetState>) {
        if self.entries[&key].1 != state {
            self.revision += 1;
            self.entries.insert(key, (self.revision, state));
        }
    }

    fn record(&self, key: TargetKey) -> TargetRecord {
        let (revision, state) = self.entries[&key];
        let target = state.map(|state| Target { state, ..target(key, STATION) });
        TargetRecord { key, position: self.position(revision), target }
    }

    fn records_after(&self, revision: u64) -> Vec<TargetRecord> {
        let keys = self.entries.iter().filter(|(_, (changed, _))| *changed > revision);
        keys.map(|(&key, _)| self.record(key)).collect()
    }

    fn list(&mut self, i: usize) {
        let mut records = self.records_after(0);
        records.retain(|record| record.target.is_some());
        let position = self.position(self.revision);
        self.instances[i].directory.replace_all(NOW, position, records);
        self.instances[i].read_up_to = position;
    }

    fn read(&mut self, i: usize) {
        let after = self.instances[i].read_up_to;
        let position = self.position(self.revision);
        if after.era != position.era || after.revision > self.revision {
            return self.list(i);
        }
        let records = self.records_after(after.revision);
        let instance = &mut self.instances[i];
        for record in records {
            instance.directory.merge(NOW, record);
        }
        instance.directory.advance_complete_up_to(position);
        instance.read_up_to = position;
    }

    fn send(&mut self, from: usize) {
        let to = 1 - from;
        let since = self.instances[to].directory.complete_up_to();
        let directory = &self.instances[from].directory;
        let (newest, records) = (directory.complete_up_to(), directory.since(since));
        self.messages.push(Message { to, newest, records });
    }

    fn deliver(&mut self, n: usize) {
        let Message { to, newest, records } = &self.messages[n];
        let directory = &mut self.instances[*to].directory;
        directory.enter_era(NOW, *newest);
        for record in records {
            directory.merge(NOW, record.clone());
        }
        // Without knowing what was sent since, the receiver is not complete.
    }

    /// Returns false if the action is not possible now.
    fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Drain if !self.drained => {
                self.drained = true;
                self.write(1, Some(TargetState::Draining));
            }
            Action::Leave if !self.left => {
                self.left = true;
                self.write(2, None);
            }
            Action::Return if self.left => {
                self.left = false;
                self.write(2, Some(TargetState::Ready));
            }
            Action::Restore if self.era == 0 => {
                self.era = 1;
                (self.revision, self.entries) = self.copy.clone();
                self.rewritten = false;
            }
            Action::Rewrite if !self.rewritten => {
                self.rewritten = true;
                if self.drained {
                    self.write(1, Some(TargetState::Draining));
                }
                self.write(2, (!self.left).then_some(TargetState::Ready));
            }
            Action::Start(i) => {
                self.instances[i] = Instance::default();
                self.list(i);
            }
            Action::List(i) => self.list(i),
            Action::Read(i) => self.read(i),
            Action::Send(i) if self.messages.len() < 2 => self.send(i),
            Action::Deliver(n) if n < self.messages.len() => self.deliver(n),
            _ => return false,
        }
        for instance in &mut self.instances {
            let state = instance.directory.get((1, 1_000)).map(|target| target.state);
            instance.saw_drain |= state == Some(TargetState::Draining);
        }
        true
    }

    /// Lets both instances read what the platform finally holds.
    fn settle(&mut self) {
        self.act(Action::Rewrite);
        self.read(0);
        self.read(1);
    }

    fn broken(&self) -> Option<String> {
        for instance in &self.instances {
            let directory = &instance.directory;
            if instance.saw_drain && eligible(directory, NOW).contains(&1) {
                return Some("a target that drains became ready again".to_owned());
            }
        }
        None
    }

    fn unsettled(&mut self) -> Option<String> {
        self.settle();
        let truth: Vec<_> = [(1, !self.drained), (2, !self.left)]
            .into_iter()
            .filter_map(|(key, ready)| ready.then_some(key))
            .collect();
        for (i, instance) in self.instances.iter_mut().enumerate() {
            instance.directory.expire(LATER);
            let known = eligible(&instance.directory, LATER);
            if known != truth {
                return Some(format!("instance {i} uses {known:?} instead of {truth:?}"));
            }
        }
        None
    }

    /// What later actions depend on, as text.
    fn fingerprint(&self) -> String {
        let instances = self.instances.each_ref().map(|instance| {
            let directory = &instance.directory;
            format!(
                "{:?} {:?} {} {} {:?}",
                directory.since(Position::default()),
                directory.complete_up_to(),
                directory.era(),
                instance.saw_drain,
                instance.read_up_to
            )
        });
        let messages: Vec<_> =
            self.messages.iter().map(|m| (m.to, m.newest, m.records.clone())).collect();
        format!(
            "{} {} {:?} {} {} {} {instances:?} {messages:?}",
            self.era, self.revision, self.entries, self.drained, self.left, self.rewritten
        )
    }
}

fn eligible(directory: &TargetDirectory, now: Duration) -> Vec<TargetKey> {
    let mut keys: Vec<_> = directory.eligible(now, STATION).map(|(target, _)| target.key).collect();
    keys.sort_unstable();
    keys
}

fn replay(history: &[Action], eras_known: bool) -> Option<World> {
    let mut world = World::new(eras_known);
    history.iter().all(|&action| world.act(action)).then_some(world)
}

/// Searches all histories. Returns the number of states, and the first fault with its history.
fn search(eras_known: bool) -> (usize, Option<(String, Vec<Action>)>) {
    use Action::*;
    let actions = [
        Drain,
        Leave,
        Return,
        Restore,
        Rewrite,
        Start(1),
        List(0),
        Read(0),
        Read(1),
        Send(0),
        Send(1),
        Deliver(0),
        Deliver(1),
    ];
    let mut seen = HashSet::default();
    let mut open = VecDeque::from([Vec::new()]);
    while let Some(history) = open.pop_front() {
        for action in actions {
            let mut longer: Vec<Action> = history.clone();
            longer.push(action);
            let Some(mut world) = replay(&longer, eras_known) else { continue };
            if !seen.insert(world.fingerprint()) {
                continue;
            }
            if let Some(fault) = world.broken().or_else(|| world.unsettled()) {
                return (seen.len(), Some((fault, longer)));
            }
            if longer.len() < DEPTH {
                open.push_back(longer);
            }
        }
    }
    (seen.len(), None)
}

/// A drain is never forgotten, and both instances end with what the platform holds.
#[test]
fn eras_distinguished() {
    let (states, fault) = search(true);
    println!("states={states}");
    assert_eq!(fault, None);
}

/// The search finds the fault of comparing bare revisions.
#[test]
fn bare_revisions() {
    let (states, fault) = search(false);
    println!("states={states} fault={fault:?}");
    assert!(fault.is_some());
}
