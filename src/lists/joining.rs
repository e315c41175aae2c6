//! How a new instance learns what the others know before it begins.

use std::time::Duration;

use super::{ListKind, Versions};

/// Time for which a new instance that has the platform's answer waits for another instance,
/// since the platform may have answered with an old state.
const PEER_PATIENCE: Duration = Duration::from_secs(1);
/// Time after which a new instance begins with what it has, though another one told of more.
const JOIN_PATIENCE: Duration = Duration::from_secs(30);

/// How far a new instance has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Joining {
    /// Nobody has told anything yet.
    Alone,
    /// The platform has answered; an instance that knows more may still answer.
    Platform(Option<Duration>),
    /// An instance has told its versions at a time; they have to be reached first.
    Peer(Versions, Duration),
    /// All that others had at the start is known here.
    Done,
}

impl Joining {
    /// Notes that the platform has answered.
    pub(super) fn on_platform(&mut self) {
        if *self == Self::Alone {
            *self = Self::Platform(None);
        }
    }

    /// Notes the versions that another instance has; the first one counts.
    pub(super) fn on_peer(&mut self, now: Duration, versions: &Versions) {
        let waits = matches!(self, Self::Alone | Self::Platform(_));
        if waits && versions.services > 0 {
            *self = Self::Peer(*versions, now);
        }
    }

    /// Looks whether enough is known to begin. `alone` tells that no other instance is live.
    pub(super) fn advance(&mut self, now: Duration, known: &Versions, alone: bool) {
        let done = match self {
            Self::Alone | Self::Done => false,
            Self::Platform(since) => alone || now >= *since.get_or_insert(now) + PEER_PATIENCE,
            Self::Peer(goal, since) => {
                let waited = now >= *since + JOIN_PATIENCE;
                known.covers(goal) || (waited && has_each(known, goal))
            }
        };
        if done {
            log::info!("lists_ready");
            *self = Self::Done;
        }
    }
}

/// Tells whether some version of each list is known that the other has. Without any plans
/// everything would be admitted, so old ones are the least.
fn has_each(known: &Versions, other: &Versions) -> bool {
    ListKind::ALL.into_iter().all(|kind| other.of(kind) == 0 || known.of(kind) > 0)
}
