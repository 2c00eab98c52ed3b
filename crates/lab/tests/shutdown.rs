//! The proof of ending in its small form, ten ends under load, and that it can fail.

mod common;

use common::run;

#[test]
fn ten_ends_under_load_lose_nothing() {
    let (code, told) = run("shutdown", &[]);
    assert_eq!(code, 0, "{told}");
}

#[test]
fn a_dispatcher_that_is_killed_loses_what_it_had_taken() {
    let (code, told) = run("shutdown", &["--without", "asking"]);
    assert!(code == 1 && told.contains("BROKEN"), "{told}");
}
