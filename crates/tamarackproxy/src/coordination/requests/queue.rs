//! Queue of one service: urgency classes with guaranteed shares, and start-time
//! fair queueing by caller within each class.

use std::collections::{BTreeSet, VecDeque};

use slotmap::{SecondaryMap, SlotMap};

use super::keys::{CallerKey, EntryKey, RequestKey};
use crate::state::document::Urgency;

/// Guaranteed share of contended capacity by class: urgent, normal, bulk.
pub(super) const CLASS_GUARANTEED_SHARES: [f64; 3] = [0.6, 0.3, 0.1];
/// Scale of virtual time, which limits the rounding error when a cost is divided
/// by a weight.
const TAG_SCALE: i64 = 16;
/// Number of removed entries that a flow may hold before it is compacted.
const STALE_ENTRIES_MIN: usize = 16;
/// Maximum credit of a class, in costs of one of its requests.
const CREDIT_CAP_REQUESTS: f64 = 2.0;

/// Returns the index of a class; 0 is the most urgent.
pub(super) fn class_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Bulk => 2,
    }
}

/// Waiting requests of one caller in one class.
#[derive(Debug)]
struct Flow {
    /// Keys in order; may include keys of removed entries.
    entries: VecDeque<EntryKey>,
    /// Number of entries that have not been removed.
    live: u32,
    weight: u32,
    /// Virtual start time of the flow's next request.
    start_tag: u64,
    /// Pending correction of the start tag, for requests that occupied a slot for
    /// longer or shorter than they were charged for.
    charge_correction: i64,
}

#[derive(Debug, Default)]
struct ClassQueue {
    flows: SecondaryMap<CallerKey, Flow>,
    /// Flows with waiting requests, by start tag.
    order: BTreeSet<(u64, CallerKey)>,
    virtual_time: u64,
    len: u32,
    /// Sum of the weights of flows with waiting requests.
    active_weight: u64,
    /// Slot time that the class is owed of its guaranteed share, in
    /// microseconds.
    credit_us: f64,
    /// Cached result of `longest`.
    longest: Option<CallerKey>,
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub request: RequestKey,
    pub caller: CallerKey,
    /// Index of its urgency class.
    pub class: usize,
}

/// Waiting requests of one service.
///
/// Push, serve and removal take O(log n) in the callers of the class. A removal
/// leaves the entry's key in its flow, where it is dropped later in amortised
/// constant time.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    entries: SlotMap<EntryKey, Entry>,
    classes: [ClassQueue; 3],
}

