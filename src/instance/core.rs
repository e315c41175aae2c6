//! Interface between a daemon and the logic that it runs.

use std::time::Duration;

use super::{Action, Event, Status};

/// Logic of an instance without sockets or a clock: events in, actions out.
pub trait Core {
    /// Handles an event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>);

    /// Returns whether the fabric should send packets to this instance.
    fn healthy(&self) -> bool;

    /// Returns the status that operators query.
    fn status(&self, now: Duration) -> Status;
}
