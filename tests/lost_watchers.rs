//! All instances that watch the platform are lost at once: the others have to notice, and learn of
//! changes in time although the membership still counts the watchers as live.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use limpetdeck::instance::Event;
use limpetdeck::steering::{Node, Target, TargetState};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use support::*;
use world::*;

/// Time within which a change is known to each instance that reaches the platform.
const BOUND: Duration = Duration::from_secs(3);
/// Time for which the watchers are lost.
const LOSS: Duration = Duration::from_secs(12);
/// Largest part of the instances that are lost at once, in percent.
const MAX_LOST_PERCENT: usize = 35;
/// Time after which a loss that moves hits the instances that have called the platform since.
const MOVE_INTERVAL: Duration = Duration::from_millis(1_900);

/// How the watchers are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// The platform does not respond to them.
    Silent,
    /// The platform refuses their calls.
    Refused,
    /// The platform responds late.
    Slow,
    /// Neither the platform nor peers respond to them.
    Partitioned,
    /// They do not run for a time.
    Paused,
    /// They end without notice and do not come back.
    Killed,
    /// They end without notice and start again at once.
    Restarted,
    /// They stop gracefully.
    Stopped,
}

/// What the platform acknowledges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    TargetDrains,
    TargetGone,
    TargetStarts,
    /// A target runs again under its key.
    TargetRestarts,
    Routes,
    OrderToDrain,
    /// The platform comes back from a copy that lacks a draining target, which then drains again.
    Restore,
}

const CHANGES: [Change; 7] = [
    Change::TargetDrains,
    Change::TargetGone,
    Change::TargetStarts,
    Change::TargetRestarts,
    Change::Routes,
    Change::OrderToDrain,
    Change::Restore,
];

impl Change {
    fn make(self, store: &mut Store) {
        match self {
            Self::TargetDrains => drain_target(store),
            Self::TargetGone => store.remove_target(1),
            Self::TargetStarts => store.put_target(&target(9, STATION)),
            Self::TargetRestarts => {
                store.put_target(&Target { incarnation: 2_000, ..target(1, STATION) });
            }
            Self::Routes => store.put_routes(&routes(2, &[STATION, FARES])),
            Self::OrderToDrain => store.drain(REMOTE),
            Self::Restore => {
                store.restore_copy();
                drain_target(store);
            }
        }
    }

    fn is_known(self, node: &Node) -> bool {
        let forwarder = node.forwarder();
        let mut eligible = forwarder.targets.eligible(Duration::ZERO, STATION);
        match self {
            Self::TargetDrains | Self::TargetGone => eligible.all(|(target, _)| target.key != 1),
            Self::TargetStarts => eligible.any(|(target, _)| target.key == 9),
            Self::TargetRestarts => eligible.any(|(target, _)| target.incarnation == 2_000),
            Self::Routes => forwarder.routes.version() == 2,
            Self::OrderToDrain => forwarder.drains.is_drained(REMOTE),
            Self::Restore => {
                forwarder.targets.era() == 1 && eligible.all(|(target, _)| target.key != 1)
            }
        }
    }
}

fn drain_target(store: &mut Store) {
    store.put_target(&Target { state: TargetState::Draining, ..target(1, STATION) });
}

/// A fleet at rest, and the instances that are lost.
struct Fleet {
    world: World,
    watchers: BTreeSet<usize>,
    lost: BTreeSet<usize>,
    /// Instances that have been lost at any time.
    disturbed: BTreeSet<usize>,
}

impl Fleet {
    fn new(domains: usize, instances: usize) -> Self {
        let mut world = World::in_domains(domains, &vec![true; instances]);
        world.run(Duration::from_secs(8));
        world.store.take_copy();
        // Longer than a watch waits: each watcher has made a call since.
        let since = world.now;
        world.run(Duration::from_secs(5));
        let callers = world.store.callers.iter();
        let watchers = callers.filter(|(_, at)| **at > since).map(|(&i, _)| i).collect();
        Self { world, watchers, lost: BTreeSet::new(), disturbed: BTreeSet::new() }
    }

    fn lose(&mut self, instances: BTreeSet<usize>, loss: Loss) {
        let all = instances.iter().copied();
        match loss {
            Loss::Silent => self.world.store.silent_instances = all.collect(),
            Loss::Refused => self.world.store.refused_instances = all.collect(),
            Loss::Slow => self.world.store.slow_instances = all.collect(),
            Loss::Partitioned => {
                self.world.partitioned = all.clone().collect();
                self.world.store.silent_instances = all.collect();
            }
            Loss::Paused => all.for_each(|i| {
                self.world.paused.entry(i).or_default();
            }),
            Loss::Killed => all.for_each(|i| self.world.kill(i)),
            Loss::Restarted => all.for_each(|i| self.world.start(i)),
            Loss::Stopped => all.for_each(|i| self.world.handle(i, Event::Stop)),
        }
        self.disturbed.extend(&instances);
        self.lost = instances;
    }

