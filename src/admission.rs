//! Admission control for new flows, by the customer's plan and its allowances.
//!
//! Admission runs on the placer of a service, the instance that selects the targets of its
//! new flows: it sees the first packet and the end of every flow of the service. It holds a
//! count of open flows and a token bucket for each customer and service. These counts are not
//! replicated: when another instance becomes the placer, the owners of the open flows report
//! them to it.

mod account;
mod bucket;
mod decaying_count;
mod flow_counts;
mod message;
mod retry;
mod rule_admission;
mod takeover;
mod tombstones;
mod unreported_ends;

pub use crate::pipeline::{Admission, AdmitAll, OpenFlow, OpenFlowQuery, Refusal};
pub use message::Message;
pub use retry::RetryAfter;
pub use rule_admission::RuleAdmission;
pub use takeover::Takeovers;
