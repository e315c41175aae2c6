//! The fault schedule of a run, generated from its seed.

use std::ops::Range;
use std::time::Duration;

use limpetdeck_platform::emulator::Oddity;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::proxy::{LinkMode, random_link_mode};
use crate::emulator::store::StoreMode;

/// Time without faults at the start: all instances start and callers open their flows.
pub const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Time after the last fault within which the service is required to recover.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time at the end of a run over which the share of served requests is measured.
pub const RECOVERY_SAMPLE_TIME: Duration = Duration::from_secs(5);
/// Length of the alternating phases with maintenance only and with all faults. Longer than the
/// settling time after a fault, in which the bounds are not checked.
const PHASE_LENGTH: Duration = Duration::from_secs(11);

/// Age of the copies of a restore drill.
const COPY_AGE: Duration = Duration::from_secs(14);
/// Time between two replacements of servers in the time that a copy lacks.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(400);
/// When servers drain after a restore of a drill.
const DRAINS_AFTER_RESTORE: Range<Duration> =
    Duration::from_millis(1_500)..Duration::from_millis(5_000);

/// Time for which an order of a drill is in force: 3 s longer than it may take to be obeyed.
const DRILL_ORDER: Duration = Duration::from_secs(8);
/// Time between two orders of a drill.
const DRILL_ROUND: Duration = Duration::from_secs(9);

/// Time between two losses of all watchers, longer than the settling time after the end of one.
const WATCHER_ROUND: Duration = Duration::from_secs(18);
/// Time for which watchers are lost.
const WATCHER_LOSS: Duration = Duration::from_secs(11);
/// Changes of servers and routes around each loss of the watchers.
const CHANGES_PER_ROUND: usize = 14;

/// Time between two rounds of stops, longer than the settling time after the pauses of one.
const STOP_ROUND: Duration = Duration::from_secs(13);
/// Time for which half of a failure domain is paused while others stop.
const STOP_FREEZE: Duration = Duration::from_millis(7_500);
/// Servers that drain around the stops of a round.
const DRAINS_PER_STOP: usize = 8;

/// Time between two rounds of the drill of flows, longer than the settling time after the silence of
/// connections in one.
const FLOW_ROUND: Duration = Duration::from_secs(15);
/// Server faults in a round.
const SERVER_FAULTS: usize = 6;
/// Longest time for which an instance that lacks processor time stands still, and the same on a machine
/// that is much too small.
const SHORT_STALL: Duration = Duration::from_millis(400);
const LONG_STALL: Duration = Duration::from_millis(2_500);
/// Stops in a round; they overlap.
const STOPS_PER_ROUND: usize = 4;

/// A kind of fault or maintenance. The names go to the log through `Debug`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance is terminated and restarted.
    Roll,
    /// The settings file of an instance changes, with or without SIGHUP.
    Reload {
        /// Whether SIGHUP is sent.
        signalled: bool,
    },
    /// The routes change, several times in a row.
    Routes {
        /// Number of changes.
        times: u32,
    },
    /// Many routes are added, or removed if they are there, and one changes.
    ManyRoutes,
    /// A server drains, and another one replaces it.
    Drain,
    /// Instances are killed.
    Kill {
        /// Share of all instances.
        share: f64,
    },
    /// An instance is paused (SIGSTOP).
    Freeze,
    /// Half of the instances of a failure domain are paused.
    FreezeHalf {
        /// Index of the domain.
        domain: usize,
    },
    /// An instance of a failure domain is terminated and restarted.
    RollIn {
        /// Index of the domain.
        domain: usize,
    },
    /// The store fails calls of instances.
    Store {
        /// How the store fails them.
        mode: StoreMode,
        /// Share of the instances.
        share: f64,
    },
    /// The store compacts its history.
    Compact,
    /// The store is silent while the servers' entries expire.
    Lapse,
    /// The store comes back from a copy that is as old as the fault is long.
    Restore,
    /// The connections from instances to the store fail.
    Link {
        /// How the connections fail.
        mode: LinkMode,
        /// Share of the instances.
        share: f64,
    },
    /// All instances that watch the store are lost; the others have no fault.
    LoseWatchers {
        /// How they are lost: how their connections to the store fail, or killed if there is none.
        mode: Option<LinkMode>,
    },
    /// A failure domain is partitioned from the others.
    Cut {
        /// Whether the domain can still send.
        one_way: bool,
    },
    /// Datagrams are lost, delayed, duplicated and reordered.
    Weather {
        /// Probability of loss.
        loss: f64,
        /// Probability of duplication.
        doubled: f64,
        /// Maximum delay.
        delay: Duration,
    },
    /// The operator orders a failure domain to be drained, and withdraws the order.
    DrainDomain {
        /// Index of the domain.
        domain: usize,
        /// Whether the order is marked as being deleted before it is removed.
        marked: bool,
    },
    /// Another writer leaves entries beside those of the servers, and removes them.
    OddEntries {
        /// What is odd about them.
        oddity: Oddity,
    },
    /// A server crashes, and a server of a random service takes over its address.
    Crash,
    /// A server crashes and restarts at its address.
    Restart {
        /// Whether it has a new key.
        renumbered: bool,
    },
    /// Instances lack processor time, which is no fault: they stand still for moments.
    Starve {
        /// Share of all instances.
        share: f64,
        /// Longest of these moments.
        longest: Duration,
    },
    /// A route that callers use is dropped, and comes back with many others.
    DropRoute,
    /// The open connections from instances to the store go silent for good; new ones work.
    SilentConnections,
    /// The last heartbeats of servers that have ended arrive at the store.
    LateEntries,
    /// A server is paused.
    FreezeServer,
}

