//! The engine of maintenance waves.

use std::collections::BTreeMap;

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{HostId, PoolId, WorkerId},
};

use super::events::{HostOrderReply, HostState, HostView, UpkeepAction, UpkeepWrite};
use crate::state::{VacateReason, WaveNumber, WaveRecord, WaveRequest, WaveState};

/// Interval of reads of the host list while a wave is active, in milliseconds.
const LIST_INTERVAL_MS: u64 = 800;
/// Delay before an order that was not confirmed is sent again, in
/// milliseconds.
const ORDER_RETRY_MS: u64 = 700;
/// Time by which the host list may be out of date, in milliseconds.
const LIST_LAG_MS: u64 = 400;
/// The same if the list shows a worker under the name that it had before the
/// maintenance, in milliseconds: only time tells it from the former one.
const KEPT_NAME_LAG_MS: u64 = 3_000;
/// Time for which a host must be missing from the list to count as gone, in
/// milliseconds: several times the list's lag.
const MISSING_MS: u64 = 6_000;
/// Limit on the hosts of one pool that are in maintenance at once, as a divisor
/// of the pool's size.
const POOL_DIVISOR: usize = 5;
/// Share of a wave's duration after which the limit per pool is lifted and only
/// that of the wave applies, in percent.
const POOL_LIMIT_PERCENT: u64 = 60;

/// Maximum entries of one transaction; the platform accepts 32. Each kind of
/// request may take one place beyond it, so that none waits forever.
const ENTRIES_MAX: usize = 28;
/// Entries of every transaction: the conditions on the term and on the last
/// write, and the new last write.
const ENTRIES_FIXED: usize = 3;
/// Entries that the release of a worker takes: the removal of its request and
/// of its confirmation.
const ENTRIES_RELEASE: usize = 2;

/// Interval of steps without events, in milliseconds.
const STEP_MS: u64 = 100;

/// Times of the platform, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpkeepTiming {
    /// Time that a host is down for maintenance.
    pub maintenance_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Pending,
    /// The host list has not shown the host since then: it is gone, or too new
    /// to be listed.
    Missing {
        since_ms: u64,
    },
    /// The pool's controller was asked to vacate its worker.
    Vacating {
        worker: WorkerId,
    },
    /// The wave's record that lists the host as ordered is being written to the
    /// store.
    Recording {
        worker: Option<WorkerId>,
    },
    /// Maintenance orders are sent until one is confirmed; the host may be
    /// down.
    Ordered {
        next_ms: u64,
        /// The next order waits for a host list that was requested at this time or
        /// later.
        list_after_ms: u64,
        in_flight: bool,
        worker: Option<WorkerId>,
    },
    /// As `Ordered`, but the host need not be empty: a previous holder recorded the
    /// order, or the worker has changed since. The host is vacated before the next
    /// order.
    Unconfirmed {
        /// The worker that is vacated; none until the list has shown it.
        worker: Option<WorkerId>,
        /// Since when the list has not shown the host.
        missing_since_ms: Option<u64>,
        /// The host list is used if it was requested at this time or later.
        list_after_ms: u64,
    },
    /// The maintenance has begun.
    Down {
        since_ms: u64,
        worker: Option<WorkerId>,
    },
    /// The maintenance is complete, or not due according to the platform.
    Over,
}

impl Stage {
    /// Returns the stage of a host that is empty and is to be ordered now.
    fn ordered(worker: Option<WorkerId>) -> Self {
        Self::Ordered { next_ms: 0, list_after_ms: 0, in_flight: false, worker }
    }

    /// Returns the stage of a host that is to be vacated before it is ordered.
    fn unconfirmed(worker: Option<WorkerId>, list_after_ms: u64) -> Self {
        Self::Unconfirmed { worker, missing_since_ms: None, list_after_ms }
    }

    /// Returns the worker that has to stay vacated.
    fn worker(&self) -> Option<&WorkerId> {
        match self {
            Self::Vacating { worker } => Some(worker),
            Self::Recording { worker }
            | Self::Ordered { worker, .. }
            | Self::Unconfirmed { worker, .. }
            | Self::Down { worker, .. } => worker.as_ref(),
            Self::Pending | Self::Missing { .. } | Self::Over => None,
        }
    }
}

#[derive(Debug)]
struct Wave {
    request: WaveRequest,
    seen_ms: u64,
    stages: BTreeMap<HostId, Stage>,
    state: Option<WaveState>,
}

