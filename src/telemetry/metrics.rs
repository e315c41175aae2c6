//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Histogram buckets for packet decisions, in seconds. A known flow takes about 1 µs, a selection
/// among hundreds of targets about 100 µs; a small machine takes ten times as long.
const DECISION_BUCKETS_S: [f64; 9] = [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2];
/// Histogram buckets for all other times, such as those of responses to callers and of platform
/// calls, in seconds: from a round trip to the longest timeout.
const RESPONSE_BUCKETS_S: [f64; 10] = [0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0];

/// Metrics page of this process.
#[derive(Debug, Clone)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the metrics recorder of this process.
    ///
    /// # Errors
    ///
    /// Fails if the process already has a metrics recorder.
    pub fn install() -> Result<Self, BuildError> {
        let decisions = Matcher::Full("limpetdeck_decision_seconds".to_owned());
        let handle = PrometheusBuilder::new()
            .set_buckets(&RESPONSE_BUCKETS_S)?
            .set_buckets_for_metric(decisions, &DECISION_BUCKETS_S)?
            .install_recorder()?;
        Ok(Self { handle })
    }

    /// Returns the current values in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
