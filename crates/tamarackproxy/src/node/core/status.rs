//! State of an entry host as the administration API shows it.

use serde_json::{Value, json};

use super::NodeCore;
use crate::{
    protocol::admin::{DocumentBody, HostRow, PoolRow, ServiceRow, Status},
    state::{
        document::PoolSection,
        ids::{HostId, PoolId, RequestId},
        records::HostRecord,
    },
};

impl NodeCore {
    /// Returns the state of this entry host.
    pub fn status(&self) -> Status {
        let peers = self.peers.live.iter().map(|peer| (peer.entry.clone(), peer.seat));
        Status {
            entry: self.entry.clone(),
            data_centre: self.data_centre.clone(),
            deployment: self.view.as_ref().map(|view| view.document().deployment.clone()),
            in_force: self.position,
            ready: self.is_ready,
            stopping: self.is_stopping,
            seat: self.peers.seat,
            peers: peers.collect(),
            gateways: self.peers.gateways.clone(),
            open_requests: self.pending.len() as u64,
            reports: self.fleet_state.reports.clone(),
            store_restored: self.store_restored,
        }
    }

    fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.fleet_state.records.iter().map(|(_, record)| record)
    }

    /// Returns the pools with their hosts.
    pub fn pool_rows(&self) -> Vec<PoolRow> {
        let Some(view) = &self.view else { return Vec::new() };
        let pools = view.document().pools.iter();
        let row = |(pool, section): (&PoolId, _)| {
            let section: &PoolSection = section;
            let members = || self.records().filter(|record| record.pool == *pool);
            PoolRow {
                pool: pool.clone(),
                size: section.size.values().sum(),
                hosts: members().count() as u32,
                active: members().filter(|record| record.phase.accepts_work()).count() as u32,
                spare: section.spare,
            }
        };
        pools.map(row).collect()
    }

    /// Returns all host records.
    pub fn host_rows(&self) -> Vec<HostRow> {
        let row = |(version, record): &(u64, HostRecord)| HostRow {
            host: record.host.clone(),
            data_centre: record.data_centre.clone(),
            rack: record.rack.clone(),
            pool: record.pool.clone(),
            phase: record.phase,
            phase_since_unix_ms: record.phase_since_unix_ms,
            version: *version,
        };
        self.fleet_state.records.iter().map(row).collect()
    }

    /// Returns the services with their available instances.
    pub fn service_rows(&self) -> Vec<ServiceRow> {
        let Some(view) = &self.view else { return Vec::new() };
        let document = view.document();
        let loads = self.requests.loads();
        let rows = document.services.iter().map(|(service, section)| {
            let available = self
                .records()
                .filter(|record| record.pool == section.pool && record.phase.accepts_work());
            ServiceRow {
                service: service.clone(),
                pool: section.pool.clone(),
                available: available.count() as u32,
                min_available: document.budgets.get(service).map_or(0, |b| b.min_available),
                load: loads.iter().find(|load| load.service == *service).cloned(),
            }
        });
        rows.collect()
    }

    /// Returns the document in force.
    pub fn document_body(&self) -> Option<DocumentBody> {
        let text = self.text.as_ref()?;
        Some(DocumentBody { position: self.position, text: Box::from(&**text) })
    }

    /// Explains what a host is waiting for.
    pub fn explain_host(&self, host: &HostId) -> Value {
        let record = self.fleet_state.record(host).map(|(_, record)| record);
        json!({
            "host": host,
            "record": record,
            "in_flight": self.requests.in_flight_on(host),
            "explanation": self.fleet.explain_host(host),
        })
    }

    /// Explains what a request is waiting for; `None` if it has ended.
    pub fn explain_request(&self, request: RequestId) -> Option<Value> {
        let explanation = self.requests.explain(request)?;
        Some(json!({ "explanation": format!("{explanation:?}") }))
    }
}
