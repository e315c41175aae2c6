//! The way of a packet through one instance, as a row of filters.
//!
//! `decode` → `classify` → `admit` → `place` → `forward` or `answer`. Each filter takes
//! what the one before it gives; a packet that one does not let through ends there with a
//! reason.

mod admit;
mod answer;
mod forward;
mod run;

pub use admit::{Admission, AdmitAll, OpenFlow, Question, Refusal};
pub use run::{Discard, Outcome, Pipeline};
