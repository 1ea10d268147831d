//! Bounds the records of withdrawn jobs that a process creates.
//!
//! Load pattern: cancellations of jobs that are not stored are rare, but callers may
//! send any number of them, and each creates a record that is kept for a minute.

/// Most records at once, after a time without any.
const BURST: u32 = 256;
/// Interval at which one more may be created, in milliseconds.
const INTERVAL_MS: u64 = 125;

/// Budget of records of withdrawn jobs.
#[derive(Debug)]
pub struct WithdrawalBudget {
    left: u32,
    /// When `left` was last increased, on the local clock.
    increased_ms: u64,
}

impl Default for WithdrawalBudget {
    fn default() -> Self {
        Self { left: BURST, increased_ms: 0 }
    }
}

impl WithdrawalBudget {
    /// Takes one record from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time after which one may be created, in milliseconds, if the
    /// budget is used up.
    pub fn take(&mut self, now_ms: u64) -> Result<(), u64> {
        let intervals = now_ms.saturating_sub(self.increased_ms) / INTERVAL_MS;
        self.increased_ms += intervals * INTERVAL_MS;
        self.left = u64::from(self.left).saturating_add(intervals).min(BURST.into()) as u32;
        if self.left == 0 {
            return Err(self.increased_ms + INTERVAL_MS - now_ms);
        }
        self.left -= 1;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
