//! Division of a limit among pools that together want more than it.

use tamarackproxy::coordination::jobs::Resources;

/// Returns the level up to which wishes are met by max-min fairness; the largest
/// number if all of them are met.
pub(super) fn fair_level(limit: u64, wishes: &mut [u64]) -> u64 {
    wishes.sort_unstable();
    let mut left = limit;
    for (index, &wish) in wishes.iter().enumerate() {
        let level = left / (wishes.len() - index) as u64;
        if wish > level {
            return level;
        }
        left -= wish;
    }
    u64::MAX
}

/// Returns the level of each resource.
pub(super) fn fair_levels(limit: &Resources, wishes: &[Resources]) -> Resources {
    let level = |limit: u64, resource: fn(&Resources) -> u64| {
        fair_level(limit, &mut wishes.iter().map(resource).collect::<Vec<_>>())
    };
    let accelerators = level(limit.accelerators.into(), |wish| wish.accelerators.into());
    Resources {
        cpu_millicores: level(limit.cpu_millicores, |wish| wish.cpu_millicores),
        memory_bytes: level(limit.memory_bytes, |wish| wish.memory_bytes),
        accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
    }
}
