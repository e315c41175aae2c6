//! Logs, metrics and traces.

mod logs;
mod metrics;
mod trace;

pub use self::metrics::MetricsPage;
pub use logs::{finish_logs, flush_logs, start_daemon_logs, start_logs};
pub use trace::{Tracer, report_spans};