impl Wave {
    fn is_begun(&self, now_ms: u64) -> bool {
        let begun = |stage: &Stage| match stage {
            Stage::Down { .. } | Stage::Over => true,
            Stage::Missing { since_ms } => now_ms >= since_ms + MISSING_MS,
            _ => false,
        };
        self.stages.values().all(begun)
    }

    /// Counts the hosts that are or may be down for the wave.
    fn down(&self) -> usize {
        let may_be_down = |stage: &&Stage| {
            matches!(
                stage,
                Stage::Recording { .. }
                    | Stage::Ordered { .. }
                    | Stage::Unconfirmed { .. }
                    | Stage::Down { .. }
            )
        };
        self.stages.values().filter(may_be_down).count()
    }

    fn record(&self) -> WaveRecord {
        let mut record = WaveRecord::default();
        for (host, stage) in &self.stages {
            match stage {
                Stage::Pending | Stage::Missing { .. } | Stage::Vacating { .. } => {}
                Stage::Recording { .. } | Stage::Ordered { .. } | Stage::Unconfirmed { .. } => {
                    record.ordered.push(host.clone());
                }
                Stage::Down { .. } => {
                    record.ordered.push(host.clone());
                    record.begun.push(host.clone());
                }
                Stage::Over => record.done.push(host.clone()),
            }
        }
        record
    }
}

/// Decides which hosts are vacated and maintained.
#[derive(Debug)]
pub struct UpkeepEngine {
    timing: UpkeepTiming,
    waves: BTreeMap<WaveNumber, Wave>,
    hosts: HashMap<HostId, HostView>,
    /// When the list in `hosts` was requested.
    list_sent_ms: Option<u64>,
    list_in_flight: Option<u64>,
    next_list_ms: u64,
    /// Workers that the controllers of their pools confirmed as vacated.
    vacated: HashSet<WorkerId>,
    /// Workers with a vacate request in the store.
    requested: HashSet<WorkerId>,
    pending: UpkeepWrite,
    in_flight: Option<UpkeepWrite>,
    changed_records: HashSet<WaveNumber>,
    next_write_ms: u64,
}

impl UpkeepEngine {
    /// Creates an engine without waves.
    pub fn new(timing: UpkeepTiming) -> Self {
        Self {
            timing,
            waves: BTreeMap::new(),
            hosts: HashMap::new(),
            list_sent_ms: None,
            list_in_flight: None,
            next_list_ms: 0,
            vacated: HashSet::new(),
            requested: HashSet::new(),
            pending: UpkeepWrite::default(),
            in_flight: None,
            changed_records: HashSet::new(),
            next_write_ms: 0,
        }
    }

    /// Adds a wave with the record that a previous holder stored, if any.
    pub fn on_wave(
        &mut self,
        now: ClockReading,
        request: WaveRequest,
        record: Option<&WaveRecord>,
    ) {
        let wave = request.wave;
        if let Some(known) = self.waves.get_mut(&wave) {
            known.request = request;
            return;
        }
        let stage = |host: &HostId| match record {
            Some(record) if record.done.contains(host) => Stage::Over,
            Some(record) if record.begun.contains(host) => {
                Stage::Down { since_ms: now.monotonic_ms, worker: None }
            }
            Some(record) if record.ordered.contains(host) => {
                Stage::unconfirmed(None, now.monotonic_ms)
            }
            _ => Stage::Pending,
        };
        let stages: BTreeMap<_, _> =
            request.hosts.iter().map(|host| (host.clone(), stage(host))).collect();
        log::info!(wave = wave.0, hosts = request.hosts.len(), down_max = request.down_max,
            duration_ms = request.duration_ms; "maintenance wave begins");
        let state = None;
        let seen_ms = now.monotonic_ms;
        self.waves.insert(wave, Wave { request, seen_ms, stages, state });
        self.changed_records.insert(wave);
        self.next_list_ms = 0;
    }

    /// Adds vacate and release requests for moves of hosts to the next write.
    pub fn add_requests<V, R>(&mut self, vacate: V, release: R)
    where
        V: IntoIterator<Item = WorkerId>,
        R: IntoIterator<Item = WorkerId>,
    {
        let requests = vacate.into_iter().map(|worker| (worker, VacateReason::Move));
        self.pending.vacate.extend(requests);
        self.pending.release.extend(release);
    }

