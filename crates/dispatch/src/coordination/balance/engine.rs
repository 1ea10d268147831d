//! The engine that moves hosts.

use std::collections::{BTreeMap, VecDeque};

use hashbrown::{HashMap, HashSet};
use tamarackproxy::state::{
    clock::ClockReading,
    ids::{HostId, PoolId, WorkerId},
};

use super::turns::Turns;
use crate::{
    coordination::upkeep::{HostOrderReply, HostState, HostView},
    state::{BalanceRecord, Demand, WorkerEntry},
};

/// Time within which backlog is to be worked off, in milliseconds: about twice
/// the time that jobs have beyond their own work, since more hosts are on their
/// way.
const BACKLOG_MS: u64 = 2_500;
/// Share of a host's processors that work fills in practice, in percent.
const FILL_PERCENT: u64 = 85;
/// Share of its first size that a pool keeps when others need hosts, in
/// percent, if its turn may be next: its own surge begins on these.
const KEEP_NEXT_PERCENT: usize = 60;
/// The same for a pool that others come before.
const KEEP_PERCENT: usize = 25;
/// Moves and requests under way at once, in percent of all hosts: a surge wants
/// a third of them within seconds, and the rest keeps working.
const UNDER_WAY_PERCENT: usize = 40;
/// Time after which a request to empty a worker that was not met is withdrawn,
/// in milliseconds; its work may outlast the surge it was meant for.
const VACATE_MAX_MS: u64 = 2_500;
/// Delay before an order that was not confirmed is sent again, in
/// milliseconds.
const ORDER_RETRY_MS: u64 = 400;
/// Time that a host which has joined a pool takes to get work, in milliseconds:
/// registration, first look and roster.
const JOIN_MS: u64 = 700;
/// Time for which the registry may list a worker that has left, in
/// milliseconds: three of its heartbeats and some more. A successor of its
/// pool's controller sees from the request that nothing runs there.
const REGISTRY_LAG_MS: u64 = 6_000;
/// Time by which the host list may lag behind, in milliseconds.
const LIST_LAG_MS: u64 = 1_200;
/// Time without any need after which spare hosts are switched off, in
/// milliseconds: backlog that grows shows within it.
const PARK_AFTER_MS: u64 = 1_000;
/// Time for which the largest need of late holds a host back from being
/// switched off, in milliseconds: two moves cost about as much as a host that
/// is on for this time.
const NEED_MEMORY_MS: u64 = 2_300;
/// Age up to which a pool's report is believed, in milliseconds.
const REPORT_MAX_MS: u64 = 10_000;

/// Times of the platform, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalanceTiming {
    /// Time that a move takes.
    pub move_ms: u64,
}

/// What the owner of the engine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BalanceAction {
    /// Ask the pool's controller to empty a worker.
    Vacate(WorkerId),
    /// Withdraw such a request.
    Release(WorkerId),
    /// Move a host to a pool.
    Move(HostId, PoolId),
    /// Store what a successor has to know.
    Save(BalanceRecord),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The controller was asked to empty the worker.
    Vacating { worker: WorkerId, since_ms: u64 },
    /// The move is ordered until it is confirmed.
    Ordering { worker: Option<WorkerId>, next_ms: u64, in_flight: bool },
    /// The move was confirmed; the list shows it later.
    Moved { at_ms: u64 },
}

#[derive(Clone, Debug)]
struct Transfer {
    to: PoolId,
    stage: Stage,
}

/// A host that could change its pool now.
#[derive(Clone, Debug)]
struct Available {
    host: HostId,
    pool: PoolId,
    is_off: bool,
}

#[derive(Clone, Debug)]
struct Report {
    demand: Demand,
    at_ms: u64,
}

/// Decides which hosts change their pool.
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
    /// Pools of hosts whose moves are over and that older lists do not show,
    /// with the time from which a list shows them.
    arrived: HashMap<HostId, (PoolId, u64)>,
    /// Workers whose requests have served their purpose, with the time at which
    /// these are withdrawn.
    served: Vec<(u64, WorkerId)>,
    /// Workers that ended with a move; the registry lists them for seconds.
    left: HashSet<WorkerId>,
    turns: Turns,
    /// Needs of late with their times, oldest first.
    recent_needs: VecDeque<(u64, HashMap<PoolId, usize>)>,
    last_need_ms: u64,
}