impl Fault {
    /// Returns whether this is planned maintenance, which must not break open flows.
    pub fn is_maintenance(self) -> bool {
        matches!(
            self,
            Self::Roll
                | Self::Reload { .. }
                | Self::RollIn { .. }
                | Self::Routes { .. }
                | Self::ManyRoutes
                | Self::Drain
                | Self::DrainDomain { .. }
                | Self::OddEntries { .. }
                | Self::DropRoute
                | Self::Starve { .. }
        )
    }

    /// Returns whether the bounds stay in force for the instances that a fault does not hit.
    pub fn hits_single_instances(self) -> bool {
        matches!(self, Self::LoseWatchers { .. } | Self::FreezeHalf { .. })
    }

    /// Returns whether this leaves the machines and servers that it does not hit in touch with the
    /// store and each other, so that they have to keep flows.
    pub fn leaves_others_in_touch(self) -> bool {
        let hits_machine = matches!(self, Self::Kill { .. } | Self::Freeze | Self::FreezeServer);
        let hits_server = matches!(self, Self::Crash | Self::Restart { .. } | Self::LateEntries);
        hits_machine || hits_server || self.hits_single_instances() || self.is_maintenance()
    }

    /// Returns the name used in logs and in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Roll => "roll",
            Self::Reload { .. } => "reload",
            Self::Routes { .. } => "routes",
            Self::ManyRoutes => "many-routes",
            Self::Drain => "drain",
            Self::Kill { .. } => "kill",
            Self::Freeze => "freeze",
            Self::FreezeHalf { .. } => "freeze-half",
            Self::RollIn { .. } => "roll-in",
            Self::Store { .. } => "store",
            Self::Compact => "compact",
            Self::Lapse => "lapse",
            Self::Restore => "restore",
            Self::Link { .. } => "link",
            Self::LoseWatchers { .. } => "lose-watchers",
            Self::Cut { .. } => "cut",
            Self::Weather { .. } => "weather",
            Self::DrainDomain { .. } => "drain-domain",
            Self::OddEntries { .. } => "odd-entries",
            Self::Crash => "crash",
            Self::Restart { .. } => "restart",
            Self::Starve { .. } => "starve",
            Self::DropRoute => "drop-route",
            Self::SilentConnections => "silent-connections",
            Self::LateEntries => "late-entries",
            Self::FreezeServer => "freeze-server",
        }
    }
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Time at which it begins.
    pub at: Duration,
    /// Duration; unused by faults that take effect at once.
    pub duration: Duration,
    /// Kind of the fault.
    pub fault: Fault,
}

