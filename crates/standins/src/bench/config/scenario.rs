//! Simulated deployment whose document is changed by operators.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackproxy::coordination::configuration::{HEAD_KEY, OperatorCall, Position};

use super::{faults::FaultPlan, lag::Lags};
use crate::sim::{
    Cluster, ClusterOptions, DocumentShape, MEMBER_A, MEMBER_B, NodeIndex, document_text,
    service_edit,
};

/// Teams, as at the design size.
const TEAMS: usize = 220;
/// Services, as at the design size.
const SERVICES: usize = 26;
/// Callers, as at the design size.
const CALLERS: usize = 220;
/// Time for the deployment to start, in milliseconds.
const START_MS: u64 = 30_000;
/// Mean interval between changes, in milliseconds, which gives 13,000 a day.
const CHANGE_INTERVAL_MS: u64 = 6_646;
/// Time after the last change for its distribution, in milliseconds.
const SETTLE_MS: u64 = 20_000;
/// Share of changes that two operators make at the same time.
const CONCURRENT: f64 = 0.2;
/// Interval between reads of the baseline, in microseconds.
const POLL_US: u64 = 1_000_000;
/// Duration of one read, in microseconds.
const READ_US: u64 = 4_000;
/// Bytes of a store call in addition to key and value, as in the simulation.
const CALL_BYTES: f64 = 600.0;

/// Store calls and traffic up to a time, or in the period between two.
#[derive(Clone, Debug)]
pub(super) struct Cost {
    at_us: u64,
    reads: u64,
    writes: u64,
    bytes: Vec<u64>,
}

impl Cost {
    pub(super) fn since(&self, before: &Self) -> Self {
        let bytes = self.bytes.iter().zip(&before.bytes).map(|(now, then)| now - then).collect();
        Self {
            at_us: self.at_us - before.at_us,
            reads: self.reads - before.reads,
            writes: self.writes - before.writes,
            bytes,
        }
    }

    pub(super) fn seconds(&self) -> f64 {
        self.at_us as f64 / 1e6
    }

    pub(super) fn calls(&self) -> f64 {
        (self.reads + self.writes) as f64
    }

    pub(super) fn calls_per_second(&self) -> f64 {
        self.calls() / self.seconds()
    }

    pub(super) fn writes_per_second(&self) -> f64 {
        self.writes as f64 / self.seconds()
    }

    pub(super) fn most_bytes_per_second(&self) -> f64 {
        self.bytes.iter().copied().max().unwrap_or(0) as f64 / self.seconds()
    }

    pub(super) fn mean_bytes_per_second(&self) -> f64 {
        self.bytes.iter().sum::<u64>() as f64 / self.bytes.len() as f64 / self.seconds()
    }
}

/// A deployment under measurement.
pub(super) struct Scenario {
    pub(super) cluster: Cluster,
    random: ChaCha8Rng,
    faults: FaultPlan,
    /// Store calls per second without changes.
    idle_calls_per_second: f64,
    /// Times at which the puts of the current phase were sent, in microseconds.
    sent_us: BTreeMap<OperatorCall, u64>,
}

impl Scenario {
    pub(super) fn new(data_centres: usize, entries: usize, seed: u64) -> Self {
        let seats = entries as u16;
        let (teams, services, callers) = (TEAMS, SERVICES, CALLERS);
        let shape = DocumentShape { data_centres, seats, teams, services, callers };
        let options = ClusterOptions { data_centres, entries, seed };
        let mut cluster = Cluster::new(options, &document_text(shape));
        cluster.run_ms(START_MS);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let faults = FaultPlan::new(ChaCha8Rng::from_rng(&mut random), cluster.len());
        let sent_us = BTreeMap::new();
        Self { cluster, random, faults, idle_calls_per_second: 0.0, sent_us }
    }

    pub(super) fn cost(&mut self) -> Cost {
        let cluster = &self.cluster;
        Cost {
            at_us: cluster.now_us(),
            reads: cluster.store.reads(),
            writes: cluster.store.writes(),
            bytes: (0..cluster.len()).map(|node| cluster.bytes(node)).collect(),
        }
    }

    /// Sets the store calls per second without changes, which are deducted from
    /// the cost of changes.
    pub(super) fn set_idle_calls(&mut self, calls_per_second: f64) {
        self.idle_calls_per_second = calls_per_second;
    }

    pub(super) fn idle_calls_per_second(&self) -> f64 {
        self.idle_calls_per_second
    }

    /// Returns the bytes per second of an entry host that reads the whole document
    /// every second.
    pub(super) fn poll_bytes(&self) -> f64 {
        let head = self.cluster.stored_bytes(HEAD_KEY);
        (head.div_ceil(3) * 4) as f64 + CALL_BYTES
    }

    pub(super) fn start_faults(&mut self) {
        self.sent_us.clear();
        self.faults.start(&mut self.cluster);
    }

    pub(super) fn end_faults(&mut self) {
        self.faults.end(&mut self.cluster);
        self.cluster.run_ms(SETTLE_MS);
    }

