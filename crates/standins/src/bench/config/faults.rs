//! Faults that follow each other at random.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::sim::{Cluster, NodeIndex};

/// Share of lost store replies throughout.
const LOST_REPLIES: f64 = 0.05;
/// Share of lost peer messages throughout.
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

/// One fault at a time, and the times for which nodes were out of reach.
pub(super) struct FaultPlan {
    random: ChaCha8Rng,
    present: Option<(Fault, u64)>,
    quiet_until_us: u64,
    /// For each node, when it was dead, paused or cut off, in microseconds.
    out: Vec<Vec<(u64, u64)>>,
}

impl FaultPlan {
    pub(super) fn new(random: ChaCha8Rng, nodes: usize) -> Self {
        Self { random, present: None, quiet_until_us: 0, out: vec![Vec::new(); nodes] }
    }

    pub(super) fn start(&mut self, cluster: &mut Cluster) {
        cluster.faults.lost_replies = LOST_REPLIES;
        cluster.faults.lost_messages = LOST_MESSAGES;
    }

    /// Ends and begins faults; called every half second.
    pub(super) fn advance(&mut self, cluster: &mut Cluster) {
        let now_us = cluster.now_us();
        match self.present {
            Some((fault, until_us)) if now_us >= until_us => self.heal(fault, cluster),
            None if now_us >= self.quiet_until_us => self.begin(cluster),
            _ => {}
        }
    }

    pub(super) fn end(&mut self, cluster: &mut Cluster) {
        if let Some((fault, _)) = self.present {
            self.heal(fault, cluster);
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
            Fault::WithoutPlatform(cut) => self.cut_platform(cut, cluster),
            Fault::Isolated(cut) => {
                cluster.faults.isolated.insert(cut);
            }
            Fault::CutOff(cut) => {
                self.cut_platform(cut, cluster);
                cluster.faults.isolated.insert(cut);
            }
            Fault::StoreDown => {
                cluster.faults.store_down = true;
                cluster.interrupt_watches(|_| true);
            }
        }
        let now_us = cluster.now_us();
        self.present = Some((fault, now_us + duration_ms * 1_000));
        let affected = (0..cluster.len()).filter(|node| is_out(fault, *node, cluster));
        for node in affected.collect::<Vec<_>>() {
            self.out[node].push((now_us, u64::MAX));
        }
    }

    fn cut_platform(&self, cut: usize, cluster: &mut Cluster) {
        cluster.faults.without_platform.insert(cut);
        cluster.interrupt_watches(|data_centre| data_centre == cut);
    }

    fn heal(&mut self, fault: Fault, cluster: &mut Cluster) {
        if let Fault::Dead(node) = fault {
            cluster.restart(node);
        }
        cluster.faults.store_down = false;
        cluster.faults.without_platform.clear();
        cluster.faults.isolated.clear();
        let now_us = cluster.now_us();
        let open = self.out.iter_mut().filter_map(|intervals| intervals.last_mut());
        open.filter(|(_, end_us)| *end_us == u64::MAX).for_each(|(_, end_us)| *end_us = now_us);
        self.present = None;
        self.quiet_until_us = now_us + self.random.random_range(1_000_000..8_000_000);
    }

    /// Returns when a node that was out between the two times was back; none if
    /// it was not out.
    pub(super) fn back_us(&self, node: NodeIndex, from_us: u64, to_us: u64) -> Option<u64> {
        let overlaps = |(start_us, end_us): &&(u64, u64)| *start_us <= to_us && *end_us > from_us;
        self.out[node].iter().filter(overlaps).map(|(_, end_us)| *end_us).max()
    }
}

/// Tells whether a fault leaves a node without any way to new revisions. With
/// the store down, a writer whose reply was lost cannot learn that it wrote.
fn is_out(fault: Fault, node: NodeIndex, cluster: &Cluster) -> bool {
    match fault {
        Fault::Dead(dead) | Fault::Paused(dead) => node == dead,
        Fault::CutOff(cut) => cluster.data_centre(node) == cut,
        Fault::StoreDown => true,
        Fault::WithoutPlatform(_) | Fault::Isolated(_) => false,
    }
}