    /// Returns the current host list and when it was requested, in milliseconds
    /// on the local clock.
    pub fn list(&self) -> Option<(u64, Vec<HostView>)> {
        Some((self.list_sent_ms?, self.hosts.values().cloned().collect()))
    }

    /// Sets the vacate requests and confirmations that are in the store.
    pub fn on_requests<R, V>(&mut self, requested: R, vacated: V)
    where
        R: IntoIterator<Item = WorkerId>,
        V: IntoIterator<Item = WorkerId>,
    {
        self.requested = requested.into_iter().collect();
        self.vacated = vacated.into_iter().collect();
    }

    /// Applies the platform's host list; none if it could not be read.
    pub fn on_list(&mut self, now: ClockReading, hosts: Option<Vec<HostView>>) {
        let sent_ms = self.list_in_flight.take();
        self.next_list_ms = now.monotonic_ms + LIST_INTERVAL_MS;
        let Some(hosts) = hosts else { return };
        self.list_sent_ms = sent_ms;
        self.hosts = hosts.into_iter().map(|host| (host.host.clone(), host)).collect();
    }

    /// Handles the result of a maintenance order.
    pub fn on_reply(
        &mut self,
        now: ClockReading,
        wave: WaveNumber,
        host: &HostId,
        reply: HostOrderReply,
    ) -> Vec<UpkeepAction> {
        if reply == HostOrderReply::OldTerm {
            return vec![UpkeepAction::Fenced];
        }
        let now_ms = now.monotonic_ms;
        let Some(known) = self.waves.get_mut(&wave) else { return Vec::new() };
        let Some(stage) = known.stages.get_mut(host) else { return Vec::new() };
        let (worker, is_confirmed) = match stage {
            Stage::Ordered { worker, .. } => (worker, true),
            Stage::Unconfirmed { worker, .. } => (worker, false),
            _ => return Vec::new(),
        };
        log::info!(host = host.as_str(), wave = wave.0, reply:display = reply;
            "maintenance order was answered");
        *stage = match reply {
            HostOrderReply::Begun => {
                self.changed_records.insert(wave);
                Stage::Down { since_ms: now_ms, worker: worker.take() }
            }
            HostOrderReply::NotDue => {
                self.pending.release.extend(worker.take());
                self.changed_records.insert(wave);
                Stage::Over
            }
            _ if !is_confirmed => return Vec::new(),
            // The host is down for another reason, and its next worker need not be empty.
            HostOrderReply::Busy => Stage::unconfirmed(worker.take(), now_ms + LIST_LAG_MS),
            HostOrderReply::Refused | HostOrderReply::Unknown | HostOrderReply::OldTerm => {
                Stage::Ordered {
                    next_ms: now_ms + ORDER_RETRY_MS,
                    list_after_ms: now_ms,
                    in_flight: false,
                    worker: worker.take(),
                }
            }
        };
        Vec::new()
    }

    /// Returns whether a host is being vacated for maintenance or is down for
    /// it.
    pub fn is_busy(&self, host: &HostId) -> bool {
        self.waves.values().any(|wave| {
            let stage = wave.stages.get(host);
            stage.is_some_and(|stage| {
                !matches!(stage, Stage::Pending | Stage::Missing { .. } | Stage::Over)
            })
        })
    }

    /// Withdraws vacate requests of a previous holder that no wave needs: the
    /// moves that they were for are unknown, and the workers would stay empty
    /// forever. Keeps those in `requests` that a wave may need until the host list
    /// has shown the workers of its hosts.
    pub fn release_unneeded(&mut self, requests: &mut HashMap<WorkerId, Option<VacateReason>>) {
        let stages = self.waves.values().flat_map(|wave| wave.stages.values());
        let needed: HashSet<&WorkerId> = stages.filter_map(Stage::worker).collect();
        let is_undecided = |wave: &WaveNumber| {
            let stages = self.waves.get(wave).into_iter().flat_map(|wave| wave.stages.values());
            let mut unconfirmed =
                stages.filter(|stage| matches!(stage, Stage::Unconfirmed { worker: None, .. }));
            unconfirmed.next().is_some()
        };
        let mut unneeded = Vec::new();
        requests.retain(|worker, reason| {
            let may_be_needed =
                matches!(reason, Some(VacateReason::Wave(wave)) if is_undecided(wave));
            if !needed.contains(worker) && !may_be_needed {
                log::info!(worker = worker.as_str(), reason:? = reason;
                    "vacate request of a previous holder is withdrawn");
                unneeded.push(worker.clone());
            }
            may_be_needed && !needed.contains(worker)
        });
        self.pending.release.extend(unneeded);
    }

