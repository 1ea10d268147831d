//! Tests of the log lines about runs.

use super::*;

/// Guards against a line for each start and end, of which a surge has thousands
/// in a second, and against one that is left out of the shared line.
#[test]
fn starts_and_ends_of_a_round_share_a_line() {
    let mut trail = Trail::default();
    for index in 0..50 {
        trail.add_starts(format_args!("job{index}"));
        trail.add_ends(format_args!("end{index}"));
    }
    assert!(!trail.is_full());
    let (starts, ends) = trail.take();
    for index in 0..50 {
        assert!(starts.split("; ").any(|start| start == format!("job{index}")), "{starts}");
        assert!(ends.split("; ").any(|end| end == format!("end{index}")), "{ends}");
    }
    assert_eq!(trail.take(), (String::new(), String::new()));
}

/// Guards against lines that do not fit into one atomic write to a pipe.
#[test]
fn long_lines_are_written_before_the_round_is_over() {
    let mut trail = Trail::default();
    while !trail.is_full() {
        trail.add_ends(format_args!("{:0100}", 0));
    }
    let (_, ends) = trail.take();
    assert!(ends.len() < LINE_MAX_BYTES + 200);
}
