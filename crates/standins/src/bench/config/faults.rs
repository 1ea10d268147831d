//! Sequence of random faults.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::sim::{Cluster, NodeIndex};

/// Share of store replies that are lost while faults are enabled.
const LOST_REPLIES: f64 = 0.05;
/// Share of peer messages that are lost while faults are enabled.
const LOST_MESSAGES: f64 = 0.02;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Dead(NodeIndex),
    Paused(NodeIndex),
    WithoutPlatform(usize),
    Isolated(usize),
    CutOff(usize),
    StoreDown,
}

/// Injects one fault at a time and records when entry hosts were unreachable.
pub(super) struct FaultPlan {
    random: ChaCha8Rng,
    /// Current fault and its end in microseconds.
    current: Option<(Fault, u64)>,
    quiet_until_us: u64,
    /// For each entry host, the periods in which it was down, paused or partitioned,
    /// in microseconds.
    outages: Vec<Vec<(u64, u64)>>,
}

impl FaultPlan {
    pub(super) fn new(random: ChaCha8Rng, nodes: usize) -> Self {
        Self { random, current: None, quiet_until_us: 0, outages: vec![Vec::new(); nodes] }
    }

    pub(super) fn start(&mut self, cluster: &mut Cluster) {
        cluster.faults.lost_replies = LOST_REPLIES;
        cluster.faults.lost_messages = LOST_MESSAGES;
    }

    /// Ends the current fault, or begins the next one, when it is due; called every
    /// half second.
    pub(super) fn advance(&mut self, cluster: &mut Cluster) {
        let now_us = cluster.now_us();
        match self.current {
            Some((fault, until_us)) if now_us >= until_us => self.end_current(fault, cluster),
            None if now_us >= self.quiet_until_us => self.begin(cluster),
            _ => {}
        }
    }

    pub(super) fn end(&mut self, cluster: &mut Cluster) {
        if let Some((fault, _)) = self.current {
            self.end_current(fault, cluster);
        }
        cluster.faults.lost_replies = 0.0;
        cluster.faults.lost_messages = 0.0;
    }

    fn begin(&mut self, cluster: &mut Cluster) {
        let node = self.random.random_range(0..cluster.len());
        let watchers: Vec<_> = (0..cluster.len()).filter(|n| cluster.is_watcher(*n)).collect();
        let data_centre = cluster.data_centre(node);
        let (fault, duration_ms) = match self.random.random_range(0..8) {
            0 => (Fault::Dead(node), 3_000),
            1 => (Fault::Dead(*watchers.first().unwrap_or(&node)), 20_000),
            2 => (Fault::Paused(node), 5_000),
            3 => (Fault::Paused(*watchers.last().unwrap_or(&node)), 25_000),
            4 => (Fault::WithoutPlatform(data_centre), 30_000),
            5 => (Fault::Isolated(data_centre), 30_000),
            6 => (Fault::CutOff(data_centre), 30_000),
            _ => (Fault::StoreDown, 10_000),
        };
        match fault {
            Fault::Dead(node) => cluster.kill(node),
            Fault::Paused(node) => cluster.pause(node, duration_ms),
            Fault::WithoutPlatform(partitioned) => self.cut_platform(partitioned, cluster),
            Fault::Isolated(partitioned) => {
                cluster.faults.isolated.insert(partitioned);
            }
            Fault::CutOff(partitioned) => {
                self.cut_platform(partitioned, cluster);
                cluster.faults.isolated.insert(partitioned);
            }
            Fault::StoreDown => {
                cluster.faults.store_down = true;
                cluster.interrupt_watches(|_| true);
            }
        }
        let now_us = cluster.now_us();
        self.current = Some((fault, now_us + duration_ms * 1_000));
        let affected = (0..cluster.len()).filter(|node| is_unreachable(fault, *node, cluster));
        for node in affected.collect::<Vec<_>>() {
            self.outages[node].push((now_us, u64::MAX));
        }
    }

    fn cut_platform(&self, partitioned: usize, cluster: &mut Cluster) {
        cluster.faults.without_platform.insert(partitioned);
        cluster.interrupt_watches(|data_centre| data_centre == partitioned);
    }

    fn end_current(&mut self, fault: Fault, cluster: &mut Cluster) {
        if let Fault::Dead(node) = fault {
            cluster.restart(node);
        }
        cluster.faults.store_down = false;
        cluster.faults.without_platform.clear();
        cluster.faults.isolated.clear();
        let now_us = cluster.now_us();
        let open = self.outages.iter_mut().filter_map(|intervals| intervals.last_mut());
        open.filter(|(_, end_us)| *end_us == u64::MAX).for_each(|(_, end_us)| *end_us = now_us);
        self.current = None;
        self.quiet_until_us = now_us + self.random.random_range(1_000_000..8_000_000);
    }

    /// Returns the end of the last outage of an entry host that overlaps the period,
    /// or `None` if there was none.
    pub(super) fn outage_end_us(&self, node: NodeIndex, from_us: u64, to_us: u64) -> Option<u64> {
        let overlaps = |(start_us, end_us): &&(u64, u64)| *start_us <= to_us && *end_us > from_us;
        self.outages[node].iter().filter(overlaps).map(|(_, end_us)| *end_us).max()
    }
}

/// Returns whether a fault makes it impossible for an entry host to get new
/// revisions. While the store is down, a writer whose reply was lost cannot learn
/// that its write took effect.
fn is_unreachable(fault: Fault, node: NodeIndex, cluster: &Cluster) -> bool {
    match fault {
        Fault::Dead(dead) | Fault::Paused(dead) => node == dead,
        Fault::CutOff(partitioned) => cluster.data_centre(node) == partitioned,
        Fault::StoreDown => true,
        Fault::WithoutPlatform(_) | Fault::Isolated(_) => false,
    }
}
