//! Exhaustive search over small histories of an order to drain a failure domain: two instances, with
//! messages in any order, lost or repeated.

use std::collections::VecDeque;
use std::time::Duration;

use limpetdeck::hash::HashSet;
use limpetdeck::platform::Position;
use limpetdeck::steering::{DomainDrains, DrainSnapshot};

/// Longest history of the search.
const DEPTH: usize = 8;
const DOMAIN: &str = "a";
/// Longer than the time for which orders of an earlier era are kept.
const SETTLING: Duration = Duration::from_secs(7);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Action {
    Order,
    Withdraw,
    /// The platform comes back from the copy of the start, without the order.
    Restore,
    /// The order is written again.
    Rewrite,
    /// Time passes.
    Wait,
    Read(usize),
    /// Instance 1 reads what has changed since its last read.
    Watch,
    Restart(usize),
    /// An instance sends its snapshot to the other one.
    Send(usize),
    /// A message arrives. It stays in flight, as it may arrive again.
    Deliver(usize),
}

struct World {
    now: Duration,
    position: Position,
    /// Position of the order that the platform holds.
    stored: Option<Position>,
    ordered: bool,
    withdrawn: bool,
    /// When the platform was restored without an order in force, until that is written again.
    lost_at: Option<Duration>,
    /// Whether instance 0 obeyed the order when the platform was restored without it.
    kept: bool,
    instances: [DomainDrains; 2],
    /// Position of the last read of instance 1, after which it watches.
    watched: Option<Position>,
    /// Era of the first snapshot that instance 1 has known since its start.
    started_in_era: u64,
    /// Whether an instance has drained the domain since its start.
    obeyed: [bool; 2],
    messages: Vec<(usize, DrainSnapshot)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            position: Position::new(0, 10),
            stored: None,
            ordered: false,
            withdrawn: false,
            lost_at: None,
            kept: false,
            instances: [DomainDrains::enabled(), DomainDrains::enabled()],
            watched: None,
            started_in_era: 0,
            obeyed: [false; 2],
            messages: Vec::new(),
        };
        world.read(0);
        world.read(1);
        world
    }

    fn write(&mut self, ordered: bool) {
        self.position.revision += 1;
        self.stored = ordered.then_some(self.position);
    }

    fn read(&mut self, i: usize) {
        let orders = self.stored.map(|at| (DOMAIN.to_owned(), Some(at)));
        let orders = orders.into_iter().collect();
        self.instances[i].on_read(self.now, self.position, true, orders);
        if i == 1 {
            self.watched = Some(self.position);
        }
    }

    /// Returns false if there is nothing to watch after. Each write concerns the one order.
    fn watch(&mut self) -> bool {
        let Some(after) = self.watched.filter(|after| after.era == self.position.era) else {
            return false;
        };
        let changed = (self.position > after).then(|| (DOMAIN.to_owned(), self.stored));
        self.instances[1].on_read(self.now, self.position, false, Vec::from_iter(changed));
        self.watched = Some(self.position);
        true
    }

    fn deliver(&mut self, n: usize) {
        let (to, snapshot) = self.messages[n].clone();
        self.instances[to].on_peer_snapshot(self.now, snapshot);
    }

    /// Returns false if the action is not possible now.
    fn act(&mut self, action: Action) -> bool {
        let known = self.instances[1].snapshot().position.is_known();
        match action {
            Action::Order if !self.ordered => {
                self.ordered = true;
                self.write(true);
            }
            Action::Withdraw if self.ordered && !self.withdrawn => {
                self.withdrawn = true;
                self.write(false);
            }
            Action::Restore if self.position.era == 0 => {
                self.position = Position::new(1, 10);
                self.stored = None;
                self.lost_at = (self.ordered && !self.withdrawn).then_some(self.now);
                self.kept = self.lost_at.is_some() && self.obeyed[0];
            }
            Action::Rewrite if self.lost_at == Some(self.now) && !self.withdrawn => {
                self.lost_at = None;
                self.write(true);
            }
            Action::Wait if self.now < 2 * SETTLING => self.now += SETTLING,
            Action::Read(i) => self.read(i),
            Action::Watch if self.watch() => {}
            Action::Restart(i) => {
                self.instances[i] = DomainDrains::enabled();
                self.obeyed[i] = false;
                self.watched = self.watched.filter(|_| i != 1);
            }
            Action::Send(i) if self.messages.len() < 2 => {
                self.messages.push((1 - i, self.instances[i].snapshot().clone()));
            }
            Action::Deliver(n) if n < self.messages.len() => self.deliver(n),
            _ => return false,
        }
        let position = self.instances[1].snapshot().position;
        if !position.is_known() || !known || matches!(action, Action::Restart(1)) {
            self.started_in_era = position.era;
        }
        for (obeyed, instance) in self.obeyed.iter_mut().zip(&self.instances) {
            *obeyed |= instance.is_drained(DOMAIN);
        }
        true
    }

    /// An instance that obeys an order never stops before it is withdrawn. The platform forgets the
    /// order for good only if it is not written again in time.
    fn forgotten(&self) -> bool {
        let in_force = self.ordered && !self.withdrawn;
        let kept = |i: usize| !self.obeyed[i] || self.instances[i].is_drained(DOMAIN);
        let given_up = self.lost_at.is_some_and(|lost_at| self.now > lost_at);
        in_force && !given_up && !(kept(0) && kept(1))
    }

    /// An instance that is ready obeys the order if it has read it, and also if it has started in the
    /// restored platform while its peer keeps the order.
    fn ignored(&self) -> bool {
        let in_force =
            self.ordered && !self.withdrawn && self.lost_at.is_none_or(|at| self.now == at);
        let ignores = |i: usize| self.instances[i].ready() && !self.instances[i].is_drained(DOMAIN);
        let has_read =
            |i: usize| self.stored.is_some_and(|at| self.instances[i].snapshot().position >= at);
        let started_late = self.kept && self.started_in_era == 1;
        in_force && (0..2).any(|i| ignores(i) && (has_read(i) || (i == 1 && started_late)))
    }

    /// Lets time pass and both read the platform. Returns whether they agree with it, whatever
    /// message still arrives.
    fn settles(&mut self) -> bool {
        for _ in 0..2 {
            self.now += SETTLING;
            self.read(0);
            self.read(1);
        }
        for n in 0..self.messages.len() {
            self.deliver(n);
        }
        self.instances.iter().all(|i| i.is_drained(DOMAIN) == self.stored.is_some())
    }

    /// What later actions depend on, as text.
    fn fingerprint(&self) -> String {
        let Self {
            now,
            position,
            stored,
            ordered,
            withdrawn,
            lost_at,
            kept,
            started_in_era,
            watched,
            ..
        } = self;
        let flags =
            (now, position, stored, ordered, withdrawn, lost_at, kept, started_in_era, watched);
        format!("{flags:?} {:?} {:?} {:?}", self.instances, self.obeyed, self.messages)
    }
}

#[test]
fn all_histories() {
    use Action::*;
    let actions = [
        Order,
        Withdraw,
        Restore,
        Rewrite,
        Wait,
        Read(0),
        Read(1),
        Watch,
        Restart(1),
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
            let mut world = World::new();
            if !longer.iter().all(|&action| world.act(action)) || !seen.insert(world.fingerprint())
            {
                continue;
            }
            assert!(!world.forgotten(), "forgotten after {longer:?}");
            assert!(!world.ignored(), "ignored after {longer:?}");
            assert!(world.settles(), "not settled after {longer:?}");
            if longer.len() < DEPTH {
                open.push_back(longer);
            }
        }
    }
    println!("states={}", seen.len());
    assert!(seen.len() > 10_000);
}
