//! Decides when a drained failure domain serves its own callers after all, without I/O.
//!
//! Load pattern: a failure domain is partitioned off while an order to drain it is in force. Its
//! callers still arrive at its instances, which may not use the targets next to them and reach no
//! others. Whether the order has been withdrawn, nobody can tell them.
//!
//! Its targets are used as a last resort, and only while an instance has found out by itself that
//! it reaches neither another failure domain nor the platform. As long as the platform answers, the
//! order binds, and callers are refused at once. An instance therefore asks the platform as soon as
//! the other domains become doubtful, and again each second. It tells its peers if there was an
//! answer, so that they need not ask too; that there was none, each has to see for itself.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Time without an answer after which the platform counts as unreachable. It answers within
/// milliseconds, and within about 350 ms when it is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two questions of an instance that gets no answer, or that watches the platform.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last answer to a peer until an instance that does not watch the platform asks too.
const MAX_PEER_ANSWER_AGE: Duration = Duration::from_secs(2);
/// Longest delay of the first question, so that the answer to another instance arrives before.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(150);

/// What an instance of a drained failure domain sees of the other ones that have targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherDomains {
    /// At least one is not in doubt, or there is none at all.
    Reachable,
    /// All are in doubt.
    Doubtful,
    /// All are unreachable.
    Unreachable,
}

/// What an instance knows of its path to the platform since it asks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Path {
    #[default]
    Unknown,
    /// The platform has answered this instance or a peer.
    Answers,
    /// The last question of this instance has had no answer in time.
    Silent,
}

/// Whether the drained local failure domain may be used.
#[derive(Debug, Default)]
pub struct LastResort {
    /// Whether all other domains are unreachable.
    alone: bool,
    /// Whether this is one of the few instances that watch the platform for the failure domain.
    is_watcher: bool,
    path: Path,
    /// When the question in flight was sent.
    asked: Option<Duration>,
    /// When the next question is due; none while no other domain is in doubt.
    next_question: Option<Duration>,
}

impl LastResort {
    /// Updates what is seen of the other domains; to be called on each tick. Returns whether the
    /// platform is to be asked now.
    pub fn update(
        &mut self,
        now: Duration,
        others: OtherDomains,
        is_watcher: bool,
        rng: &mut SmallRng,
    ) -> bool {
        if others == OtherDomains::Reachable {
            // The answer to a question in flight is of no use any more.
            *self = Self::default();
            return false;
        }
        self.alone = others == OtherDomains::Unreachable;
        self.is_watcher = is_watcher;
        if self.asked.is_some_and(|asked| now >= asked + ANSWER_TIMEOUT) {
            self.path = Path::Silent;
        }
        let first = || now + MAX_FIRST_DELAY.mul_f64(rng.random());
        let is_due = now >= *self.next_question.get_or_insert_with(first);
        if is_due {
            self.asked = Some(now);
            self.next_question = Some(now + ASK_INTERVAL);
        }
        is_due
    }

    /// Records the outcome of a question. Returns whether an answer has come that peers should know.
    pub fn record_outcome(&mut self, answered: bool) -> bool {
        let was_awaited = self.asked.take().is_some() || self.path == Path::Silent;
        if was_awaited {
            self.path = if answered { Path::Answers } else { Path::Silent };
        }
        answered && was_awaited
    }

    /// Records that the platform has answered any call.
    pub fn record_answer(&mut self) {
        if self.next_question.is_some() {
            self.path = Path::Answers;
            self.asked = None;
        }
    }

    /// Records that the platform has answered a peer. Returns whether this is news.
    pub fn record_peer_answer(&mut self, now: Duration) -> bool {
        let Some(due) = self.next_question else { return false };
        if self.path == Path::Silent {
            // The platform may be back for this instance too.
            self.next_question = Some(now);
            return false;
        }
        let interval = if self.is_watcher { ASK_INTERVAL } else { MAX_PEER_ANSWER_AGE };
        // The same answer arrives several times within a small part of the interval.
        let is_news = now + interval > due + ASK_INTERVAL / 2;
        if is_news {
            self.next_question = Some(now + interval);
            self.path = Path::Answers;
        }
        is_news
    }

    /// Returns whether the drained local failure domain may be used.
    pub fn is_active(&self) -> bool {
        self.alone && self.path == Path::Silent
    }

    /// Returns whether this is still to be found out, which takes no longer than the platform's
    /// time limit.
    pub fn is_undecided(&self) -> bool {
        self.alone && self.path == Path::Unknown
    }
}
