//! The loads under which ways to choose are compared.

use std::time::Duration;

/// A load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// Flows come and go, targets are 60% busy.
    Steady,
    /// All flows are opened within a moment, as after a restart of all instances.
    Herd,
    /// Twice as many callers for some seconds.
    Burst,
    /// New targets join, empty and cold.
    Cold,
    /// Some targets work four times as long.
    Slow,
    /// One instance of each failure domain gets half of the domain's flows.
    Uneven,
    /// One failure domain has a third of the targets that its callers need.
    Lean,
}

impl Pattern {
    /// All loads.
    pub const ALL: [Self; 7] =
        [Self::Steady, Self::Herd, Self::Burst, Self::Cold, Self::Slow, Self::Uneven, Self::Lean];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Herd => "herd",
            Self::Burst => "burst",
            Self::Cold => "cold",
            Self::Slow => "slow",
            Self::Uneven => "uneven",
            Self::Lean => "lean",
        }
    }

    /// Returns when a caller begins, out of a number between 0 and 1.
    pub fn begin(self, drawn: f64) -> Duration {
        let within = match self {
            Self::Herd => Duration::from_millis(50),
            _ => Duration::from_secs(3),
        };
        within.mul_f64(drawn)
    }

    /// Returns the part of the instances of a domain among which a caller is drawn, out of a
    /// number between 0 and 1.
    pub fn instance(self, count: usize, drawn: f64) -> usize {
        match self {
            Self::Uneven if drawn < 0.5 => 0,
            Self::Uneven => ((drawn * 2.0 - 1.0) * count as f64) as usize,
            _ => (drawn * count as f64) as usize,
        }
    }
}
