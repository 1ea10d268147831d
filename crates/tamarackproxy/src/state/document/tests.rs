//! Tests of document validation and of edits to the document's text.

use super::{Document, DocumentText, SectionName};

const KIGALI: &str = include_str!("../../../../../examples/kigali.ini");
const KIELCE: &str = include_str!("../../../../../examples/kielce.ini");

#[rstest::rstest]
#[case(KIGALI)]
#[case(KIELCE)]
fn examples_are_accepted(#[case] text: &str) {
    let document = Document::parse(text).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(document.services.len(), 5);
    let hosts: u32 = document.pools.values().flat_map(|pool| pool.size.values()).sum();
    assert_eq!(hosts, 50);
}

/// Guards against a document with mistakes that is accepted, or whose errors are
/// reported only one at a time.
#[test]
fn errors_name_section_key_and_remedy() {
    let text = KIGALI
        .replace("pool = booking", "pool = boking")
        .replace("min_available = 6", "min_avaliable = 6")
        .replace("region = kigali", "region = Kigali");
    let errors = Document::parse(&text).expect_err("three kinds of mistakes");
    insta::assert_snapshot!(errors);
}

/// Guards against accepting references to sections that do not exist.
#[test]
fn references_are_checked_with_a_suggestion() {
    let text = KIGALI
        .replace("pool = booking", "pool = boking")
        .replace("home = remera", "home = remara")
        .replace("role = admin", "role = member");
    let errors = Document::parse(&text).expect_err("three kinds of mistakes");
    insta::assert_snapshot!(errors);
}

/// Guards against accepting two edits that are valid alone and invalid together.
#[test]
fn budget_and_pool_are_checked_together() {
    let smaller_pool = KIGALI.replacen("minimum = 8", "minimum = 7", 1);
    let larger_budget = KIGALI.replacen("min_available = 6", "min_available = 7", 1);
    assert!(Document::parse(&smaller_pool).is_ok());
    assert!(Document::parse(&larger_budget).is_ok());
    let both = smaller_pool.replacen("min_available = 6", "min_available = 7", 1);
    assert!(Document::parse(&both).is_err());
}

/// Guards against an edit of one section that loses comments or other sections.
#[test]
fn section_edits_keep_the_rest_of_the_text() {
    let text = DocumentText::parse(KIGALI).expect("valid");
    let name: SectionName = "service booking".parse().expect("valid");
    let body = text.section(&name).expect("exists").to_owned();
    let edited = text.clone().with_section(name.clone(), Some(&format!("{body}\n# note")));
    assert_eq!(edited.sections().count(), text.sections().count());
    assert!(edited.section(&name).is_some_and(|body| body.ends_with("# note")));
    let reparsed = DocumentText::parse(&edited.to_text()).expect("valid");
    assert_eq!(reparsed, edited);
    assert_eq!(text.owner(&name).map(|team| team.to_string()).as_deref(), Some("bookings"));
}
