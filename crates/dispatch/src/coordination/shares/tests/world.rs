//! Share engines of several pools with one store, on virtual time.

use std::collections::{BTreeMap, VecDeque};

use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{AccountId, PoolId, RecordVersion},
};

use super::super::{
    AccountDemand, Allowance, ListedShares, ShareCall, ShareEngine, ShareWrite, ShareWriteResult,
};
use crate::state::ShareRecord;

/// Step of virtual time, in milliseconds.
pub(super) const STEP_MS: u64 = 5;
/// Time from a call to its execution, and from there to its reply, in
/// milliseconds.
const LATENCY_MS: u64 = 5;
/// Time after which a call without a reply has an unknown result, in
/// milliseconds.
const TIMEOUT_MS: u64 = 600;
/// Time within which processes apply a configuration, in milliseconds.
pub(super) const APPLY_MS: u64 = 3_000;

pub(super) fn account() -> AccountId {
    AccountId::new("a")
}

pub(super) fn cores(cores: u64) -> Resources {
    Resources::new(cores * 1_000, 0, 0)
}

pub(super) fn pool(index: usize) -> PoolId {
    PoolId::new(format!("p{index:02}"))
}

/// A call on its way.
enum Pending {
    /// A listing that has read the key of raises.
    Read {
        at_ms: u64,
        raise: RecordVersion,
    },
    /// A write that the store has yet to execute.
    Execute {
        at_ms: u64,
        term: u64,
        write: ShareWrite,
        has_reply: bool,
    },
    Listed {
        at_ms: u64,
        listed: Option<ListedShares>,
    },
    Written {
        at_ms: u64,
        result: ShareWriteResult,
    },
}

/// The controller of one pool with its tasks.
pub(super) struct Controller {
    pub(super) engine: ShareEngine,
    pub(super) is_alive: bool,
    /// It does not reach the store.
    pub(super) is_cut_off: bool,
    /// Time until the store executes writes, which get no reply, in
    /// milliseconds; none if replies arrive.
    pub(super) write_delay_ms: Option<u64>,
    /// Room of the pool's workers.
    pub(super) capacity: Resources,
    /// End and need of each run.
    pub(super) running: Vec<(u64, Resources)>,
    /// Arrival, duration in milliseconds and need of each waiting task.
    pub(super) waiting: VecDeque<(u64, u64, Resources)>,
    /// Runs that the controller cannot see.
    pub(super) unseen: Vec<(u64, Resources)>,
    pub(super) allowance: Allowance,
    /// What was blocked in the last round, and the need of one blocked task.
    blocked: (Resources, Resources),
    /// Longest time that a started task has waited, in milliseconds.
    pub(super) waited_max_ms: u64,
    pub(super) starts: u64,
    /// Time of each call.
    pub(super) calls: Vec<(u64, bool)>,
    term: u64,
    pending: Vec<Pending>,
    confirmed_ms: u64,
    limit: Resources,
}

impl Controller {
    pub(super) fn taken(&self) -> Resources {
        sum(self.running.iter().chain(&self.unseen).map(|(_, need)| *need))
    }

    pub(super) fn listings(&self) -> usize {
        self.calls.iter().filter(|(_, is_listing)| *is_listing).count()
    }
}

fn sum(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::default(), |sum, amount| sum.plus(&amount))
}

/// Controllers of several pools and their store. Panics when a start brings the
/// account above its limit.
pub(super) struct World {
    pub(super) now_ms: u64,
    pub(super) controllers: Vec<Controller>,
    /// Limit in force and when it began, oldest first.
    limits: Vec<(u64, Resources)>,
    pub(super) records: BTreeMap<PoolId, (RecordVersion, ShareRecord)>,
    raise: RecordVersion,
    version: u64,
    /// Terms of the pools' control.
    terms: BTreeMap<PoolId, u64>,
    configured: usize,
    /// Delay before a controller applies a limit, by index, in milliseconds.
    pub(super) apply_delays_ms: BTreeMap<usize, u64>,
    /// Most that the account has taken at once.
    pub(super) peak: Resources,
}

