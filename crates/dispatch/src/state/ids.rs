//! Identifiers of jobs, runs and tasks.

use std::{fmt, str::FromStr};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use tamarackproxy::state::ids::Term;

/// Digits of a job number.
const JOB_DIGITS: usize = 16;
/// Run numbers of one task that are reserved for each term. A task that fails
/// every 10 ms for ten minutes uses fewer.
const RUNS_PER_TERM: u64 = 1 << 16;

/// The text is not a job number; write 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct JobNumberError;

impl std::error::Error for JobNumberError {}

/// Number of a job, chosen by its submitter and written as 16 hexadecimal
/// digits.
///
/// ```
/// use tamarack_dispatch::state::JobNumber;
/// let job: JobNumber = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(job.to_string(), "5c0e7a21d94b36f8");
/// assert!("5c0e".parse::<JobNumber>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobNumber(pub u64);

impl fmt::Display for JobNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobNumber {
    type Err = JobNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_DIGITS || !text.bytes().all(is_digit) {
            return Err(JobNumberError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| JobNumberError)
    }
}

/// Number of one run of a task; a later run has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RunNumber(pub u64);

impl RunNumber {
    /// Returns the number of the run that follows `earlier` runs of the same
    /// term. Runs of a later term are numbered above all runs of an earlier
    /// one, so no start needs a write to the store.
    pub fn in_term(term: Term, earlier: u32) -> Self {
        Self(term.0.saturating_sub(1) * RUNS_PER_TERM + u64::from(earlier) + 1)
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Address of a task: job, occurrence, step and index within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAddress {
    /// The job.
    pub job: JobNumber,
    /// Occurrence of a scheduled job; 0 for others.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
}

impl fmt::Display for TaskAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskAddress {
    type Err = JobNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(JobNumberError);
        let job = part()?.parse()?;
        let occurrence = part()?.parse().map_err(|_| JobNumberError)?;
        let step = part()?.parse().map_err(|_| JobNumberError)?;
        let index = part()?.parse().map_err(|_| JobNumberError)?;
        match parts.next() {
            None => Ok(Self { job, occurrence, step, index }),
            Some(_) => Err(JobNumberError),
        }
    }
}
