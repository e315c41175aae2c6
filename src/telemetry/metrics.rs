//! The page on which metrics are read, in Prometheus' text format.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the times of decisions in seconds: a known flow takes a microsecond, a
/// choice among hundreds of targets some hundred, on a small machine ten times that.
const DECISION_BOUNDS: [f64; 9] = [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2];
/// Upper bounds of the times that callers and the platform are answered in, in seconds: from
/// a round trip to the longest timeout.
const ANSWER_BOUNDS: [f64; 10] = [0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0];

/// The metrics of this process.
#[derive(Debug, Clone)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Starts recording for this process.
    ///
    /// # Errors
    ///
    /// Fails if the process already records metrics elsewhere.
    pub fn install() -> Result<Self, BuildError> {
        let decisions = Matcher::Full("limpetdeck_decision_seconds".to_owned());
        let handle = PrometheusBuilder::new()
            .set_buckets(&ANSWER_BOUNDS)?
            .set_buckets_for_metric(decisions, &DECISION_BOUNDS)?
            .install_recorder()?;
        Ok(Self { handle })
    }

    /// Returns the page as text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
