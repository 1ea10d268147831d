//! Logging as JSON lines, and metrics in the Prometheus text format.

mod logging;
mod metrics;

pub use self::logging::{LoggingError, init_logging};
pub use self::metrics::render_metrics;
