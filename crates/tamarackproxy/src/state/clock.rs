//! Clock readings that are passed to the engines.

use serde::{Deserialize, Serialize};

/// One reading of both clocks of a process.
///
/// Engines never read a clock: the event loop passes a reading with each event,
/// so that tests and measurements can run on virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClockReading {
    /// Milliseconds on the process's monotonic clock; the origin is arbitrary.
    pub monotonic_ms: u64,
    /// Milliseconds since the Unix epoch on the wall clock, which may jump.
    pub unix_ms: u64,
}

impl ClockReading {
    /// Creates a reading from both clocks, in milliseconds.
    pub fn new(monotonic_ms: u64, unix_ms: u64) -> Self {
        Self { monotonic_ms, unix_ms }
    }

    /// Returns the reading `duration_ms` milliseconds later on both clocks.
    #[must_use]
    pub fn after_ms(self, duration_ms: u64) -> Self {
        Self::new(
            self.monotonic_ms.saturating_add(duration_ms),
            self.unix_ms.saturating_add(duration_ms),
        )
    }
}
