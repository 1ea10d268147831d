//! Correction of declared sizes from usage reports.

use std::collections::HashMap;

use super::{events::UsageReport, resources::Resources};

/// Room above the measured memory, in hundredths: reports lag, and use may
/// rise until the next one. Processors need none: a lack only slows tasks.
const MEMORY_HEADROOM_PERCENT: u64 = 110;
/// Growth of the memory set aside for an application after a task had no
/// memory left, in hundredths.
const OUT_OF_MEMORY_PERCENT: u64 = 150;
/// Run time before a measured use may lower a reservation, in milliseconds:
/// tasks grow at their start.
const SETTLED_MS: u64 = 30_000;
/// Bounds of the learnt factor, in hundredths.
const FACTOR_PERCENT: (u64, u64) = (25, 400);
/// Applications whose factor is kept; the factors of others stay at 1.
const APPLICATIONS_MAX: usize = 10_000;

/// Learnt ratio of use to declared size by application, in hundredths.
#[derive(Clone, Debug, Default)]
pub(super) struct Sizes {
    factors: HashMap<u32, (u64, u64)>,
}

fn scaled(amount: u64, percent: u64) -> u64 {
    amount.saturating_mul(percent) / 100
}

impl Sizes {
    /// Returns what to set aside for a new task, at most `limit`.
    pub fn expected(&self, application: u32, declared: &Resources, limit: &Resources) -> Resources {
        let &(cpu, memory) = self.factors.get(&application).unwrap_or(&(100, 100));
        Resources {
            cpu_millicores: scaled(declared.cpu_millicores, cpu).min(limit.cpu_millicores),
            memory_bytes: scaled(declared.memory_bytes, memory).min(limit.memory_bytes),
            accelerators: declared.accelerators,
        }
    }

    /// Sets aside more for an application whose task had no memory left.
    pub fn on_out_of_memory(&mut self, application: u32) {
        if self.factors.len() < APPLICATIONS_MAX || self.factors.contains_key(&application) {
            let factor = self.factors.entry(application).or_insert((100, 100));
            factor.1 = scaled(factor.1, OUT_OF_MEMORY_PERCENT).min(FACTOR_PERCENT.1);
        }
    }

    /// Learns from a report; returns the new reservation of the task.
    pub fn on_report(
        &mut self,
        application: u32,
        declared: &Resources,
        reserved: &Resources,
        report: &UsageReport,
    ) -> Resources {
        let needed_cpu = report.used.cpu_millicores;
        let needed_memory = scaled(report.used.memory_bytes, MEMORY_HEADROOM_PERCENT);
        let settled = report.ran_ms >= SETTLED_MS;
        if settled
            && (self.factors.len() < APPLICATIONS_MAX || self.factors.contains_key(&application))
        {
            let (low, high) = FACTOR_PERCENT;
            let ratio = |needed: u64, declared: u64| {
                (needed.saturating_mul(100) / declared.max(1)).clamp(low, high)
            };
            let factor = self.factors.entry(application).or_insert((100, 100));
            factor.0 = (3 * factor.0 + ratio(needed_cpu, declared.cpu_millicores)) / 4;
            factor.1 = (3 * factor.1 + ratio(needed_memory, declared.memory_bytes)) / 4;
        }
        let corrected = |needed: u64, reserved: u64, declared: u64| {
            if needed > reserved || !settled {
                needed.max(reserved)
            } else {
                needed.max(scaled(declared, FACTOR_PERCENT.0))
            }
        };
        Resources {
            cpu_millicores: corrected(needed_cpu, reserved.cpu_millicores, declared.cpu_millicores),
            memory_bytes: corrected(needed_memory, reserved.memory_bytes, declared.memory_bytes),
            accelerators: reserved.accelerators,
        }
    }
}
