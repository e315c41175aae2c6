//! Admission of new flows by the customer's plan and its allowances.
//!
//! Admission is asked on the instance that places a service's new flows, which sees the
//! first packet and the end of every flow of that service.

pub use crate::pipeline::{Admission, AdmitAll, Refusal};