    /// Changes the document the given number of times.
    pub(super) fn change(&mut self, changes: usize, with_faults: bool) {
        for _ in 0..changes {
            let interval_ms =
                self.random.random_range(CHANGE_INTERVAL_MS / 2..=CHANGE_INTERVAL_MS * 3 / 2);
            self.wait(interval_ms, with_faults);
            self.put();
            if self.random.random_bool(CONCURRENT) {
                self.put();
            }
        }
        self.wait(SETTLE_MS, with_faults);
    }

    fn wait(&mut self, duration_ms: u64, with_faults: bool) {
        for step in 0..duration_ms.div_ceil(500) {
            if with_faults {
                self.faults.advance(&mut self.cluster);
            }
            self.cluster.run_ms((duration_ms - step * 500).min(500));
        }
    }

    fn put(&mut self) {
        let ready = (0..self.cluster.len()).filter(|node| self.cluster.is_ready(*node));
        let ready: Vec<_> = ready.filter(|node| self.cluster.is_running(*node)).collect();
        let node = ready[self.random.random_range(0..ready.len())];
        let service = self.random.random_range(0..SERVICES);
        let team = if service.is_multiple_of(2) { MEMBER_A } else { MEMBER_B };
        let base = self.cluster.position(node).revision;
        let edit = service_edit(service, self.random.random_range(1..100_000), base);
        let call = self.cluster.put(node, team, vec![edit]);
        self.sent_us.insert(call, self.cluster.now_us());
    }

    fn outcomes(&self) -> impl Iterator<Item = (u64, Option<Position>)> {
        let puts = &self.cluster.observations.puts;
        self.sent_us.iter().map(|(call, sent_us)| {
            (*sent_us, puts.get(call).and_then(|put| put.result.clone().ok()))
        })
    }

    /// Returns the number of accepted puts of the current phase.
    pub(super) fn accepted(&self) -> usize {
        self.outcomes().filter(|(_, position)| position.is_some()).count()
    }

    /// Returns the number of puts of the current phase that were not accepted.
    pub(super) fn refused(&self) -> usize {
        self.sent_us.len() - self.accepted()
    }

    /// Returns for each entry host the positions in force and their times, in order.
    fn timelines(&self) -> Vec<Vec<(u64, Position)>> {
        let mut timelines = vec![Vec::new(); self.cluster.len()];
        for (at_us, node, position) in &self.cluster.observations.in_force {
            timelines[*node].push((*at_us, *position));
        }
        timelines
    }

    /// Returns the delays from each accepted put until it is in force on each entry
    /// host.
    pub(super) fn lags_from_put(&self) -> Lags {
        let (timelines, mut lags) = (self.timelines(), Lags::new());
        for (sent_us, position) in self.outcomes() {
            let Some(position) = position else { continue };
            for timeline in &timelines {
                if let Some(at_us) = in_force_us(timeline, position, sent_us) {
                    lags.record(at_us.saturating_sub(sent_us));
                }
            }
        }
        lags
    }

    /// Returns the delays from the acceptance of each revision, and separately those
    /// of entry hosts that were unreachable meanwhile, from the end of the outage.
    pub(super) fn lags_with_faults(&self) -> (Lags, Lags) {
        let (mut lags, mut after_outage) = (Lags::new(), Lags::new());
        self.each_acceptance(|accepted_us, at_us, node| {
            let Some(at_us) = at_us else { return };
            match self.faults.outage_end_us(node, accepted_us, at_us) {
                Some(end_us) => after_outage.record(at_us.saturating_sub(end_us)),
                None => lags.record(at_us - accepted_us),
            }
        });
        (lags, after_outage)
    }

    /// Returns how often an entry host had neither a revision nor a later one in
    /// force.
    pub(super) fn missing(&self) -> usize {
        let mut missing = 0;
        self.each_acceptance(|_, at_us, _| missing += usize::from(at_us.is_none()));
        missing
    }

    fn each_acceptance<F>(&self, mut visit: F)
    where
        F: FnMut(u64, Option<u64>, NodeIndex),
    {
        let (timelines, first_us) = (self.timelines(), self.sent_us.values().min());
        let accepted = self.cluster.observations.accepted_us.iter();
        for (position, accepted_us) in accepted.filter(|(_, at_us)| Some(*at_us) > first_us) {
            for (node, timeline) in timelines.iter().enumerate() {
                visit(*accepted_us, in_force_us(timeline, *position, *accepted_us), node);
            }
        }
    }

    /// Returns the delays of the baseline, in which each entry host reads at its own
    /// phase of the interval.
    pub(super) fn polled_lags(&mut self, samples: u64) -> Lags {
        let mut lags = Lags::new();
        for _ in 0..samples {
            // The put itself takes two calls: a read and a compare-and-swap.
            let waits_us = self.random.random_range(0..POLL_US);
            lags.record(2 * READ_US + waits_us + READ_US);
        }
        lags
    }
}

/// Returns the time at which an entry host first had the position or a later one
/// in force; not earlier than `from_us`.
fn in_force_us(timeline: &[(u64, Position)], position: Position, from_us: u64) -> Option<u64> {
    let reached = timeline.iter().find(|(_, found)| *found >= position)?;
    Some(reached.0.max(from_us))
}
