//! Tests of what operators see.

use gumdrop::Options;
use serde_json::json;

use super::{
    Arguments, Table,
    document::{changes, diff_text},
};
use crate::state::document::DocumentText;

fn text(body: &str) -> DocumentText {
    DocumentText::parse(body).expect("valid headers")
}

/// Guards against a put that touches sections which the file does not have.
#[test]
fn sections_missing_in_the_file_are_kept_unless_asked_for() {
    let old = text("[pool a]\nsize = 1\n[pool b]\nsize = 2\n");
    let new = text("[pool a]\nsize = 3\n");
    assert_eq!(changes(&old, &new, false).len(), 1);
    assert_eq!(changes(&old, &new, true).len(), 2);
}

#[test]
fn diff_shows_changed_lines_by_section() {
    let old = text("[pool a]\nowner = x\nsize = 1\n[pool b]\nsize = 2\n");
    let new = text("[pool a]\nowner = x\nsize = 3\n");
    insta::assert_snapshot!(diff_text(&old, &new));
}

#[test]
fn table_aligns_columns_and_marks_missing_fields() {
    let rows = [
        json!({ "host": "h1", "load": { "queued": 3 }, "pools": ["a", "b"] }),
        json!({ "host": "long-name", "pools": [] }),
    ];
    insta::assert_snapshot!(Table::new(&["host", "load/queued", "pools"]).with_rows(&rows));
}

#[test]
fn help_lists_every_command() {
    insta::assert_snapshot!(format!(
        "{}\n\n{}",
        Arguments::usage(),
        Arguments::command_list().unwrap_or_default()
    ));
}
