//! Counters of a caller's sales and feeds.

use derive_more::Display;

/// Counters of sales and feeds, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display(
    "sales_sent={sales_sent} sales_answered={sales_answered} sales_refused={sales_refused} \
     sales_unknown={sales_unknown} wrong_answers={wrong_answers} wrong_service={wrong_service} \
     feeds_opened={feeds_opened} feeds_broken={feeds_broken}"
)]
pub struct Tally {
    /// Sales whose connection was opened.
    pub sales_sent: u64,
    /// Sales with a correct response.
    pub sales_answered: u64,
    /// Sales whose connection ended before the request was sent, or which the target did not
    /// execute.
    pub sales_refused: u64,
    /// Sales without a response, which may have been executed.
    pub sales_unknown: u64,
    /// Responses to sales that were malformed or belonged to another request.
    pub wrong_answers: u64,
    /// Responses and feed lines from another service.
    pub wrong_service: u64,
    /// Feeds that received their first line.
    pub feeds_opened: u64,
    /// Feeds that ended early, missed a line or never opened.
    pub feeds_broken: u64,
}