    /// Handles the result of the write in flight.
    pub fn on_write(&mut self, now: ClockReading, is_written: bool) {
        let Some(write) = self.in_flight.take() else { return };
        if !is_written {
            self.next_write_ms = now.monotonic_ms + ORDER_RETRY_MS;
            self.pending.vacate.extend(write.vacate);
            self.pending.release.extend(write.release);
            self.changed_records.extend(write.records.into_iter().map(|(wave, _)| wave));
            for (wave, _) in write.states {
                if let Some(wave) = self.waves.get_mut(&wave) {
                    wave.state = None;
                }
            }
            return;
        }
        for (wave, record) in write.records {
            let Some(wave) = self.waves.get_mut(&wave) else { continue };
            for (host, stage) in &mut wave.stages {
                if let Stage::Recording { worker } = stage
                    && record.ordered.contains(host)
                {
                    *stage = Stage::ordered(worker.take());
                }
            }
        }
        self.requested.extend(write.vacate.into_iter().map(|(worker, _)| worker));
        for worker in write.release {
            self.requested.remove(&worker);
            self.vacated.remove(&worker);
        }
    }

    /// Returns the actions that follow from all events since the last call.
    /// Without `may_order`, orders wait. `is_moving` tells which hosts are being
    /// moved to another pool.
    pub fn step<F>(&mut self, now: ClockReading, may_order: bool, is_moving: F) -> Vec<UpkeepAction>
    where
        F: Fn(&HostId) -> bool,
    {
        let now_ms = now.monotonic_ms;
        let mut actions = Vec::new();
        if self.list_in_flight.is_none() && now_ms >= self.next_list_ms {
            self.list_in_flight = Some(now_ms);
            actions.push(UpkeepAction::List);
        }
        if self.list_sent_ms.is_some() {
            self.advance(now_ms, &is_moving);
            if may_order {
                self.send_orders(now_ms, &mut actions);
            }
        }
        if let Some(write) = self.next_write(now_ms) {
            actions.push(UpkeepAction::Write(write));
        }
        actions
    }

    /// Advances every host of every wave through its stages.
    fn advance<F>(&mut self, now_ms: u64, is_moving: &F)
    where
        F: Fn(&HostId) -> bool,
    {
        let numbers: Vec<WaveNumber> = self.waves.keys().copied().collect();
        for number in numbers {
            self.begin_hosts(now_ms, number, is_moving);
            self.review_ordered(now_ms, number);
            let Some(wave) = self.waves.get_mut(&number) else { continue };
            let down_max = wave.request.down_max.max(1);
            let mut down = wave.down();
            for (host, stage) in &mut wave.stages {
                match stage {
                    Stage::Missing { .. } if self.hosts.contains_key(host) => {
                        *stage = Stage::Pending;
                    }
                    // The host runs another worker by now, so it starts over.
                    Stage::Vacating { worker } if !runs_worker(&self.hosts, host, worker) => {
                        self.pending.release.push(worker.clone());
                        *stage = Stage::Pending;
                    }
                    Stage::Vacating { worker }
                        if self.vacated.contains(worker) && down < down_max =>
                    {
                        *stage = Stage::Recording { worker: Some(worker.clone()) };
                        down += 1;
                        self.changed_records.insert(number);
                    }
                    Stage::Down { since_ms, worker } => {
                        let view = self.hosts.get(host);
                        let is_back = view.is_none_or(|view| view.state == HostState::Up);
                        let keeps_name =
                            worker.is_some() && view.is_some_and(|view| view.worker == *worker);
                        let lag_ms = if keeps_name { KEPT_NAME_LAG_MS } else { LIST_LAG_MS };
                        let earliest_ms = *since_ms + self.timing.maintenance_ms + lag_ms;
                        let is_fresh = self.list_sent_ms.is_some_and(|sent| sent >= earliest_ms);
                        if is_fresh && is_back {
                            self.pending.release.extend(worker.take());
                            *stage = Stage::Over;
                            self.changed_records.insert(number);
                        }
                    }
                    _ => {}
                }
            }
            let state = if wave.is_begun(now_ms) { WaveState::Done } else { WaveState::Active };
            if wave.state != Some(state) {
                wave.state = Some(state);
                log::info!(wave = number.0, state:display = state; "wave changed its state");
                self.pending.states.push((number, state));
            }
        }
    }

