//! Instances are asked to stop one after the other, with few left beside them, while others are lost,
//! the platform is away or comes back from a copy, and the key changes, all drawn from seeds. Packets
//! reach each instance until it exits, so until then it has to know of each change in time.
//!
//! `DRAWN_SEEDS=1000..1300 cargo test --release --test drawn_stops -- --nocapture` runs other seeds.

#[path = "support/changes.rs"]
#[allow(dead_code)]
mod changes;
#[path = "support/losses.rs"]
#[allow(dead_code)]
mod losses;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use changes::*;
use limpetdeck::instance::Event;
use limpetdeck::peer::KeyRing;
use limpetdeck::steering::TargetKey;
use losses::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use support::*;
use world::*;

/// Time within which a change is known to the instances that are in touch.
const BOUND: Duration = Duration::from_secs(3);
/// Time after which a disturbed instance, or the platform, counts as stable again.
const SETTLING: Duration = Duration::from_secs(4);
/// Time in which all instances start.
const STARTUP: Duration = Duration::from_secs(10);
/// Length of a run after that.
const LENGTH: Duration = Duration::from_secs(40);
/// Time within which an instance exits after it was asked to: its grace period, less the time that is
/// reserved for ending the process, and a tick.
const MAX_STOP_TIME: Duration = Duration::from_millis(5_400);
/// Keys of the targets that change, none of them twice.
const KEYS: Range<TargetKey> = 100..164;
/// Every eighth of these targets is not there at first.
const LATE_TARGETS: TargetKey = 8;
const NEW_KEY: [u8; 32] = [5; 32];

const LOSSES: [Loss; 7] = [
    Loss::Paused,
    Loss::Paused,
    Loss::Killed,
    Loss::Silent,
    Loss::Refused,
    Loss::Partitioned,
    Loss::Separated,
];

/// A loss that has not ended yet.
struct CurrentLoss {
    loss: Loss,
    instance: usize,
    until: Duration,
}

/// A graceful stop of an instance that runs or has exited.
struct Stop {
    asked_at: Duration,
    /// When the instance exited, and when it is to start again.
    exited: Option<Duration>,
    calls_before: u32,
}

/// Results of a run.
#[derive(Debug, Default)]
struct Tally {
    stops: u32,
    /// Calls to the platform, and those of instances that had been asked to stop.
    calls: u32,
    calls_while_stopping: u32,
    late: Vec<String>,
    /// Instances that registered or stayed after they had been asked to stop.
    misbehaved: Vec<String>,
}

