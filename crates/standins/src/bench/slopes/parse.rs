//! Time to parse and validate a document, depending on its size.

use std::time::Instant;

use tamarackproxy::state::document::Document;

use super::{Figure, series};
use crate::sim::{DocumentShape, document_text};

/// Number of callers in each document; a caller takes about 200 bytes.
const CALLERS: [usize; 4] = [50, 500, 1_900, 5_600];
/// Number of runs. The fastest counts, because other processes may run on the
/// machine.
const RUNS: usize = 5;

pub(super) fn run() -> Vec<Figure> {
    let points = CALLERS.map(|callers| {
        let shape = DocumentShape { data_centres: 3, seats: 2, teams: 5, services: 5, callers };
        let text = document_text(shape);
        (text.len() as f64, parse_us(&text))
    });
    series("parse of the document", "bytes", "us", &points)
}

fn parse_us(text: &str) -> f64 {
    let times = (0..RUNS).map(|_| {
        let before = Instant::now();
        let document = Document::parse(text);
        let time_us = before.elapsed().as_nanos() as f64 / 1_000.0;
        assert!(document.is_ok(), "the generated document is invalid");
        time_us
    });
    times.fold(f64::INFINITY, f64::min)
}