/// Generates restores of the store from copies that are much older than the settling time after a
/// fault, each followed by drains that have to be known before the revisions of the copy's time are
/// given out again.
pub fn restore_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME;
    while at + COPY_AGE + DRAINS_AFTER_RESTORE.end < end {
        faults.push(ScheduledFault { at, duration: COPY_AGE, fault: Fault::Restore });
        let restored = at + COPY_AGE;
        // Most servers are replaced meanwhile, so that their entries have revisions that the copy
        // does not have.
        let mut replaced = at + REPLACEMENT_INTERVAL;
        while replaced < restored {
            faults.push(ScheduledFault {
                at: replaced,
                duration: Duration::ZERO,
                fault: Fault::Drain,
            });
            replaced += REPLACEMENT_INTERVAL;
        }
        let mut drain = restored + DRAINS_AFTER_RESTORE.start;
        while drain < restored + DRAINS_AFTER_RESTORE.end {
            faults.push(ScheduledFault {
                at: drain,
                duration: Duration::ZERO,
                fault: Fault::Drain,
            });
            drain += Duration::from_millis(rng.random_range(150..500));
        }
        at = drain + COPY_AGE;
    }
    faults
}

/// Generates orders to drain a failure domain. Most are in force for longer than the time within
/// which they have to be obeyed, and they overlap at times.
pub fn domain_orders(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let mut orders = Vec::new();
    let mut at = STARTUP_TIME;
    while at < end {
        let duration = Duration::from_millis(rng.random_range(3_000..14_000)).min(end - at);
        orders.push(drain_domain(at, duration, rng));
        at += Duration::from_millis(rng.random_range(6_000..16_000));
    }
    orders
}

fn drain_domain(at: Duration, duration: Duration, rng: &mut SmallRng) -> ScheduledFault {
    let fault = Fault::DrainDomain { domain: rng.random_range(0..3), marked: rng.random() };
    ScheduledFault { at, duration, fault }
}

/// Generates orders to drain a failure domain, each in the middle of one other fault: all instances
/// are killed, a partition, an outage of the store with kills, or a restore of the store from a copy
/// without the order.
pub fn domain_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let seconds = Duration::from_secs_f64;
    let mut faults = Vec::new();
    let mut kinds = [0, 1, 2, 3];
    let (mut at, mut round) = (STARTUP_TIME, 0);
    while at + DRILL_ROUND <= end {
        if round % kinds.len() == 0 {
            kinds.shuffle(rng);
        }
        faults.push(drain_domain(at + seconds(0.5), DRILL_ORDER, rng));
        // Each fault with its start in the round and its duration, in seconds.
        let beside: &[(f64, f64, Fault)] = match kinds[round % kinds.len()] {
            0 => &[
                (rng.random_range(0.5..2.0), 0.0, Fault::Kill { share: 1.0 }),
                (6.0, 0.0, Fault::Kill { share: 1.0 }),
            ],
            1 => &[(rng.random_range(0.0..1.5), 7.0, Fault::Cut { one_way: rng.random() })],
            2 => &[
                (0.6, 1.0, Fault::Store { mode: StoreMode::Silent, share: 1.0 }),
                (1.0, 0.0, Fault::Kill { share: 0.4 }),
            ],
            _ => &[
                (0.0, 6.0, Fault::Restore),
                (rng.random_range(1.0..8.0), 0.0, Fault::Kill { share: 0.4 }),
            ],
        };
        for &(start, time, fault) in beside {
            let (at, duration) = (at + seconds(start), seconds(time));
            faults.push(ScheduledFault { at, duration, fault });
        }
        at += DRILL_ROUND;
        round += 1;
    }
    faults
}

