//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Processors, memory and accelerators of a worker, a task or a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    pub accelerators: u32,
}

impl Resources {
    /// Creates an amount.
    pub fn new(cpu_millicores: u64, memory_bytes: u64, accelerators: u32) -> Self {
        Self { cpu_millicores, memory_bytes, accelerators }
    }

    /// Returns whether no part of this amount exceeds that of `capacity`.
    pub fn fits_in(&self, capacity: &Resources) -> bool {
        self.cpu_millicores <= capacity.cpu_millicores
            && self.memory_bytes <= capacity.memory_bytes
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum of each part.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference of each part, saturating at 0.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns a multiple of each part.
    #[must_use]
    pub fn times(&self, factor: u64) -> Resources {
        let accelerators = u64::from(self.accelerators).saturating_mul(factor);
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(factor),
            memory_bytes: self.memory_bytes.saturating_mul(factor),
            accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
        }
    }

    /// Returns the smaller amount of each part.
    #[must_use]
    pub fn smaller(&self, other: &Resources) -> Resources {
        Self {
            cpu_millicores: self.cpu_millicores.min(other.cpu_millicores),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the dominant share: the largest ratio of a part to that of
    /// `whole`, in thousandths.
    pub fn dominant_share(&self, whole: &Resources) -> u64 {
        let share = |part: u64, whole: u64| part.saturating_mul(1_000) / whole.max(1);
        share(self.cpu_millicores, whole.cpu_millicores)
            .max(share(self.memory_bytes, whole.memory_bytes))
            .max(share(self.accelerators.into(), whole.accelerators.into()))
    }
}
