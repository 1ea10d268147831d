//! Occurrences of a job.
//!
//! Load pattern: a schedule may have millions of occurrences that are due at once,
//! each of which may overlap the others. Only those that can start next are kept in
//! memory, and those that have ended take up no more than a range of numbers.

use std::{cell::Cell, collections::BTreeMap, iter};

use rangemap::RangeSet;
use tamarackproxy::state::clock::ClockReading;

use super::{order::RankInputs, task::Step};
use crate::state::{JobSpec, ProgressRecord, TASKS_MAX};

/// Most open occurrences of a schedule of which no task has been started. All
/// occurrences have the same steps, so a later one cannot start before these.
const WAITING_MAX: u32 = 32;
/// The same for all schedules of a pool; each may have at least one.
const WAITING_POOL_MAX: u32 = 256;
/// Most tasks of such occurrences of one schedule, unless one alone has more.
const WAITING_TASKS_MAX: u64 = 1_000;
/// Most tasks without a run that the schedules of a pool keep in memory, apart from
/// one occurrence of each: as many as one job may have, so that the record of progress
/// of a schedule is not much larger than that of a job.
const IDLE_TASKS_MAX: u64 = TASKS_MAX as u64;

/// What the schedules of a pool keep in memory.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenTotals {
    pub(super) schedules: u32,
    /// Tasks of open occurrences that have no run.
    pub(super) idle_tasks: u64,
}

/// One run of a job's steps.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) steps: Vec<Step>,
    /// When it was opened, on the local clock.
    opened_ms: u64,
    /// Time since it was due when it was opened, in milliseconds.
    age_at_opening_ms: u64,
    /// One of its tasks has been started.
    has_begun: bool,
    /// Inputs to the rank of its steps with the time at which they were computed, on
    /// the local clock; none after a change.
    pub(super) rank_inputs: Cell<Option<(u64, RankInputs)>>,
}

impl Occurrence {
    fn new(spec: &JobSpec, number: u32, now: ClockReading) -> Self {
        let due_unix_ms = spec.schedule.map(|schedule| schedule.due_unix_ms(number));
        Self {
            steps: spec.steps.iter().map(Step::new).collect(),
            opened_ms: now.monotonic_ms,
            age_at_opening_ms: due_unix_ms.map_or(0, |due| now.unix_ms.saturating_sub(due)),
            has_begun: false,
            rank_inputs: Cell::new(None),
        }
    }

    /// Returns the time since it was due, in milliseconds.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        self.age_at_opening_ms.saturating_add(self.open_ms(now_ms))
    }

    /// Returns the time since it was opened, in milliseconds.
    pub(super) fn open_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.opened_ms)
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Returns whether it is done and has no runs left.
    fn is_over(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.all(|task| task.is_done && task.runs.is_empty())
    }
}

/// The occurrences of one job, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrences {
    open: BTreeMap<u32, Occurrence>,
    /// Occurrences that are done and have no runs.
    ended: RangeSet<u32>,
    /// All earlier ones are open or have ended.
    next: u32,
    /// Open occurrences of which no task has been started.
    waiting: u32,
    /// Occurrences of which all steps are done.
    done: u32,
}

