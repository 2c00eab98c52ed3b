//! The proof of the client library in its small form, and that it can fail.

mod common;

use common::run;

#[test]
fn all_promises_hold() {
    let (code, told) = run("client", &[]);
    assert_eq!(code, 0, "{told}");
}

#[test]
fn asking_again_what_may_have_run_makes_it_happen_twice() {
    let (code, told) = run("client", &["--without", "effects"]);
    assert!(code == 1 && told.contains("ran 2 times"), "{told}");
}

#[test]
fn asking_at_once_after_a_refusal_is_seen() {
    let (code, told) = run("client", &["--without", "pauses"]);
    assert!(code == 1 && told.contains("after a refusal that said"), "{told}");
}
