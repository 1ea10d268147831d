//! The report on error-budget burn, as a table and as an HTML page with plots.

use std::fmt::Write;

use plotters::{
    prelude::{ChartBuilder, IntoDrawingArea, LineSeries, SVGBackend},
    style::{BLUE, Color, RED, WHITE},
};
use serde_json::{Value, json};
use strum::IntoEnumIterator;

use super::{CommandError, Table};
use crate::coordination::burn::{BadCause, BurnReport, BurnRow};

/// Size of a plot, in pixels.
const PLOT_PIXELS: (u32, u32) = (640, 220);

fn columns() -> Vec<String> {
    let causes = BadCause::iter().map(|cause| cause.to_string());
    let fixed = ["service", "class", "objective", "good"].map(str::to_owned);
    let rates = ["budget_left", "1h_rate", "6h_rate", "alerts"].map(str::to_owned);
    fixed.into_iter().chain(causes).chain(rates).collect()
}

fn table_row(row: &BurnRow) -> Value {
    let alerts: Vec<String> =
        row.alerts.iter().map(|alert| format!("{} ({})", alert.rule, alert.severity)).collect();
    let mut cells = json!({
        "service": row.service,
        "class": row.class.map_or("all".to_owned(), |class| class.to_string()),
        "objective": row.objective.to_string(),
        "good": row.counts.good,
        "budget_left": format!("{:.1}%", row.budget_left * 100.0),
        "1h_rate": format!("{:.2}", row.hour_rate),
        "6h_rate": format!("{:.2}", row.six_hour_rate),
        "alerts": alerts,
    });
    for cause in BadCause::iter() {
        cells[cause.to_string()] = json!(row.counts.bad[cause as usize]);
    }
    cells
}

/// Returns a report as a table.
pub(super) fn table(report: &BurnReport) -> Table {
    let columns = columns();
    let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
    let rows: Vec<Value> = report.rows.iter().map(table_row).collect();
    Table::new(&columns).with_rows(&rows)
}

/// Plots good and bad events per period of 5 minutes, as SVG.
fn plot(row: &BurnRow) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let first = row.periods.first().map_or(0, |(start, _)| *start);
        let minutes = |start: u64| (start - first) as f64 / 60_000.0;
        let end = row.periods.last().map_or(1.0, |(start, _)| minutes(*start).max(1.0));
        let top = row.periods.iter().map(|(_, counts)| counts.total()).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..top as f64)?;
        chart.configure_mesh().x_desc("minutes").y_desc("events in 5 minutes").draw()?;
        let good = row.periods.iter().map(|(start, c)| (minutes(*start), c.good as f64));
        chart.draw_series(LineSeries::new(good, BLUE.stroke_width(2)))?;
        let bad = row.periods.iter().map(|(start, c)| (minutes(*start), c.bad_total() as f64));
        chart.draw_series(LineSeries::new(bad, RED.stroke_width(2)))?;
        area.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns a report as one self-contained HTML page.
///
/// # Errors
///
/// Returns [`CommandError::Malformed`] if a plot cannot be drawn.
pub(super) fn html(report: &BurnReport) -> Result<String, CommandError> {
    let mut page = String::from(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Error-budget burn</title>\
         <style>body{font-family:sans-serif}pre{background:#f4f4f4;padding:1em}</style></head>\
         <body>\n<h1>Error-budget burn</h1>\n",
    );
    let malformed = |message: String| CommandError::Malformed(message.into());
    writeln!(page, "<pre>{}</pre>", escape(&table(report).to_string()))
        .map_err(|error| malformed(error.to_string()))?;
    for row in report.rows.iter().filter(|row| row.class.is_none()) {
        let svg = plot(row).map_err(|error| malformed(error.to_string()))?;
        writeln!(page, "<h2>{}</h2>\n<p>blue: good, red: bad</p>\n{svg}", row.service)
            .map_err(|error| malformed(error.to_string()))?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}
