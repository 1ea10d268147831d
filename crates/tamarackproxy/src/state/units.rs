//! Newtypes for durations, sizes, rates and shares, with their text form.

use std::{fmt, str::FromStr};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Reasons why a text is not a quantity.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum UnitError {
    /// {0:?} is not a duration; write a number with ms, s, min, h or d, such as 250ms
    Duration(Box<str>),
    /// {0:?} is not a size; write a number with B, KiB, MiB or GiB, such as 128GiB
    Size(Box<str>),
    /// {0:?} is not a percentage; write a number from 0 to 100 with %, such as 99.9%
    Percentage(Box<str>),
    /// {0:?} is not a rate; write a number with /s, such as 25/s
    Rate(Box<str>),
}

impl std::error::Error for UnitError {}

fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    (&text[..end], text[end..].trim())
}

/// Writes `value` in the largest unit that divides it without remainder.
fn write_scaled(
    f: &mut fmt::Formatter<'_>,
    value: u64,
    units: &[(u64, &'static str)],
) -> fmt::Result {
    let (factor, unit) = units
        .iter()
        .rfind(|&&(factor, _)| value >= factor && value.is_multiple_of(factor))
        .or(units.first())
        .copied()
        .unwrap_or((1, ""));
    write!(f, "{}{unit}", value / factor)
}

fn parse_scaled(text: &str, units: &[(u64, &'static str)]) -> Option<u64> {
    let (number, unit) = split_unit(text.trim());
    let factor = units.iter().find(|&&(_, name)| name == unit)?.0;
    number.parse::<u64>().ok()?.checked_mul(factor)
}

const DURATION_UNITS: &[(u64, &str)] =
    &[(1, "ms"), (1_000, "s"), (60_000, "min"), (3_600_000, "h"), (86_400_000, "d")];

/// A duration in milliseconds.
///
/// ```
/// use tamarackproxy::state::units::DurationMs;
/// let timeout: DurationMs = "1500ms".parse().unwrap();
/// assert_eq!(timeout.as_ms(), 1500);
/// assert_eq!(DurationMs::new(60_000).to_string(), "1min");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationMs(u64);

impl DurationMs {
    /// Creates a duration from milliseconds.
    pub const fn new(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// Returns the duration in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, DURATION_UNITS)
    }
}

impl FromStr for DurationMs {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_scaled(text, DURATION_UNITS).map(Self).ok_or_else(|| UnitError::Duration(text.into()))
    }
}

const SIZE_UNITS: &[(u64, &str)] =
    &[(1, "B"), (1 << 10, "KiB"), (1 << 20, "MiB"), (1 << 30, "GiB")];

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SizeBytes(u64);

impl SizeBytes {
    /// Creates a size from bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for SizeBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, SIZE_UNITS)
    }
}

impl FromStr for SizeBytes {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_scaled(text, SIZE_UNITS).map(Self).ok_or_else(|| UnitError::Size(text.into()))
    }
}

/// A share of a whole, from 0 to 1; a percentage in text.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(f64);

impl Share {
    /// Creates a share; values outside 0 to 1 are clamped.
    pub fn new(fraction: f64) -> Self {
        Self(fraction.clamp(0.0, 1.0))
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn as_fraction(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", (self.0 * 1e8).round() / 1e6)
    }
}

impl FromStr for Share {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || UnitError::Percentage(text.into());
        let (number, unit) = split_unit(text.trim());
        let percentage: f64 = number.parse().map_err(|_| error())?;
        if unit != "%" || percentage > 100.0 {
            return Err(error());
        }
        Ok(Self(percentage / 100.0))
    }
}

/// Events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RatePerSecond(f64);

impl RatePerSecond {
    /// Creates a rate; negative values become 0.
    pub fn new(per_second: f64) -> Self {
        Self(per_second.max(0.0))
    }

    /// Returns the events per second.
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RatePerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split_unit(text.trim());
        match number.parse() {
            Ok(per_second) if unit == "/s" => Ok(Self(per_second)),
            _ => Err(UnitError::Rate(text.into())),
        }
    }
}
