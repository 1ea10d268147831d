//! Kinds of tasks: a step's image, or its queue where it has no image.

use std::fmt;

use hashbrown::HashMap;
use tamarackproxy::state::ids::QueueId;

use super::evidence::Moments;
use crate::state::StepSpec;

/// Most kinds that are tracked at once; the specification states 200. Runs of
/// further kinds are neither evidence nor avoided.
pub(super) const KINDS_MAX: usize = 200;
/// Time without a start after which a kind without runs may be replaced, in
/// milliseconds: shorter than the half-life of the evidence, so that a site with
/// more kinds than are tracked does not discard those in use.
const IDLE_MIN_MS: u64 = 60_000;
/// Interval between two searches for a kind to replace, in milliseconds: bounds
/// the cost while more kinds are in use than are tracked.
const REPLACE_INTERVAL_MS: u64 = 1_000;

/// Key of a tracked kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct KindKey(u8);

/// Set of tracked kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KindSet([u64; KINDS_MAX.div_ceil(64)]);

impl KindSet {
    fn place(kind: KindKey) -> (usize, u64) {
        (usize::from(kind.0) / 64, 1 << (kind.0 % 64))
    }

    pub(super) fn insert(&mut self, kind: KindKey) {
        let (word, bit) = Self::place(kind);
        self.0[word] |= bit;
    }

    pub(super) fn remove(&mut self, kind: KindKey) {
        let (word, bit) = Self::place(kind);
        self.0[word] &= !bit;
    }

    pub(super) fn contains(&self, kind: KindKey) -> bool {
        let (word, bit) = Self::place(kind);
        self.0[word] & bit != 0
    }

    pub(super) fn intersects(&self, other: &Self) -> bool {
        self.0.iter().zip(&other.0).any(|(own, other)| own & other != 0)
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Name of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum KindName {
    Image(Box<str>),
    Queue(QueueId),
}

impl KindName {
    fn new(spec: &StepSpec, queue: &QueueId) -> Self {
        match &spec.image {
            Some(image) => Self::Image(image.clone()),
            None => Self::Queue(queue.clone()),
        }
    }
}

impl fmt::Display for KindName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Image(image) => write!(formatter, "image {image}"),
            Self::Queue(queue) => write!(formatter, "queue {}", queue.as_str()),
        }
    }
}

/// A tracked kind.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) name: KindName,
    /// When it became tracked, on the local clock.
    pub(super) added_ms: u64,
    used_ms: u64,
    live_runs: u32,
    /// Starts so far; every so many ignore the kinds to keep apart.
    pub(super) starts: u32,
    /// Runs without a suspected neighbour.
    pub(super) usual: Moments,
    /// Kinds that it is to be kept apart from.
    pub(super) avoided: KindSet,
}

/// The tracked kinds.
#[derive(Debug, Default)]
pub(super) struct KindTable {
    kinds: Vec<Kind>,
    images: HashMap<Box<str>, KindKey>,
    queues: HashMap<QueueId, KindKey>,
    replace_due_ms: u64,
}

impl KindTable {
    pub(super) fn find(&self, spec: &StepSpec, queue: &QueueId) -> Option<KindKey> {
        match spec.image.as_deref() {
            Some(image) => self.images.get(image),
            None => self.queues.get(queue),
        }
        .copied()
    }

    pub(super) fn get(&self, key: KindKey) -> &Kind {
        &self.kinds[usize::from(key.0)]
    }

    pub(super) fn get_mut(&mut self, key: KindKey) -> &mut Kind {
        &mut self.kinds[usize::from(key.0)]
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = KindKey> + use<> {
        (0..self.kinds.len() as u8).map(KindKey)
    }

    /// Counts a run that begins.
    pub(super) fn begin(&mut self, now_ms: u64, key: KindKey) {
        let kind = self.get_mut(key);
        kind.used_ms = now_ms;
        kind.live_runs += 1;
        kind.starts = kind.starts.wrapping_add(1);
    }

    /// Counts a run that is over.
    pub(super) fn end(&mut self, key: KindKey) {
        let kind = self.get_mut(key);
        kind.live_runs = kind.live_runs.saturating_sub(1);
    }

    /// Tracks a new kind, if need be in place of an idle one that is not `kept`; returns its key and whether that key belonged to
    /// another kind before. Returns none if all tracked kinds are in use.
    pub(super) fn add(
        &mut self,
        now_ms: u64,
        spec: &StepSpec,
        queue: &QueueId,
        kept: &KindSet,
    ) -> Option<(KindKey, bool)> {
        let (key, is_replaced) = if self.kinds.len() < KINDS_MAX {
            (KindKey(self.kinds.len() as u8), false)
        } else {
            (self.idle(now_ms, kept)?, true)
        };
        let name = KindName::new(spec, queue);
        match &name {
            KindName::Image(image) => self.images.insert(image.clone(), key),
            KindName::Queue(queue) => self.queues.insert(queue.clone(), key),
        };
        let kind = Kind {
            name,
            added_ms: now_ms,
            used_ms: now_ms,
            live_runs: 0,
            starts: 0,
            usual: Moments::default(),
            avoided: KindSet::default(),
        };
        if is_replaced {
            let old = std::mem::replace(self.get_mut(key), kind);
            match &old.name {
                KindName::Image(image) => self.images.remove(image),
                KindName::Queue(queue) => self.queues.remove(queue),
            };
        } else {
            self.kinds.push(kind);
        }
        Some((key, is_replaced))
    }

    /// Returns the kind without runs that was started least recently.
    fn idle(&mut self, now_ms: u64, kept: &KindSet) -> Option<KindKey> {
        if now_ms < self.replace_due_ms {
            return None;
        }
        self.replace_due_ms = now_ms + REPLACE_INTERVAL_MS;
        let is_idle = |kind: &Kind| kind.live_runs == 0 && now_ms >= kind.used_ms + IDLE_MIN_MS;
        let idle = self.keys().filter(|&key| is_idle(self.get(key)) && !kept.contains(key));
        idle.min_by_key(|&key| self.get(key).used_ms)
    }
}
