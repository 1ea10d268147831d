//! Maintenance waves.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use strum::Display;
use tamarackproxy::state::ids::HostId;

use super::record::{RecordError, decode};

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

/// Maintenance wave as requested by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub wave: WaveNumber,
    /// Hosts to maintain.
    pub hosts: Vec<HostId>,
    /// Time within which the maintenance of all hosts is to be done, in
    /// milliseconds.
    pub duration_ms: u64,
    /// Most hosts that may be down for the wave at once.
    pub down_max: usize,
}

/// State of a wave as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum WaveState {
    /// The maintenance of some host has not begun.
    Active,
    /// The maintenance of every host that still exists has begun.
    Done,
}

/// Value of `wave/<n>`: progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Hosts whose maintenance was ordered and may have begun.
    pub ordered: Vec<HostId>,
    /// Hosts whose maintenance is complete or not due, or that are gone.
    pub done: Vec<HostId>,
    /// Those of the ordered hosts whose maintenance has certainly begun. Left out if
    /// there are none, as in records of earlier versions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<HostId>,
}

impl WaveRecord {
    /// Decodes a record of this version or an earlier one.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the bytes are neither.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        decode(value).or_else(|error| {
            let (ordered, done) = decode(value).map_err(|_| error)?;
            Ok(Self { ordered, done, begun: Vec::new() })
        })
    }
}
