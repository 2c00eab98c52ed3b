//! How CI passes over the tests that KNOWN-RED.txt lists, and nothing else.

use std::path::PathBuf;
use std::process::Command;

const RUN: &str = "running 3 tests\ntest routing::a_list_is_whole ... ok\ntest routing::a_drain_is_obeyed ... FAILED\n\
    test src/lib.rs - Pace (line 3) ... ok\ntest result: FAILED. 2 passed; 1 failed\nerror: 1 target failed:\n";
const ENTRY: &str = "routing::a_drain_is_obeyed | the list comes late | issue 7\n";

/// Whether a run with this log, exit status and list passes, and what is said.
fn judged(log: &str, status: u32, known: Option<&str>) -> (bool, String) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = tempfile::tempdir().unwrap();
    let (log_file, known_file) = (folder.path().join("log"), folder.path().join("KNOWN-RED.txt"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(known) = known {
        std::fs::write(&known_file, known).unwrap();
    }
    let mut run = Command::new("bash");
    run.arg(root.join(".ci/known-red")).arg(&log_file).arg(status.to_string()).arg(&known_file);
    let out = run.output().unwrap();
    (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

#[test]
fn a_listed_failure_is_printed_and_passed_over_by_its_exact_name() {
    let (passes, said) = judged(RUN, 101, Some(ENTRY));
    assert!(passes && said.contains(&format!("KNOWN RED, passed over: {}", ENTRY.trim())), "{said}");
    for other in ["a_drain_is_obeyed", "routing::a_drain", "routing::a_drain_is_obeyed_twice"] {
        let (passes, said) = judged(RUN, 101, Some(&ENTRY.replace("routing::a_drain_is_obeyed", other)));
        assert!(!passes, "{other}: {said}");
    }
}

#[test]
fn any_other_failure_fails() {
    assert!(!judged(RUN, 101, None).0);
    let two = RUN.replace("a_list_is_whole ... ok", "a_list_is_whole ... FAILED");
    let (passes, said) = judged(&two, 101, Some(ENTRY));
    assert!(!passes && said.contains("FAILED: routing::a_list_is_whole"), "{said}");
    let green = RUN.replace("FAILED", "ok");
    assert!(judged(&green, 0, None).0);
    assert!(!judged(&green, 101, None).0, "it broke off with no failure by name");
    assert!(!judged(&format!("{RUN}error: could not compile `lab`\n"), 101, Some(ENTRY)).0);
    assert!(!judged(&format!("{RUN}process didn't exit (signal: 11, SIGSEGV)\n"), 101, Some(ENTRY)).0);
}

#[test]
fn an_entry_needs_its_test_its_cause_and_its_issue_and_there_are_three_at_most() {
    let (passes, said) = judged(RUN, 101, Some(&format!("{ENTRY}routing::gone | moved | issue 8\n")));
    assert!(!passes && said.contains("no test of this name ran: routing::gone"), "{said}");
    assert!(!judged(RUN, 101, Some("routing::a_drain_is_obeyed\n")).0);
    assert!(!judged(RUN, 101, Some("routing::a_drain_is_obeyed | late\n")).0);
    let (passes, said) = judged(RUN, 101, Some(&ENTRY.repeat(4)));
    assert!(!passes && said.contains("three at most"), "{said}");
    let (passes, said) = judged(&RUN.replace("FAILED", "ok"), 0, Some(ENTRY));
    assert!(passes && said.contains("take it off the list"), "{said}");
}