/// Generates losses of all instances that watch the store, the second one of each round of those that
/// have taken over. Servers drain, routes change and failure domains are drained before, during and
/// after each loss.
pub fn watcher_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let seconds = Duration::from_secs_f64;
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME + WATCHER_ROUND / 2;
    while at + WATCHER_ROUND <= end {
        let moves = at + seconds(rng.random_range(2.0..5.0));
        for (at, duration) in [(at, moves - at), (moves, at + WATCHER_LOSS - moves)] {
            let is_link = rng.random_bool(0.8);
            let mode = is_link.then(|| random_link_mode(rng));
            faults.push(ScheduledFault { at, duration, fault: Fault::LoseWatchers { mode } });
        }
        let begin = at.saturating_sub(seconds(0.5));
        for _ in 0..CHANGES_PER_ROUND {
            let fault = match rng.random_range(0..4) {
                0 => Fault::Routes { times: 1 },
                _ => Fault::Drain,
            };
            let at = begin + (WATCHER_LOSS + seconds(1.0)).mul_f64(rng.random());
            faults.push(ScheduledFault { at, duration: Duration::ZERO, fault });
        }
        let order = begin + (WATCHER_LOSS / 2).mul_f64(rng.random());
        faults.push(drain_domain(order, DRILL_ORDER, rng));
        at += WATCHER_ROUND;
    }
    faults
}

/// Generates stops in turn in a failure domain, half of whose instances are paused, so that the routers
/// use all of them. The routes grow and change and servers drain before, during and late in the stops.
pub fn stop_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let seconds = Duration::from_secs_f64;
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME * 2;
    while at + STOP_ROUND <= end {
        let domain = rng.random_range(0..3);
        let freeze = Fault::FreezeHalf { domain };
        faults.push(ScheduledFault { at, duration: STOP_FREEZE, fault: freeze });
        // The routers have noticed the pauses by then.
        let first = at + seconds(rng.random_range(1.0..1.8));
        let second = first + seconds(rng.random_range(0.3..4.0));
        let mut push =
            |at, fault| faults.push(ScheduledFault { at, duration: Duration::ZERO, fault });
        push(first, Fault::RollIn { domain });
        push(second, Fault::RollIn { domain });
        // Two changes, as the route that callers use comes back to its service with the third.
        push(at + seconds(rng.random_range(0.8..4.0)), Fault::ManyRoutes);
        if rng.random() {
            push(at + seconds(rng.random_range(0.0..6.0)), Fault::Routes { times: 1 });
        }
        for _ in 0..DRAINS_PER_STOP {
            push(at + STOP_FREEZE.mul_f64(rng.random()), Fault::Drain);
        }
        at += STOP_ROUND;
    }
    faults
}

/// Generates stops in series, which move flows to other instances, while instances lack processor time
/// and servers crash, start again and take over addresses. In half of the rounds a dropped route comes
/// back while connections to the store are silent.
pub fn flow_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let seconds = Duration::from_secs_f64;
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME;
    while at + FLOW_ROUND <= end {
        let mut push = |after: f64, time: f64, fault| {
            let (at, duration) = (at + seconds(after), seconds(time));
            faults.push(ScheduledFault { at, duration, fault });
        };
        let share = [0.0, 0.3, 1.0][rng.random_range(0..3)];
        push(0.0, 14.0, Fault::Starve { share, longest: SHORT_STALL });
        let back = rng.random_range(4.0..6.0);
        if rng.random_bool(0.7) {
            let dropped = rng.random_range(0.3..back);
            push(back - dropped, dropped, Fault::DropRoute);
        }
        if rng.random_bool(0.6) {
            push(back - rng.random_range(0.0..0.3), 0.0, Fault::SilentConnections);
        } else if rng.random_bool(0.3) {
            let delay = Duration::from_millis(rng.random_range(500..4_000));
            let mode = StoreMode::WritesLate(delay);
            push(rng.random_range(0.0..1.0), 1.0, Fault::Store { mode, share: 0.4 });
        }
        for _ in 0..SERVER_FAULTS {
            let fault = match rng.random_range(0..4) {
                0 => Fault::Crash,
                1 => Fault::LateEntries,
                _ => Fault::Restart { renumbered: rng.random() },
            };
            push(rng.random_range(0.0..14.0), 0.0, fault);
        }
        for _ in 0..STOPS_PER_ROUND {
            push(back + rng.random_range(-1.5..4.5), 0.0, Fault::Roll);
            push(rng.random_range(0.0..14.0), 0.0, Fault::Drain);
        }
        push(rng.random_range(0.0..14.0), 0.0, Fault::Routes { times: 1 });
        at += FLOW_ROUND;
    }
    faults
}

