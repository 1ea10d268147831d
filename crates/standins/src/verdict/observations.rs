//! Everything that the verdict compares.

use tamarackproxy::state::{
    ids::{DataCentreId, EntryId, HostId, PoolId, ServiceId},
    records::{HostPhase, HostRecord},
};

use super::configuration::{AcceptedPut, Sighting};
use crate::{
    caller::AttemptRecord,
    platform::HostEvent,
    store::{Change, StoreState},
    target::{LeavingSign, RunRecord},
};

/// A write of a host record.
#[derive(Clone, Debug)]
pub struct HostRecordChange {
    /// Time of the write, in milliseconds.
    pub at_ms: u64,
    /// The record since then.
    pub record: HostRecord,
}

/// A write of `document/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadChange {
    /// Time of the write, in milliseconds.
    pub at_ms: u64,
    /// Epoch and revision since then.
    pub position: (u64, u64),
}

/// What the document says about a service.
#[derive(Clone, Debug)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceId,
    /// Pool that runs it.
    pub pool: PoolId,
    /// Instances that stay available through planned stops.
    pub min_available: u32,
}

/// A time in which a data centre was cut off from the others, the store and
/// the platform.
#[derive(Clone, Debug)]
pub struct DataCentreCut {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
}

/// A time in which an entry host did not run or could not reach others.
#[derive(Clone, Debug)]
pub struct EntryOutage {
    /// The entry host.
    pub entry: EntryId,
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds; none if it was not replaced.
    pub to_ms: Option<u64>,
}

/// Records of all stand-ins of one run; all times are on one clock.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// What callers saw.
    pub attempts: Vec<AttemptRecord>,
    /// What targets ran.
    pub runs: Vec<RunRecord>,
    /// Requests that met a target without a free slot.
    pub slot_overruns: u64,
    /// Leaving signs that targets gave.
    pub leaving_signs: Vec<LeavingSign>,
    /// What the platform did to hosts.
    pub host_events: Vec<HostEvent>,
    /// Writes of host records, oldest first.
    pub host_records: Vec<HostRecordChange>,
    /// Writes of the document, oldest first.
    pub heads: Vec<HeadChange>,
    /// Number of restores of the store.
    pub restores: u64,
    /// What the document says about services.
    pub services: Vec<ServiceRule>,
    /// Puts that operators were told to be accepted.
    pub puts: Vec<AcceptedPut>,
    /// Puts without a reply that tells whether they were accepted.
    pub open_puts: Vec<AcceptedPut>,
    /// Positions that entry hosts showed, oldest first.
    pub sightings: Vec<Sighting>,
    /// Cuts of data centres.
    pub cuts: Vec<DataCentreCut>,
    /// Times in which a data centre could not read the platform's list, besides
    /// its cuts.
    pub list_outages: Vec<DataCentreCut>,
    /// Outages of entry hosts.
    pub outages: Vec<EntryOutage>,
    /// Document text in force at the end.
    pub final_text: Box<str>,
    /// End of the run, in milliseconds.
    pub until_ms: u64,
}

impl Observations {
    /// Takes host records and document heads from the store's history.
    pub fn read_store(&mut self, store: &StoreState) {
        let changes: Vec<&Change> = store.undone().iter().chain(store.history()).collect();
        self.host_records = changes.iter().filter_map(|change| host_change(change)).collect();
        self.host_records.sort_by_key(|change| change.at_ms);
        self.heads = changes.iter().filter_map(|change| head_change(change)).collect();
        self.heads.sort_by_key(|change| change.at_ms);
        self.restores = store.restores();
    }

    /// Returns the records of a host, oldest first.
    pub(super) fn records_of<'a>(
        &'a self,
        host: &HostId,
    ) -> impl Iterator<Item = &'a HostRecordChange> {
        self.host_records.iter().filter(move |change| change.record.host == *host)
    }

    /// Returns the record of a host at a moment.
    pub(super) fn record_at(&self, host: &HostId, at_ms: u64) -> Option<&HostRecord> {
        let seen = self.records_of(host).take_while(|change| change.at_ms <= at_ms);
        seen.last().map(|change| &change.record)
    }

    /// Returns the changes by which a host stopped taking new work by plan.
    pub(super) fn planned_stops(&self) -> impl Iterator<Item = &HostRecordChange> {
        let mut phases: Vec<(&HostId, HostPhase)> = Vec::new();
        self.host_records.iter().filter(move |change| {
            let phase = change.record.phase;
            let known = phases.iter_mut().find(|(host, _)| *host == &change.record.host);
            let before = match known {
                Some((_, before)) => std::mem::replace(before, phase),
                None => {
                    phases.push((&change.record.host, phase));
                    phase
                }
            };
            let stops = !matches!(phase, HostPhase::Active | HostPhase::Failed);
            before == HostPhase::Active && stops
        })
    }
}

fn host_change(change: &Change) -> Option<HostRecordChange> {
    let record = change.key.starts_with(b"host/").then_some(change.stored.as_ref()?)?;
    let record = serde_json::from_slice(&record.value).ok()?;
    Some(HostRecordChange { at_ms: change.at_ms, record })
}

fn head_change(change: &Change) -> Option<HeadChange> {
    let head = (&*change.key == b"document/head").then_some(change.stored.as_ref()?)?;
    let head: serde_json::Value = serde_json::from_slice(&head.value).ok()?;
    let position = (head["epoch"].as_u64()?, head["revision"].as_u64()?);
    Some(HeadChange { at_ms: change.at_ms, position })
}
