//! Decides when an instance reads the platform because nobody else seems to.
//!
//! Load pattern: a few instances of each failure domain watch the platform for all of them. A
//! partition, a pause or a crash can hit all watchers at once. The others still reach the platform,
//! but the membership counts the watchers as live for seconds or for as long as they run.
//!
//! The instances of a failure domain therefore tell each other how long ago the platform has
//! answered one of them. Once that is too long ago, any of them may poll the platform, chosen at
//! random: whoever has lost contact, others come next. The rate is that of the whole failure domain
//! and falls with time, so that it depends neither on the number of instances nor, if the platform
//! answers nobody, on the length of the outage.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Age of the last contact above which a watcher polls the platform.
const MAX_WATCHER_AGE: Duration = Duration::from_millis(900);
/// Age of the last contact above which any other instance does. A change that follows right after
/// the last contact then has half of 3 s left to spread.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time for which a failure domain polls at the highest rate.
const FAST_PERIOD: Duration = Duration::from_millis(400);
/// Polls per second of all watchers of a failure domain within the fast period.
const MAX_WATCHER_RATE: f64 = 8.0;
/// Polls per second of all other instances of a failure domain within the fast period. If a third of
/// them are without the platform, all polls of the first second fail once in 4,000 losses.
const MAX_RATE: f64 = 20.0;
/// Polls per second of a failure domain whose instances have been without contact for long.
const MIN_RATE: f64 = 0.5;
/// Time without contact after which the platform was down for the whole failure domain: longer than
/// it takes until another instance polls. Few entries of targets expire sooner.
const MIN_OUTAGE: Duration = Duration::from_secs(2);
/// Time after an outage for which entries of living targets may still be missing: those that have
/// expired are written again within two seconds.
const OUTAGE_RECOVERY: Duration = Duration::from_millis(2_300);
/// Difference from which a later contact is passed on.
const MIN_GAIN: Duration = Duration::from_millis(400);

/// How an instance takes part in the polls of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRole {
    /// Whether it watches the platform.
    pub watches: bool,
    /// Number of instances that have the same role, this one included.
    pub sharers: usize,
}

impl PollRole {
    fn max_age(self) -> Duration {
        if self.watches { MAX_WATCHER_AGE } else { MAX_AGE }
    }

    fn max_rate(self) -> f64 {
        if self.watches { MAX_WATCHER_RATE } else { MAX_RATE }
    }
}

/// When the platform last answered an instance of the failure domain.
#[derive(Debug)]
pub struct PlatformContact {
    /// The latest time up to which some instance is known to know all changes.
    last: Duration,
    /// The first contact since the start, or after the last outage for the whole failure domain.
    regained: Option<Duration>,
    /// The latest contact that this instance has told peers, or heard from them.
    told: Duration,
    last_draw: Duration,
    polling: bool,
    rng: SmallRng,
}

impl PlatformContact {
    /// Creates the state of an instance that starts now, which counts as a contact.
    pub fn new(now: Duration, rng: SmallRng) -> Self {
        Self { last: now, regained: None, told: now, last_draw: now, polling: false, rng }
    }

    /// Returns the time since the last contact.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last)
    }

    /// Records that this instance or a peer knows all changes up to a time. Returns whether peers are
    /// to be told.
    pub fn record(&mut self, at: Duration) -> bool {
        if self.regained.is_none() || at >= self.last + MIN_OUTAGE {
            self.regained = Some(at);
        }
        self.last = self.last.max(at);
        let is_news = at >= self.told + MIN_GAIN;
        if is_news {
            self.told = at;
        }
        is_news
    }

    /// Returns whether the platform may lack entries of living targets, as it was down for the whole
    /// failure domain until lately. An instance without any contact so far cannot tell.
    pub fn may_lack_entries(&self, now: Duration) -> bool {
        let is_recovering = self.regained.is_none_or(|at| now < at + OUTAGE_RECOVERY);
        is_recovering || self.age(now) >= MIN_OUTAGE
    }

    /// Returns whether this instance is to poll the platform now; to be called on each tick. After a
    /// poll, [`PlatformContact::end_poll`] has to follow.
    pub fn starts_poll(&mut self, now: Duration, role: PollRole) -> bool {
        let elapsed = now.saturating_sub(self.last_draw);
        self.last_draw = now;
        let Some(overdue) = self.age(now).checked_sub(role.max_age()) else { return false };
        if self.polling {
            return false;
        }
        // A pause of the process is no reason to poll sooner.
        let elapsed = elapsed.min(FAST_PERIOD).as_secs_f64();
        let chance = poll_rate(role.max_rate(), overdue) * elapsed / role.sharers.max(1) as f64;
        self.polling = self.rng.random_bool(chance.clamp(0.0, 1.0));
        self.polling
    }

    /// Records that a poll has ended, with or without an answer.
    pub fn end_poll(&mut self) {
        self.polling = false;
    }
}

/// Returns the polls per second of a failure domain some time after they have begun.
fn poll_rate(max: f64, overdue: Duration) -> f64 {
    let fast = FAST_PERIOD.as_secs_f64();
    let slowdown = overdue.as_secs_f64().max(fast) / fast;
    (max / (slowdown * slowdown)).max(MIN_RATE)
}