impl BalanceEngine {
    /// Takes control of moves.
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
            served: Vec::new(),
            left: HashSet::new(),
            turns: Turns::default(),
            recent_needs: VecDeque::new(),
            last_need_ms: 0,
        }
    }

    /// Takes over what a predecessor stored.
    pub fn restore(&mut self, now: ClockReading, record: &BalanceRecord) {
        let sizes = record.first_sizes.iter().map(|(pool, size)| (pool.clone(), *size as usize));
        self.first_sizes = sizes.collect();
        self.turns.restore(now, &record.surges, record.turn_ms);
    }

    /// Takes in which pools work and which one's hosts are off.
    pub fn set_pools<I>(&mut self, working: I, standby: Option<PoolId>)
    where
        I: IntoIterator<Item = PoolId>,
    {
        self.working = working.into_iter().collect();
        self.standby = standby;
    }

    /// Takes in a pool's report.
    pub fn on_demand(&mut self, now: ClockReading, pool: PoolId, demand: Demand) {
        let at_ms = now.monotonic_ms;
        let first = self.first_sizes.get(&pool).copied().unwrap_or(0) as u64;
        let capacity_millicores = first * self.host_millicores;
        self.turns.on_demand(at_ms, &pool, demand.arriving_millicores, capacity_millicores);
        self.reports.insert(pool, Report { demand, at_ms });
    }

    /// Takes in the platform's list, which was asked for at `sent_ms`.
    pub fn on_list(&mut self, sent_ms: u64, hosts: &[HostView]) {
        self.hosts = hosts.iter().map(|view| (view.host.clone(), view.clone())).collect();
        if self.first_sizes.is_empty() {
            for view in hosts {
                *self.first_sizes.entry(view.pool.clone()).or_default() += 1;
            }
            self.turns.mark_changed();
        }
        let known = &self.hosts;
        self.transfers.retain(|host, _| known.contains_key(host));
        self.arrived.retain(|_, (_, shown_ms)| sent_ms < *shown_ms);
        for (host, (pool, _)) in &self.arrived {
            if let Some(view) = self.hosts.get_mut(host) {
                arrive(view, pool);
            }
        }
    }

    /// Takes in the registry, which tells a host's worker sooner than the list.
    pub fn on_workers<'a, I>(&mut self, workers: I)
    where
        I: IntoIterator<Item = &'a WorkerEntry>,
    {
        for entry in workers {
            if self.left.contains(&entry.worker) {
                continue;
            }
            self.host_millicores = self.host_millicores.max(entry.capacity.cpu_millicores);
            if let Some(view) = self.hosts.get_mut(&entry.host) {
                if view.worker.as_ref() != Some(&entry.worker) {
                    view.worker = Some(entry.worker.clone());
                }
                if view.pool != entry.pool {
                    view.pool = entry.pool.clone();
                }
            }
        }
    }

    /// Takes in the result of a move's order.
    pub fn on_reply(&mut self, now: ClockReading, host: &HostId, reply: HostOrderReply) {
        let now_ms = now.monotonic_ms;
        let Some(transfer) = self.transfers.get_mut(host) else { return };
        let Stage::Ordering { worker, .. } = &mut transfer.stage else { return };
        log::info!(host = host.as_str(), pool = transfer.to.as_str(), reply:? = reply;
            "move was ordered");
        match reply {
            HostOrderReply::Begun => {
                self.left.extend(worker.clone());
                let worker = worker.take().map(|worker| (now_ms + REGISTRY_LAG_MS, worker));
                self.served.extend(worker);
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
                self.served.extend(worker.take().map(|worker| (now_ms, worker)));
                self.transfers.remove(host);
            }
        }
    }

    /// Returns whether a host is on its way to another pool.
    pub fn is_moving(&self, host: &HostId) -> bool {
        self.transfers.contains_key(host)
    }

    /// Decides what follows. `vacated` are workers on which nothing runs;
    /// `is_reserved` tells which hosts upkeep needs.
    pub fn step<F>(
        &mut self,
        now: ClockReading,
        vacated: &HashSet<WorkerId>,
        is_reserved: F,
    ) -> Vec<BalanceAction>
    where
        F: Fn(&HostId) -> bool,
    {
        let now_ms = now.monotonic_ms;
        let mut actions = Vec::new();
        if let Some((surges, turn_ms)) = self.turns.take_changes(now) {
            let sizes = self.first_sizes.iter();
            let first_sizes = sizes.map(|(pool, &size)| (pool.clone(), size as u32)).collect();
            actions.push(BalanceAction::Save(BalanceRecord { first_sizes, surges, turn_ms }));
        }
        self.advance(now_ms, vacated, &mut actions);
        if self.host_millicores == 0 || self.hosts.is_empty() {
            return actions;
        }
        let needs = self.needs(now_ms);
        self.recent_needs.push_back((now_ms, needs.clone()));
        while self.recent_needs.front().is_some_and(|(at, _)| now_ms > at + NEED_MEMORY_MS) {
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
        let parks = now_ms > self.last_need_ms + PARK_AFTER_MS;
        if deficits.is_empty() && !parks {
            return actions;
        }
        let mut available = self.available(is_reserved);
        for (missing, to) in deficits {
            for _ in 0..missing {
                if self.is_busy() {
                    return actions;
                }
                let Some(donor) = self.choose_donor(&available, &sizes, &needs, &to) else { break };
                let donor = available.swap_remove(donor);
                self.begin(now_ms, donor, to.clone(), &mut sizes, &mut actions);
            }
        }
        if parks {
            let needs = self.largest_recent_needs();
            self.park(now_ms, &needs, available, &mut sizes, &mut actions);
        }
        actions
    }

    /// Returns whether no more moves may begin now.
    fn is_busy(&self) -> bool {
        self.transfers.len() * 100 >= self.hosts.len() * UNDER_WAY_PERCENT
    }

    /// Moves every transfer as far as it gets.
    fn advance(
        &mut self,
        now_ms: u64,
        vacated: &HashSet<WorkerId>,
        actions: &mut Vec<BalanceAction>,
    ) {
        let due = self.served.extract_if(.., |(at_ms, _)| now_ms >= *at_ms);
        actions.extend(due.map(|(_, worker)| BalanceAction::Release(worker)));
        let mut over = Vec::new();
        for (host, transfer) in &mut self.transfers {
            match &mut transfer.stage {
                Stage::Vacating { worker, .. } if vacated.contains(worker) => {
                    let worker = Some(worker.clone());
                    actions.push(BalanceAction::Move(host.clone(), transfer.to.clone()));
                    transfer.stage = Stage::Ordering { worker, next_ms: 0, in_flight: true };
                }
                Stage::Vacating { worker, since_ms } if now_ms > *since_ms + VACATE_MAX_MS => {
                    actions.push(BalanceAction::Release(worker.clone()));
                    over.push(host.clone());
                }
                Stage::Ordering { next_ms, in_flight, .. } if !*in_flight && now_ms >= *next_ms => {
                    *in_flight = true;
                    actions.push(BalanceAction::Move(host.clone(), transfer.to.clone()));
                }
                Stage::Moved { at_ms } if now_ms >= *at_ms + self.timing.move_ms => {
                    let shown_ms = *at_ms + self.timing.move_ms + LIST_LAG_MS;
                    self.arrived.insert(host.clone(), (transfer.to.clone(), shown_ms));
                    if let Some(view) = self.hosts.get_mut(host) {
                        arrive(view, &transfer.to);
                    }
                    over.push(host.clone());
                }
                _ => {}
            }
        }
        for host in over {
            self.transfers.remove(&host);
        }
    }

    /// Returns the hosts that each working pool needs.
    fn needs(&self, now_ms: u64) -> HashMap<PoolId, usize> {
        let host = (self.host_millicores * FILL_PERCENT / 100).max(1);
        let need = |pool: &PoolId| {
            let report = self.reports.get(pool)?;
            if now_ms > report.at_ms + REPORT_MAX_MS {
                return None;
            }
            let demand = &report.demand;
            let horizon_ms = self.timing.move_ms + JOIN_MS;
            let forecast = self.turns.forecast(now_ms, horizon_ms, pool, &self.working);
            let millicores = demand.lasting_millicores
                + demand.arriving_millicores.max(forecast)
                + demand.backlog_core_ms * 1_000 / BACKLOG_MS;
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

    /// Counts the hosts of each pool once transfers are over.
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

    /// Lists the hosts that are off or idle and on which nobody else counts.
    fn available<F>(&self, is_reserved: F) -> Vec<Available>
    where
        F: Fn(&HostId) -> bool,
    {
        let idle: HashSet<&WorkerId> =
            self.reports.values().flat_map(|report| &report.demand.idle).collect();
        let hosts = self.hosts.values().filter_map(|view| {
            let is_off = self.standby.as_ref() == Some(&view.pool);
            let is_idle = view.worker.as_ref().is_some_and(|worker| idle.contains(worker));
            let is_available = view.state == HostState::Up
                && (is_off || is_idle)
                && !self.transfers.contains_key(&view.host)
                && !is_reserved(&view.host);
            is_available.then(|| Available {
                host: view.host.clone(),
                pool: view.pool.clone(),
                is_off,
            })
        });
        hosts.collect()
    }

    /// Returns how many hosts a pool has beyond what it needs and a share of
    /// its first size, in percent.
    fn beyond(
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

    /// Chooses a host for a pool: one that is off, else one of the pool that can
    /// spare most.
    fn choose_donor(
        &self,
        available: &[Available],
        sizes: &HashMap<PoolId, usize>,
        needs: &HashMap<PoolId, usize>,
        to: &PoolId,
    ) -> Option<usize> {
        let spare = |from: &Available| {
            if from.is_off {
                return usize::MAX;
            }
            let percent =
                if self.may_be_next(&from.pool) { KEEP_NEXT_PERCENT } else { KEEP_PERCENT };
            self.beyond(sizes, needs, &from.pool, percent)
        };
        let others = available.iter().enumerate().filter(|(_, from)| from.pool != *to);
        let spares = others.map(|(index, from)| (spare(from), index));
        spares.filter(|&(spare, _)| spare > 0).max().map(|(_, index)| index)
    }

    fn begin(
        &mut self,
        now_ms: u64,
        from: Available,
        to: PoolId,
        sizes: &mut HashMap<PoolId, usize>,
        actions: &mut Vec<BalanceAction>,
    ) {
        let Available { host, pool, is_off } = from;
        log::info!(host = host.as_str(), from = pool.as_str(), to = to.as_str();
            "host is to change its pool");
        *sizes.entry(to.clone()).or_default() += 1;
        if let Some(size) = sizes.get_mut(&pool) {
            *size = size.saturating_sub(1);
        }
        let worker = self.hosts.get(&host).and_then(|view| view.worker.clone());
        let stage = match worker.filter(|_| !is_off) {
            Some(worker) => {
                actions.push(BalanceAction::Vacate(worker.clone()));
                Stage::Vacating { worker, since_ms: now_ms }
            }
            None => {
                actions.push(BalanceAction::Move(host.clone(), to.clone()));
                Stage::Ordering { worker: None, next_ms: 0, in_flight: true }
            }
        };
        self.transfers.insert(host, Transfer { to, stage });
    }

    fn may_be_next(&self, pool: &PoolId) -> bool {
        self.turns.may_be_next(pool, &self.working)
    }

    fn share_of_first(&self, pool: &PoolId, percent: usize) -> usize {
        (self.first_sizes.get(pool).copied().unwrap_or(0) * percent).div_ceil(100)
    }

    /// Switches off idle hosts of pools whose turn is not next.
    fn park(
        &mut self,
        now_ms: u64,
        needs: &HashMap<PoolId, usize>,
        available: Vec<Available>,
        sizes: &mut HashMap<PoolId, usize>,
        actions: &mut Vec<BalanceAction>,
    ) {
        let Some(standby) = self.standby.clone() else { return };
        for from in available {
            if self.is_busy() {
                return;
            }
            let percent = if self.may_be_next(&from.pool) { 100 } else { KEEP_PERCENT };
            let is_working = self.working.contains(&from.pool);
            if is_working && self.beyond(sizes, needs, &from.pool, percent) > 0 {
                self.begin(now_ms, from, standby.clone(), sizes, actions);
            }
        }
    }
}

/// Notes that a host has joined a pool; its worker is known once it registers.
fn arrive(view: &mut HostView, pool: &PoolId) {
    if view.pool != *pool || view.state != HostState::Up {
        view.pool = pool.clone();
        view.state = HostState::Up;
        view.worker = None;
    }
}