    /// Checks the hosts of a wave that were ordered against the host list: a host whose
    /// worker has changed need not be empty any more.
    fn review_ordered(&mut self, now_ms: u64, number: WaveNumber) {
        let Some(wave) = self.waves.get(&number) else { return };
        let list_sent_ms = self.list_sent_ms.unwrap_or(0);
        let mut changed = Vec::new();
        for (host, stage) in &wave.stages {
            let view = self.hosts.get(host);
            let next = match stage {
                Stage::Unconfirmed { list_after_ms, .. } if list_sent_ms < *list_after_ms => None,
                Stage::Ordered { worker, .. } => {
                    view.and_then(|view| self.review(worker.as_ref(), view))
                }
                Stage::Unconfirmed { worker, missing_since_ms, list_after_ms } => match view {
                    Some(view) => self.review_unconfirmed(worker.as_ref(), view),
                    None => {
                        let since_ms = missing_since_ms.unwrap_or(now_ms);
                        let (worker, list_after_ms) = (worker.clone(), *list_after_ms);
                        let missing_since_ms = Some(since_ms);
                        Some(if now_ms >= since_ms + MISSING_MS {
                            Stage::Missing { since_ms }
                        } else {
                            Stage::Unconfirmed { worker, missing_since_ms, list_after_ms }
                        })
                    }
                },
                _ => None,
            };
            changed.extend(next.map(|next| (host.clone(), next)));
        }
        let Some(wave) = self.waves.get_mut(&number) else { return };
        for (host, next) in changed {
            let former = wave.stages.get(&host).and_then(Stage::worker);
            if let Some(worker) = next.worker()
                && former != Some(worker)
                && !self.requested.contains(worker)
            {
                log::info!(host = host.as_str(), wave = number.0, worker = worker.as_str();
                    "host is vacated again before its maintenance is ordered");
                self.pending.vacate.push((worker.clone(), VacateReason::Wave(number)));
            }
            let released = former.filter(|&former| next.worker() != Some(former));
            self.pending.release.extend(released.cloned());
            if matches!(next, Stage::Missing { .. }) {
                self.changed_records.insert(number);
            }
            wave.stages.insert(host, next);
        }
    }

    /// Returns the next stage of a host whose order is repeated until it is
    /// confirmed, if its worker has changed.
    fn review(&self, worker: Option<&WorkerId>, view: &HostView) -> Option<Stage> {
        let shown = view.worker.as_ref().filter(|_| view.state == HostState::Up)?;
        (Some(shown) != worker).then(|| Stage::unconfirmed(Some(shown.clone()), 0))
    }

    /// Returns the next stage of a host that need not be empty, if it changes.
    fn review_unconfirmed(&self, worker: Option<&WorkerId>, view: &HostView) -> Option<Stage> {
        if view.state != HostState::Up {
            return None;
        }
        match &view.worker {
            Some(shown) if !self.is_kept_empty(shown) => self.review(worker, view),
            // A host without a worker need not be vacated.
            shown => Some(Stage::ordered(shown.clone())),
        }
    }

    /// Returns whether a worker is vacated by a request that stands.
    fn is_kept_empty(&self, worker: &WorkerId) -> bool {
        self.requested.contains(worker) && self.vacated.contains(worker)
    }

    /// Sends the maintenance orders that are due.
    fn send_orders(&mut self, now_ms: u64, actions: &mut Vec<UpkeepAction>) {
        for (&number, wave) in &mut self.waves {
            for (host, stage) in &mut wave.stages {
                if let Stage::Ordered { next_ms, list_after_ms, in_flight, .. } = stage
                    && !*in_flight
                    && now_ms >= *next_ms
                    && self.list_sent_ms >= Some(*list_after_ms)
                {
                    *in_flight = true;
                    actions.push(UpkeepAction::Order(host.clone(), number));
                }
            }
        }
    }

