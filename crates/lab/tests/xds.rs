//! The proof of the control service in its small form, and that it can fail.

use std::process::Command;

/// Runs the proof; a run that the machine was too busy to judge is taken again.
fn run(without: Option<&str>) -> (i32, String) {
    for _ in 0..3 {
        let mut proof = Command::new(env!("CARGO_BIN_EXE_myrtlegauge-lab"));
        proof.args(["xds", "--quick", "--seed", "1"]);
        if let Some(without) = without {
            proof.args(["--without", without]);
        }
        let out = proof.output().expect("the proof starts");
        let code = out.status.code().unwrap_or(-1);
        if code != 3 {
            return (code, String::from_utf8_lossy(&out.stdout).into_owned());
        }
    }
    panic!("this machine is too busy to judge the proof");
}

#[test]
fn all_promises_hold() {
    let (code, told) = run(None);
    assert_eq!(code, 0, "{told}");
}

#[test]
fn without_leases_a_cut_off_proxy_uses_a_draining_host() {
    let (code, told) = run(Some("lease"));
    assert!(code == 1 && told.contains("after its drain was told"), "{told}");
}

#[test]
fn without_an_oldest_age_copies_from_before_a_purge_are_returned() {
    let (code, told) = run(Some("purges"));
    assert!(code == 1 && told.contains("returned from before a purge"), "{told}");
}

#[test]
fn without_the_rule_on_effects_they_happen_twice() {
    let (code, told) = run(Some("effects"));
    assert!(code == 1 && told.contains("ran 2 times"), "{told}");
}
