//! Queue of one service: classes with floors, fair queueing by caller inside.

use std::collections::{BTreeSet, VecDeque};

use slotmap::{SecondaryMap, SlotMap};

use super::keys::{CallerKey, EntryKey, RequestKey};
use crate::state::document::Urgency;

/// Guaranteed share of the contended capacity by class: urgent, normal, bulk.
pub(super) const CLASS_FLOORS: [f64; 3] = [0.6, 0.3, 0.1];
/// Scale of virtual time, so that a weight divides a cost with little error.
const TAG_SCALE: i64 = 16;
/// Entries of cancelled requests that a flow keeps before it is compacted.
const DEAD_ENTRIES_MIN: usize = 16;
/// Largest credit of a class, in costs of one of its requests.
const CREDIT_CAP_REQUESTS: f64 = 2.0;

/// Index of a class, from the most urgent.
pub(super) fn class_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Bulk => 2,
    }
}

/// Requests of one caller in one class.
#[derive(Debug)]
struct Flow {
    entries: VecDeque<EntryKey>,
    live: u32,
    weight: u32,
    /// Virtual start time of the flow's next request.
    tag: u64,
    /// Correction of the tag for requests that took longer or shorter than
    /// they were charged for.
    debt: i64,
}

#[derive(Debug, Default)]
struct ClassQueue {
    flows: SecondaryMap<CallerKey, Flow>,
    order: BTreeSet<(u64, CallerKey)>,
    virtual_time: u64,
    len: u32,
    active_weight: u64,
    credit_us: f64,
    longest: Option<CallerKey>,
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    /// The request.
    pub request: RequestKey,
    /// Its caller.
    pub caller: CallerKey,
    /// Index of its class.
    pub class: usize,
}

/// Waiting requests of one service.
///
/// A push, a pop and a removal cost O(log callers) of the class; a removal
/// leaves a dead entry behind that is dropped in amortised constant time.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    entries: SlotMap<EntryKey, Entry>,
    classes: [ClassQueue; 3],
}

impl ClassQueue {
    fn activate(&mut self, caller: CallerKey) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        flow.tag = flow.tag.max(self.virtual_time);
        self.order.insert((flow.tag, caller));
        self.active_weight += u64::from(flow.weight);
    }

    fn deactivate(&mut self, caller: CallerKey) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        self.order.remove(&(flow.tag, caller));
        self.active_weight -= u64::from(flow.weight);
        flow.entries.clear();
    }

    fn note_length(&mut self, caller: CallerKey) {
        let excess = |key: Option<CallerKey>| {
            key.and_then(|key| self.flows.get(key))
                .map_or(0.0, |flow| f64::from(flow.live) / f64::from(flow.weight))
        };
        if excess(Some(caller)) >= excess(self.longest) {
            self.longest = Some(caller);
        }
    }

    /// Caller with the most waiting requests per weight; exact up to changes
    /// since the last push.
    fn longest(&mut self) -> Option<CallerKey> {
        let valid = |key: &CallerKey| self.flows.get(*key).is_some_and(|flow| flow.live > 0);
        if self.longest.as_ref().is_none_or(|key| !valid(key)) {
            self.longest = self
                .flows
                .iter()
                .filter(|(_, flow)| flow.live > 0)
                .max_by_key(|(_, flow)| flow.live / flow.weight)
                .map(|(key, _)| key);
        }
        self.longest
    }
}

