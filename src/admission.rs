//! Admission of new flows by the customer's plan and its allowances.
//!
//! Admission is asked on the instance that places a service's new flows, which sees the
//! first packet and the end of every flow of that service. Counts of open flows and token
//! buckets stand there, for each customer and service. Only when another instance becomes the
//! placer of a service is it told the open flows, by the instances that own them.

mod account;
mod bucket;
mod ends;
mod ledger;
mod message;
mod recent;
mod retry;
mod rule_admission;
mod take_over;
mod tombstones;

pub use crate::pipeline::{Admission, AdmitAll, OpenFlow, Question, Refusal};
pub use message::Message;
pub use retry::RetryAfter;
pub use rule_admission::RuleAdmission;
pub use take_over::TakeOvers;