impl World {
    pub(super) fn new(pools: usize, limit: Resources) -> Self {
        let mut world = Self {
            now_ms: 10_000,
            controllers: Vec::new(),
            limits: vec![(0, limit)],
            records: BTreeMap::new(),
            raise: RecordVersion(0),
            version: 0,
            terms: BTreeMap::new(),
            configured: pools,
            apply_delays_ms: BTreeMap::new(),
            peak: Resources::default(),
        };
        for index in 0..pools {
            let controller = world.new_controller(index);
            world.controllers.push(controller);
        }
        // The limit may have fallen shortly before, until the shares were listed
        // a second time.
        world.run_ms(APPLY_MS + 100);
        world
    }

    fn new_controller(&mut self, index: usize) -> Controller {
        let term = self.terms.entry(pool(index)).or_default();
        *term += 1;
        let mut controller = Controller {
            engine: ShareEngine::new(pool(index), APPLY_MS),
            is_alive: true,
            is_cut_off: false,
            write_delay_ms: None,
            capacity: cores(1_000),
            running: Vec::new(),
            waiting: VecDeque::new(),
            unseen: Vec::new(),
            allowance: Allowance::default(),
            blocked: Default::default(),
            waited_max_ms: 0,
            starts: 0,
            calls: Vec::new(),
            term: *term,
            pending: Vec::new(),
            confirmed_ms: self.now_ms,
            limit: Resources::default(),
        };
        controller.engine.set_limits(self.now_ms, [(account(), self.limit())]);
        controller.limit = self.limit();
        controller
    }

    /// Replaces a pool's controller; the runs of the old one go on, and the new
    /// one sees none of them.
    pub(super) fn take_over(&mut self, index: usize) {
        let successor = self.new_controller(index);
        let old = std::mem::replace(&mut self.controllers[index], successor);
        let new = &mut self.controllers[index];
        new.capacity = old.capacity;
        new.unseen = old.running;
        new.waiting = old.waiting;
        // Writes of the old controller are still on their way.
        new.pending = old.pending;
        new.pending.retain(|pending| matches!(pending, Pending::Execute { .. }));
        for pending in &mut new.pending {
            if let Pending::Execute { has_reply, .. } = pending {
                *has_reply = false;
            }
        }
    }

    /// Lets the controller see all runs of its pool.
    pub(super) fn reveal(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        controller.running.append(&mut controller.unseen);
    }

    pub(super) fn limit(&self) -> Resources {
        self.limits.last().expect("there is a limit").1
    }

    pub(super) fn set_limit(&mut self, limit: Resources) {
        self.limits.push((self.now_ms, limit));
    }

    /// Removes the last pool from the configuration.
    pub(super) fn remove_pool(&mut self) {
        self.configured -= 1;
    }

    /// Returns the highest limit that starts may still be judged by.
    fn judged_limit(&self) -> Resources {
        let now_ms = self.now_ms;
        let ends = self.limits.iter().skip(1).map(|(at_ms, _)| *at_ms).chain([u64::MAX]);
        let valid =
            self.limits.iter().zip(ends).filter(|(_, end)| now_ms < end.saturating_add(APPLY_MS));
        valid.fold(Resources::default(), |highest, ((_, limit), _)| Resources {
            cpu_millicores: highest.cpu_millicores.max(limit.cpu_millicores),
            memory_bytes: highest.memory_bytes.max(limit.memory_bytes),
            accelerators: highest.accelerators.max(limit.accelerators),
        })
    }

    /// Adds waiting tasks to a pool.
    pub(super) fn submit(&mut self, index: usize, tasks: u64, need: Resources, duration_ms: u64) {
        let now_ms = self.now_ms;
        let tasks = (0..tasks).map(|_| (now_ms, duration_ms, need));
        self.controllers[index].waiting.extend(tasks);
    }

    /// Returns what the account takes over all pools.
    pub(super) fn taken(&self) -> Resources {
        sum(self.controllers.iter().map(Controller::taken))
    }