struct Run {
    world: World,
    rng: SmallRng,
    losses: Vec<CurrentLoss>,
    stops: BTreeMap<usize, Stop>,
    /// Until when each instance was disturbed by something other than a stop.
    disturbed: Vec<Duration>,
    /// The changes, with the time at which the platform acknowledged each.
    changes: Vec<(Duration, Change)>,
    keys: Range<TargetKey>,
    domains: Vec<&'static str>,
    /// When the platform comes back from a copy, and the number of changes that the copy holds.
    restore: Option<(Duration, usize)>,
    /// When the platform is up again.
    down_until: Option<Duration>,
    /// When the platform is stable.
    stable: Duration,
    /// Step of the change of keys that each instance has reached.
    key_steps: Vec<usize>,
    port: u16,
    tally: Tally,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(!seed);
        let domains = pick(&[1, 1, 2, 3], &mut rng);
        let instances = (domains * pick(&[1, 2, 3, 4, 7], &mut rng)).max(2);
        let mut world = World::seeded(seed, domains, &vec![true; instances]);
        world.loss = pick(&[0.0, 0.0, 0.01], &mut rng);
        for key in KEYS.filter(|key| !key.is_multiple_of(LATE_TARGETS)) {
            world.store.put_target(&target(key, STATION));
        }
        world.run(STARTUP);
        Self {
            world,
            rng,
            losses: Vec::new(),
            stops: BTreeMap::new(),
            disturbed: vec![Duration::ZERO; instances],
            changes: Vec::new(),
            keys: KEYS,
            // Targets of the first failure domain stay eligible.
            domains: DOMAINS[1..domains].to_vec(),
            restore: None,
            down_until: None,
            stable: Duration::ZERO,
            key_steps: vec![0; instances],
            port: 0,
            tally: Tally::default(),
        }
    }

    fn play(mut self) -> Tally {
        let calls_before = self.world.store.calls;
        let end = self.world.now + LENGTH;
        let now = self.world.now;
        let (mut next_loss, mut next_stop, mut next_change) = (now, now, now);
        while self.world.now < end {
            let now = self.world.now;
            self.end_losses();
            self.change_platform();
            if now >= next_loss {
                self.lose();
                next_loss = now + self.draw(200..5_000);
            }
            if now >= next_stop {
                self.stop();
                next_stop = now + self.draw(100..4_000);
            }
            if now >= next_change {
                self.change();
                next_change = now + self.draw(300..1_500);
            }
            self.send_packets();
            self.world.run(TICK);
            self.end_stops();
            self.check();
        }
        self.tally.calls = self.world.store.calls - calls_before;
        self.tally
    }

    fn draw(&mut self, millis: Range<u64>) -> Duration {
        ms(self.rng.random_range(millis))
    }

    /// Returns the instances that run and are not lost.
    fn running(&self) -> Vec<usize> {
        let is_lost = |i: &usize| self.losses.iter().any(|current| current.instance == *i);
        let runs = |i: &usize| self.world.nodes[*i].is_some() && !self.world.exited[*i];
        (0..self.disturbed.len()).filter(|i| runs(i) && !is_lost(i)).collect()
    }

    /// Loses up to half of the instances for a time.
    fn lose(&mut self) {
        let loss = pick(&LOSSES, &mut self.rng);
        let most = (self.disturbed.len() / 2).saturating_sub(self.losses.len());
        let count = self.rng.random_range(0..=most);
        let instances: Vec<_> =
            self.running().choose_multiple(&mut self.rng, count).copied().collect();
        let until = self.world.now + self.draw(300..7_000);
        for instance in instances {
            if loss == Loss::Killed {
                self.stops.remove(&instance);
            }
            loss.begin(&mut self.world, instance);
            self.losses.push(CurrentLoss { loss, instance, until });
        }
    }

    fn end_losses(&mut self) {
        let now = self.world.now;
        let ended: Vec<_> = self.losses.extract_if(.., |current| now >= current.until).collect();
        for CurrentLoss { loss, instance, .. } in ended {
            loss.end(&mut self.world, instance);
            self.disturbed[instance] = now;
        }
    }

    fn stop(&mut self) {
        let running = self.running();
        let candidates: Vec<_> =
            running.into_iter().filter(|i| !self.stops.contains_key(i)).collect();
        let Some(&i) = candidates.choose(&mut self.rng) else { return };
        let calls_before = self.calls_of(i);
        self.stops.insert(i, Stop { asked_at: self.world.now, exited: None, calls_before });
        self.tally.stops += 1;
        self.world.handle(i, Event::Stop);
    }

    fn calls_of(&self, i: usize) -> u32 {
        self.world.store.calls_of.get(&i).copied().unwrap_or_default()
    }

    /// Starts the instances that have exited again, with the next key once all others know it.
    fn end_stops(&mut self) {
        let now = self.world.now;
        for (i, mut stop) in std::mem::take(&mut self.stops) {
            match stop.exited {
                None if self.world.exited[i] => {
                    self.tally.calls_while_stopping += self.calls_of(i) - stop.calls_before;
                    self.world.kill(i);
                    if self.world.store.wrote_at.get(&i).is_some_and(|at| *at > stop.asked_at) {
                        self.tally.misbehaved.push(format!("{i} registered at {now:?}"));
                    }
                    stop.exited = Some(now + self.draw(100..2_500));
                }
                None if now > stop.asked_at + MAX_STOP_TIME && !self.is_paused(i) => {
                    self.tally.misbehaved.push(format!("{i} runs at {now:?}"));
                }
                Some(at) if now >= at => {
                    self.start_with_next_key(i);
                    continue;
                }
                _ => {}
            }
            self.stops.insert(i, stop);
        }
    }

    fn is_paused(&self, i: usize) -> bool {
        self.world.paused.contains_key(&i)
    }

    fn start_with_next_key(&mut self, i: usize) {
        let rings = [
            KeyRing::from(KEY),
            KeyRing::new(KEY, vec![NEW_KEY]),
            KeyRing::new(NEW_KEY, vec![KEY]),
        ];
        let slowest = self.key_steps.iter().min().copied().unwrap_or_default();
        self.key_steps[i] = (slowest + 1).min(rings.len() - 1);
        self.world.keys[i] = rings[self.key_steps[i]].clone();
        self.world.exited[i] = false;
        self.world.start(i);
        self.disturbed[i] = self.world.now;
    }

    /// Takes the platform down or up, takes a copy of its objects, or comes back from it: the changes
    /// since then are made again.
    fn change_platform(&mut self) {
        let now = self.world.now;
        if self.down_until.is_some_and(|until| now >= until) {
            self.down_until = None;
            self.world.store.down = false;
            self.stable = now + SETTLING;
        } else if self.down_until.is_none() && self.rng.random_bool(0.005) {
            self.down_until = Some(now + self.draw(300..4_000));
            self.world.store.down = true;
        }
        match self.restore {
            None if self.rng.random_bool(0.005) => {
                self.world.store.take_copy();
                let at = now + self.draw(0..4_000);
                self.restore = Some((at, self.changes.len()));
            }
            Some((at, copied)) if now >= at && self.down_until.is_none() => {
                self.restore = None;
                self.stable = now + SETTLING;
                self.world.store.restore_copy();
                for (made, change) in &mut self.changes[copied..] {
                    change.make(&mut self.world.store);
                    *made = now;
                }
            }
            _ => {}
        }
    }

    fn change(&mut self) {
        if self.down_until.is_some() {
            return;
        }
        let Some(key) = self.keys.next() else { return };
        let version = 2 + self.changes.len() as u64;
        let change = match self.rng.random_range(0..9) {
            0 => Change::Routes(version),
            1 | 2 => Change::ManyRoutes(version),
            3 if !self.domains.is_empty() => Change::OrderToDrain(self.domains.remove(0)),
            _ if key.is_multiple_of(LATE_TARGETS) => Change::Starts(key),
            4..7 => Change::Drains(key),
            7 => Change::Leaves(key),
            _ => Change::Restarts(key),
        };
        change.make(&mut self.world.store);
        self.changes.push((self.world.now, change));
    }

    /// Sends a packet to each instance that has been asked to stop, so that it goes on.
    fn send_packets(&mut self) {
        for i in self.running() {
            if self.stops.contains_key(&i) {
                self.port = self.port.wrapping_add(1);
                self.world.datagrams[i].clear();
                self.world.handle(i, Event::Packet(text(&opening(self.port, 1))));
                self.check_receivers(i);
            }
        }
    }

    fn is_in_touch(&self, i: usize) -> bool {
        self.world.now >= self.disturbed[i] + SETTLING
    }

    /// Returns whether a change that was made at a time is to be known.
    fn is_due(&self, made: Duration, change: Change) -> bool {
        let due = match change {
            // Before the platform is stable, entries of living targets may be missing too.
            Change::Leaves(_) => made.max(self.stable) + BOUND,
            _ => self.stable.max(made + BOUND),
        };
        self.down_until.is_none() && self.world.now >= due
    }

    /// Checks that a stopping instance forwards nothing to a target that drains or is gone.
    fn check_receivers(&mut self, i: usize) {
        if !self.is_in_touch(i) {
            return;
        }
        for (made, change) in &self.changes {
            let (Change::Drains(key) | Change::Leaves(key)) = *change else { continue };
            let address = SocketAddr::V4(target(key, STATION).address);
            let used = self.world.datagrams[i].iter().any(|(to, _)| *to == address);
            if used && self.is_due(*made, *change) {
                let now = self.world.now;
                self.tally.late.push(format!("{now:?}: {i} uses {key}: {made:?} {change:?}"));
            }
        }
    }

    /// Notes each change that an instance in touch does not know in time.
    fn check(&mut self) {
        let now = self.world.now;
        for current in &self.losses {
            // The platform counts, not the peers.
            if current.loss != Loss::Separated {
                self.disturbed[current.instance] = now;
            }
        }
        for i in self.running() {
            if !self.is_in_touch(i) {
                continue;
            }
            let is_unknown = |(made, change): &&(Duration, Change)| {
                self.is_due(*made, *change) && !change.is_known(now, self.world.node(i))
            };
            let Some(unknown) = self.changes.iter().find(is_unknown) else { continue };
            let stops = self.stops.get(&i).map(|stop| now - stop.asked_at);
            let line = format!("{now:?}: {i} lacks {unknown:?}, asked to stop {stops:?} ago");
            self.tally.late.push(line);
        }
    }
}

fn pick<T: Copy>(values: &[T], rng: &mut SmallRng) -> T {
    *values.choose(rng).expect("not empty")
}

/// Seeds that are played without `DRAWN_SEEDS`.
const SEEDS: Range<u64> = 0..24;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("DRAWN_SEEDS") else { return SEEDS };
    let (start, end) = text.split_once("..").expect("DRAWN_SEEDS=A..B");
    start.parse().expect("a number")..end.parse().expect("a number")
}

/// An instance that had been asked to stop read nothing from the platform any more.
#[test]
fn known_until_exit() {
    let mut failed = Vec::new();
    let (mut stops, mut calls, mut calls_while_stopping) = (0, 0, 0);
    for seed in seeds() {
        let tally = Run::new(seed).play();
        stops += tally.stops;
        calls += tally.calls;
        calls_while_stopping += tally.calls_while_stopping;
        let problem = tally.late.first().or(tally.misbehaved.first());
        if let Some(problem) = problem {
            println!("seed={seed} late={} first={problem}", tally.late.len());
            failed.push(seed);
        }
    }
    println!("stops={stops} calls={calls} while_stopping={calls_while_stopping}");
    assert!(failed.is_empty(), "{failed:?}");
}
