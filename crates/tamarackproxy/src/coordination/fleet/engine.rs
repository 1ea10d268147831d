//! The fleet engine: state, events and timers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    FleetAction, FleetEvent, FleetMessage, FleetReport,
    backoff::Backoff,
    calls::{Call, Calls},
    control::ControlLease,
    demand::{BufferPolicy, DemandHistory},
    drain::{Contact, Health, Progress},
    racks::RackCounts,
    reconcile::RECHECK_MS,
    view::FleetView,
};
use crate::{
    coordination::record::Stored,
    protocol::store::{StoreError, StoreReply, StoreRequest},
    state::{
        clock::ClockReading,
        document::Document,
        ids::{
            CallId, DataCentreId, EntryId, HostId, PoolId, RecordVersion, ServiceId, Term, WaveId,
        },
        records::{BudgetRecord, HostRecord, WavePoolRecord, WaveRecord},
    },
};

/// State of this entry host as controller of, or candidate for, one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolControl {
    pub lease: ControlLease,
    /// Whether something changed since the last reconciliation.
    pub dirty: bool,
    /// Monotonic time of the next reconciliation without a change.
    pub wake_ms: Option<u64>,
    /// Hosts to step without reconciling the whole pool, with the monotonic
    /// time at which the step is due.
    pub due_hosts: BTreeMap<HostId, u64>,
    /// Monotonic time at which each wave's shared record was last read.
    pub wave_read_ms: BTreeMap<WaveId, u64>,
    /// Monotonic time at which the pool's moves are planned next.
    pub next_move_plan_ms: u64,
    /// Monotonic time since which the pool's grant in a wave exceeds what it
    /// can use.
    pub unused_grant_since_ms: BTreeMap<WaveId, u64>,
}

/// Available instances of a service, cached for one generation of its pool and
/// one version of its budget.
#[derive(Clone, Debug)]
pub(super) struct Available {
    generation: u64,
    version: RecordVersion,
    pub counts: RackCounts,
}

/// Counters of the engine's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Reads of records.
    pub store_reads: u64,
    /// Writes of records, without those of control leases.
    pub store_writes: u64,
    /// Moves started by this engine.
    pub moves: u64,
}

/// Controls pools and competes for the control of the others.
///
/// All steps of stops and moves are derived from the records in the store, so
/// any entry host that takes over control resumes them. Only drain
/// acknowledgements and health check results are kept in memory; a new
/// controller collects them again.
#[derive(Clone, Debug)]
pub struct FleetEngine {
    pub(super) entry: EntryId,
    data_centre: DataCentreId,
    pub(super) rng: ChaCha8Rng,
    pub(super) document: Option<Arc<Document>>,
    pub(super) services: BTreeMap<PoolId, Vec<ServiceId>>,
    pub(super) pool_waves: BTreeMap<PoolId, Vec<WaveId>>,
    pub(super) view: FleetView,
    pub(super) seats: BTreeMap<DataCentreId, Vec<Option<EntryId>>>,
    pub(super) contacts: BTreeMap<DataCentreId, Contact>,
    pub(super) controls: BTreeMap<PoolId, PoolControl>,
    pub(super) budgets: BTreeMap<ServiceId, Stored<BudgetRecord>>,
    pub(super) available: BTreeMap<ServiceId, Available>,
    pub(super) waves: BTreeMap<WaveId, Stored<WaveRecord>>,
    pub(super) wave_pools: BTreeMap<(WaveId, PoolId), Stored<WavePoolRecord>>,
    pub(super) progress: BTreeMap<HostId, Progress>,
    pub(super) health: BTreeMap<HostId, Health>,
    pub(super) histories: BTreeMap<ServiceId, DemandHistory>,
    pub(super) policies: BTreeMap<PoolId, BufferPolicy>,
    pub(super) calls: Calls,
    pub(super) backoff: Backoff,
    pub(super) next_adoption_ms: u64,
    pub(super) reports: BTreeMap<Box<str>, FleetReport>,
    pub(super) counts: FleetCounts,
    pub(super) stops_jobs: bool,
    stopping: bool,
    candidate: bool,
}

