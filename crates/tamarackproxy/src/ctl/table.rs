//! Plain-text tables of JSON rows.

use std::fmt;

use serde_json::Value;

/// A plain-text table with aligned columns.
///
/// ```
/// use serde_json::json;
/// use tamarackproxy::ctl::Table;
///
/// let rows = [json!({ "pool": "booking", "hosts": 10 })];
/// let table = Table::new(&["pool", "hosts"]).with_rows(&rows);
/// assert_eq!(table.to_string(), "POOL     HOSTS\nbooking  10\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    columns: Vec<Box<str>>,
    rows: Vec<Vec<String>>,
}

/// Formats a value for one cell.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let cells: Vec<String> = items.iter().map(cell).collect();
            if cells.is_empty() { "-".to_owned() } else { cells.join(",") }
        }
        Value::Object(fields) => {
            let cells: Vec<String> =
                fields.iter().map(|(name, value)| format!("{name}={}", cell(value))).collect();
            cells.join(" ")
        }
        other => other.to_string(),
    }
}

impl Table {
    /// Creates a table whose columns are JSON pointers without the leading slash,
    /// such as `record/pool`; the last segment is the column's header.
    pub fn new(columns: &[&str]) -> Self {
        Self { columns: columns.iter().map(|&column| column.into()).collect(), rows: Vec::new() }
    }

    /// Adds rows; a missing field becomes `-`.
    #[must_use]
    pub fn with_rows(mut self, rows: &[Value]) -> Self {
        let row = |row: &Value| {
            let field = |column: &str| row.pointer(&format!("/{column}"));
            self.columns.iter().map(|column| field(column).map_or("-".into(), cell)).collect()
        };
        self.rows.extend(rows.iter().map(row).collect::<Vec<Vec<String>>>());
        self
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = |column: &str| {
            let name = column.rsplit('/').next().unwrap_or(column);
            name.replace('_', "-").to_uppercase()
        };
        let lines: Vec<Vec<String>> =
            std::iter::once(self.columns.iter().map(|column| header(column)).collect())
                .chain(self.rows.iter().cloned())
                .collect();
        let width = |index: usize| {
            lines.iter().map(|line| line[index].chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        for line in &lines {
            let cells = line.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
            let text = cells.collect::<Vec<String>>().join("  ");
            writeln!(f, "{}", text.trim_end())?;
        }
        Ok(())
    }
}
