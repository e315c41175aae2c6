//! Request outcomes for each second of a run.

use std::time::Duration;

/// Outcome of a request or of an attempt to open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Served,
    /// An instance refused the flow.
    Refused,
    /// The request got no response in time.
    Failed,
}

/// Counts for one second, or sums over several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests that were served.
    pub served: u64,
    /// Flows that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Counts for a whole run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Counts by second since the start.
    pub seconds: Vec<Second>,
}

impl Tally {
    /// Counts an outcome in the current second.
    pub fn record(&mut self, now: Duration, outcome: Outcome) {
        let i = now.as_secs() as usize;
        if self.seconds.len() <= i {
            self.seconds.resize(i + 1, Second::default());
        }
        let second = &mut self.seconds[i];
        match outcome {
            Outcome::Served => second.served += 1,
            Outcome::Refused => second.refused += 1,
            Outcome::Failed => second.failed += 1,
        }
    }

    /// Returns the sums over the seconds from the one that contains `from`.
    pub fn since(&self, from: Duration) -> Second {
        let mut sum = Second::default();
        for second in self.seconds.iter().skip(from.as_secs() as usize) {
            sum.served += second.served;
            sum.refused += second.refused;
            sum.failed += second.failed;
        }
        sum
    }
}
