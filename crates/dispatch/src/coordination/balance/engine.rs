//! The engine that decides on moves of hosts between pools.

use std::collections::{BTreeMap, VecDeque};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{HostId, PoolId, WorkerId},
};

use super::turns::SurgeHistory;
use crate::{
    coordination::upkeep::{HostOrderReply, HostState, HostView},
    state::{BalanceRecord, Demand, WorkerEntry},
};

/// Time within which the backlog is to be worked off, in milliseconds: about
/// twice the slack that jobs have beyond their own duration, since more hosts
/// are on their way.
const BACKLOG_DRAIN_MS: u64 = 2_500;
/// Time within which work that ends too late for its callers is to be worked
/// off, in milliseconds: it must not keep hosts from a pool whose work can still
/// end in time, and is done in the next lull.
const OVERDUE_DRAIN_MS: u64 = 15_000;
/// Share of a host's processors that tasks use in practice, in percent.
const UTILIZATION_PERCENT: u64 = 85;
/// Share of its initial size that a pool keeps when others need hosts, in
/// percent, if its surge may be the next: the surge begins on these hosts.
const KEEP_NEXT_PERCENT: usize = 60;
/// The same for a pool whose surge cannot be the next.
const KEEP_PERCENT: usize = 25;
/// Most moves and vacate requests in progress at once, in percent of all hosts:
/// a surge needs a third of them within seconds, and the rest must keep
/// working.
const TRANSFERS_MAX_PERCENT: usize = 40;
/// Time after which an unfulfilled request to vacate a worker is withdrawn, in
/// milliseconds: the worker's tasks may outlast the surge that needed the host.
const VACATE_TIMEOUT_MS: u64 = 2_500;
/// Delay before an order that was not confirmed is sent again, in
/// milliseconds.
const ORDER_RETRY_MS: u64 = 400;
/// Delay before a host that is not up or is leaving is ordered to move again,
/// in milliseconds: the host list shows its state by then.
const BUSY_DELAY_MS: u64 = 1_500;
/// Delay before a host that the platform does not move to the pool is ordered
/// to move again, in milliseconds: the cause is in the configuration of either
/// side, which rarely changes.
const NOT_MOVABLE_DELAY_MS: u64 = 10_000;
/// Time from a host's arrival in a pool until it gets work, in milliseconds:
/// registration, first poll and roster update.
const JOIN_MS: u64 = 700;
/// Time for which the registry may list a worker that has left, in
/// milliseconds: three heartbeats and a margin. The vacate request stays that
/// long, so that a successor of the pool's controller sees that nothing runs on
/// the worker.
const REGISTRY_LAG_MS: u64 = 6_000;
/// Time by which the host list may be out of date, in milliseconds.
const LIST_LAG_MS: u64 = 1_200;
/// Time without a deficit in any pool after which spare hosts are switched off,
/// in milliseconds: a growing backlog shows within it.
const SWITCH_OFF_AFTER_MS: u64 = 1_000;
/// Window over which the largest need keeps hosts switched on, in milliseconds:
/// switching a host off and on again costs about as much as keeping it on for
/// this time.
const NEED_WINDOW_MS: u64 = 2_300;
/// Age up to which a pool's demand report is used, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 10_000;

/// Times of the platform, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalanceTiming {
    /// Time that a move takes.
    pub move_ms: u64,
}

/// Action that the owner of the engine must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BalanceAction {
    /// Ask the pool's controller to vacate a worker.
    Vacate(WorkerId),
    /// Withdraw a vacate request.
    Release(WorkerId),
    /// Move a host to a pool.
    Move(HostId, PoolId),
    /// Store the state that a successor needs.
    Save(BalanceRecord),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The pool's controller was asked to vacate the worker.
    Vacating { worker: WorkerId, since_ms: u64 },
    /// Move orders are sent until one is confirmed.
    Ordering { worker: Option<WorkerId>, next_ms: u64, in_flight: bool },
    /// The move was confirmed; the host list shows it only later.
    Moved { at_ms: u64 },
}

#[derive(Clone, Debug)]
struct Transfer {
    to: PoolId,
    stage: Stage,
}

