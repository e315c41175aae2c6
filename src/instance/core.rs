//! What a daemon drives.

use std::time::Duration;

use super::{Action, Event, Status};

/// The decisions of an instance: events in, actions out, no sockets and no clock.
pub trait Core {
    /// Takes an event and adds what is to be done to `out`.
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>);

    /// Tells whether packets should be sent here.
    fn healthy(&self) -> bool;

    /// Returns the state that operators ask for.
    fn status(&self, now: Duration) -> Status;
}
