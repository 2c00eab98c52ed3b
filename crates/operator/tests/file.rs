//! Operator files, whole and broken.

use myrtlegauge_operator::{form, read, tree};
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../deploy/control.sexp");

fn faults(text: &str) -> String {
    read(text).expect_err("it has faults").iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn the_example_says_what_the_module_reads() {
    let file = read(EXAMPLE).expect("the example has no fault");
    assert_eq!(file.services, ["assembly-video", "product-photo", "delivery-confirm"]);
    assert_eq!(file.hosts.len(), 6);
    let facts: String = file.facts.iter().map(|(name, value)| format!("{name}: {value}\n")).collect();
    insta::assert_snapshot!(facts);
    myrtlegauge::decide::Router::new(&file.facts, 7).map(drop).expect("the module takes them");
}

#[test]
fn every_fault_is_told_with_its_place_not_only_the_first() {
    let broken = EXAMPLE
        .replace("(listen \"127.0.0.1:18000\")", "(listn \"127.0.0.1:18000\")")
        .replace("(drain-grace 250ms)", "(drain-grace 250)")
        .replace("(warm-within 17s) (falls-at 2)", "(warm-within 17s) (falls-at 0)")
        .replace("(purged-within 6s))", "(purged-within 6s) (purged-within 7s))")
        .replace("(effect non-idempotent)", "(effect maybe)")
        .replace("\"cache-1\" (address", "\"cache-0\" (adress")
        .replace("(zone \"hub\") (kind origin)", "(zone \"attic\") (kind origin)");
    insta::assert_snapshot!(faults(&broken));
}

#[test]
fn what_is_not_even_well_formed_is_read_on_behind_the_fault() {
    let text = "(log (form json)))\n(control (name \"a)\n (listen \"127.0.0.1:1\")\n(cntrol)\n\u{7}\n loose";
    insta::assert_snapshot!(faults(text));
}

#[test]
fn addresses_beyond_loopback_and_leases_that_can_not_fit_are_refused() {
    let text =
        EXAMPLE.replace("127.0.0.1:18000", "10.0.0.1:18000").replace("clock-error 10ms", "clock-error 70ms");
    insta::assert_snapshot!(faults(&text));
}

const ZONES: &str = include_str!("../../../deploy/zones-control.sexp");
const FOLLOWS: &str = include_str!("../../../deploy/zones-dispatcher.sexp");

#[test]
fn zones_and_dispatchers_are_told_whole_and_their_faults_by_place() {
    let file = read(ZONES).expect("the example has no fault");
    let names: Vec<_> = file.zones.iter().map(|zone| (zone.name.as_str(), zone.number, zone.bears)).collect();
    assert_eq!(names, [("edge-a", 1, 4000.0), ("edge-b", 2, 4000.0), ("edge-c", 3, 4000.0)]);
    assert!(file.control.is_some_and(|control| control.zones.is_some()) && file.dispatcher.is_none());
    let file = read(FOLLOWS).expect("the example has no fault");
    assert!(file.control.is_none() && file.dispatcher.is_some_and(|told| told.follow.len() == 1));
    let broken = ZONES
        .replace("(quorum 60%)", "(quorum 50%)")
        .replace("(also \"edge-b\")", "(also \"edge-x\")")
        .replace("(bears 4000/s))\n  (zone \"edge-c\"", "(bears many))\n  (zone \"edge-c\"");
    let neither = FOLLOWS.replace("(dispatcher", "(dispatchr").replace("(sockets 1024)", "(sockets 7)");
    let little = FOLLOWS.replace("(sockets 1024)", "(sockets 7)").replace("(memory 192)", "(memory 8)");
    insta::assert_snapshot!([broken, neither, little].map(|text| faults(&text)).join("\n"));
}

#[test]
fn all_that_may_be_said_is_explained() {
    let mut text = String::new();
    form::explain(&myrtlegauge_operator::file::FILE, 0, &mut text);
    assert!(
        text.contains("(drain-grace ...)  a time with its unit, as 250ms, 1.5s, 2m or 1h [else 250ms]"),
        "{text}"
    );
}

#[test]
fn lists_in_lists_do_not_use_up_the_stack() {
    let (_, faults) = tree::read(&"(".repeat(100_000));
    assert!(faults.iter().any(|fault| fault.what.contains("more than 64")));
}

proptest! {
    #[test]
    fn any_text_is_read_to_its_end(text in "[()\"; \\\\a-z0-9\n\u{e9}]{0,200}") {
        let (trees, faults) = tree::read(&text);
        let _ = read(&text);
        // Nothing is lost without a word: text without a fault has as many lists as it has openings outside texts.
        if faults.is_empty() && !text.contains(['"', ';']) {
            fn lists(trees: &[tree::Tree]) -> usize {
                trees.iter().map(|t| if let tree::Node::List(of) = &t.node { 1 + lists(of) } else { 0 }).sum()
            }
            prop_assert_eq!(lists(&trees), text.matches('(').count());
        }
    }
}