/// Generates long stalls of most instances beside lost and late packets, partitions, paused servers and
/// stops, so that packets arrive together with their copies, and what was asked is answered late or never.
pub fn stall_drill(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let seconds = Duration::from_secs_f64;
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME;
    while at + FLOW_ROUND <= end {
        let mut push = |after: f64, time: f64, fault| {
            let (at, duration) = (at + seconds(after), seconds(time));
            faults.push(ScheduledFault { at, duration, fault });
        };
        let (loss, doubled) = (rng.random_range(0.0..0.05), rng.random_range(0.0..0.2));
        let delay = Duration::from_millis(rng.random_range(1..80));
        push(0.0, 14.0, Fault::Weather { loss, doubled, delay });
        let (share, longest) = (rng.random_range(0.3..1.0), LONG_STALL);
        push(0.0, 13.0, Fault::Starve { share, longest });
        if rng.random() {
            let cut = Fault::Cut { one_way: rng.random() };
            push(rng.random_range(1.0..5.0), rng.random_range(1.0..6.0), cut);
        }
        for _ in 0..SERVER_FAULTS {
            let fault = match rng.random_range(0..5) {
                0 => Fault::Crash,
                1 => Fault::LateEntries,
                2 => Fault::Restart { renumbered: rng.random() },
                _ => Fault::FreezeServer,
            };
            push(rng.random_range(0.0..10.0), rng.random_range(0.5..4.0), fault);
        }
        for _ in 0..STOPS_PER_ROUND {
            push(rng.random_range(0.0..13.0), 0.0, Fault::Roll);
            push(rng.random_range(0.0..13.0), 0.0, Fault::Drain);
            push(rng.random_range(0.0..13.0), 0.0, Fault::Routes { times: 1 });
        }
        at += FLOW_ROUND;
    }
    faults
}

/// Generates the faults of a run of the given length.
pub fn schedule(length: Duration, rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let end = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let mut faults = Vec::new();
    let mut at = STARTUP_TIME;
    while at < end {
        let phase = (at - STARTUP_TIME).as_millis() / PHASE_LENGTH.as_millis();
        let fault =
            if phase.is_multiple_of(2) { random_maintenance(rng) } else { random_fault(rng) };
        let duration = Duration::from_millis(rng.random_range(800..5_000)).min(end - at);
        faults.push(ScheduledFault { at, duration, fault });
        // Faults often overlap.
        at += Duration::from_millis(rng.random_range(150..1_600));
    }
    faults
}

fn random_maintenance(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Roll,
        1 => Fault::Reload { signalled: rng.random() },
        2 => Fault::Routes { times: rng.random_range(1..4) },
        _ => Fault::Drain,
    }
}

fn random_fault(rng: &mut SmallRng) -> Fault {
    let share = [0.1, 0.4, 1.0][rng.random_range(0..3)];
    // A third is maintenance, which has to work during faults.
    match rng.random_range(0..19) {
        0..6 => random_maintenance(rng),
        6 | 7 => Fault::Kill { share },
        8 => Fault::Freeze,
        9 => Fault::Store { mode: random_store_mode(rng), share },
        10 => Fault::Compact,
        11 => Fault::Lapse,
        12 => Fault::Link { mode: random_link_mode(rng), share },
        13 => Fault::Cut { one_way: rng.random() },
        14 => Fault::Weather {
            loss: rng.random_range(0.0..0.15),
            doubled: rng.random_range(0.0..0.2),
            delay: Duration::from_millis(rng.random_range(1..80)),
        },
        15 => Fault::Crash,
        16 => Fault::Restart { renumbered: false },
        17 => Fault::Restore,
        _ => Fault::FreezeServer,
    }
}

/// Picks a failing mode of the store.
fn random_store_mode(rng: &mut SmallRng) -> StoreMode {
    let delay = Duration::from_millis(rng.random_range(200..1_500));
    match rng.random_range(0..6) {
        0 => StoreMode::Silent,
        1 => StoreMode::Refuses(503),
        2 => StoreMode::Refuses(429),
        3 => StoreMode::Late(delay),
        4 => StoreMode::LosesAnswers,
        _ => StoreMode::WritesLate(delay),
    }
}