/// A host that could be moved now.
#[derive(Clone, Debug)]
struct Available {
    host: HostId,
    pool: PoolId,
    state: Availability,
}

/// What a host does that could be moved; later ones are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Availability {
    /// Its worker's runs end by themselves.
    Ending,
    Idle,
    Off,
}

#[derive(Clone, Debug)]
struct Report {
    demand: Demand,
    at_ms: u64,
}

/// Decides which hosts are moved to which pool.
#[derive(Debug)]
pub struct BalanceEngine {
    timing: BalanceTiming,
    hosts: BTreeMap<HostId, HostView>,
    /// Processors of one host, in thousandths of a core.
    host_millicores: u64,
    first_sizes: HashMap<PoolId, usize>,
    standby: Option<PoolId>,
    working: HashSet<PoolId>,
    reports: HashMap<PoolId, Report>,
    transfers: BTreeMap<HostId, Transfer>,
    /// New pools of hosts whose moves are complete, each with the time from
    /// which host lists show them; older lists are corrected.
    arrived: HashMap<HostId, (PoolId, u64)>,
    /// Workers whose vacate requests are no longer needed, with the time at
    /// which these are withdrawn.
    pending_releases: Vec<(u64, WorkerId)>,
    /// Hosts whose move was refused, with the time until which they are not
    /// chosen again, in milliseconds on the local clock.
    refused_until_ms: HashMap<HostId, u64>,
    /// Workers that ended with the move of their host; the registry still lists
    /// them for seconds.
    departed: HashSet<WorkerId>,
    surges: SurgeHistory,
    /// Recent needs of the pools in hosts, with their times, oldest first.
    recent_needs: VecDeque<(u64, HashMap<PoolId, usize>)>,
    last_need_ms: u64,
}

impl BalanceEngine {
    /// Creates an engine without hosts or pools.
    pub fn new(timing: BalanceTiming) -> Self {
        Self {
            timing,
            hosts: BTreeMap::new(),
            host_millicores: 0,
            first_sizes: HashMap::new(),
            standby: None,
            working: HashSet::new(),
            reports: HashMap::new(),
            transfers: BTreeMap::new(),
            arrived: HashMap::new(),
            pending_releases: Vec::new(),
            refused_until_ms: HashMap::new(),
            departed: HashSet::new(),
            surges: SurgeHistory::default(),
            recent_needs: VecDeque::new(),
            last_need_ms: 0,
        }
    }

    /// Restores the state that a previous holder stored.
    pub fn restore(&mut self, now: ClockReading, record: &BalanceRecord) {
        let sizes = record.first_sizes.iter().map(|(pool, size)| (pool.clone(), *size as usize));
        self.first_sizes = sizes.collect();
        self.surges.restore(now, &record.surges, record.turn_ms);
    }

    /// Sets the pools that run tasks, and the standby pool whose hosts are
    /// switched off.
    pub fn set_pools<I>(&mut self, working: I, standby: Option<PoolId>)
    where
        I: IntoIterator<Item = PoolId>,
    {
        self.working = working.into_iter().collect();
        self.standby = standby;
    }

    /// Handles a pool's demand report.
    pub fn on_demand(&mut self, now: ClockReading, pool: PoolId, demand: Demand) {
        let at_ms = now.monotonic_ms;
        let first = self.first_sizes.get(&pool).copied().unwrap_or(0) as u64;
        let capacity_millicores = first * self.host_millicores;
        self.surges.on_demand(at_ms, &pool, demand.arriving_millicores, capacity_millicores);
        self.reports.insert(pool, Report { demand, at_ms });
    }

    /// Applies the platform's host list, which was requested at `sent_ms`.
    pub fn on_list(&mut self, sent_ms: u64, hosts: &[HostView]) {
        self.hosts = hosts.iter().map(|view| (view.host.clone(), view.clone())).collect();
        if self.first_sizes.is_empty() {
            for view in hosts {
                *self.first_sizes.entry(view.pool.clone()).or_default() += 1;
            }
            self.surges.mark_changed();
        }
        let known = &self.hosts;
        self.transfers.retain(|host, _| known.contains_key(host));
        self.arrived.retain(|_, (_, shown_ms)| sent_ms < *shown_ms);
        self.refused_until_ms.retain(|_, until_ms| sent_ms < *until_ms);
        for (host, (pool, _)) in &self.arrived {
            if let Some(view) = self.hosts.get_mut(host) {
                mark_arrived(view, pool);
            }
        }
    }

