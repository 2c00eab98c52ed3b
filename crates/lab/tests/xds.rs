//! The proof of the control service in its small form, and that it can fail.

mod common;

use common::run;

#[test]
fn the_control_services_promises_hold() {
    let (code, told) = run("xds", &[]);
    assert_eq!(code, 0, "{told}");
}

#[test]
fn without_leases_a_cut_off_proxy_uses_a_draining_host() {
    let (code, told) = run("xds", &["--without", "lease"]);
    assert!(code == 1 && told.contains("after its drain was told"), "{told}");
}

#[test]
fn without_an_oldest_age_copies_from_before_a_purge_are_returned() {
    let (code, told) = run("xds", &["--without", "purges"]);
    assert!(code == 1 && told.contains("returned from before a purge"), "{told}");
}

#[test]
fn without_the_rule_on_effects_they_happen_twice() {
    let (code, told) = run("xds", &["--without", "effects"]);
    assert!(code == 1 && told.contains("ran 2 times"), "{told}");
}
