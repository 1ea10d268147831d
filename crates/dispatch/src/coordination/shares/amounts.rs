//! Arithmetic on resources of which some have no limit.

use tamarackproxy::coordination::jobs::Resources;

/// Combines two amounts resource by resource.
pub(super) fn combine<F>(left: &Resources, right: &Resources, f: F) -> Resources
where
    F: Fn(u64, u64) -> u64,
{
    let accelerators = f(left.accelerators.into(), right.accelerators.into());
    Resources {
        cpu_millicores: f(left.cpu_millicores, right.cpu_millicores),
        memory_bytes: f(left.memory_bytes, right.memory_bytes),
        accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
    }
}

/// Returns the larger amount of each resource.
pub(super) fn larger(left: &Resources, right: &Resources) -> Resources {
    combine(left, right, u64::max)
}

/// Returns the amount divided by a number.
pub(super) fn divide(amount: &Resources, by: u64) -> Resources {
    combine(amount, amount, |amount, _| amount / by)
}

/// Returns how many units fit into an amount; resources that a unit does not
/// need are ignored.
pub(super) fn units_in(amount: &Resources, unit: &Resources) -> u64 {
    let fits = |amount: u64, unit: u64| amount.checked_div(unit).unwrap_or(u64::MAX);
    fits(amount.cpu_millicores, unit.cpu_millicores)
        .min(fits(amount.memory_bytes, unit.memory_bytes))
        .min(fits(amount.accelerators.into(), unit.accelerators.into()))
}

/// Returns whether any resource of `left` exceeds that of `right`.
pub(super) fn exceeds(left: &Resources, right: &Resources) -> bool {
    !left.fits_in(right)
}

pub(super) fn is_zero(amount: &Resources) -> bool {
    *amount == Resources::default()
}

/// An account's limit, in which 0 means no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Limit(Resources);

impl Limit {
    pub(super) fn new(limit: Resources) -> Self {
        Self(limit)
    }

    /// Returns the limit with the largest possible amount of each resource that
    /// has none.
    pub(super) fn bounds(&self) -> Resources {
        self.fill(&self.0)
    }

    /// Returns the amounts of the limited resources, and 0 of the others.
    pub(super) fn limited(&self, amount: &Resources) -> Resources {
        combine(amount, &self.0, |amount, limit| if limit == 0 { 0 } else { amount })
    }

    /// Returns the amounts of the limited resources, and the largest possible
    /// amount of the others.
    pub(super) fn fill(&self, amount: &Resources) -> Resources {
        combine(amount, &self.0, |amount, limit| if limit == 0 { u64::MAX } else { amount })
    }

    /// Returns whether the limit of any resource is lower than in `earlier`.
    pub(super) fn is_below(&self, earlier: &Self) -> bool {
        exceeds(&earlier.bounds(), &self.bounds())
    }
}
