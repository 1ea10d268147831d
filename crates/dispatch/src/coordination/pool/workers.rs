//! What is known of each worker.

use std::collections::VecDeque;

use hashbrown::HashMap;
use slotmap::SlotMap;
use tamarackproxy::{coordination::jobs::Resources, state::ids::WorkerId};

use super::{
    events::{EndedTask, WorkerKey},
    health::Health,
    task::TaskRef,
};
use crate::state::{Registration, RunNumber, TaskAddress, WorkerEntry};

/// Share by which a worker's clock may be slower than the own one, in percent;
/// the platform states 2.
const CLOCK_DRIFT_PERCENT: u64 = 3;
/// Time added to the end of a lease before its runs count as gone, in
/// milliseconds: a worker ends what runs within its own scheduling delay.
const LEASE_MARGIN_MS: u64 = 150;

/// A worker's clock as last read.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerClock {
    clock_ms: u64,
    read_ms: u64,
}

impl WorkerClock {
    pub(super) fn new(clock_ms: u64, read_ms: u64) -> Self {
        Self { clock_ms, read_ms }
    }

    /// Estimates the worker's clock.
    pub(super) fn now_ms(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.read_ms)
    }

    /// Returns when the worker's clock has passed `deadline_ms` for sure, on
    /// the own clock.
    fn passes_at_ms(&self, deadline_ms: u64) -> u64 {
        let left_ms = deadline_ms.saturating_sub(self.clock_ms);
        self.read_ms + left_ms + left_ms * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS
    }
}

/// Whether the worker is known to take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Registered(Registration),
    /// The registry no longer lists it, or another life took its place.
    Gone,
}

/// A run that the worker lists and that no live task accounts for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForeignRun {
    pub(super) number: RunNumber,
    /// Its share of the capacity, if the job is known.
    pub(super) charge: Option<Resources>,
    pub(super) stop_sent_ms: Option<u64>,
}

/// One worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) presence: Presence,
    pub(super) clock: Option<WorkerClock>,
    /// Latest end of a lease or time limit of a start that was sent, on the
    /// worker's clock.
    granted_until_ms: u64,
    /// When a look was last answered, on the own clock.
    pub(super) looked_ms: Option<u64>,
    pub(super) look_sent_ms: Option<u64>,
    /// Looks without an answer in a row; the lease of the first may or may not
    /// be granted.
    pub(super) missed_looks: u32,
    pub(super) next_look_ms: u64,
    /// Charges of all runs that may exist.
    used: Resources,
    pub(super) runs: HashMap<TaskRef, (RunNumber, Resources)>,
    pub(super) foreign: HashMap<TaskAddress, ForeignRun>,
    /// Highest end number that was taken in.
    pub(super) seen_end: u64,
    /// Ends that were taken in and are not acknowledged, with the mark of the
    /// record that keeps them.
    unacknowledged: VecDeque<(u64, Option<EndMark>)>,
    pub(super) acknowledged: u64,
    pub(super) health: Health,
    /// The roster in the store names it.
    pub(super) is_rostered: bool,
    /// Leftover tasks share it with tasks that serve.
    pub(super) is_shared: bool,
    /// Upkeep or a move asks for it to be emptied.
    pub(super) is_vacating: bool,
    /// A confirmation that nothing runs there was given.
    pub(super) is_vacated: bool,
}

/// The state of a job's record that covers an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndMark {
    pub(super) job: super::events::JobKey,
    pub(super) mark: u64,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry) -> Self {
        Self {
            presence: Presence::Registered(entry.registration),
            entry,
            clock: None,
            granted_until_ms: 0,
            looked_ms: None,
            look_sent_ms: None,
            missed_looks: 0,
            next_look_ms: 0,
            used: Resources::default(),
            runs: HashMap::new(),
            foreign: HashMap::new(),
            seen_end: 0,
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            health: Health::default(),
            is_rostered: false,
            is_shared: false,
            is_vacating: false,
            is_vacated: false,
        }
    }

    /// Returns what new runs may use. A run of an unknown job leaves nothing.
    pub(super) fn room(&self) -> Resources {
        let mut used = self.used;
        for foreign in self.foreign.values() {
            match foreign.charge {
                Some(charge) => used = used.plus(&charge),
                None => return Resources::default(),
            }
        }
        self.entry.capacity.minus(&used)
    }

    pub(super) fn charge(&mut self, task: TaskRef, number: RunNumber, charge: Resources) {
        if let Some((_, old)) = self.runs.insert(task, (number, charge)) {
            self.used = self.used.minus(&old);
        }
        self.used = self.used.plus(&charge);
    }

    /// Releases the charge of a run.
    pub(super) fn release(&mut self, task: TaskRef, number: RunNumber) {
        if self.runs.get(&task).is_some_and(|&(charged, _)| charged == number)
            && let Some((_, charge)) = self.runs.remove(&task)
        {
            self.used = self.used.minus(&charge);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.foreign.is_empty()
    }

    /// Notes a lease or a start's time limit before it is sent.
    pub(super) fn grant(&mut self, until_ms: u64) {
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
    }

    /// Tells whether everything that was granted is over for sure.
    pub(super) fn is_lease_over(&self, now_ms: u64) -> bool {
        self.clock.is_none_or(|clock| now_ms >= clock.passes_at_ms(self.granted_until_ms))
    }

    /// Tells whether the worker answered a look within `within_ms`.
    pub(super) fn is_in_touch(&self, now_ms: u64, within_ms: u64) -> bool {
        self.looked_ms.is_some_and(|looked_ms| now_ms < looked_ms + within_ms)
    }

    /// Takes an end in; tells whether it is new.
    pub(super) fn accept_end(&mut self, end: &EndedTask) -> bool {
        if end.number <= self.seen_end {
            return false;
        }
        self.seen_end = end.number;
        true
    }

    /// Notes which record has to be stored before an end is acknowledged.
    pub(super) fn keep_end(&mut self, number: u64, mark: Option<EndMark>) {
        self.unacknowledged.push_back((number, mark));
    }

    /// Raises the acknowledged number as far as records are stored.
    pub(super) fn acknowledge<F>(&mut self, is_stored: F)
    where
        F: Fn(EndMark) -> bool,
    {
        while let Some(&(number, mark)) = self.unacknowledged.front() {
            if mark.is_some_and(|mark| !is_stored(mark)) {
                break;
            }
            self.acknowledged = number;
            self.unacknowledged.pop_front();
        }
    }

    /// Tells whether it lists ends whose records are not stored.
    pub(super) fn has_unstored_ends(&self) -> bool {
        !self.unacknowledged.is_empty()
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| &**own == label)
    }
}

/// All workers of a pool, registered or not yet surely over.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<WorkerId, WorkerKey>,
}

impl WorkerTable {
    pub(super) fn insert(&mut self, entry: WorkerEntry) -> WorkerKey {
        let name = entry.worker.clone();
        let key = self.workers.insert(Worker::new(entry));
        self.by_name.insert(name, key);
        key
    }

    pub(super) fn remove(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        if self.by_name.get(&worker.entry.worker) == Some(&key) {
            self.by_name.remove(&worker.entry.worker);
        }
        Some(worker)
    }

    pub(super) fn find(&self, name: &WorkerId) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    pub(super) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    pub(super) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Worker)> {
        self.workers.iter_mut()
    }

    pub(super) fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }
}