impl ServiceQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting requests of a class.
    pub fn class_len(&self, class: usize) -> u32 {
        self.classes[class].len
    }

    /// Number of waiting requests of a caller in a class.
    pub fn flow_len(&self, class: usize, caller: CallerKey) -> u32 {
        self.classes[class].flows.get(caller).map_or(0, |flow| flow.live)
    }

    /// Adds a request; `first` puts it before the caller's others.
    pub fn push(&mut self, entry: Entry, weight: u32, first: bool) -> EntryKey {
        let key = self.entries.insert(entry);
        let class = &mut self.classes[entry.class];
        if !class.flows.contains_key(entry.caller) {
            let flow = Flow {
                entries: VecDeque::new(),
                live: 0,
                weight: weight.max(1),
                tag: class.virtual_time,
                debt: 0,
            };
            class.flows.insert(entry.caller, flow);
        }
        let Some(flow) = class.flows.get_mut(entry.caller) else { return key };
        if flow.live == 0 {
            flow.weight = weight.max(1);
        }
        flow.live += 1;
        if first {
            flow.entries.push_front(key);
        } else {
            flow.entries.push_back(key);
        }
        let was_idle = flow.live == 1;
        class.len += 1;
        if was_idle {
            class.activate(entry.caller);
        }
        class.note_length(entry.caller);
        key
    }

    /// Removes a request wherever it waits.
    pub fn remove(&mut self, key: EntryKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        let class = &mut self.classes[entry.class];
        class.len -= 1;
        if class.len == 0 {
            class.credit_us = 0.0;
        }
        let flow = class.flows.get_mut(entry.caller)?;
        flow.live -= 1;
        let live = flow.live as usize;
        if live == 0 {
            class.deactivate(entry.caller);
        } else if flow.entries.len() > 2 * live + DEAD_ENTRIES_MIN {
            let entries = &self.entries;
            flow.entries.retain(|key| entries.contains_key(*key));
        }
        Some(entry)
    }

    /// Chooses the class to serve next: a class that is owed its floor, most
    /// owed first, and otherwise the most urgent one.
    fn next_class(&self, costs_us: [f64; 3]) -> Option<usize> {
        let waiting = || (0..3).filter(|&class| self.classes[class].len > 0);
        let owed = |class: usize| self.classes[class].credit_us / costs_us[class].max(1.0);
        waiting()
            .filter(|&class| class > 0 && owed(class) >= 1.0)
            .max_by(|&a, &b| owed(a).total_cmp(&owed(b)))
            .or_else(|| waiting().next())
    }

    /// Returns the request that is served next, without removing it.
    /// `costs_us` is the expected slot time of one request by class.
    pub fn peek(&mut self, costs_us: [f64; 3]) -> Option<(EntryKey, Entry)> {
        let class = &mut self.classes[self.next_class(costs_us)?];
        let &(_, caller) = class.order.first()?;
        let flow = class.flows.get_mut(caller)?;
        while let Some(&key) = flow.entries.front() {
            match self.entries.get(key) {
                Some(&entry) => return Some((key, entry)),
                None => flow.entries.pop_front(),
            };
        }
        None
    }

    /// Removes a request that is served and charges its caller and class.
    pub fn serve(&mut self, key: EntryKey, costs_us: [f64; 3]) -> Option<Entry> {
        let entry = *self.entries.get(key)?;
        let cost = costs_us[entry.class].max(1.0);
        for (index, class) in self.classes.iter_mut().enumerate() {
            if class.len > 0 {
                let cap = CREDIT_CAP_REQUESTS * costs_us[index].max(1.0);
                class.credit_us = (class.credit_us + CLASS_FLOORS[index] * cost).min(cap);
            }
        }
        let class = &mut self.classes[entry.class];
        class.credit_us = (class.credit_us - cost).max(0.0);
        if let Some(flow) = class.flows.get_mut(entry.caller) {
            class.order.remove(&(flow.tag, entry.caller));
            class.virtual_time = class.virtual_time.max(flow.tag);
            let charge = (cost as i64 * TAG_SCALE / i64::from(flow.weight)).max(1) + flow.debt;
            flow.debt = 0;
            flow.tag = flow.tag.saturating_add_signed(charge).max(class.virtual_time);
            class.order.insert((flow.tag, entry.caller));
        }
        self.remove(key)
    }

    /// Corrects the charge of a served request by the slot time that it took
    /// beyond (or below) what it was charged, in microseconds.
    pub fn settle(&mut self, class: usize, caller: CallerKey, difference_us: i64) {
        if let Some(flow) = self.classes[class].flows.get_mut(caller) {
            flow.debt += difference_us * TAG_SCALE / i64::from(flow.weight);
        }
    }

    /// Number of requests that are served before a new one of this caller.
    pub fn ahead(&self, class: usize, caller: CallerKey, weight: u32) -> f64 {
        let queue = &self.classes[class];
        if queue.len == 0 {
            return 0.0;
        }
        let own = f64::from(self.flow_len(class, caller));
        let weight = f64::from(weight.max(1));
        let others = queue.active_weight as f64 - if own > 0.0 { weight } else { 0.0 };
        let fair = own + (own + 1.0) * others.max(0.0) / weight;
        fair.min(f64::from(queue.len))
    }

    /// Share of the capacity that a class gets while others wait as now.
    pub fn class_share(&self, class: usize) -> f64 {
        let floor = |class: usize| {
            if self.classes[class].len > 0 { CLASS_FLOORS[class] } else { 0.0 }
        };
        let more_urgent_waits = (0..class).any(|other| self.classes[other].len > 0);
        if more_urgent_waits {
            CLASS_FLOORS[class]
        } else {
            1.0 - ((class + 1)..3).map(floor).sum::<f64>()
        }
    }

    /// Chooses whose newest request makes room in a full queue of `limit`: the
    /// longest flow of the class that is furthest above its part of the queue.
    /// `arriving` counts as waiting. Returns none if the arriving request
    /// itself is the one to refuse.
    pub fn shed(&mut self, arriving: (usize, CallerKey), limit: u32) -> Option<EntryKey> {
        let excess = |class: usize| {
            let arrives = if arriving.0 == class { 1.0 } else { 0.0 };
            f64::from(self.classes[class].len) + arrives - CLASS_FLOORS[class] * f64::from(limit)
        };
        let class = (0..3).max_by(|&a, &b| excess(a).total_cmp(&excess(b)))?;
        let victim = self.classes[class].longest()?;
        if class == arriving.0 {
            let per_weight = |flow: Option<&Flow>, extra: f64| {
                flow.map_or(extra, |flow| (f64::from(flow.live) + extra) / f64::from(flow.weight))
            };
            let flows = &self.classes[class].flows;
            let own = per_weight(flows.get(arriving.1), 1.0);
            if victim == arriving.1 || own >= per_weight(flows.get(victim), 0.0) {
                return None;
            }
        }
        let flow = self.classes[class].flows.get_mut(victim)?;
        while let Some(&key) = flow.entries.back() {
            if self.entries.contains_key(key) {
                return Some(key);
            }
            flow.entries.pop_back();
        }
        None
    }

    /// Requests that wait, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = RequestKey> {
        self.entries.values().map(|entry| entry.request)
    }
}