    /// Applies the registry, which shows the worker of a host earlier than the
    /// host list. Other writers can add entries: one that names a pool without
    /// tasks, or a host whose listed worker is registered, is ignored.
    pub fn on_workers<'a, I>(&mut self, workers: I)
    where
        I: IntoIterator<Item = &'a WorkerEntry> + Clone,
    {
        let mut unlisted = Vec::new();
        for entry in workers.clone() {
            if !self.working.contains(&entry.pool) || self.departed.contains(&entry.worker) {
                continue;
            }
            let Some(view) = self.hosts.get_mut(&entry.host) else { continue };
            if view.worker.as_ref() != Some(&entry.worker) {
                unlisted.push(entry);
                continue;
            }
            self.host_millicores = self.host_millicores.max(entry.capacity.cpu_millicores);
            if view.pool != entry.pool {
                view.pool = entry.pool.clone();
            }
        }
        if unlisted.is_empty() {
            return;
        }
        let registered: HashSet<(&HostId, &WorkerId)> =
            workers.into_iter().map(|entry| (&entry.host, &entry.worker)).collect();
        for entry in unlisted {
            let Some(view) = self.hosts.get_mut(&entry.host) else { continue };
            let is_registered = |worker: &WorkerId| {
                registered.contains(&(&entry.host, worker)) && !self.departed.contains(worker)
            };
            if !view.worker.as_ref().is_some_and(is_registered) {
                (view.worker, view.pool) = (Some(entry.worker.clone()), entry.pool.clone());
            }
        }
    }

    /// Handles the result of a move order.
    pub fn on_reply(&mut self, now: ClockReading, host: &HostId, reply: HostOrderReply) {
        let now_ms = now.monotonic_ms;
        let Some(transfer) = self.transfers.get_mut(host) else { return };
        let Stage::Ordering { worker, .. } = &mut transfer.stage else { return };
        log::info!(host = host.as_str(), pool = transfer.to.as_str(), reply:display = reply;
            "move order was answered");
        match reply {
            HostOrderReply::Begun => {
                self.departed.extend(worker.clone());
                let worker = worker.take().map(|worker| (now_ms + REGISTRY_LAG_MS, worker));
                self.pending_releases.extend(worker);
                transfer.stage = Stage::Moved { at_ms: now_ms };
            }
            HostOrderReply::Unknown => {
                let worker = worker.take();
                let next_ms = now_ms + ORDER_RETRY_MS;
                transfer.stage = Stage::Ordering { worker, next_ms, in_flight: false };
            }
            HostOrderReply::Busy
            | HostOrderReply::Refused
            | HostOrderReply::NotDue
            | HostOrderReply::OldTerm => {
                let until_ms = now_ms + refusal_delay_ms(reply);
                self.refused_until_ms.insert(host.clone(), until_ms);
                self.pending_releases.extend(worker.take().map(|worker| (now_ms, worker)));
                self.transfers.remove(host);
            }
        }
    }

    /// Returns whether a transfer of the host to another pool is in progress.
    pub fn is_moving(&self, host: &HostId) -> bool {
        self.transfers.contains_key(host)
    }

    /// Returns the next actions. Without `may_order`, orders wait and no
    /// transfer begins. `vacated` are the workers confirmed as vacated;
    /// `is_reserved` tells which hosts maintenance needs.
    pub fn step<F>(
        &mut self,
        now: ClockReading,
        may_order: bool,
        vacated: &HashSet<WorkerId>,
        is_reserved: F,
    ) -> Vec<BalanceAction>
    where
        F: Fn(&HostId) -> bool,
    {
        let now_ms = now.monotonic_ms;
        let mut actions = Vec::new();
        if let Some((surges, turn_ms)) = self.surges.take_changes(now) {
            let sizes = self.first_sizes.iter();
            let first_sizes = sizes.map(|(pool, &size)| (pool.clone(), size as u32)).collect();
            actions.push(BalanceAction::Save(BalanceRecord { first_sizes, surges, turn_ms }));
        }
        self.advance(now_ms, vacated, &mut actions);
        if !may_order {
            return actions;
        }
        if self.host_millicores > 0 && !self.hosts.is_empty() {
            self.begin_transfers(now_ms, is_reserved, &mut actions);
        }
        self.send_orders(now_ms, &mut actions);
        actions
    }

