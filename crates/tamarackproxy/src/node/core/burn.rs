//! Counts request outcomes against the services' objectives for the report on
//! error-budget burn.

use super::{Completion, Engine, NodeCore, pending::Pending};
use crate::{
    coordination::burn::{BadCause, Event},
    state::{ids::ServiceId, records::HostPhase},
};

impl NodeCore {
    /// Counts a request that this entry host received from its caller.
    pub(super) fn count_burn(&mut self, pending: &Pending, completion: &Completion) {
        let Some(view) = &self.view else { return };
        let Some(section) = view.document().services.get(&pending.meta.service) else { return };
        let latency_ms = self.now.monotonic_ms.saturating_sub(pending.received_at_ms);
        let event = match completion {
            Completion::Answered(response) if response.status.is_server_error() => {
                Some(Event::Bad(BadCause::Failure))
            }
            Completion::Answered(_) if latency_ms <= section.objective_latency.as_ms() => {
                Some(Event::Good)
            }
            Completion::Answered(_) => Some(Event::Bad(BadCause::Flood)),
            Completion::Refused { refusal, .. } => {
                Event::of_refusal(refusal, self.has_planned_stop(&pending.meta.service))
            }
        };
        if let Some(event) = event {
            let (service, urgency) = (&pending.meta.service, pending.meta.urgency);
            self.burn.add_event(self.now, service, urgency, event);
        }
    }

    /// Returns whether a planned stop of a host of the service's pool is in
    /// progress.
    fn has_planned_stop(&self, service: &ServiceId) -> bool {
        let section = self.view.as_ref().and_then(|view| view.document().services.get(service));
        let Some(section) = section else { return false };
        let is_planned = |phase| {
            matches!(phase, HostPhase::Draining | HostPhase::Rebooting | HostPhase::Returning)
        };
        let mut records = self.fleet_state.records.iter().map(|(_, record)| record);
        records.any(|record| record.pool == section.pool && is_planned(record.phase))
    }

    pub(super) fn tick_burn(&mut self) {
        if let Some((call, request)) = self.burn.tick(self.now) {
            self.call_store(Engine::Burn, call, request);
        }
    }
}
