//! Simulated workers that follow the platform's rules for runs, leases and terms.

use std::collections::BTreeMap;

use hashbrown::{HashMap, HashSet};
use tamarackproxy::{
    coordination::jobs::Resources,
    state::ids::{DataCentreId, HostId, Term, WorkerId},
};

use super::{STEP_MS, UNIX_ORIGIN_MS, pool};
use crate::{
    coordination::pool::{EndKind, EndedTask, PollReport, RunningTask},
    state::{JobNumber, Registration, RunNumber, TaskAddress, WorkerEntry},
};

/// Ends that a worker lists in one report; the others follow once these are
/// acknowledged.
const ENDS_LISTED_MAX: usize = 500;
/// Longest lease that a worker accepts, in milliseconds; longer ones are shortened.
const LEASE_MAX_MS: u64 = 10_000;
/// Percentage by which a slow clock is slower than virtual time.
const SLOW_PERCENT: u64 = 2;
/// Time for which the first incarnations have been up at the origin of virtual
/// time, in milliseconds.
const UPTIME_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
pub(super) struct FakeRun {
    pub(super) number: RunNumber,
    pub(super) allocation: Resources,
    pub(super) ends_ms: u64,
    pub(super) began_ms: u64,
    pub(super) is_gang: bool,
    pub(super) image: Option<Box<str>>,
    /// Time by which its neighbours have delayed it beyond `ends_ms`, in
    /// milliseconds; below one step.
    pub(super) delay_ms: f64,
    /// Time at which it ends after a stop order.
    pub(super) stops_ms: Option<u64>,
}

/// One incarnation of a simulated worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// Indexes of the controllers that cannot reach it.
    pub partitioned_from: HashSet<usize>,
    /// When a partition from all controllers and from the registry ends, in
    /// milliseconds of virtual time.
    pub(super) partitioned_until_ms: u64,
    /// Its clock is 2% slow.
    pub has_slow_clock: bool,
    /// Orders are carried out, but their replies are lost.
    pub loses_replies: bool,
    /// Delay after which orders are carried out, in milliseconds; their replies
    /// are lost. None if they are carried out at once.
    pub order_delay_ms: Option<u64>,
    /// Delay after which polls are carried out, in milliseconds; their replies are
    /// lost. None if they are carried out at once.
    pub poll_delay_ms: Option<u64>,
    /// One in so many orders, and one in so many polls, is delayed; the others are
    /// carried out at once.
    pub delays_one_in: u64,
    /// Orders that were sent to it.
    pub(super) orders: u64,
    /// Polls that were sent to it.
    pub(super) polls: u64,
    /// Every task fails at its end.
    pub fails_all: bool,
    /// Tail latency that it reports for long-running tasks, in milliseconds.
    pub tail_ms: u32,
    /// Ordered paces, oldest first.
    pub paces: Vec<(TaskAddress, u8)>,
    /// Runs make no progress and do not end.
    pub is_stalled: bool,
    /// Factor by which tasks take longer.
    pub slowdown: u64,
    /// When a crashed worker is back, in milliseconds of virtual time; it
    /// refuses connections until then.
    pub(super) back_ms: Option<u64>,
    /// Time from a stop order to the end of the run, in milliseconds.
    pub stop_ms: u64,
    /// When the registry shows this incarnation, in milliseconds of virtual time;
    /// none if it does.
    pub(super) shown_ms: Option<u64>,
    /// Entry of the former incarnation, which the registry shows until then.
    pub(super) former_entry: Option<WorkerEntry>,
    /// The registry has no usable entry of the worker.
    pub is_unlisted: bool,
    /// Capacity that the registry showed last.
    pub(super) shown_capacity: Resources,
    /// The capacity was smaller than before at some time.
    pub(super) has_shrunk: bool,
    pub(super) term: Term,
    pub(super) running: BTreeMap<TaskAddress, FakeRun>,
    pub(super) ended: Vec<EndedTask>,
    /// When the listed runs ended as done, in milliseconds of virtual time, by the
    /// numbers of their ends. Those that ended before the lease expired are left
    /// out: such ends may be ignored.
    pub(super) done_ms: HashMap<u64, u64>,
    pub(super) next_end: u64,
    /// End of its lease on its own clock, in milliseconds.
    pub(super) lease_until_ms: u64,
    pub(super) highest: HashMap<TaskAddress, RunNumber>,
}

