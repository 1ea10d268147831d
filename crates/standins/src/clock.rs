//! Clock shared by all stand-ins of a process, so that the times in their records
//! are comparable.

use std::time::Duration;

use tokio::time::Instant;

/// Clock in milliseconds since its start. It follows tokio's time, so that tests can
/// pause it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Waits until this many milliseconds after the start.
    pub async fn sleep_until_ms(&self, at_ms: u64) {
        tokio::time::sleep_until(self.started + Duration::from_millis(at_ms)).await;
    }
}