    /// Returns the stored share of a pool.
    pub(super) fn held(&self, index: usize) -> Resources {
        self.records
            .get(&pool(index))
            .map(|(_, record)| record.share(&account()).held)
            .unwrap_or_default()
    }

    pub(super) fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for index in 0..self.controllers.len() {
                self.execute(index);
                self.run(index);
            }
            let taken = self.taken();
            if !taken.fits_in(&self.peak) {
                self.peak = taken;
            }
        }
    }

    /// Carries out what is on its way at the store.
    fn execute(&mut self, index: usize) {
        let now_ms = self.now_ms;
        for pending in std::mem::take(&mut self.controllers[index].pending) {
            let next = match pending {
                Pending::Read { at_ms, raise } if now_ms >= at_ms => {
                    let pools = self.records.clone();
                    let listed = Some(ListedShares { raise, pools });
                    Pending::Listed { at_ms: now_ms + LATENCY_MS, listed }
                }
                Pending::Execute { at_ms, term, write, has_reply } if now_ms >= at_ms => {
                    let result = self.write(index, term, write);
                    if !has_reply {
                        continue;
                    }
                    Pending::Written { at_ms: now_ms + LATENCY_MS, result }
                }
                pending => pending,
            };
            self.controllers[index].pending.push(next);
        }
    }

    fn write(&mut self, index: usize, term: u64, write: ShareWrite) -> ShareWriteResult {
        if self.terms[&pool(index)] != term {
            return ShareWriteResult::OldTerm;
        }
        let version = |pool: &PoolId| self.records.get(pool).map_or(RecordVersion(0), |it| it.0);
        let is_met = version(&pool(index)) == write.version
            && write.raise.is_none_or(|raise| raise == self.raise)
            && write.abandoned.iter().all(|(pool, expected)| {
                version(pool) == *expected && !self.terms.contains_key(pool)
            });
        if !is_met {
            return ShareWriteResult::Conflict;
        }
        self.version += 1;
        let version = RecordVersion(self.version);
        if write.raise.is_some() {
            self.raise = version;
        }
        for (pool, _) in &write.abandoned {
            self.records.remove(pool);
        }
        self.records.insert(pool(index), (version, write.record));
        ShareWriteResult::Written(version)
    }

    /// Ends the control of a pool without a successor.
    pub(super) fn release(&mut self, index: usize) {
        self.controllers[index].is_alive = false;
        self.terms.remove(&pool(index));
    }

    fn run(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let limit = self.limit_of(index);
        let attended: Vec<PoolId> =
            (0..self.configured).map(pool).chain(self.terms.keys().cloned()).collect();
        let controller = &mut self.controllers[index];
        controller.running.retain(|(end_ms, _)| now_ms < *end_ms);
        controller.unseen.retain(|(end_ms, _)| now_ms < *end_ms);
        if !controller.is_alive {
            return;
        }
        if !controller.is_cut_off {
            controller.confirmed_ms = now_ms;
            if controller.limit != limit {
                controller.limit = limit;
                controller.engine.set_limits(now_ms, [(account(), limit)]);
            }
        }
        controller.engine.set_current(now_ms < controller.confirmed_ms + APPLY_MS);
        let is_due = |pending: &mut Pending| match pending {
            Pending::Listed { at_ms, .. } | Pending::Written { at_ms, .. } => now_ms >= *at_ms,
            Pending::Read { .. } | Pending::Execute { .. } => false,
        };
        let due: Vec<Pending> = controller.pending.extract_if(.., is_due).collect();
        for pending in due {
            match pending {
                Pending::Listed { listed, .. } => {
                    controller.engine.on_listed(now_ms, listed);
                    controller.engine.set_attended(now_ms, attended.clone());
                }
                Pending::Written { result, .. } => controller.engine.on_written(now_ms, result),
                Pending::Read { .. } | Pending::Execute { .. } => {}
            }
        }
        self.start(index);
        self.call(index);
    }

    fn limit_of(&self, index: usize) -> Resources {
        let delay_ms = self.apply_delays_ms.get(&index).copied().unwrap_or(0);
        let applied = self.limits.iter().rev().find(|(at_ms, _)| self.now_ms >= at_ms + delay_ms);
        applied.map_or(self.limits[0].1, |(_, limit)| *limit)
    }

    /// Starts the waiting tasks that the share and the pool have room for.
    fn start(&mut self, index: usize) {
        let (now_ms, judged) = (self.now_ms, self.judged_limit());
        let demand = self.demand(index);
        let controller = &mut self.controllers[index];
        controller.allowance = controller.engine.set_demand(now_ms, &account(), &demand);
        while let Some(&(arrived_ms, duration_ms, need)) = self.controllers[index].waiting.front() {
            let running = self.demand(index).running;
            let controller = &mut self.controllers[index];
            let after = running.plus(&need);
            if !after.fits_in(&controller.allowance.usable)
                || !controller.taken().plus(&need).fits_in(&controller.capacity)
            {
                break;
            }
            controller.waiting.pop_front();
            controller.running.push((now_ms + duration_ms, need));
            controller.starts += 1;
            controller.waited_max_ms = controller.waited_max_ms.max(now_ms - arrived_ms);
            let taken = self.taken();
            let limit = judged;
            let bound = |limit: u64| if limit == 0 { u64::MAX } else { limit };
            assert!(
                taken.cpu_millicores <= bound(limit.cpu_millicores)
                    && taken.memory_bytes <= bound(limit.memory_bytes),
                "at {now_ms} ms a start in pool {index} brings the account to {taken:?} of {limit:?}"
            );
        }
        let controller = &self.controllers[index];
        let free = controller.capacity.minus(&controller.taken());
        let mut blocked = Resources::default();
        for (.., need) in &controller.waiting {
            if !blocked.plus(need).fits_in(&free) {
                break;
            }
            blocked = blocked.plus(need);
        }
        let unit = controller.waiting.front().map_or(Resources::default(), |(.., need)| *need);
        self.controllers[index].blocked = (blocked, unit);
        let demand = self.demand(index);
        let controller = &mut self.controllers[index];
        controller.allowance = controller.engine.set_demand(now_ms, &account(), &demand);
    }

    /// Returns the demand as the pool's engine reports it: runs that it cannot
    /// see count with what the previous controller left.
    fn demand(&self, index: usize) -> AccountDemand {
        let controller = &self.controllers[index];
        let found = sum(controller.running.iter().map(|(_, need)| *need));
        let is_hidden = !controller.unseen.is_empty();
        let inherited = controller.allowance.inherited;
        let running = if is_hidden { found.plus(&inherited) } else { found };
        let (blocked, unit) = controller.blocked;
        AccountDemand { running, blocked, unit }
    }

    fn call(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let raise = self.raise;
        let controller = &mut self.controllers[index];
        let Some(call) = controller.engine.step(now_ms) else { return };
        controller.calls.push((now_ms, call == ShareCall::List));
        let at_ms = now_ms + LATENCY_MS;
        match call {
            ShareCall::List if controller.is_cut_off => {
                controller
                    .pending
                    .push(Pending::Listed { at_ms: now_ms + TIMEOUT_MS, listed: None });
            }
            ShareCall::List => controller.pending.push(Pending::Read { at_ms, raise }),
            ShareCall::Write(_) if controller.is_cut_off => {
                let result = ShareWriteResult::Unknown;
                controller.pending.push(Pending::Written { at_ms: now_ms + TIMEOUT_MS, result });
            }
            ShareCall::Write(write) => {
                let term = controller.term;
                let delay_ms = controller.write_delay_ms;
                let at_ms = delay_ms.map_or(at_ms, |delay_ms| now_ms + delay_ms);
                let has_reply = delay_ms.is_none();
                controller.pending.push(Pending::Execute { at_ms, term, write, has_reply });
                if !has_reply {
                    let result = ShareWriteResult::Unknown;
                    controller
                        .pending
                        .push(Pending::Written { at_ms: now_ms + TIMEOUT_MS, result });
                }
            }
        }
    }
}