    /// Begins the transfers that the pools' needs ask for.
    fn begin_transfers<F>(&mut self, now_ms: u64, is_reserved: F, actions: &mut Vec<BalanceAction>)
    where
        F: Fn(&HostId) -> bool,
    {
        let needs = self.needs(now_ms);
        self.recent_needs.push_back((now_ms, needs.clone()));
        while self.recent_needs.front().is_some_and(|(at, _)| now_ms > at + NEED_WINDOW_MS) {
            self.recent_needs.pop_front();
        }
        let mut sizes = self.sizes();
        let mut deficits: Vec<(usize, PoolId)> = (needs.iter())
            .filter_map(|(pool, &need)| {
                let size = sizes.get(pool).copied().unwrap_or(0);
                (need > size).then(|| (need - size, pool.clone()))
            })
            .collect();
        deficits.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        if !deficits.is_empty() {
            self.last_need_ms = now_ms;
        }
        let may_switch_off = now_ms > self.last_need_ms + SWITCH_OFF_AFTER_MS;
        if deficits.is_empty() && !may_switch_off {
            return;
        }
        let mut available = self.available(now_ms, is_reserved);
        for (missing, to) in deficits {
            for _ in 0..missing {
                if self.is_at_transfer_limit() {
                    return;
                }
                let Some(donor) = self.choose_donor(&available, &sizes, &needs, &to) else { break };
                let donor = available.swap_remove(donor);
                self.begin_transfer(now_ms, donor, to.clone(), &mut sizes, actions);
            }
        }
        if may_switch_off {
            let needs = self.largest_recent_needs();
            self.switch_off_idle(now_ms, &needs, available, &mut sizes, actions);
        }
    }

    /// Sends the move orders that are due.
    fn send_orders(&mut self, now_ms: u64, actions: &mut Vec<BalanceAction>) {
        for (host, transfer) in &mut self.transfers {
            if let Stage::Ordering { next_ms, in_flight, .. } = &mut transfer.stage
                && !*in_flight
                && now_ms >= *next_ms
            {
                *in_flight = true;
                actions.push(BalanceAction::Move(host.clone(), transfer.to.clone()));
            }
        }
    }

    /// Returns whether no further transfer may begin now.
    fn is_at_transfer_limit(&self) -> bool {
        self.transfers.len() * 100 >= self.hosts.len() * TRANSFERS_MAX_PERCENT
    }

    /// Advances every transfer and releases vacate requests that are due.
    fn advance(
        &mut self,
        now_ms: u64,
        vacated: &HashSet<WorkerId>,
        actions: &mut Vec<BalanceAction>,
    ) {
        let due = self.pending_releases.extract_if(.., |(at_ms, _)| now_ms >= *at_ms);
        actions.extend(due.map(|(_, worker)| BalanceAction::Release(worker)));
        let mut finished = Vec::new();
        for (host, transfer) in &mut self.transfers {
            match &mut transfer.stage {
                Stage::Vacating { worker, .. } if vacated.contains(worker) => {
                    let worker = Some(worker.clone());
                    transfer.stage = Stage::Ordering { worker, next_ms: 0, in_flight: false };
                }
                Stage::Vacating { worker, since_ms } if now_ms > *since_ms + VACATE_TIMEOUT_MS => {
                    actions.push(BalanceAction::Release(worker.clone()));
                    finished.push(host.clone());
                }
                Stage::Moved { at_ms } if now_ms >= *at_ms + self.timing.move_ms => {
                    let shown_ms = *at_ms + self.timing.move_ms + LIST_LAG_MS;
                    self.arrived.insert(host.clone(), (transfer.to.clone(), shown_ms));
                    if let Some(view) = self.hosts.get_mut(host) {
                        mark_arrived(view, &transfer.to);
                    }
                    finished.push(host.clone());
                }
                _ => {}
            }
        }
        for host in finished {
            self.transfers.remove(&host);
        }
    }

