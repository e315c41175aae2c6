//! What became of requests, second by second.

use std::time::Duration;

/// What became of a request or of a try to open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Served,
    /// An instance refused the flow.
    Refused,
    /// The request got no answer in time.
    Failed,
}

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests that were served.
    pub served: u64,
    /// Flows that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Counts of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// The seconds of the run.
    pub seconds: Vec<Second>,
}

impl Tally {
    /// Counts an outcome.
    pub fn note(&mut self, now: Duration, outcome: Outcome) {
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

    /// Returns the sums from a time on.
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