impl ClassQueue {
    fn activate(&mut self, caller: CallerKey) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        flow.start_tag = flow.start_tag.max(self.virtual_time);
        self.order.insert((flow.start_tag, caller));
        self.active_weight += u64::from(flow.weight);
    }

    fn deactivate(&mut self, caller: CallerKey) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        self.order.remove(&(flow.start_tag, caller));
        self.active_weight -= u64::from(flow.weight);
        flow.entries.clear();
    }

    fn update_longest(&mut self, caller: CallerKey) {
        let excess = |key: Option<CallerKey>| {
            key.and_then(|key| self.flows.get(key))
                .map_or(0.0, |flow| f64::from(flow.live) / f64::from(flow.weight))
        };
        if excess(Some(caller)) >= excess(self.longest) {
            self.longest = Some(caller);
        }
    }

    /// Returns the caller with the most waiting requests per weight, as of the
    /// last push.
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
    /// Returns the number of waiting requests.
    pub fn len(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting requests of a class.
    pub fn class_len(&self, class: usize) -> u32 {
        self.classes[class].len
    }

    /// Returns the number of waiting requests of a caller in a class.
    pub fn flow_len(&self, class: usize, caller: CallerKey) -> u32 {
        self.classes[class].flows.get(caller).map_or(0, |flow| flow.live)
    }

    /// Adds a request behind, or with `at_front` before, the others of its caller.
    pub fn push(&mut self, entry: Entry, weight: u32, at_front: bool) -> EntryKey {
        let key = self.entries.insert(entry);
        let class = &mut self.classes[entry.class];
        if !class.flows.contains_key(entry.caller) {
            let flow = Flow {
                entries: VecDeque::new(),
                live: 0,
                weight: weight.max(1),
                start_tag: class.virtual_time,
                charge_correction: 0,
            };
            class.flows.insert(entry.caller, flow);
        }
        let Some(flow) = class.flows.get_mut(entry.caller) else { return key };
        if flow.live == 0 {
            flow.weight = weight.max(1);
        }
        flow.live += 1;
        if at_front {
            flow.entries.push_front(key);
        } else {
            flow.entries.push_back(key);
        }
        let was_idle = flow.live == 1;
        class.len += 1;
        if was_idle {
            class.activate(entry.caller);
        }
        class.update_longest(entry.caller);
        key
    }

    /// Removes a request from anywhere in the queue.
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
        } else if flow.entries.len() > 2 * live + STALE_ENTRIES_MIN {
            let entries = &self.entries;
            flow.entries.retain(|key| entries.contains_key(*key));
        }
        Some(entry)
    }

    /// Chooses the class to serve next: the class with the most credit from its
    /// guaranteed share, if one can afford a request, and otherwise the most
    /// urgent class.
    fn next_class(&self, costs_us: [f64; 3]) -> Option<usize> {
        let waiting = || (0..3).filter(|&class| self.classes[class].len > 0);
        let owed = |class: usize| self.classes[class].credit_us / costs_us[class].max(1.0);
        waiting()
            .filter(|&class| class > 0 && owed(class) >= 1.0)
            .max_by(|&a, &b| owed(a).total_cmp(&owed(b)))
            .or_else(|| waiting().next())
    }

    /// Returns the request to serve next, without removing it. `costs_us` is the
    /// expected slot time of one request by class.
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

    /// Removes a request to serve it, and charges its caller and class.
    pub fn serve(&mut self, key: EntryKey, costs_us: [f64; 3]) -> Option<Entry> {
        let entry = *self.entries.get(key)?;
        let cost = costs_us[entry.class].max(1.0);
        for (index, class) in self.classes.iter_mut().enumerate() {
            if class.len > 0 {
                let cap = CREDIT_CAP_REQUESTS * costs_us[index].max(1.0);
                class.credit_us =
                    (class.credit_us + CLASS_GUARANTEED_SHARES[index] * cost).min(cap);
            }
        }
        let class = &mut self.classes[entry.class];
        class.credit_us = (class.credit_us - cost).max(0.0);
        if let Some(flow) = class.flows.get_mut(entry.caller) {
            class.order.remove(&(flow.start_tag, entry.caller));
            class.virtual_time = class.virtual_time.max(flow.start_tag);
            let charge =
                (cost as i64 * TAG_SCALE / i64::from(flow.weight)).max(1) + flow.charge_correction;
            flow.charge_correction = 0;
            flow.start_tag = flow.start_tag.saturating_add_signed(charge).max(class.virtual_time);
            class.order.insert((flow.start_tag, entry.caller));
        }
        self.remove(key)
    }

    /// Corrects the charge of a served request by the difference between the slot
    /// time that it took and what it was charged, in microseconds.
    pub fn correct_charge(&mut self, class: usize, caller: CallerKey, difference_us: i64) {
        if let Some(flow) = self.classes[class].flows.get_mut(caller) {
            flow.charge_correction += difference_us * TAG_SCALE / i64::from(flow.weight);
        }
    }

    /// Estimates the number of requests of the class that are served before a new
    /// one of this caller.
    pub fn requests_ahead(&self, class: usize, caller: CallerKey, weight: u32) -> f64 {
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

    /// Returns the share of the capacity that a class gets, given which other
    /// classes have waiting requests now.
    pub fn class_share(&self, class: usize) -> f64 {
        let guaranteed = |class: usize| {
            if self.classes[class].len > 0 { CLASS_GUARANTEED_SHARES[class] } else { 0.0 }
        };
        let more_urgent_waits = (0..class).any(|other| self.classes[other].len > 0);
        if more_urgent_waits {
            CLASS_GUARANTEED_SHARES[class]
        } else {
            1.0 - ((class + 1)..3).map(guaranteed).sum::<f64>()
        }
    }

    /// Chooses the request to shed from a queue that is full at `limit`: the newest
    /// of the longest flow in the class that exceeds its share of the queue the
    /// most. The class and caller in `arriving` count as waiting. Returns `None`
    /// if the arriving request itself is the one to refuse.
    pub fn shed_candidate(&mut self, arriving: (usize, CallerKey), limit: u32) -> Option<EntryKey> {
        let excess = |class: usize| {
            let arrives = if arriving.0 == class { 1.0 } else { 0.0 };
            f64::from(self.classes[class].len) + arrives
                - CLASS_GUARANTEED_SHARES[class] * f64::from(limit)
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

    /// Returns all waiting requests, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = RequestKey> {
        self.entries.values().map(|entry| entry.request)
    }
}
