//! Log lines about starts and ends of runs.
//!
//! Load pattern: in a surge, thousands of runs start and end in a second. A line
//! for each would exceed the rate limit of the log, so those of a placement
//! round share one.

use std::fmt::{self, Write};

use tamarackproxy::state::ids::{PoolId, Term};

/// Length from which on a line is written before the round is over, in bytes: a
/// line fits into one atomic write to a pipe.
const LINE_MAX_BYTES: usize = 3_000;

/// Starts and ends that are not logged yet.
#[derive(Debug, Default)]
pub(super) struct Trail {
    starts: String,
    ends: String,
}

fn append(line: &mut String, separator: &str, text: fmt::Arguments<'_>) {
    if !line.is_empty() {
        line.push_str(separator);
    }
    // Writing to a string cannot fail.
    let _ = line.write_fmt(text);
}

impl Trail {
    /// Adds the starts of one step's tasks.
    pub(super) fn add_starts(&mut self, starts: fmt::Arguments<'_>) {
        append(&mut self.starts, "; ", starts);
    }

    /// Adds the ends that a worker listed.
    pub(super) fn add_ends(&mut self, ends: fmt::Arguments<'_>) {
        append(&mut self.ends, "; ", ends);
    }

    /// Returns whether the lines are long enough to be written now.
    pub(super) fn is_full(&self) -> bool {
        self.starts.len() + self.ends.len() >= LINE_MAX_BYTES
    }

    /// Writes the lines.
    pub(super) fn flush(&mut self, pool: &PoolId, term: Term) {
        let (starts, ends) = self.take();
        let (pool, term) = (pool.as_str(), term.0);
        if !ends.is_empty() {
            log::info!(pool = pool, term = term, ends = ends.as_str(); "runs ended");
        }
        if !starts.is_empty() {
            log::info!(pool = pool, term = term, starts = starts.as_str(); "starts ordered");
        }
    }

    /// Returns the starts and the ends that are not logged yet.
    fn take(&mut self) -> (String, String) {
        (std::mem::take(&mut self.starts), std::mem::take(&mut self.ends))
    }
}

#[cfg(test)]
mod tests;
