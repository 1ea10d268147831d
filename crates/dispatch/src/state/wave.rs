//! Maintenance waves.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use strum::Display;
use tamarackproxy::state::ids::HostId;

/// Number of a maintenance wave, chosen by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WaveNumber(pub u64);

impl fmt::Display for WaveNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WaveNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub wave: WaveNumber,
    /// Hosts that are due.
    pub hosts: Vec<HostId>,
    /// Time within which all of them are to be maintained, in milliseconds.
    pub duration_ms: u64,
    /// Hosts that may be down for it at once.
    pub down_max: usize,
}

/// State of a wave as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum WaveState {
    /// Some host's maintenance has not begun.
    Active,
    /// The maintenance of every host has begun or the host is gone.
    Done,
}

/// Value of `wave/<n>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Hosts whose maintenance was ordered and may have begun.
    pub ordered: Vec<HostId>,
    /// Hosts that are done or gone.
    pub done: Vec<HostId>,
}