    /// Returns the number of hosts that each working pool needs.
    fn needs(&self, now_ms: u64) -> HashMap<PoolId, usize> {
        let host = (self.host_millicores * UTILIZATION_PERCENT / 100).max(1);
        let need = |pool: &PoolId| {
            let report = self.reports.get(pool)?;
            if now_ms > report.at_ms + REPORT_MAX_AGE_MS {
                return None;
            }
            let demand = &report.demand;
            let horizon_ms = self.timing.move_ms + JOIN_MS;
            let forecast = self.surges.forecast(now_ms, horizon_ms, pool, &self.working);
            let millicores = demand.lasting_millicores
                + demand.arriving_millicores.max(forecast)
                + demand.backlog_core_ms * 1_000 / BACKLOG_DRAIN_MS
                + demand.overdue_core_ms * 1_000 / OVERDUE_DRAIN_MS;
            Some(millicores.div_ceil(host) as usize)
        };
        self.working.iter().map(|pool| (pool.clone(), need(pool).unwrap_or(0))).collect()
    }

    fn largest_recent_needs(&self) -> HashMap<PoolId, usize> {
        let mut largest: HashMap<PoolId, usize> = HashMap::new();
        for (pool, &need) in self.recent_needs.iter().flat_map(|(_, needs)| needs) {
            let known = largest.entry(pool.clone()).or_default();
            *known = (*known).max(need);
        }
        largest
    }

    /// Counts the hosts of each pool as if all transfers were complete.
    fn sizes(&self) -> HashMap<PoolId, usize> {
        let mut sizes: HashMap<PoolId, usize> = HashMap::new();
        for (host, view) in &self.hosts {
            let pool = self.transfers.get(host).map_or(&view.pool, |transfer| &transfer.to);
            if matches!(view.state, HostState::Up | HostState::Moving) {
                *sizes.entry(pool.clone()).or_default() += 1;
            }
        }
        sizes
    }

    /// Lists the hosts that are off or idle, or whose runs end by themselves, and
    /// that are not being moved and not reserved.
    fn available<F>(&self, now_ms: u64, is_reserved: F) -> Vec<Available>
    where
        F: Fn(&HostId) -> bool,
    {
        let reports = || self.reports.values().map(|report| &report.demand);
        let idle: HashSet<&WorkerId> = reports().flat_map(|demand| &demand.idle).collect();
        let ending: HashSet<&WorkerId> = reports().flat_map(|demand| &demand.ending).collect();
        let availability = |view: &HostView| {
            if self.standby.as_ref() == Some(&view.pool) {
                return Some(Availability::Off);
            }
            let worker = view.worker.as_ref()?;
            let is_ending = ending.contains(worker).then_some(Availability::Ending);
            idle.contains(worker).then_some(Availability::Idle).or(is_ending)
        };
        let hosts = self.hosts.values().filter_map(|view| {
            let state = availability(view)?;
            let is_available = view.state == HostState::Up
                && !self.transfers.contains_key(&view.host)
                && self.refused_until_ms.get(&view.host).is_none_or(|&until_ms| now_ms >= until_ms)
                && !is_reserved(&view.host);
            is_available.then(|| Available {
                host: view.host.clone(),
                pool: view.pool.clone(),
                state,
            })
        });
        hosts.collect()
    }

    /// Returns how many hosts a pool has beyond both its need and
    /// `kept_percent` of its initial size.
    fn surplus(
        &self,
        sizes: &HashMap<PoolId, usize>,
        needs: &HashMap<PoolId, usize>,
        pool: &PoolId,
        kept_percent: usize,
    ) -> usize {
        let size = sizes.get(pool).copied().unwrap_or(0);
        let kept = self.share_of_first(pool, kept_percent);
        size.saturating_sub(needs.get(pool).copied().unwrap_or(0).max(kept))
    }

