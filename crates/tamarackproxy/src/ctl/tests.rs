//! Tests of the output of `tamarackctl`.

use gumdrop::Options;
use serde_json::json;

use super::{
    Arguments, Table,
    document::{changes, diff_text},
};
use crate::{
    coordination::burn::{BadCause, BurnLedger, BurnReport, Event},
    state::{
        document::{Document, DocumentText, Urgency},
        ids::ServiceId,
    },
};

fn text(body: &str) -> DocumentText {
    DocumentText::parse(body).expect("valid headers")
}

/// Guards against a put that removes sections which the file does not contain.
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

/// Guards against a page that loads other files, and against an error on an empty
/// report.
#[test]
fn report_page_holds_table_and_plots() {
    let document = Document::parse(include_str!("../../../../examples/kielce.ini"));
    let document = document.expect("the example is valid");
    let service = ServiceId::new("certification");
    let mut ledger = BurnLedger::default();
    for minute in 0..30 {
        let event = if minute == 7 { Event::Bad(BadCause::Flood) } else { Event::Good };
        ledger.add_event(minute * 60_000, &service, Urgency::Urgent, event);
    }
    let report = BurnReport::new(&ledger, &document, 30 * 60_000);
    insta::assert_snapshot!(super::report::table(&report));
    let page = super::report::html(&report).expect("draws");
    assert_eq!(page.matches("<svg").count(), 1);
    assert!(!page.contains("src="));
    assert!(super::report::html(&BurnReport { at_unix_ms: 0, rows: Vec::new() }).is_ok());
}

#[test]
fn help_lists_every_command() {
    insta::assert_snapshot!(format!(
        "{}\n\n{}",
        Arguments::usage(),
        Arguments::command_list().unwrap_or_default()
    ));
}