impl FakeWorker {
    pub(super) fn new(index: usize, cores: u64) -> Self {
        let entry = WorkerEntry {
            worker: WorkerId::new(format!("w{index}")),
            host: HostId::new(format!("h{index}")),
            pool: pool(),
            address: format!("10.0.0.{}:1", index + 1).parse().expect("an address"),
            data_centre: DataCentreId::new("d"),
            registration: Registration::Ready,
            born_unix_ms: UNIX_ORIGIN_MS - UPTIME_MS,
            capacity: Resources::new(cores * 1_000, 128 << 30, 0),
            labels: vec!["a".into(), format!("r{}", index / 2).into()],
            rack: format!("r{}", index / 2).into(),
        };
        Self {
            shown_capacity: entry.capacity,
            has_shrunk: false,
            stop_ms: 0,
            is_unlisted: false,
            entry,
            partitioned_from: HashSet::new(),
            partitioned_until_ms: 0,
            has_slow_clock: false,
            loses_replies: false,
            order_delay_ms: None,
            poll_delay_ms: None,
            delays_one_in: 1,
            orders: 0,
            polls: 0,
            fails_all: false,
            tail_ms: 0,
            paces: Vec::new(),
            is_stalled: false,
            slowdown: 1,
            back_ms: None,
            shown_ms: None,
            former_entry: None,
            term: Term(0),
            running: BTreeMap::new(),
            ended: Vec::new(),
            done_ms: HashMap::new(),
            next_end: 1,
            lease_until_ms: 0,
            highest: HashMap::new(),
        }
    }

    /// Replaces the incarnation by a new one under the same name, which holds and
    /// knows nothing of before; the registry shows the former one until `shown_ms`.
    pub(super) fn restart(&mut self, index: usize, now_ms: u64, shown_ms: u64) {
        let born_unix_ms = (UNIX_ORIGIN_MS + now_ms).max(self.entry.born_unix_ms + 1);
        let entry = WorkerEntry { born_unix_ms, ..self.entry.clone() };
        let former_entry = self.former_entry.take().unwrap_or_else(|| self.entry.clone());
        *self = Self {
            entry,
            shown_ms: Some(shown_ms),
            former_entry: Some(former_entry),
            partitioned_from: std::mem::take(&mut self.partitioned_from),
            partitioned_until_ms: self.partitioned_until_ms,
            has_slow_clock: self.has_slow_clock,
            loses_replies: self.loses_replies,
            order_delay_ms: self.order_delay_ms,
            poll_delay_ms: self.poll_delay_ms,
            delays_one_in: self.delays_one_in,
            orders: self.orders,
            polls: self.polls,
            fails_all: self.fails_all,
            tail_ms: self.tail_ms,
            slowdown: self.slowdown,
            stop_ms: self.stop_ms,
            is_unlisted: self.is_unlisted,
            shown_capacity: self.shown_capacity,
            has_shrunk: self.has_shrunk,
            ..Self::new(index, 0)
        };
    }

    /// Returns the entry that the registry shows.
    pub(super) fn shown_entry(&self) -> &WorkerEntry {
        self.former_entry.as_ref().unwrap_or(&self.entry)
    }

    /// Returns the time on the incarnation's own clock.
    pub(super) fn clock_ms(&self, now_ms: u64) -> u64 {
        let uptime_ms = (UNIX_ORIGIN_MS + now_ms).saturating_sub(self.entry.born_unix_ms);
        // The clocks of the first incarnations are exact at the origin of virtual time.
        let measured_ms = uptime_ms.min(now_ms);
        let lag_ms = if self.has_slow_clock { measured_ms * SLOW_PERCENT / 100 } else { 0 };
        uptime_ms - lag_ms
    }

    /// Returns whether a controller cannot reach the worker.
    pub(super) fn is_partitioned(&self, controller: usize, now_ms: u64) -> bool {
        now_ms < self.partitioned_until_ms || self.partitioned_from.contains(&controller)
    }

    /// Describes a run with the time at which the lease ends.
    pub(super) fn describe_run(&self, task: TaskAddress, now_ms: u64) -> String {
        let left_ms = self.lease_until_ms.saturating_sub(self.clock_ms(now_ms));
        let percent = if self.has_slow_clock { 100 - SLOW_PERCENT } else { 100 };
        let lease_ends_ms = now_ms + left_ms * 100 / percent;
        let (worker, began_ms) = (&self.entry.worker, self.running[&task].began_ms);
        format!("on {worker} from {began_ms} ms with a lease until {lease_ends_ms} ms")
    }