    fn end_loss(&mut self) {
        for i in std::mem::take(&mut self.lost) {
            self.world.resume(i);
        }
        self.world.partitioned.clear();
        let store = &mut self.world.store;
        for lost in
            [&mut store.silent_instances, &mut store.refused_instances, &mut store.slow_instances]
        {
            lost.clear();
        }
    }

    /// Loses the instances that have called the platform in the last interval instead of those that
    /// are lost.
    fn move_loss(&mut self, loss: Loss) {
        let since = self.world.now.saturating_sub(MOVE_INTERVAL);
        let callers = self.world.store.callers.iter();
        let recent = callers.filter(|(i, at)| **at >= since && !self.lost.contains(i));
        let most = self.world.nodes.len() * MAX_LOST_PERCENT / 100;
        let next = recent.map(|(&i, _)| i).take(most).collect();
        self.end_loss();
        self.lose(next, loss);
    }

    /// Returns the instances that have never been lost and do not know of a change.
    fn unaware(&self, change: Change) -> Vec<usize> {
        let undisturbed = (0..self.world.nodes.len()).filter(|i| !self.disturbed.contains(i));
        undisturbed.filter(|&i| !change.is_known(self.world.node(i))).collect()
    }

    /// Returns the time until all instances that have never been lost know of a change that is made
    /// now, if it is within the bound.
    ///
    /// # Panics
    ///
    /// Panics if it is not.
    fn spread_time(&mut self, change: Change, mut step: impl FnMut(&mut Self)) -> Duration {
        change.make(&mut self.world.store);
        let made = self.world.now;
        while !self.unaware(change).is_empty() {
            let waited = self.world.now - made;
            assert!(
                waited < BOUND,
                "{change:?} unknown to {:?} after {waited:?}",
                self.unaware(change)
            );
            self.world.run(TICK);
            step(self);
        }
        self.world.now - made
    }
}

/// Loses all watchers, and makes a change at a time after that. Returns how long the change took to
/// be known.
fn lose_all(
    domains: usize,
    instances: usize,
    loss: Loss,
    change: Change,
    after: Duration,
) -> Duration {
    let mut fleet = Fleet::new(domains, instances);
    fleet.lose(fleet.watchers.clone(), loss);
    fleet.world.run(after);
    if after >= LOSS {
        fleet.end_loss();
    }
    fleet.spread_time(change, |_| {})
}

/// Instances in touch used a draining target for 10 s, as all watchers were cut off from the platform
/// and kept their rank.
#[test]
fn drain_unseen() {
    let mut fleet = Fleet::new(3, 27);
    assert_eq!(fleet.watchers.len(), 9);
    fleet.lose(fleet.watchers.clone(), Loss::Silent);
    fleet.world.run(Duration::from_secs(1));
    let took = fleet.spread_time(Change::TargetDrains, |_| {});
    println!("known_after={took:?}");
}

#[test]
fn every_change() {
    for change in CHANGES {
        for domains in [1, 2, 3, 5] {
            let took = lose_all(domains, 9 * domains, Loss::Silent, change, ms(500));
            println!("change={change:?} domains={domains} known_after={took:?}");
        }
    }
}

#[test]
fn every_loss() {
    let losses = [
        Loss::Silent,
        Loss::Refused,
        Loss::Slow,
        Loss::Partitioned,
        Loss::Paused,
        Loss::Killed,
        Loss::Restarted,
        Loss::Stopped,
    ];
    for loss in losses {
        for change in [Change::TargetDrains, Change::Routes, Change::OrderToDrain] {
            let took = lose_all(3, 27, loss, change, ms(0));
            println!("loss={loss:?} change={change:?} known_after={took:?}");
        }
    }
}

/// Changes right before the loss, at its beginning, during it and at its end.
#[test]
fn every_moment() {
    for change in CHANGES {
        let mut fleet = Fleet::new(3, 27);
        let watchers = fleet.watchers.clone();
        let mut due = Some(fleet.world.now + TICK);
        fleet.spread_time(change, |fleet| {
            if due.take_if(|at| fleet.world.now >= *at).is_some() {
                fleet.lose(watchers.clone(), Loss::Silent);
            }
        });
        for after in [ms(0), ms(1_300), ms(6_000), LOSS - TICK, LOSS] {
            let took = lose_all(3, 27, Loss::Silent, change, after);
            println!("change={change:?} after={after:?} known_after={took:?}");
        }
    }
}

