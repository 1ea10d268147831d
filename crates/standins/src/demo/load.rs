//! Load that the callers of a deployment generate.

use tamarackproxy::state::{
    document::{Document, Urgency},
    ids::{CallerId, ServiceId},
};

use crate::caller::{CallerPlan, Load, Surge};

/// Mean rate of one service, per second.
const MEAN_PER_SECOND: f64 = 50.0;
/// Rate within a surge, as a multiple of the mean.
const SURGE_FACTOR: f64 = 5.0;
/// Rate between surges, as a multiple of the mean.
const QUIET_FACTOR: f64 = 0.05;
/// Rate of an urgent flood, per second; about three times the capacity of a pool.
const FLOOD_PER_SECOND: f64 = 1_000.0;

/// Time window on the clock of the run, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
}

impl Window {
    /// Returns the time after a share of the window, from 0 to 1.
    pub(super) fn at(&self, share: f64) -> u64 {
        self.from_ms + ((self.to_ms - self.from_ms) as f64 * share) as u64
    }
}

/// Creates the plans of all callers: the services surge once each, one after the
/// other.
pub(super) fn plans(document: &Document, run: Window, flood: Option<Window>) -> Vec<CallerPlan> {
    let mut plans: Vec<CallerPlan> = document
        .callers
        .iter()
        .map(|(caller, section)| {
            let services = allowed(document, caller);
            let load =
                |service: &ServiceId| regular_load(document, service, section.most_urgent, run);
            CallerPlan::new(caller.as_str(), services.into_iter().map(load).collect())
        })
        .collect();
    if let Some(flood) = flood {
        add_flood(document, &mut plans, flood);
    }
    plans
}

fn allowed<'a>(document: &'a Document, caller: &CallerId) -> Vec<&'a ServiceId> {
    let section = document.callers.get(caller);
    let may_call = |service: &&ServiceId| {
        section.is_some_and(|section| {
            section.services.is_empty() || section.services.contains(service)
        })
    };
    document.services.keys().filter(may_call).collect()
}

fn regular_load(document: &Document, service: &ServiceId, urgency: Urgency, run: Window) -> Load {
    let callers = document.callers.keys();
    let callers = callers.filter(|caller| allowed(document, caller).contains(&service)).count();
    let services = document.services.len();
    let turn = document.services.keys().position(|name| name == service).unwrap_or_default();
    let share = |turn: usize| turn as f64 / services as f64;
    let surge = Surge {
        from_ms: run.at(share(turn)),
        to_ms: run.at(share(turn + 1)),
        factor: SURGE_FACTOR / QUIET_FACTOR,
    };
    Load {
        service: service.clone(),
        urgency,
        per_second: MEAN_PER_SECOND * QUIET_FACTOR / callers.max(1) as f64,
        deadline_ms: deadline_ms(document, service),
        surges: vec![surge],
    }
}

fn deadline_ms(document: &Document, service: &ServiceId) -> u64 {
    document.services.get(service).map_or(1_000, |section| section.deadline.as_ms())
}

/// Adds a flood of one service by the first caller that may send urgent requests.
fn add_flood(document: &Document, plans: &mut [CallerPlan], flood: Window) {
    let urgent = document.callers.iter().find(|(_, c)| c.most_urgent == Urgency::Urgent);
    let Some((caller, _)) = urgent else { return };
    let Some(service) = allowed(document, caller).first().copied() else { return };
    let surge = Surge { from_ms: flood.from_ms, to_ms: flood.to_ms, factor: 1.0 };
    // The load is close to zero outside its surge.
    let quiet = 1e-6;
    let load = Load {
        service: service.clone(),
        urgency: Urgency::Urgent,
        per_second: quiet,
        deadline_ms: deadline_ms(document, service),
        surges: vec![Surge { factor: FLOOD_PER_SECOND / quiet, ..surge }],
    };
    if let Some(plan) = plans.iter_mut().find(|plan| *plan.caller == *caller.as_str()) {
        plan.loads.push(load);
    }
}
