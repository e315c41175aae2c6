//! What is counted about a customer that opens more flows than its plan allows.

use std::time::Duration;

use super::figures::Figures;
use super::traffic::{End, Kind};

/// Open flows that the bursting customer may have at one service.
pub const MAX_OPEN: u32 = 600;
/// Flows that it may open in a second.
pub const MAX_NEW: u32 = 100;
/// Time at the beginning in which saved allowances may be used up.
const SAVED: Duration = Duration::from_secs(2);

/// What is counted about a burst.
#[derive(Debug, Default)]
pub struct Burst {
    began: Option<Duration>,
    /// Flows of the bursting customer that were let in, by second since it began.
    admitted: Vec<u32>,
    /// Most open flows of the bursting customer.
    most_open: usize,
    /// Flows of all other customers.
    others: u64,
    /// Refused flows of all other customers.
    others_refused: u64,
}

impl Burst {
    /// Notes that the burst begins.
    pub fn begin(&mut self, now: Duration) {
        self.began = Some(now);
    }

    /// Tells whether the burst has begun.
    pub fn began(&self) -> bool {
        self.began.is_some()
    }

    /// Notes a flow that was opened or refused.
    pub fn note(&mut self, now: Duration, kind: Kind, end: Option<End>) {
        let Some(began) = self.began else { return };
        let refused = end == Some(End::Refused);
        match (kind, end) {
            (Kind::Burst, None) => {
                let second = now.saturating_sub(began).as_secs() as usize;
                self.admitted.resize(self.admitted.len().max(second + 1), 0);
                self.admitted[second] += 1;
            }
            (Kind::Burst, Some(_)) => {}
            (_, None) => self.others += 1,
            (_, Some(_)) => {
                self.others += u64::from(refused);
                self.others_refused += u64::from(refused);
            }
        }
    }

    /// Notes how many flows of the bursting customer are open.
    pub fn note_open(&mut self, open: usize) {
        self.most_open = self.most_open.max(open);
    }

    /// Gives the results to the figures.
    pub fn finish(&self, f: &mut Figures) {
        if self.began.is_none() {
            return;
        }
        let steady = self.admitted.iter().skip(SAVED.as_secs() as usize);
        let fastest = steady.max().copied().unwrap_or(0);
        let open = self.most_open as f64 / f64::from(MAX_OPEN) - 1.0;
        let rate = f64::from(fastest) / f64::from(MAX_NEW) - 1.0;
        f.overshoot = Some(open.max(rate).max(0.0));
        f.wrong_refusals = Some(self.others_refused as f64 / self.others.max(1) as f64);
    }
}