    /// Chooses the hosts that are vacated next, within the limits of the wave
    /// and of each pool.
    fn begin_hosts<F>(&mut self, now_ms: u64, number: WaveNumber, is_moving: &F)
    where
        F: Fn(&HostId) -> bool,
    {
        let Some(wave) = self.waves.get(&number) else { return };
        let elapsed_ms = now_ms.saturating_sub(wave.seen_ms);
        let lifts_pool_limit = elapsed_ms * 100 > wave.request.duration_ms * POOL_LIMIT_PERCENT;
        let down_max = wave.request.down_max.max(1);
        let mut busy: HashMap<&PoolId, usize> = HashMap::new();
        let mut sizes: HashMap<&PoolId, usize> = HashMap::new();
        for view in self.hosts.values() {
            *sizes.entry(&view.pool).or_default() += 1;
        }
        let mut in_progress = 0;
        for (host, stage) in &wave.stages {
            if !matches!(stage, Stage::Pending | Stage::Missing { .. } | Stage::Over) {
                in_progress += 1;
                if let Some(view) = self.hosts.get(host) {
                    *busy.entry(&view.pool).or_default() += 1;
                }
            }
        }
        let mut chosen = Vec::new();
        for host in wave.stages.iter().filter(|(_, stage)| **stage == Stage::Pending) {
            let host = host.0;
            let Some(view) = self.hosts.get(host) else {
                chosen.push((host.clone(), Stage::Missing { since_ms: now_ms }));
                continue;
            };
            let size = sizes.get(&view.pool).copied().unwrap_or(0);
            let pool_max = if lifts_pool_limit { down_max } else { size.div_ceil(POOL_DIVISOR) };
            let in_pool = busy.entry(&view.pool).or_default();
            if in_progress >= down_max
                || *in_pool >= pool_max
                || view.state != HostState::Up
                || is_moving(host)
            {
                continue;
            }
            in_progress += 1;
            *in_pool += 1;
            // A host without a worker need not be vacated.
            let next = match view.worker.clone() {
                Some(worker) => Stage::Vacating { worker },
                None => Stage::Recording { worker: None },
            };
            chosen.push((host.clone(), next));
        }
        let Some(wave) = self.waves.get_mut(&number) else { return };
        for (host, stage) in chosen {
            match &stage {
                Stage::Vacating { worker } if !self.requested.contains(worker) => {
                    let reason = VacateReason::Wave(number);
                    self.pending.vacate.push((worker.clone(), reason));
                }
                Stage::Vacating { .. } | Stage::Missing { .. } => {}
                _ => {
                    self.changed_records.insert(number);
                }
            }
            wave.stages.insert(host, stage);
        }
    }

    fn next_write(&mut self, now_ms: u64) -> Option<UpkeepWrite> {
        if self.in_flight.is_some() || now_ms < self.next_write_ms {
            return None;
        }
        let mut write = std::mem::take(&mut self.pending);
        // A host may be part of several waves.
        let stages = self.waves.values().flat_map(|wave| wave.stages.values());
        let needed: HashSet<&WorkerId> = stages.filter_map(Stage::worker).collect();
        write.release.retain(|worker| !needed.contains(worker));
        for wave in self.changed_records.drain() {
            if let Some(known) = self.waves.get(&wave) {
                write.records.push((wave, known.record()));
            }
        }
        if write == UpkeepWrite::default() {
            return None;
        }
        // Requests that do not fit into one transaction wait for the next. A
        // surge waits for hosts that are to be vacated, so these go first.
        let mut entries = ENTRIES_FIXED + write.records.len() + write.states.len();
        let mut take = |requests: usize, entries_each: usize| {
            let room = ENTRIES_MAX.saturating_sub(entries) / entries_each;
            let taken = requests.min(room.max(1));
            entries += taken * entries_each;
            taken
        };
        let vacate = take(write.vacate.len(), 1);
        let release = take(write.release.len(), ENTRIES_RELEASE);
        self.pending.vacate = write.vacate.split_off(vacate);
        self.pending.release = write.release.split_off(release);
        self.in_flight = Some(write.clone());
        Some(write)
    }

    /// Returns when [`step`](Self::step) is due without an event, in
    /// milliseconds on the local clock.
    pub fn next_step_ms(&self, now: ClockReading) -> u64 {
        now.monotonic_ms + STEP_MS
    }
}

/// Returns whether the listed worker of a host is still `worker`.
fn runs_worker(hosts: &HashMap<HostId, HostView>, host: &HostId, worker: &WorkerId) -> bool {
    hosts.get(host).is_some_and(|view| view.worker.as_ref() == Some(worker))
}
