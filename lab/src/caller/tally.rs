//! Counts of what became of a caller's work.

use derive_more::Display;

/// What became of the work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display(
    "sales_sent={sales_sent} sales_answered={sales_answered} sales_refused={sales_refused} \
     sales_unknown={sales_unknown} wrong_answers={wrong_answers} wrong_service={wrong_service} \
     feeds_opened={feeds_opened} feeds_broken={feeds_broken}"
)]
pub struct Tally {
    /// Sales whose first packet was sent.
    pub sales_sent: u64,
    /// Sales that got their own whole answer.
    pub sales_answered: u64,
    /// Sales that were refused before they were sent.
    pub sales_refused: u64,
    /// Sales whose end the caller does not know.
    pub sales_unknown: u64,
    /// Answers that were not the caller's own or not whole.
    pub wrong_answers: u64,
    /// Answers of another service.
    pub wrong_service: u64,
    /// Feeds that got their first line.
    pub feeds_opened: u64,
    /// Feeds that ended or missed a line.
    pub feeds_broken: u64,
}
