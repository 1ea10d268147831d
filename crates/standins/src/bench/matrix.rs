//! Benchmark `matrix`: every fault alone and every pair of faults at every step of
//! the fault matrix.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use strum::IntoEnumIterator;

use super::{BenchOptions, Bound, Figure};
use crate::matrix::{Action, Cell, CellReport, Fault, Step};

/// Number of cells that run in parallel.
const THREADS: usize = 6;

/// Returns every step with every fault, and with every pair of faults.
fn cells(seed: u64) -> Vec<Cell> {
    let faults: Vec<Fault> = Fault::iter().collect();
    let single = faults.iter().map(|&fault| vec![fault]);
    let pair = faults.iter().enumerate().flat_map(|(index, &first)| {
        faults[index + 1..].iter().map(move |&second| vec![first, second])
    });
    let chosen: Vec<Vec<Fault>> = single.chain(pair).collect();
    let cells_of_step =
        |step: Step| chosen.iter().map(move |faults| Cell::new(step, faults.clone(), seed));
    Step::iter().flat_map(cells_of_step).collect()
}

/// Runs the cells on several threads and returns the reports in their order.
fn run_all(cells: &[Cell]) -> Vec<CellReport> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((index, cell)) = Some(next.fetch_add(1, Ordering::Relaxed))
                    .and_then(|i| Some((i, cells.get(i)?)))
                {
                    let report = cell.run();
                    reports.lock().unwrap_or_else(PoisonError::into_inner).push((index, report));
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    reports.sort_by_key(|(index, _)| *index);
    reports.into_iter().map(|(_, report)| report).collect()
}

fn names(faults: &[Fault]) -> String {
    let names: Vec<String> = faults.iter().map(Fault::to_string).collect();
    names.join("+")
}

pub(super) fn run(options: &BenchOptions) -> Vec<Figure> {
    let seeds = options.seed..options.seed + options.seeds;
    let cells: Vec<Cell> = seeds.flat_map(cells).collect();
    let reports = run_all(&cells);
    let mut unreached = 0;
    let mut broken = 0;
    for (cell, report) in cells.iter().zip(&reports) {
        unreached += usize::from(!report.reached);
        broken += usize::from(!report.broken.is_empty());
        if !report.broken.is_empty() || !report.reached {
            let (step, faults, seed) = (cell.step, names(&cell.faults), cell.seed);
            eprintln!(
                "{step} {faults} seed {seed}: reached {} {:?}",
                report.reached, report.broken
            );
        }
    }
    let by_action = Action::iter().map(|action| {
        let of_action = cells.iter().zip(&reports).filter(|(cell, _)| cell.step.action() == action);
        let passed = of_action.filter(|(_, report)| report.broken.is_empty()).count();
        Figure::new("matrix", format!("{action}: cells passed"), passed as f64, "count")
    });
    let mut figures: Vec<Figure> = by_action.collect();
    let figure = |name: &str, value: usize| Figure::new("matrix", name, value as f64, "count");
    figures.push(figure("cells", cells.len()));
    figures
        .push(figure("cells whose step was not reached", unreached).with_bound(Bound::AtMost(0.0)));
    figures.push(figure("cells with a broken promise", broken).with_bound(Bound::AtMost(0.0)));
    figures
}
