//! Which targets answer, learnt from the flows themselves.
//!
//! Answers load pattern "servers fall silent": for the seconds until the platform drops a
//! target, callers must neither be sent there nor be left waiting there.

use std::time::Duration;

use super::token::TargetStart;
use crate::hash::HashMap;

/// Requests or openings that go unanswered in a row before a target counts as silent.
const UNANSWERED: u32 = 2;
/// Time for which a silent target gets no new flows before one is tried again.
const AVOID: Duration = Duration::from_millis(2_500);

#[derive(Debug, Clone, Copy, Default)]
struct Signs {
    /// When the target last answered.
    life: Option<Duration>,
    /// Repeats that went unanswered since.
    unanswered: u32,
    /// When the last of them passed.
    last_unanswered: Duration,
}

/// What is seen of the targets' answers.
#[derive(Debug, Default)]
pub struct Health {
    signs: HashMap<TargetStart, Signs>,
}

impl Health {
    /// Notes that a target has answered. Answers true if it had counted as silent.
    pub fn life(&mut self, now: Duration, target: TargetStart) -> bool {
        let signs = self.signs.entry(target).or_default();
        let was_silent = signs.unanswered >= UNANSWERED;
        *signs = Signs { life: Some(now), ..Signs::default() };
        was_silent
    }

    /// Notes that what was sent to a target some time ago was not answered. Answers true if
    /// the target counts as silent from now on.
    pub fn unanswered(&mut self, now: Duration, target: TargetStart, waited: Duration) -> bool {
        let signs = self.signs.entry(target).or_default();
        let sent = now.saturating_sub(waited);
        if signs.life.is_some_and(|life| life >= sent) {
            // It has answered others since: the packet or its answer was lost on the way.
            return false;
        }
        signs.unanswered += 1;
        signs.last_unanswered = now;
        signs.unanswered == UNANSWERED
    }

    /// Tells whether a target counts as silent.
    pub fn is_silent(&self, now: Duration, target: TargetStart) -> bool {
        let silent = |signs: &Signs| {
            signs.unanswered >= UNANSWERED && now < signs.last_unanswered + AVOID
        };
        self.signs.get(&target).is_some_and(silent)
    }

    /// Forgets targets of which nothing was seen for a time.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        let last = |signs: &Signs| signs.last_unanswered.max(signs.life.unwrap_or_default());
        self.signs.retain(|_, signs| now < last(signs) + after);
    }
}
