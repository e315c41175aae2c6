//! Metrics in the Prometheus text format.

use derive_more::{Display, Error, From};
use metrics_prometheus::failure::strategy::NoOp;
use prometheus::{HistogramOpts, HistogramVec, Registry, TextEncoder};

/// Histogram buckets for packet decisions, in seconds. A known flow takes about 1 µs, a selection
/// among hundreds of targets about 100 µs; a small machine takes ten times as long.
const DECISION_BUCKETS_S: [f64; 9] = [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2];
/// Histogram buckets for all other times, such as those of responses to callers and of platform
/// calls, in seconds: from a round trip to the longest timeout.
const RESPONSE_BUCKETS_S: [f64; 10] = [0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0];
/// Name, labels and buckets of each histogram.
const HISTOGRAMS: [(&str, &[&str], &[f64]); 4] = [
    ("limpetdeck_decision_seconds", &[], &DECISION_BUCKETS_S),
    ("limpetdeck_answer_seconds", &[], &RESPONSE_BUCKETS_S),
    ("limpetdeck_platform_call_seconds", &[], &RESPONSE_BUCKETS_S),
    ("limpetdeck_retry_after_seconds", &["reason"], &RESPONSE_BUCKETS_S),
];

/// The metrics of this process cannot be set up.
#[derive(Debug, Display, Error, From)]
pub enum MetricsError {
    /// A histogram cannot be registered.
    #[display("metrics: {_0}")]
    Register(prometheus::Error),
    /// The process already has a metrics recorder.
    #[display("metrics: {_0}")]
    Install(metrics::SetRecorderError<metrics_prometheus::Recorder<NoOp>>),
}

/// Metrics page of this process.
#[derive(Debug, Clone)]
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// Installs the metrics recorder of this process.
    ///
    /// # Errors
    ///
    /// Fails if the process already has a metrics recorder.
    pub fn install() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let mut builder = metrics_prometheus::Recorder::builder().with_registry(&registry);
        for (name, labels, buckets) in HISTOGRAMS {
            let options = HistogramOpts::new(name, name).buckets(buckets.to_vec());
            builder = builder.try_with_metric(HistogramVec::new(options, labels)?)?;
        }
        metrics::set_global_recorder(builder.with_failure_strategy(NoOp).build())?;
        Ok(Self { registry })
    }

    /// Returns the current values in the Prometheus text format.
    pub fn render(&self) -> String {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(page) => page,
            Err(e) => {
                log::error!(problem = e.to_string().as_str(); "metrics_unwritable");
                String::new()
            }
        }
    }
}