    /// Extends the lease to a time on the incarnation's own clock.
    pub(super) fn extend_lease(&mut self, now_ms: u64, until_ms: u64) {
        let latest_ms = self.clock_ms(now_ms) + LEASE_MAX_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(latest_ms));
    }

    /// Returns the delay of the next order that is sent to the worker.
    pub(super) fn next_delay_ms(&mut self) -> Option<u64> {
        self.orders += 1;
        self.order_delay_ms.filter(|_| self.orders.is_multiple_of(self.delays_one_in))
    }

    /// Returns the delay of the next poll that is sent to the worker.
    pub(super) fn next_poll_delay_ms(&mut self) -> Option<u64> {
        self.polls += 1;
        self.poll_delay_ms.filter(|_| self.polls.is_multiple_of(self.delays_one_in))
    }

    /// Returns whether the worker has crashed and is not back.
    pub fn is_away(&self) -> bool {
        self.back_ms.is_some()
    }

    pub fn runs(&self) -> Vec<TaskAddress> {
        self.running.keys().copied().collect()
    }

    /// Returns the resources that its runs take.
    pub(super) fn used(&self) -> Resources {
        let allocations = self.running.values().map(|run| run.allocation);
        allocations.fold(Resources::default(), |sum, allocation| sum.plus(&allocation))
    }

    pub(super) fn on_shown(&mut self) {
        if !self.is_unlisted {
            self.shown_capacity = self.shown_entry().capacity;
        }
    }

    /// Changes the capacity; the registry shows it once it is registered.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.has_shrunk |= !self.entry.capacity.fits_in(&capacity);
        self.entry.capacity = capacity;
    }

    pub(super) fn end(&mut self, task: TaskAddress, how: EndKind) {
        let Some(run) = self.running.remove(&task) else { return };
        let (number, run) = (self.next_end, run.number);
        self.next_end += 1;
        self.ended.push(EndedTask { number, task, run, how, checkpoint: "".into() });
    }

    /// Delays each run by what its neighbours cost it in one step.
    pub(super) fn interfere(&mut self, slowdown: fn(&str, &str) -> f64) {
        let images: Vec<_> =
            self.running.iter().filter_map(|(&at, run)| Some((at, run.image.clone()?))).collect();
        for (at, run) in &mut self.running {
            let Some(own) = &run.image else { continue };
            let others = images.iter().filter(|(other, _)| other != at);
            let factors = others.map(|(_, other)| slowdown(own, other));
            let factor = factors.fold(1.0, f64::max);
            run.delay_ms += STEP_MS as f64 * (1.0 - 1.0 / factor);
            let whole_ms = run.delay_ms.floor();
            run.delay_ms -= whole_ms;
            run.ends_ms += whole_ms as u64;
        }
    }

    pub(super) fn advance(&mut self, now_ms: u64) {
        if self.clock_ms(now_ms) > self.lease_until_ms {
            self.done_ms.clear();
            for task in self.runs() {
                self.end(task, EndKind::Lapsed);
            }
        }
        let stopped: Vec<_> = (self.running.iter())
            .filter(|(_, run)| run.stops_ms.is_some_and(|at_ms| now_ms >= at_ms))
            .map(|(&task, _)| task)
            .collect();
        for task in stopped {
            self.end(task, EndKind::Stopped);
        }
        let due: Vec<_> = (self.running.iter())
            .filter(|(_, run)| !self.is_stalled && now_ms >= run.ends_ms)
            .map(|(&task, _)| task)
            .collect();
        for task in due {
            if !self.fails_all {
                self.done_ms.insert(self.next_end, now_ms);
            }
            self.end(task, if self.fails_all { EndKind::Failed } else { EndKind::Done });
        }
    }
}

pub(super) fn report(
    worker: &FakeWorker,
    now_ms: u64,
    stalled_job: Option<JobNumber>,
) -> PollReport {
    let running = worker.running.iter().map(|(&task, run)| {
        let total_ms = run.ends_ms - run.began_ms;
        let is_lasting = total_ms >= 1 << 40;
        let percent = if worker.is_stalled || stalled_job == Some(task.job) {
            7
        } else if is_lasting {
            100
        } else {
            ((now_ms - run.began_ms) * 100 / total_ms.max(1)).min(99) as u8
        };
        let gauge = if is_lasting { worker.tail_ms } else { 0 };
        RunningTask { task, run: run.number, checkpoint: "".into(), percent, gauge }
    });
    PollReport {
        born_unix_ms: worker.entry.born_unix_ms,
        clock_ms: worker.clock_ms(now_ms),
        running: running.collect(),
        ended: worker.ended.iter().take(ENDS_LISTED_MAX).cloned().collect(),
    }
}
