//! Decisions under load and about faulty targets: which target gets a flow, which caller waits, and
//! which targets are avoided.
//!
//! These modules do no I/O and read no clock. Each names the load pattern that it answers, and can
//! be tested, or used in a forwarder of one's own, without a network.

mod connection_checks;
pub(super) mod domain_load;
pub(super) mod domain_reach;
pub(super) mod health;
pub(super) mod last_resort;
pub(super) mod late_openings;
pub(super) mod opening_copies;
pub(super) mod overdue;
pub(super) mod platform_contact;
pub(super) mod seen_instances;
pub(super) mod selection;
pub(super) mod service_choice;
pub(super) mod steadiness;
pub(super) mod warm_up;