impl Occurrences {
    pub(super) fn get(&self, number: u32) -> Option<&Occurrence> {
        self.open.get(&number)
    }

    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.open.get_mut(&number)
    }

    /// Returns the open occurrences in their order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.open.iter().map(|(&number, occurrence)| (number, occurrence))
    }

    /// Returns the number of open occurrences.
    pub(super) fn open_count(&self) -> u32 {
        self.open.len() as u32
    }

    /// Returns how many occurrences are done.
    pub(super) fn done_count(&self) -> u32 {
        self.done
    }

    /// Returns the first occurrence that is neither open nor over, if it is due.
    fn next_due(&mut self, spec: &JobSpec, unix_ms: u64) -> Option<u32> {
        while self.next < spec.occurrences() && self.is_known(self.next) {
            self.next = self.ended.get(&self.next).map_or(self.next + 1, |range| range.end);
        }
        let is_due =
            spec.schedule.is_none_or(|schedule| unix_ms >= schedule.due_unix_ms(self.next));
        (self.next < spec.occurrences() && is_due).then_some(self.next)
    }

    fn is_known(&self, number: u32) -> bool {
        self.open.contains_key(&number) || self.ended.contains(&number)
    }

    /// Opens the next occurrence if it is due and may be kept in memory.
    pub(super) fn open_next(
        &mut self,
        spec: &JobSpec,
        now: ClockReading,
        totals: &OpenTotals,
    ) -> Opening {
        let Some(number) = self.next_due(spec, now.unix_ms) else { return Opening::NoneDue };
        if !self.has_room(spec.tasks(), totals) {
            return Opening::Deferred;
        }
        self.insert(spec, number, now);
        Opening::Opened(number)
    }

    fn has_room(&self, tasks: u64, totals: &OpenTotals) -> bool {
        if self.open.is_empty() {
            return true;
        }
        let waiting_max = (WAITING_POOL_MAX / totals.schedules.max(1)).clamp(1, WAITING_MAX);
        let waiting_tasks = u64::from(self.waiting) * tasks;
        let may_wait = self.waiting == 0
            || (self.waiting < waiting_max && waiting_tasks + tasks <= WAITING_TASKS_MAX);
        may_wait && totals.idle_tasks + tasks <= IDLE_TASKS_MAX
    }

    /// Opens an occurrence of which a previous controller has started tasks; returns
    /// whether it was neither open nor over.
    pub(super) fn open_begun(&mut self, spec: &JobSpec, number: u32, now: ClockReading) -> bool {
        if number >= spec.occurrences() || self.is_known(number) {
            return false;
        }
        self.insert(spec, number, now);
        self.note_start(number);
        true
    }

    fn insert(&mut self, spec: &JobSpec, number: u32, now: ClockReading) {
        self.open.insert(number, Occurrence::new(spec, number, now));
        self.waiting += 1;
    }

    /// Records that a task of an occurrence was started.
    pub(super) fn note_start(&mut self, number: u32) {
        if let Some(occurrence) = self.open.get_mut(&number)
            && !std::mem::replace(&mut occurrence.has_begun, true)
        {
            self.waiting -= 1;
        }
    }

    /// Records that all steps of an occurrence are done.
    pub(super) fn note_done(&mut self, number: u32) {
        self.note_start(number);
        self.done += 1;
    }

    /// Removes an occurrence from memory if it is done and has no runs left.
    pub(super) fn retire(&mut self, number: u32) {
        if self.open.get(&number).is_some_and(Occurrence::is_over) {
            self.open.remove(&number);
            self.ended.insert(number..number + 1);
        }
    }

    /// Restores the occurrences that had ended according to a stored record. To be
    /// called before any is opened.
    pub(super) fn restore_ended(&mut self, progress: &ProgressRecord) {
        let later = progress.ended_later.iter().map(|&(first, end)| first..end);
        let ranges = iter::once(0..progress.ended_below).chain(later);
        self.ended.extend(ranges.filter(|range| !range.is_empty()));
        self.done = self.ended.iter().map(|range| range.end - range.start).sum();
    }

    /// Returns the number below which all occurrences have ended, and the ranges of
    /// later ones that have.
    pub(super) fn ended(&self) -> (u32, Vec<(u32, u32)>) {
        let below = self.ended.get(&0).map_or(0, |range| range.end);
        let later = self.ended.iter().filter(|range| range.start > 0);
        (below, later.map(|range| (range.start, range.end)).collect())
    }
}

/// Result of opening a job's next occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Opening {
    /// This occurrence was opened.
    Opened(u32),
    /// One is due, and waits until others have started.
    Deferred,
    /// None is due.
    NoneDue,
}
