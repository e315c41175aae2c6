//! Bootstrap of a new instance: which lists it needs before it is ready.

use std::time::Duration;

use super::{ListKind, ListVersions};

/// Time that a new instance waits for a peer's digest after the platform's reply, since the
/// platform may have replied with an old state.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to reach the versions of a peer; after it, older versions suffice.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// State of the bootstrap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Bootstrap {
    /// Neither the platform nor a peer has replied.
    NoSource,
    /// The platform has replied; a peer with newer versions may still reply. Holds the time
    /// at which the wait for one began.
    PlatformOnly(Option<Duration>),
    /// A peer has announced its versions. Holds them, as this instance has to reach them, and
    /// the time of the announcement.
    CatchingUp(ListVersions, Duration),
    /// The instance has what its source had when the bootstrap began, or has timed out.
    Done,
}

impl Bootstrap {
    /// Records a reply of the platform.
    pub(super) fn on_platform(&mut self) {
        if *self == Self::NoSource {
            *self = Self::PlatformOnly(None);
        }
    }

    /// Records the versions of a peer; only the first peer with services counts.
    pub(super) fn on_peer(&mut self, now: Duration, versions: &ListVersions) {
        let no_peer_yet = matches!(self, Self::NoSource | Self::PlatformOnly(_));
        if no_peer_yet && versions.services > 0 {
            *self = Self::CatchingUp(*versions, now);
        }
    }

    /// Completes the bootstrap if the known versions suffice. `alone` is set if no other
    /// instance is live.
    pub(super) fn advance(&mut self, now: Duration, known: &ListVersions, alone: bool) {
        let done = match self {
            Self::NoSource | Self::Done => false,
            Self::PlatformOnly(since) => alone || now >= *since.get_or_insert(now) + PEER_TIMEOUT,
            Self::CatchingUp(goal, since) => {
                let timed_out = now >= *since + CATCH_UP_TIMEOUT;
                known.covers(goal) || (timed_out && has_all_lists(known, goal))
            }
        };
        if done {
            log::info!("lists_ready");
            *self = Self::Done;
        }
    }
}

/// Returns whether some version is known of each list that the other instance has. Without
/// plans every flow would be admitted, so even after the time-out some version is required.
fn has_all_lists(known: &ListVersions, other: &ListVersions) -> bool {
    ListKind::ALL.into_iter().all(|kind| other.get(kind) == 0 || known.get(kind) > 0)
}
