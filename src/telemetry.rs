//! Logs, metrics and traces.

mod logs;
mod metrics;
mod trace;

pub use self::metrics::MetricsPage;
pub use logs::start_logs;
pub use trace::{Tracer, report_spans};