impl FleetEngine {
    /// Creates the engine of an entry host. `seed` determines delays and
    /// operation ids and must differ between entry hosts and restarts.
    pub fn new(entry: EntryId, data_centre: DataCentreId, seed: u64) -> Self {
        Self {
            entry,
            data_centre,
            rng: ChaCha8Rng::seed_from_u64(seed),
            document: None,
            services: BTreeMap::new(),
            pool_waves: BTreeMap::new(),
            view: FleetView::default(),
            seats: BTreeMap::new(),
            contacts: BTreeMap::new(),
            controls: BTreeMap::new(),
            budgets: BTreeMap::new(),
            available: BTreeMap::new(),
            waves: BTreeMap::new(),
            wave_pools: BTreeMap::new(),
            progress: BTreeMap::new(),
            health: BTreeMap::new(),
            histories: BTreeMap::new(),
            policies: BTreeMap::new(),
            calls: Calls::default(),
            backoff: Backoff::default(),
            next_adoption_ms: 0,
            reports: BTreeMap::new(),
            counts: FleetCounts::default(),
            stops_jobs: false,
            stopping: false,
            candidate: true,
        }
    }

    /// Creates the engine wait for [`FleetEvent::JobsStopped`] before a host
    /// reboots or changes pool; without it, only the drain of the services is
    /// awaited.
    #[must_use]
    pub fn with_job_stops(mut self) -> Self {
        self.stops_jobs = true;
        self
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: ClockReading, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::DocumentChanged { document } => self.on_document(document),
            FleetEvent::FleetChanged { records } => {
                let pools = self.view.replace_records(&records);
                self.mark_pools_dirty(&pools);
            }
            FleetEvent::HostRecordChanged { version, record } => {
                self.on_host_record(now, version, &record);
            }
            FleetEvent::HostsListed { hosts } => {
                let pools = self.view.replace_list(hosts);
                self.mark_pools_dirty(&pools);
                if !self.view.all_recorded() {
                    self.mark_all_dirty();
                }
            }
            FleetEvent::SeatsChanged { data_centre, holders } => {
                self.seats.insert(data_centre, holders);
                self.rank_candidates();
                self.mark_all_dirty();
            }
            FleetEvent::Demand { demand } => self.on_demand(now, &demand),
            FleetEvent::Received { from, message } => self.on_message(now, from, message),
            FleetEvent::HealthChecked { host, healthy } => self.on_health(now, &host, healthy),
            FleetEvent::JobsStopped { host, version } => self.on_jobs_stopped(&host, version),
            FleetEvent::RebootAccepted { host, accepted } => self.on_reboot(&host, accepted),
            FleetEvent::StoreReplied { call, result } => {
                self.on_store_replied(now, call, result, actions);
            }
            FleetEvent::CandidateChanged { candidate } => {
                self.on_candidate_changed(candidate, actions);
            }
            FleetEvent::Stopping => self.on_stopping(actions),
            FleetEvent::Tick => {}
        }
        if self.candidate && !self.stopping {
            self.tick_controls(now, actions);
            self.reconcile_due(now, actions);
        }
    }

    /// Returns the monotonic time at which [`FleetEvent::Tick`] is next
    /// needed, in milliseconds.
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.controls
            .values()
            .flat_map(|control| {
                let host_ms = control.due_hosts.values().min().copied();
                [Some(control.lease.next_tick_ms()), control.wake_ms, host_ms]
            })
            .flatten()
            .filter(|&at_ms| at_ms < u64::MAX)
            .min()
    }

    /// Returns the pools that this entry host controls, with their terms.
    pub fn controlled_pools(&self, now: ClockReading) -> Vec<(PoolId, Term)> {
        self.controls
            .iter()
            .filter_map(|(pool, control)| {
                Some((pool.clone(), control.lease.held_at(now.monotonic_ms)?))
            })
            .collect()
    }

    /// Returns the entry host and its data centre.
    pub fn identity(&self) -> (&EntryId, &DataCentreId) {
        (&self.entry, &self.data_centre)
    }

    /// Returns the counters of the engine's work.
    pub fn counts(&self) -> FleetCounts {
        self.counts
    }

    /// Returns the conditions currently reported for the controlled pools.
    pub fn reports(&self) -> impl Iterator<Item = &FleetReport> {
        self.reports.values()
    }

    /// Returns the cached budget of a service.
    pub fn budget(&self, service: &ServiceId) -> Option<&BudgetRecord> {
        self.budgets.get(service).map(|stored| &stored.record)
    }

    /// Returns the cached shared record of a wave.
    pub fn wave(&self, wave: &WaveId) -> Option<&WaveRecord> {
        self.waves.get(wave).map(|stored| &stored.record)
    }

    /// Returns the cached progress of a wave in a pool.
    pub fn wave_progress(&self, wave: &WaveId, pool: &PoolId) -> Option<&WavePoolRecord> {
        self.wave_pools.get(&(wave.clone(), pool.clone())).map(|stored| &stored.record)
    }

    /// Returns the term under which this entry host controls the pool.
    pub(super) fn held(&self, now: ClockReading, pool: &PoolId) -> Option<Term> {
        self.controls.get(pool)?.lease.held_at(now.monotonic_ms)
    }

    /// Schedules a reconciliation of the pool no later than this time.
    pub(super) fn wake_pool(&mut self, pool: &PoolId, at_ms: u64) {
        if let Some(control) = self.controls.get_mut(pool) {
            control.wake_ms = Some(control.wake_ms.map_or(at_ms, |known| known.min(at_ms)));
        }
    }

    /// Schedules a step of one host no later than this time.
    pub(super) fn wake_host(&mut self, pool: &PoolId, host: &HostId, at_ms: u64) {
        if let Some(control) = self.controls.get_mut(pool) {
            let known = control.due_hosts.entry(host.clone()).or_insert(at_ms);
            *known = at_ms.min(*known);
        }
    }

    /// Recounts the available instances of the pool's services where the hosts
    /// or the budget have changed.
    pub(super) fn refresh_available(&mut self, pool: &PoolId) {
        let generation = self.view.generation(pool);
        for service in self.services.get(pool).into_iter().flatten() {
            let Some(Stored { record, version }) = self.budgets.get(service) else {
                continue;
            };
            let fresh = self
                .available
                .get(service)
                .is_some_and(|known| known.generation == generation && known.version == *version);
            if !fresh {
                let counts = self.view.available_by_rack(pool, record);
                let available = Available { generation, version: *version, counts };
                self.available.insert(service.clone(), available);
            }
        }
    }

    /// Reports a condition, unless it is already reported under the key.
    pub(super) fn report(
        &mut self,
        key: String,
        report: FleetReport,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.reports.get(key.as_str()) != Some(&report) {
            self.reports.insert(key.into(), report.clone());
            actions.push(FleetAction::Report { report });
        }
    }

    /// Clears the condition reported under the key.
    pub(super) fn resolve_report(&mut self, key: &str) {
        self.reports.remove(key);
    }

    /// Applies one record. A change within one pool mostly affects only the
    /// host, so the rest of the pool is reconciled later.
    fn on_host_record(&mut self, now: ClockReading, version: u64, record: &HostRecord) {
        let pools = self.view.upsert_record(version, record);
        if pools.len() > 1 {
            self.mark_pools_dirty(&pools);
        } else if !pools.is_empty() {
            self.wake_host(&record.pool, &record.host, now.monotonic_ms);
            self.wake_pool(&record.pool, now.monotonic_ms + RECHECK_MS);
        }
    }

    fn on_document(&mut self, document: Arc<Document>) {
        self.services.clear();
        for (service, section) in &document.services {
            self.services.entry(section.pool.clone()).or_default().push(service.clone());
        }
        self.pool_waves.clear();
        for (wave, section) in &document.waves {
            for pool in &section.pools {
                self.pool_waves.entry(pool.clone()).or_default().push(wave.clone());
            }
        }
        self.controls.retain(|pool, _| document.pools.contains_key(pool));
        for pool in document.pools.keys() {
            self.controls.entry(pool.clone()).or_insert_with(|| PoolControl {
                lease: ControlLease::new(format!("pool-{pool}"), self.entry.clone()),
                dirty: true,
                wake_ms: None,
                due_hosts: BTreeMap::new(),
                next_move_plan_ms: 0,
                wave_read_ms: BTreeMap::new(),
                unused_grant_since_ms: BTreeMap::new(),
            });
        }
        // A service may be placed on another pool now.
        self.available.clear();
        self.document = Some(document);
        self.rank_candidates();
        self.mark_all_dirty();
    }

    /// Ranks this entry host among the candidates of each pool by rendezvous
    /// hashing, so that only a few of them poll a pool's control lease often.
    fn rank_candidates(&mut self) {
        let candidates: BTreeSet<&EntryId> =
            self.seats.values().flatten().flatten().chain([&self.entry]).collect();
        for (pool, control) in &mut self.controls {
            let own = rendezvous_weight(pool, &self.entry);
            let rank = candidates
                .iter()
                .filter(|candidate| rendezvous_weight(pool, candidate) > own)
                .count();
            control.lease.set_rank(rank as u64);
        }
    }

    fn on_message(&mut self, now: ClockReading, from: EntryId, message: FleetMessage) {
        let FleetMessage::DrainStatus { host, version, in_flight } = message else {
            return;
        };
        self.on_drain_status(now, from, &host, version, in_flight);
    }

    fn on_candidate_changed(&mut self, candidate: bool, actions: &mut Vec<FleetAction>) {
        if candidate == self.candidate {
            return;
        }
        self.candidate = candidate;
        if !candidate {
            self.release_controls(actions);
        }
        for (pool, control) in &mut self.controls {
            control.lease = ControlLease::new(format!("pool-{pool}"), self.entry.clone());
        }
        self.rank_candidates();
        self.mark_all_dirty();
    }

    fn on_stopping(&mut self, actions: &mut Vec<FleetAction>) {
        self.stopping = true;
        self.release_controls(actions);
    }

    fn release_controls(&mut self, actions: &mut Vec<FleetAction>) {
        let requests: Vec<StoreRequest> =
            self.controls.values_mut().filter_map(|control| control.lease.release()).collect();
        for request in requests {
            let call = self.calls.push(Call::Ignored);
            actions.push(FleetAction::Store { call, request });
        }
    }

    fn on_store_replied(
        &mut self,
        now: ClockReading,
        call: CallId,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<FleetAction>,
    ) {
        match self.calls.take(call) {
            Some(Call::Control { pool, sent_ms }) => {
                self.on_control_reply(now, &pool, sent_ms, result, actions);
            }
            Some(Call::Host { host, mut write }) => {
                let step = write.update.on_result(result);
                self.continue_host_write(now, host, *write, step, actions);
            }
            Some(Call::Budget { service, mut write }) => {
                let step = write.update.on_result(result);
                self.continue_budget_write(now, service, *write, step, actions);
            }
            Some(Call::Wave { wave, mut write }) => {
                let step = write.update.on_result(result);
                self.continue_wave_write(now, wave, *write, step, actions);
            }
            Some(Call::WavePool { wave, mut write }) => {
                let step = write.update.on_result(result);
                self.continue_wave_pool_write(now, wave, *write, step, actions);
            }
            Some(Call::Ignored) | None => {}
        }
    }

    fn on_control_reply(
        &mut self,
        now: ClockReading,
        pool: &PoolId,
        sent_ms: u64,
        result: Result<StoreReply, StoreError>,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(control) = self.controls.get_mut(pool) else {
            return;
        };
        let held = control.lease.held_at(now.monotonic_ms);
        let request = control.lease.on_store_reply(now, sent_ms, result, &mut self.rng);
        control.dirty |= control.lease.held_at(now.monotonic_ms) != held;
        if let Some(request) = request {
            let sent_ms = now.monotonic_ms;
            let call = self.calls.push(Call::Control { pool: pool.clone(), sent_ms });
            actions.push(FleetAction::Store { call, request });
        }
    }

    fn tick_controls(&mut self, now: ClockReading, actions: &mut Vec<FleetAction>) {
        for (pool, control) in &mut self.controls {
            if let Some(request) = control.lease.tick(now, &mut self.rng) {
                let sent_ms = now.monotonic_ms;
                let call = self.calls.push(Call::Control { pool: pool.clone(), sent_ms });
                actions.push(FleetAction::Store { call, request });
            }
        }
    }

    fn reconcile_due(&mut self, now: ClockReading, actions: &mut Vec<FleetAction>) {
        let now_ms = now.monotonic_ms;
        let whole = |control: &PoolControl| {
            control.dirty || control.wake_ms.is_some_and(|at_ms| at_ms <= now_ms)
        };
        let due: Vec<(PoolId, bool)> = self
            .controls
            .iter()
            .filter(|(_, control)| {
                whole(control) || control.due_hosts.values().any(|&at_ms| at_ms <= now_ms)
            })
            .map(|(pool, control)| (pool.clone(), whole(control)))
            .collect();
        for (pool, whole) in due {
            if whole {
                self.reconcile(now, &pool, actions);
            } else {
                self.reconcile_hosts(now, &pool, actions);
            }
        }
    }

    /// Marks these pools to be reconciled after the current event.
    pub(super) fn mark_pools_dirty(&mut self, pools: &BTreeSet<PoolId>) {
        for pool in pools {
            self.mark_pool_dirty(pool);
        }
    }

    /// Marks one pool to be reconciled after the current event.
    pub(super) fn mark_pool_dirty(&mut self, pool: &PoolId) {
        if let Some(control) = self.controls.get_mut(pool) {
            control.dirty = true;
        }
    }

    fn mark_all_dirty(&mut self) {
        self.controls.values_mut().for_each(|control| control.dirty = true);
    }
}

/// Returns the weight of a candidate for a pool: FNV-1a with a final mix. Must
/// not differ between builds, because all candidates compare their weights.
fn rendezvous_weight(pool: &PoolId, entry: &EntryId) -> u64 {
    let bytes = pool.as_str().bytes().chain([0]).chain(entry.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
