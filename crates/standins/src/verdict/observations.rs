//! Observations of one run, which the verdict evaluates.

use tamarackproxy::state::{
    ids::{DataCentreId, EntryId, HostId, PoolId, ServiceId},
    records::{HostPhase, HostRecord},
};

use super::configuration::{AcceptedPut, Sighting};
use crate::{
    caller::AttemptRecord,
    platform::HostEvent,
    store::{Change, StoreState},
    target::{LeavingSignal, RunRecord},
};

/// A write of a host record.
#[derive(Clone, Debug)]
pub struct HostRecordChange {
    /// Time of the write, in milliseconds.
    pub at_ms: u64,
    /// The record as written.
    pub record: HostRecord,
}

/// A write of `document/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadChange {
    /// Time of the write, in milliseconds.
    pub at_ms: u64,
    /// Epoch and revision as written.
    pub position: (u64, u64),
}

/// Pool and availability budget of a service according to the document.
#[derive(Clone, Debug)]
pub struct ServiceRule {
    pub service: ServiceId,
    /// Pool that runs it.
    pub pool: PoolId,
    /// Instances that planned stops must leave available.
    pub min_available: u32,
}

/// An interval in which a data centre was partitioned from the others, the
/// store and the platform, or only from the platform's list.
#[derive(Clone, Debug)]
pub struct DataCentreCut {
    pub data_centre: DataCentreId,
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
}

/// An interval in which an entry host did not run or was partitioned.
#[derive(Clone, Debug)]
pub struct EntryOutage {
    /// The entry host.
    pub entry: EntryId,
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds; `None` if the entry host did not return.
    pub to_ms: Option<u64>,
}

/// Records of all stand-ins of one run, with all times on the same clock.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Attempts that callers made.
    pub attempts: Vec<AttemptRecord>,
    /// Runs of requests on targets.
    pub runs: Vec<RunRecord>,
    /// Requests sent to a target without a free slot.
    pub slot_overruns: u64,
    /// Signals of targets that their hosts are leaving.
    pub leaving_signals: Vec<LeavingSignal>,
    /// Events of hosts at the platform.
    pub host_events: Vec<HostEvent>,
    /// Writes of host records, oldest first.
    pub host_records: Vec<HostRecordChange>,
    /// Writes of the document, oldest first.
    pub heads: Vec<HeadChange>,
    /// Number of restores of the store.
    pub restores: u64,
    /// Services of the document.
    pub services: Vec<ServiceRule>,
    /// Puts that were reported to operators as accepted.
    pub puts: Vec<AcceptedPut>,
    /// Puts whose outcome is unknown.
    pub open_puts: Vec<AcceptedPut>,
    /// Positions that entry hosts reported as in force, oldest first.
    pub sightings: Vec<Sighting>,
    /// Partitions of data centres.
    pub cuts: Vec<DataCentreCut>,
    /// Intervals besides the partitions in which a data centre could not read
    /// the platform's list.
    pub list_outages: Vec<DataCentreCut>,
    /// Outages of entry hosts.
    pub outages: Vec<EntryOutage>,
    /// Document text in force at the end.
    pub final_text: Box<str>,
    /// End of the run, in milliseconds.
    pub until_ms: u64,
}

impl Observations {
    /// Reads host records and document heads from the store's history.
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

    /// Returns the record of a host at `at_ms`.
    pub(super) fn record_at(&self, host: &HostId, at_ms: u64) -> Option<&HostRecord> {
        let seen = self.records_of(host).take_while(|change| change.at_ms <= at_ms);
        seen.last().map(|change| &change.record)
    }

    /// Returns the changes by which a host stopped accepting new work for a
    /// planned stop.
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
