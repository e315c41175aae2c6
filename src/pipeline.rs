//! The packet pipeline of one instance.
//!
//! `decode` → `classify` → `admit` → `place` → `forward` or `answer`. Each step takes the
//! output of the previous one. A step that rejects a packet ends the pipeline with a reason.

mod admit;
mod forward;
mod reply;
mod run;

pub use admit::{Admission, AdmitAll, OpenFlow, OpenFlowQuery, Refusal};
pub use run::{Discard, Outcome, Pipeline};