/// Losses that are over before anybody polls: the watchers took them for an outage of the platform and
/// kept a target in use that had left meanwhile.
#[test]
fn short_loss() {
    for loss in [Loss::Silent, Loss::Refused, Loss::Slow] {
        for length in (1..20).map(|n| TICK * n) {
            let mut fleet = Fleet::new(3, 27);
            fleet.lose(fleet.watchers.clone(), loss);
            let end = fleet.world.now + length;
            let took = fleet.spread_time(Change::TargetGone, |fleet| {
                if fleet.world.now >= end {
                    fleet.end_loss();
                }
            });
            println!("loss={loss:?} length={length:?} known_after={took:?}");
        }
    }
}

/// Watchers that were cut off from their peers as well had no contact at all: they kept a target in use
/// that had left, and told their peers to do so.
#[test]
fn partition_ends() {
    for after in [LOSS, LOSS + TICK, LOSS + ms(500)] {
        let mut fleet = Fleet::new(3, 27);
        fleet.lose(fleet.watchers.clone(), Loss::Partitioned);
        fleet.world.run(LOSS);
        fleet.end_loss();
        fleet.world.run(after - LOSS);
        let took = fleet.spread_time(Change::TargetGone, |_| {});
        println!("after={after:?} known_after={took:?}");
    }
}

/// The loss moves on to the instances that have called the platform in the meantime.
#[test]
fn moving_loss() {
    for loss in [Loss::Silent, Loss::Refused, Loss::Paused] {
        for after in (0..12).map(|n| ms(700 * n)) {
            let mut fleet = Fleet::new(3, 36);
            let mut next_move = fleet.world.now;
            let mut step = |fleet: &mut Fleet| {
                if fleet.world.now >= next_move {
                    next_move = fleet.world.now + MOVE_INTERVAL;
                    fleet.move_loss(loss);
                }
            };
            let begin = fleet.world.now;
            step(&mut fleet);
            while fleet.world.now < begin + after {
                fleet.world.run(TICK);
                step(&mut fleet);
            }
            let took = fleet.spread_time(Change::TargetDrains, step);
            println!("loss={loss:?} after={after:?} known_after={took:?}");
        }
    }
}

/// Any third of the instances is lost, with the watchers among it as far as they fit.
#[test]
fn any_instances() {
    for seed in 0..12 {
        let domains = [1, 2, 3, 5][seed as usize % 4];
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(domains, 30);
        let most = 30 * MAX_LOST_PERCENT / 100;
        let mut others: Vec<_> = (0..30).filter(|i| !fleet.watchers.contains(i)).collect();
        others.shuffle(&mut rng);
        let lost = fleet.watchers.iter().copied().chain(others).take(most).collect();
        fleet.lose(lost, [Loss::Silent, Loss::Killed][seed as usize % 2]);
        let took = fleet.spread_time(Change::TargetDrains, |_| {});
        println!("seed={seed} domains={domains} known_after={took:?}");
    }
}

/// Returns the calls to the platform in a time, and the highest number in a second of it.
fn count_calls(world: &mut World, time: Duration) -> (u32, u32) {
    world.store.calls = 0;
    let mut most = 0;
    for _ in 0..time.as_secs() {
        let before = world.store.calls;
        world.run(Duration::from_secs(1));
        most = most.max(world.store.calls - before);
    }
    (world.store.calls, most)
}

/// At rest, a fleet makes as many calls whatever its size. While the platform is down for all, it
/// makes no more than a few for each failure domain.
#[test]
fn calls_bounded() {
    let calls = [30, 120].map(|instances| {
        let mut world = World::in_domains(5, &vec![true; instances]);
        world.run(Duration::from_secs(15));
        let (rest, _) = count_calls(&mut world, Duration::from_secs(15));
        world.store.down = true;
        let (outage, most) = count_calls(&mut world, Duration::from_secs(15));
        println!("instances={instances} rest={rest} outage={outage} most_per_s={most}");
        (rest, outage, most)
    });
    let [few, many] = calls;
    assert!(many.0 <= few.0 + few.0 / 4, "calls at rest");
    assert!(many.1 <= few.1 + few.1 / 4, "calls during the outage");
    // 20 at once for each of the five failure domains, beside the retries of the watchers.
    assert!(many.2 <= 200, "{} calls in a second", many.2);
}

/// Instances that have started at once use up their budget for control traffic. Reports that waited for
/// it did not arrive, and others polled beside working watchers.
#[test]
fn calls_after_start() {
    let calls = [30, 195].map(|instances| {
        let mut world = World::in_domains(5, &vec![true; instances]);
        world.run(Duration::from_secs(8));
        let (calls, _) = count_calls(&mut world, Duration::from_secs(15));
        println!("instances={instances} calls={calls}");
        calls
    });
    let [few, many] = calls;
    assert!(many <= few + few / 4, "calls after the start");
}
