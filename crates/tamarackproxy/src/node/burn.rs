//! Counts requests for the report on service-level burn.

use std::sync::Arc;

use tokio::sync::oneshot;

use super::{
    event_loop::EventLoop,
    input::Engine,
    pending::{End, Pending},
};
use crate::{
    coordination::burn::{BURN_PREFIX, BadCause, BurnLedger, BurnReport, Event},
    protocol::store::KeyValue,
    state::{document::Document, ids::ServiceId, records::HostPhase},
    transport::admin_server::AdminResponse,
};

/// Ledgers read in one call; one has up to some 350 kB at 26 services.
const LEDGERS_PER_PAGE: u32 = 4;

impl EventLoop {
    /// Counts the end of a request where it arrived from its caller.
    pub(super) fn count_burn(&mut self, pending: &Pending, end: &End) {
        let Some(view) = &self.view else { return };
        let Some(section) = view.document().services.get(&pending.meta.service) else { return };
        let latency_ms = self.now.monotonic_ms.saturating_sub(pending.received_at_ms);
        let event = match end {
            End::Answered(response) if response.status.is_server_error() => {
                Some(Event::Bad(BadCause::Failure))
            }
            End::Answered(_) if latency_ms <= section.objective_latency.as_ms() => {
                Some(Event::Good)
            }
            End::Answered(_) => Some(Event::Bad(BadCause::Flood)),
            End::Refused { refusal, .. } => {
                Event::of_refusal(refusal, self.has_planned_stop(&pending.meta.service))
            }
        };
        if let Some(event) = event {
            let (service, urgency) = (&pending.meta.service, pending.meta.urgency);
            self.burn.add_event(self.now, service, urgency, event);
        }
    }

    /// Tells whether a host of the service's pool is stopped by plan.
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

    /// Answers with the report over all seats; this seat's counts are taken
    /// from memory, which is newer than the store.
    pub(super) fn answer_report(&self, reply: oneshot::Sender<AdminResponse>) {
        let Some(document) = self.view.as_ref().map(|view| Arc::clone(view.document())) else {
            return;
        };
        let (own_key, own) = (self.burn.key(), self.burn.ledger().clone());
        let (store, now_unix_ms) = (self.store.clone(), self.now.unix_ms);
        tokio::task::spawn_local(async move {
            let response = match super::admin::list_all(&store, BURN_PREFIX, LEDGERS_PER_PAGE).await
            {
                Some(records) => {
                    let ledger = sum_ledgers(own_key.as_deref(), own, &records);
                    report(&ledger, &document, now_unix_ms)
                }
                None => super::admin::store_unavailable(),
            };
            let _ = reply.send(response);
        });
    }
}

fn sum_ledgers(own_key: Option<&str>, own: BurnLedger, records: &[KeyValue]) -> BurnLedger {
    let mut sum = own;
    let others = records.iter().filter(|record| Some(&*record.key) != own_key);
    for record in others {
        match serde_json::from_slice(&record.value) {
            Ok(ledger) => sum.merge(&ledger),
            Err(error) => log::warn!(key = &*record.key; "ledger cannot be read: {error}"),
        }
    }
    sum
}

fn report(ledger: &BurnLedger, document: &Document, now_unix_ms: u64) -> AdminResponse {
    AdminResponse::json(&BurnReport::new(ledger, document, now_unix_ms))
}
