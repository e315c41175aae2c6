//! Logs, metrics and traces.

mod logs;
mod metrics;
#[cfg(feature = "spans")]
mod trace;
#[cfg(not(feature = "spans"))]
#[path = "telemetry/no_trace.rs"]
mod trace;

pub use self::metrics::MetricsPage;
pub use logs::{finish_logs, flush_logs, start_daemon_logs, start_logs};
pub use trace::{Span, Tracer, flush_spans, report_spans};
