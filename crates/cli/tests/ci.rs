//! Checks that CI ignores failures of exactly the tests that KNOWN-RED.txt lists.

use std::path::PathBuf;
use std::process::Command;

const LOG: &str = "running 3 tests\ntest routing::a_list_is_whole ... ok\ntest routing::a_drain_is_obeyed ... FAILED\n\
    test src/lib.rs - Pace (line 3) ... ok\ntest result: FAILED. 2 passed; 1 failed\nerror: 1 target failed:\n";
const ENTRY: &str = "routing::a_drain_is_obeyed | the list comes late | issue 7\n";

/// Runs the check on a test run with this log, exit status and list; returns whether it passes, and its output.
fn check_run(log: &str, status: u32, known: Option<&str>) -> (bool, String) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = tempfile::tempdir().unwrap();
    let (log_file, known_file) = (folder.path().join("log"), folder.path().join("KNOWN-RED.txt"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(known) = known {
        std::fs::write(&known_file, known).unwrap();
    }
    let mut check = Command::new("bash");
    check.arg(root.join(".ci/known-red")).arg(&log_file).arg(status.to_string()).arg(&known_file);
    let result = check.output().unwrap();
    (result.status.success(), String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned())
}

#[test]
fn a_listed_failure_is_printed_and_ignored_by_its_exact_name() {
    let (passes, output) = check_run(LOG, 101, Some(ENTRY));
    assert!(passes && output.contains(&format!("KNOWN RED, passed over: {}", ENTRY.trim())), "{output}");
    for other in ["a_drain_is_obeyed", "routing::a_drain", "routing::a_drain_is_obeyed_twice"] {
        let (passes, output) = check_run(LOG, 101, Some(&ENTRY.replace("routing::a_drain_is_obeyed", other)));
        assert!(!passes, "{other}: {output}");
    }
}

#[test]
fn an_unlisted_failure_fails_the_run() {
    assert!(!check_run(LOG, 101, None).0);
    let two_failures = LOG.replace("a_list_is_whole ... ok", "a_list_is_whole ... FAILED");
    let (passes, output) = check_run(&two_failures, 101, Some(ENTRY));
    assert!(!passes && output.contains("FAILED: routing::a_list_is_whole"), "{output}");
    let all_passed = LOG.replace("FAILED", "ok");
    assert!(check_run(&all_passed, 0, None).0);
    assert!(!check_run(&all_passed, 101, None).0, "a run that was aborted without a failed test");
    assert!(!check_run(&format!("{LOG}error: could not compile `lab`\n"), 101, Some(ENTRY)).0);
    assert!(!check_run(&format!("{LOG}process didn't exit (signal: 11, SIGSEGV)\n"), 101, Some(ENTRY)).0);
}

#[test]
fn an_entry_needs_a_test_a_cause_and_an_issue_and_the_list_has_at_most_three() {
    let (passes, output) = check_run(LOG, 101, Some(&format!("{ENTRY}routing::gone | moved | issue 8\n")));
    assert!(!passes && output.contains("no test of this name ran: routing::gone"), "{output}");
    assert!(!check_run(LOG, 101, Some("routing::a_drain_is_obeyed\n")).0);
    assert!(!check_run(LOG, 101, Some("routing::a_drain_is_obeyed | late\n")).0);
    let (passes, output) = check_run(LOG, 101, Some(&ENTRY.repeat(4)));
    assert!(!passes && output.contains("three at most"), "{output}");
    let (passes, output) = check_run(&LOG.replace("FAILED", "ok"), 0, Some(ENTRY));
    assert!(passes && output.contains("take it off the list"), "{output}");
}