    /// Chooses a host for a pool: one that is off, otherwise an idle one, then
    /// one whose runs end by themselves, of the pool with the largest surplus.
    fn choose_donor(
        &self,
        available: &[Available],
        sizes: &HashMap<PoolId, usize>,
        needs: &HashMap<PoolId, usize>,
        to: &PoolId,
    ) -> Option<usize> {
        let spare = |from: &Available| {
            if from.state == Availability::Off {
                return usize::MAX;
            }
            let percent =
                if self.may_be_next(&from.pool) { KEEP_NEXT_PERCENT } else { KEEP_PERCENT };
            self.surplus(sizes, needs, &from.pool, percent)
        };
        let others = available.iter().enumerate().filter(|(_, from)| from.pool != *to);
        let spares = others.map(|(index, from)| (from.state, spare(from), index));
        spares.filter(|&(_, spare, _)| spare > 0).max().map(|(.., index)| index)
    }

    fn begin_transfer(
        &mut self,
        now_ms: u64,
        from: Available,
        to: PoolId,
        sizes: &mut HashMap<PoolId, usize>,
        actions: &mut Vec<BalanceAction>,
    ) {
        let Available { host, pool, state } = from;
        log::info!(host = host.as_str(), from = pool.as_str(), to = to.as_str();
            "moving host to another pool");
        *sizes.entry(to.clone()).or_default() += 1;
        if let Some(size) = sizes.get_mut(&pool) {
            *size = size.saturating_sub(1);
        }
        let worker = self.hosts.get(&host).and_then(|view| view.worker.clone());
        let stage = match worker.filter(|_| state != Availability::Off) {
            Some(worker) => {
                actions.push(BalanceAction::Vacate(worker.clone()));
                Stage::Vacating { worker, since_ms: now_ms }
            }
            None => Stage::Ordering { worker: None, next_ms: 0, in_flight: false },
        };
        self.transfers.insert(host, Transfer { to, stage });
    }

    fn may_be_next(&self, pool: &PoolId) -> bool {
        self.surges.may_be_next(pool, &self.working)
    }

    fn share_of_first(&self, pool: &PoolId, percent: usize) -> usize {
        (self.first_sizes.get(pool).copied().unwrap_or(0) * percent).div_ceil(100)
    }

    /// Switches off surplus hosts of working pools; a pool whose surge may be
    /// the next keeps its initial size.
    fn switch_off_idle(
        &mut self,
        now_ms: u64,
        needs: &HashMap<PoolId, usize>,
        available: Vec<Available>,
        sizes: &mut HashMap<PoolId, usize>,
        actions: &mut Vec<BalanceAction>,
    ) {
        let Some(standby) = self.standby.clone() else { return };
        for from in available.into_iter().filter(|from| from.state == Availability::Idle) {
            if self.is_at_transfer_limit() {
                return;
            }
            let percent = if self.may_be_next(&from.pool) { 100 } else { KEEP_PERCENT };
            let is_working = self.working.contains(&from.pool);
            if is_working && self.surplus(sizes, needs, &from.pool, percent) > 0 {
                self.begin_transfer(now_ms, from, standby.clone(), sizes, actions);
            }
        }
    }
}

/// Returns the time for which a host is not ordered to move again after a
/// refusal, in milliseconds.
fn refusal_delay_ms(reply: HostOrderReply) -> u64 {
    match reply {
        HostOrderReply::NotDue => NOT_MOVABLE_DELAY_MS,
        HostOrderReply::Busy => BUSY_DELAY_MS,
        HostOrderReply::Begun
        | HostOrderReply::OldTerm
        | HostOrderReply::Refused
        | HostOrderReply::Unknown => ORDER_RETRY_MS,
    }
}

/// Marks a host as arrived in a pool; its worker is known once it registers.
fn mark_arrived(view: &mut HostView, pool: &PoolId) {
    if view.pool != *pool || view.state != HostState::Up {
        view.pool = pool.clone();
        view.state = HostState::Up;
        view.worker = None;
    }
}
