//! Runs a proof in its small form.

use std::process::Command;

/// How a proof ended, and what it told; a run that the machine was too busy to judge is taken again.
pub fn run(proof: &str, arguments: &[&str]) -> (i32, String) {
    for _ in 0..3 {
        let mut run = Command::new(env!("CARGO_BIN_EXE_myrtlegauge-lab"));
        let out = run.args([proof, "--quick", "--seed", "1"]).args(arguments).output();
        let out = out.expect("the proof starts");
        let code = out.status.code().unwrap_or(-1);
        if code != 3 {
            return (code, String::from_utf8_lossy(&out.stdout).into_owned());
        }
    }
    panic!("this machine is too busy to judge the proof");
}

/// The proof holds in each of these cases.
#[allow(dead_code)]
pub fn holds(proof: &str, cases: &[&str]) {
    for case in cases {
        let (code, told) = run(proof, &["--case", case]);
        assert_eq!(code, 0, "{told}");
    }
}
