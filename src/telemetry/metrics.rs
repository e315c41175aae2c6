//! The page on which metrics are read, in Prometheus' text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

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
    pub fn install() -> Result<Self, metrics_exporter_prometheus::BuildError> {
        let handle = PrometheusBuilder::new().install_recorder()?;
        Ok(Self { handle })
    }

    /// Returns the page as text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
