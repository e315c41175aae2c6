//! Decisions under load and about faulty targets: which target gets a flow, which caller waits, and
//! which targets are avoided.
//!
//! These modules do no I/O and read no clock. Each names the load pattern that it answers, and can
//! be tested, or used in a forwarder of one's own, without a network.

pub(super) mod admission;
pub(super) mod domain_load;
pub(super) mod health;
pub(super) mod late_openings;
pub(super) mod overdue;
pub(super) mod response_times;
pub(super) mod selection;
