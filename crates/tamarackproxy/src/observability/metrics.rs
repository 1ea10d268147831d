//! The process's metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Returns all metrics in the Prometheus text format; the first call installs the
/// recorder.
pub fn render_metrics() -> String {
    let handle = RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
    handle.as_ref().map_or_else(String::new, PrometheusHandle::render)
}
