//! Workers indexed by the room that they have.

use super::resources::Resources;

/// Classes of processors and of memory: two for each power of two.
const CLASSES: usize = 64;
/// Classes of accelerators: 0 to 15, and 16 or more.
const ACCELERATOR_CLASSES: usize = 17;
/// Workers of one class that are looked at in one search.
const SAMPLES: usize = 4;
/// Suitable workers that a search returns at most.
pub(super) const CANDIDATES: usize = 8;

/// Class of an amount: larger amounts never have a smaller class.
fn class_of(amount: u64) -> usize {
    if amount < 2 {
        return amount as usize;
    }
    let exponent = amount.ilog2() as usize;
    let half = (amount >> (exponent - 1) & 1) as usize;
    (2 * exponent + half).min(CLASSES - 1)
}

fn cell_of(room: &Resources) -> (usize, usize, usize) {
    let accelerators = (room.accelerators as usize).min(ACCELERATOR_CLASSES - 1);
    (accelerators, class_of(room.cpu_millicores / 16), class_of(room.memory_bytes >> 20))
}

/// Finds a worker with enough room in a time that does not depend on the
/// number of workers: one bit tells whether a class has workers.
#[derive(Clone, Debug)]
pub(super) struct RoomIndex {
    cells: Vec<Vec<u32>>,
    memory_bits: Vec<u64>,
    /// Classes of processors with workers, by class of accelerators.
    cpu_bits: [u64; ACCELERATOR_CLASSES],
    /// Cell and position of each worker.
    places: Vec<Option<(usize, usize)>>,
}

impl RoomIndex {
    pub fn new() -> Self {
        Self {
            cells: vec![Vec::new(); ACCELERATOR_CLASSES * CLASSES * CLASSES],
            memory_bits: vec![0; ACCELERATOR_CLASSES * CLASSES],
            cpu_bits: [0; ACCELERATOR_CLASSES],
            places: Vec::new(),
        }
    }

    /// Sets the room of a worker; none takes it out of the index.
    pub fn set(&mut self, worker: u32, room: Option<&Resources>) {
        let number = worker as usize;
        if self.places.len() <= number {
            self.places.resize(number + 1, None);
        }
        let cell = room.map(|room| {
            let (accelerators, cpu, memory) = cell_of(room);
            (accelerators * CLASSES + cpu) * CLASSES + memory
        });
        if cell == self.places[number].map(|(cell, _)| cell) {
            return;
        }
        if let Some((old, position)) = self.places[number].take() {
            self.cells[old].swap_remove(position);
            if let Some(&moved) = self.cells[old].get(position) {
                self.places[moved as usize] = Some((old, position));
            }
            if self.cells[old].is_empty() {
                let row = old / CLASSES;
                self.memory_bits[row] &= !(1 << (old % CLASSES));
                if self.memory_bits[row] == 0 {
                    self.cpu_bits[row / CLASSES] &= !(1 << (row % CLASSES));
                }
            }
        }
        if let Some(cell) = cell {
            self.places[number] = Some((cell, self.cells[cell].len()));
            self.cells[cell].push(worker);
            let row = cell / CLASSES;
            self.memory_bits[row] |= 1 << (cell % CLASSES);
            self.cpu_bits[row / CLASSES] |= 1 << (row % CLASSES);
        }
    }

    /// Returns some workers that `fits` accepts, those with the least
    /// accelerators and processors to spare first. `turn` varies the sample.
    pub fn search<F>(&self, demand: &Resources, turn: usize, mut fits: F) -> Vec<u32>
    where
        F: FnMut(u32) -> bool,
    {
        let mut found = Vec::new();
        let (accelerators, cpu, memory) = cell_of(demand);
        for accelerators in accelerators..ACCELERATOR_CLASSES {
            let mut rows = self.cpu_bits[accelerators] >> cpu << cpu;
            while rows != 0 {
                let row = accelerators * CLASSES + rows.trailing_zeros() as usize;
                rows &= rows - 1;
                let mut bits = self.memory_bits[row] >> memory << memory;
                while bits != 0 {
                    let cell = &self.cells[row * CLASSES + bits.trailing_zeros() as usize];
                    bits &= bits - 1;
                    for sample in 0..cell.len().min(SAMPLES) {
                        let worker = cell[(turn + sample) % cell.len()];
                        if fits(worker) {
                            found.push(worker);
                        }
                    }
                    if found.len() >= CANDIDATES {
                        return found;
                    }
                }
            }
            // Workers with more accelerators are left for jobs that need them.
            if !found.is_empty() {
                return found;
            }
        }
        found
    }
}
