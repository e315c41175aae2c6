//! Connection checks that are in flight, one at a time for each address.
//!
//! A result says whether an address accepts connections, not which target did. Targets that start at
//! the address of an earlier one, or again, wait for a check of their own: the result of one that
//! began before says nothing about them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::token::TargetIncarnation;

/// A check in flight.
#[derive(Debug)]
struct InFlight {
    began: Duration,
    /// The target that is checked; none if the check is a probe of its failure domain.
    target: Option<TargetIncarnation>,
    /// Targets whose checks begin once this one has ended.
    waiting: Vec<TargetIncarnation>,
}

/// A check of a target that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndedCheck {
    /// When it began.
    pub began: Duration,
    /// The target.
    pub target: TargetIncarnation,
}

/// The checks in flight, and those to be started.
#[derive(Debug, Default)]
pub(super) struct ConnectionChecks {
    in_flight: HashMap<SocketAddr, InFlight>,
    /// Addresses to connect to.
    pending: Vec<SocketAddr>,
}

impl ConnectionChecks {
    /// Requests a check of a target. It begins after the one of its address that is in flight, if there
    /// is one.
    pub(super) fn request(
        &mut self,
        now: Duration,
        target: TargetIncarnation,
        address: SocketAddr,
    ) {
        match self.in_flight.get_mut(&address) {
            Some(check) if check.waiting.contains(&target) => {}
            Some(check) => check.waiting.push(target),
            None => self.begin(now, Some(target), address, Vec::new()),
        }
    }

    /// Returns whether a check or a probe of an address is in flight.
    pub(super) fn is_in_flight(&self, address: SocketAddr) -> bool {
        self.in_flight.contains_key(&address)
    }

    /// Begins a probe, whose connection the caller starts.
    pub(super) fn begin_probe(&mut self, now: Duration, address: SocketAddr) {
        let probe = InFlight { began: now, target: None, waiting: Vec::new() };
        self.in_flight.insert(address, probe);
    }

    /// Ends the check of an address, and begins the next one. Returns the ended one if it was that of a
    /// target.
    pub(super) fn end(&mut self, now: Duration, address: SocketAddr) -> Option<EndedCheck> {
        let InFlight { began, target, mut waiting } = self.in_flight.remove(&address)?;
        if !waiting.is_empty() {
            let next = waiting.remove(0);
            self.begin(now, Some(next), address, waiting);
        }
        target.map(|target| EndedCheck { began, target })
    }

    /// Removes and returns the addresses to connect to.
    pub(super) fn take_pending(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.pending)
    }

    fn begin(
        &mut self,
        now: Duration,
        target: Option<TargetIncarnation>,
        address: SocketAddr,
        waiting: Vec<TargetIncarnation>,
    ) {
        self.in_flight.insert(address, InFlight { began: now, target, waiting });
        self.pending.push(address);
    }
}
