//! The load patterns under which policies are compared.

use std::time::Duration;

/// A load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// The load does not change: flows open and close, and targets are 60% busy.
    Steady,
    /// All callers start within 50 ms, as after a restart of all instances.
    Herd,
    /// The number of callers doubles for some seconds.
    Burst,
    /// New targets join that have no flows and are still warming up.
    Cold,
    /// Some targets take four times as long for a request.
    Slow,
    /// One instance of each failure domain gets half of the domain's flows.
    Uneven,
    /// One failure domain has a third of the targets that its callers need.
    Lean,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 7] =
        [Self::Steady, Self::Herd, Self::Burst, Self::Cold, Self::Slow, Self::Uneven, Self::Lean];

    /// Returns the name on the command line and in the output.
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

    /// Returns the delay before a caller's first request, from a random number from 0 to 1.
    pub fn start_delay(self, random: f64) -> Duration {
        let max_delay = match self {
            Self::Herd => Duration::from_millis(50),
            _ => Duration::from_secs(3),
        };
        max_delay.mul_f64(random)
    }

    /// Returns the index of a caller's instance among the `count` instances of its domain, from a
    /// random number from 0 to 1.
    pub fn instance_index(self, count: usize, random: f64) -> usize {
        match self {
            Self::Uneven if random < 0.5 => 0,
            Self::Uneven => ((random * 2.0 - 1.0) * count as f64) as usize,
            _ => (random * count as f64) as usize,
        }
    }
}
