//! What happens in a run, drawn from its seed before it begins.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::proxy::{LinkMode, draw_link};
use crate::emulator::store::StoreMode;

/// Time in which nothing happens at first: all instances start and callers open their flows.
pub const CALM_BEFORE: Duration = Duration::from_secs(5);
/// Time after the last fault by which service is back, as the users ask.
pub const RECOVERY: Duration = Duration::from_secs(12);
/// Time after that in which the service is judged.
pub const CALM_AFTER: Duration = Duration::from_secs(5);
/// Length of a stretch of the run with planned work alone, and of one with everything. Longer
/// than the time after a fault in which nothing is judged.
const STRETCH: Duration = Duration::from_secs(11);

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance is asked to end, and starts again.
    Roll,
    /// An instance's settings file changes, with a signal or without.
    Reload {
        /// Whether the process is told.
        signalled: bool,
    },
    /// The routes change, several times in a row.
    Routes {
        /// How often.
        times: u32,
    },
    /// A server leaves and another one comes.
    Drain,
    /// Instances are killed.
    Kill {
        /// Share of all instances.
        share: f64,
    },
    /// An instance stands still.
    Freeze,
    /// The store treats instances badly.
    Store {
        /// How.
        mode: StoreMode,
        /// Share of the instances.
        share: f64,
    },
    /// The store forgets its history.
    Compact,
    /// The store is away while the servers' entries run out.
    Lapse,
    /// The ways of instances to the store are harmed.
    Link {
        /// How.
        mode: LinkMode,
        /// Share of the instances.
        share: f64,
    },
    /// A failure domain is cut off from the others.
    Cut {
        /// Whether it can still send.
        one_way: bool,
    },
    /// Datagrams are lost, late, doubled and out of order.
    Weather {
        /// Share that is lost.
        loss: f64,
        /// Share that is doubled.
        doubled: f64,
        /// Longest delay.
        delay: Duration,
    },
    /// A server crashes, and its address goes to one of another service.
    Crash,
    /// A server crashes and starts again under its number.
    Restart,
    /// A server stands still.
    FreezeServer,
}

impl Fault {
    /// Tells whether it is planned work, which breaks no open flow.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Roll | Self::Reload { .. } | Self::Routes { .. } | Self::Drain)
    }

    /// Returns the name for logs and the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Roll => "roll",
            Self::Reload { .. } => "reload",
            Self::Routes { .. } => "routes",
            Self::Drain => "drain",
            Self::Kill { .. } => "kill",
            Self::Freeze => "freeze",
            Self::Store { .. } => "store",
            Self::Compact => "compact",
            Self::Lapse => "lapse",
            Self::Link { .. } => "link",
            Self::Cut { .. } => "cut",
            Self::Weather { .. } => "weather",
            Self::Crash => "crash",
            Self::Restart => "restart",
            Self::FreezeServer => "freeze-server",
        }
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, if it lasts.
    pub time: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Draws all that happens in a run of a length.
pub fn plan(length: Duration, rng: &mut SmallRng) -> Vec<Planned> {
    let end = length.saturating_sub(RECOVERY + CALM_AFTER);
    let mut planned = Vec::new();
    let mut at = CALM_BEFORE;
    while at < end {
        let stretch = (at - CALM_BEFORE).as_millis() / STRETCH.as_millis();
        let fault = if stretch.is_multiple_of(2) { work(rng) } else { any(rng) };
        let time = Duration::from_millis(rng.random_range(800..5_000)).min(end - at);
        planned.push(Planned { at, time, fault });
        // In series, and often overlapping.
        at += Duration::from_millis(rng.random_range(150..1_600));
    }
    planned
}

fn work(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Roll,
        1 => Fault::Reload { signalled: rng.random() },
        2 => Fault::Routes { times: rng.random_range(1..4) },
        _ => Fault::Drain,
    }
}

fn any(rng: &mut SmallRng) -> Fault {
    let share = [0.1, 0.4, 1.0][rng.random_range(0..3)];
    // A third is planned work, which has to go on while faults last.
    match rng.random_range(0..18) {
        0..6 => work(rng),
        6 | 7 => Fault::Kill { share },
        8 => Fault::Freeze,
        9 => Fault::Store { mode: draw_mode(rng), share },
        10 => Fault::Compact,
        11 => Fault::Lapse,
        12 => Fault::Link { mode: draw_link(rng), share },
        13 => Fault::Cut { one_way: rng.random() },
        14 => Fault::Weather {
            loss: rng.random_range(0.0..0.15),
            doubled: rng.random_range(0.0..0.2),
            delay: Duration::from_millis(rng.random_range(1..80)),
        },
        15 => Fault::Crash,
        16 => Fault::Restart,
        _ => Fault::FreezeServer,
    }
}

/// Draws a way to treat calls badly.
fn draw_mode(rng: &mut SmallRng) -> StoreMode {
    let late = Duration::from_millis(rng.random_range(200..1_500));
    match rng.random_range(0..6) {
        0 => StoreMode::Silent,
        1 => StoreMode::Refuses(503),
        2 => StoreMode::Refuses(429),
        3 => StoreMode::Late(late),
        4 => StoreMode::LosesAnswers,
        _ => StoreMode::WritesLate(late),
    }
}
