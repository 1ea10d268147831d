//! Tests of settings validation.

use super::Settings;

const VALID: &str = include_str!("../../../../../examples/tamarackd.ini");

#[test]
fn example_is_accepted() {
    let settings = Settings::parse(VALID).expect("the example is valid");
    assert_eq!(settings.entry.as_str(), "nyarugenge-1");
    assert_eq!(settings.peers.len(), 1);
}

/// Guards against reporting only the first of several mistakes at start-up.
#[test]
fn every_missing_key_of_an_empty_text_is_reported() {
    let errors = Settings::parse("").expect_err("keys are missing");
    insta::assert_snapshot!(errors);
}

/// Guards against silently ignoring a mistyped key or value.
#[test]
fn unknown_keys_and_bad_values_are_reported_with_remedy() {
    let text =
        VALID.replace("data_centre =", "data_center =").replace("level = info", "level = loud");
    let errors = Settings::parse(&text).expect_err("two mistakes");
    insta::assert_snapshot!(errors);
}
