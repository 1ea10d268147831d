//! Index of workers by capacity.

use super::resources::Resources;

/// Number of size classes for processors and for memory: two per power of two.
const CLASSES: usize = 64;
/// Number of size classes for accelerators: 0 to 15, and 16 or more.
const ACCELERATOR_CLASSES: usize = 17;
/// Maximum number of workers per bucket that one search examines.
const SAMPLES: usize = 4;
/// Number of suitable workers after which a search ends.
pub(super) const CANDIDATES: usize = 8;

/// Returns the size class of an amount; it never decreases with the amount.
fn class_of(amount: u64) -> usize {
    if amount < 2 {
        return amount as usize;
    }
    let exponent = amount.ilog2() as usize;
    let half = (amount >> (exponent - 1) & 1) as usize;
    (2 * exponent + half).min(CLASSES - 1)
}

fn bucket_of(capacity: &Resources) -> (usize, usize, usize) {
    let accelerators = (capacity.accelerators as usize).min(ACCELERATOR_CLASSES - 1);
    (accelerators, class_of(capacity.cpu_millicores / 16), class_of(capacity.memory_bytes >> 20))
}

/// Finds workers with enough capacity in time independent of the number of
/// workers.
///
/// Workers are grouped into buckets by the size classes of their accelerators,
/// processors and memory; bitmaps mark the classes that have workers.
#[derive(Clone, Debug)]
pub(super) struct CapacityIndex {
    buckets: Vec<Vec<u32>>,
    /// Size classes of memory with workers, by size classes of accelerators and
    /// processors.
    memory_bits: Vec<u64>,
    /// Size classes of processors with workers, by size class of accelerators.
    cpu_bits: [u64; ACCELERATOR_CLASSES],
    /// Bucket of each worker and position within it.
    positions: Vec<Option<(usize, usize)>>,
}

impl CapacityIndex {
    pub fn new() -> Self {
        Self {
            buckets: vec![Vec::new(); ACCELERATOR_CLASSES * CLASSES * CLASSES],
            memory_bits: vec![0; ACCELERATOR_CLASSES * CLASSES],
            cpu_bits: [0; ACCELERATOR_CLASSES],
            positions: Vec::new(),
        }
    }

    /// Sets the capacity of a worker; `None` removes it from the index.
    pub fn set(&mut self, worker: u32, capacity: Option<&Resources>) {
        let number = worker as usize;
        if self.positions.len() <= number {
            self.positions.resize(number + 1, None);
        }
        let bucket = capacity.map(|capacity| {
            let (accelerators, cpu, memory) = bucket_of(capacity);
            (accelerators * CLASSES + cpu) * CLASSES + memory
        });
        if bucket == self.positions[number].map(|(bucket, _)| bucket) {
            return;
        }
        if let Some((old, position)) = self.positions[number].take() {
            self.buckets[old].swap_remove(position);
            if let Some(&moved) = self.buckets[old].get(position) {
                self.positions[moved as usize] = Some((old, position));
            }
            if self.buckets[old].is_empty() {
                let row = old / CLASSES;
                self.memory_bits[row] &= !(1 << (old % CLASSES));
                if self.memory_bits[row] == 0 {
                    self.cpu_bits[row / CLASSES] &= !(1 << (row % CLASSES));
                }
            }
        }
        if let Some(bucket) = bucket {
            self.positions[number] = Some((bucket, self.buckets[bucket].len()));
            self.buckets[bucket].push(worker);
            let row = bucket / CLASSES;
            self.memory_bits[row] |= 1 << (bucket % CLASSES);
            self.cpu_bits[row / CLASSES] |= 1 << (row % CLASSES);
        }
    }

    /// Returns some workers that `fits` accepts, those with the fewest spare
    /// accelerators and processors first. `offset` varies which workers of a
    /// bucket are sampled.
    pub fn search<F>(&self, demand: &Resources, offset: usize, mut fits: F) -> Vec<u32>
    where
        F: FnMut(u32) -> bool,
    {
        let mut found = Vec::new();
        let (accelerators, cpu, memory) = bucket_of(demand);
        for accelerators in accelerators..ACCELERATOR_CLASSES {
            let mut rows = self.cpu_bits[accelerators] >> cpu << cpu;
            while rows != 0 {
                let row = accelerators * CLASSES + rows.trailing_zeros() as usize;
                rows &= rows - 1;
                let mut bits = self.memory_bits[row] >> memory << memory;
                while bits != 0 {
                    let bucket = &self.buckets[row * CLASSES + bits.trailing_zeros() as usize];
                    bits &= bits - 1;
                    for sample in 0..bucket.len().min(SAMPLES) {
                        let worker = bucket[(offset + sample) % bucket.len()];
                        if fits(worker) {
                            found.push(worker);
                        }
                    }
                    if found.len() >= CANDIDATES {
                        return found;
                    }
                }
            }
            // Keep workers with more accelerators for jobs that need them.
            if !found.is_empty() {
                return found;
            }
        }
        found
    }
}
