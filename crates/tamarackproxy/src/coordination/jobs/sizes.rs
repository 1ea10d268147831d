//! Estimates of resource use, learnt from usage reports.

use std::collections::HashMap;

use super::{events::UsageReport, resources::Resources};

/// Reserved memory as a percentage of the measured use. The headroom covers
/// growth until the next report, since reports lag. Processors need none: a
/// shortage only slows tasks down.
const MEMORY_HEADROOM_PERCENT: u64 = 110;
/// Growth of an application's memory factor after a task ran out of memory, in
/// percent.
const OUT_OF_MEMORY_PERCENT: u64 = 150;
/// Run time before a measurement may lower a reservation, in milliseconds,
/// since the use of tasks grows after their start.
const WARM_UP_MS: u64 = 30_000;
/// Bounds of the learnt factors, in percent.
const FACTOR_PERCENT: (u64, u64) = (25, 400);
/// Maximum number of applications with learnt factors; the factors of others
/// stay at 1.
const APPLICATIONS_MAX: usize = 10_000;

/// Learnt ratios of used to declared processors and memory by application, in
/// percent.
#[derive(Clone, Debug, Default)]
pub(super) struct SizeEstimates {
    factors: HashMap<u32, (u64, u64)>,
}

fn scaled(amount: u64, percent: u64) -> u64 {
    amount.saturating_mul(percent) / 100
}

impl SizeEstimates {
    /// Returns the resources to reserve for a new task, at most `limit`.
    pub fn expected(&self, application: u32, declared: &Resources, limit: &Resources) -> Resources {
        let &(cpu, memory) = self.factors.get(&application).unwrap_or(&(100, 100));
        Resources {
            cpu_millicores: scaled(declared.cpu_millicores, cpu).min(limit.cpu_millicores),
            memory_bytes: scaled(declared.memory_bytes, memory).min(limit.memory_bytes),
            accelerators: declared.accelerators,
        }
    }

    /// Raises the memory factor of an application whose task ran out of memory.
    pub fn on_out_of_memory(&mut self, application: u32) {
        if self.factors.len() < APPLICATIONS_MAX || self.factors.contains_key(&application) {
            let factor = self.factors.entry(application).or_insert((100, 100));
            factor.1 = scaled(factor.1, OUT_OF_MEMORY_PERCENT).min(FACTOR_PERCENT.1);
        }
    }

    /// Updates the factors from a usage report; returns the new reservation of
    /// the task.
    pub fn on_report(
        &mut self,
        application: u32,
        declared: &Resources,
        reserved: &Resources,
        report: &UsageReport,
    ) -> Resources {
        let needed_cpu = report.used.cpu_millicores;
        let needed_memory = scaled(report.used.memory_bytes, MEMORY_HEADROOM_PERCENT);
        let warmed_up = report.ran_ms >= WARM_UP_MS;
        if warmed_up
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
            if needed > reserved || !warmed_up {
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
