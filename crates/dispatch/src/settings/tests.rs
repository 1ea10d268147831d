//! Tests of the validation of settings.

use rstest::rstest;

use super::{DispatchSettings, ProcessMemory};

const VALID: &str = "[entry]\nname = a-1\ndata_centre = a\n[listen]\ncallers = 127.0.0.1:1\n\
    ready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\n\
    hosts = 127.0.0.1:5\nadvice =\n[limits]\nmaintenance_s = 1.5\n";

/// Guards against fractions of a second that are rounded to whole seconds.
#[test]
fn fractions_of_seconds_are_kept() {
    let settings = DispatchSettings::parse(VALID).expect("the text is valid");
    assert_eq!(settings.maintenance_ms, 1_500);
    assert_eq!(settings.advice, None);
}

/// Guards against a report of only the first of several errors.
#[test]
fn every_missing_key_is_reported() {
    let errors = DispatchSettings::parse("").expect_err("keys are missing").to_string();
    for key in ["name", "data_centre", "callers", "ready", "metrics", "store", "hosts"] {
        assert!(errors.contains(key), "{key} is not reported in {errors}");
    }
}

/// Guards against a misspelled section that is silently ignored.
#[test]
fn unknown_section_is_an_error() {
    let text = format!("{VALID}[limit]\n");
    let errors = DispatchSettings::parse(&text).expect_err("the section is unknown");
    assert!(errors.to_string().contains("[limit]"), "{errors}");
}

/// Guards against a process without memory for requests, and against a value
/// that is silently replaced.
#[rstest]
#[case::left_out("", Some(65 << 20))]
#[case::small("memory_mb = 64\n", Some(16 << 20))]
#[case::too_small("memory_mb = 0\n", None)]
#[case::fraction("memory_mb = 64.5\n", Some(129 << 17))]
#[case::not_a_number("memory_mb = NaN\n", None)]
#[case::empty("memory_mb =\n", Some(65 << 20))]
#[case::too_large("memory_mb = 1048577\n", None)]
fn memory_for_requests_follows_the_machine(#[case] line: &str, #[case] expected: Option<usize>) {
    let settings = DispatchSettings::parse(&format!("{VALID}{line}"));
    match (settings, expected) {
        (Ok(settings), expected) => {
            assert_eq!(Some(settings.request_memory.0), expected);
        }
        (Err(errors), None) => assert!(errors.to_string().contains("memory_mb"), "{errors}"),
        (Err(errors), Some(_)) => panic!("{errors}"),
    }
}

/// Guards against more connections than the machine's memory or descriptors
/// bear.
#[rstest]
#[case::platform("descriptors = 4100\nmemory_mb = 260\n", 2_050)]
#[case::little_memory("descriptors = 4100\nmemory_mb = 64\n", 512)]
#[case::few_descriptors("descriptors = 700\nmemory_mb = 64\n", 350)]
fn connections_follow_the_machine(#[case] lines: &str, #[case] expected: usize) {
    let settings = DispatchSettings::parse(&format!("{VALID}{lines}")).expect("valid settings");
    assert_eq!(settings.connections_max, expected);
}

/// Guards against a memory on the command line that is ignored, or that bounds only
/// one of what the memory bounds.
#[test]
fn memory_of_the_command_line_replaces_that_of_the_settings() {
    let text = format!("{VALID}descriptors = 4100\nmemory_mb = 512\n");
    let settings = DispatchSettings::parse(&text).expect("valid settings");
    let settings = settings.with_memory("64".parse().expect("a valid memory"));
    assert_eq!((settings.request_memory.0, settings.connections_max), (16 << 20, 512));
    assert!(["", "0", "15.9", "x"].iter().all(|text| text.parse::<ProcessMemory>().is_err()));
}
