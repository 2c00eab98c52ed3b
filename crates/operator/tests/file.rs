//! Tests the reading of operator files with and without errors.

use myrtlegauge_operator::{form, read, tree};
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../deploy/control.sexp");

fn errors(text: &str) -> String {
    read(text).expect_err("the file has errors").iter().map(|error| format!("{error}\n")).collect()
}

#[test]
fn the_example_gives_the_settings_of_the_decision_module() {
    let file = read(EXAMPLE).expect("the example has no errors");
    assert_eq!(file.services, ["assembly-video", "product-photo", "delivery-confirm"]);
    assert_eq!(file.hosts.len(), 6);
    let settings: String =
        file.decision_settings.iter().map(|(name, value)| format!("{name}: {value}\n")).collect();
    insta::assert_snapshot!(settings);
    myrtlegauge::decide::Router::new(&file.decision_settings, 7)
        .map(drop)
        .expect("the decision module accepts the settings");
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let broken = EXAMPLE
        .replace("(listen \"127.0.0.1:18000\")", "(listn \"127.0.0.1:18000\")")
        .replace("(drain-grace 250ms)", "(drain-grace 250)")
        .replace("(warm-within 17s) (falls-at 2)", "(warm-within 17s) (falls-at 0)")
        .replace("(purged-within 6s))", "(purged-within 6s) (purged-within 7s))")
        .replace("(effect non-idempotent)", "(effect maybe)")
        .replace("\"cache-1\" (address", "\"cache-0\" (adress")
        .replace("(zone \"hub\") (kind origin)", "(zone \"attic\") (kind origin)");
    insta::assert_snapshot!(errors(&broken));
}

#[test]
fn parsing_continues_after_a_syntax_error() {
    let text = "(log (form json)))\n(control (name \"a)\n (listen \"127.0.0.1:1\")\n(cntrol)\n\u{7}\n loose";
    insta::assert_snapshot!(errors(text));
}

#[test]
fn non_loopback_addresses_and_graces_without_time_for_a_lease_are_rejected() {
    let text =
        EXAMPLE.replace("127.0.0.1:18000", "10.0.0.1:18000").replace("clock-error 10ms", "clock-error 70ms");
    insta::assert_snapshot!(errors(&text));
}

const ZONES_CONTROL: &str = include_str!("../../../deploy/zones-control.sexp");
const ZONES_DISPATCHER: &str = include_str!("../../../deploy/zones-dispatcher.sexp");

#[test]
fn zones_and_dispatchers_are_read_and_their_errors_have_positions() {
    let file = read(ZONES_CONTROL).expect("the example has no errors");
    let names: Vec<_> =
        file.zones.iter().map(|zone| (zone.name.as_str(), zone.index, zone.capacity_per_s)).collect();
    assert_eq!(names, [("edge-a", 1, 4000.0), ("edge-b", 2, 4000.0), ("edge-c", 3, 4000.0)]);
    assert!(file.control.is_some_and(|control| control.zones.is_some()) && file.dispatcher.is_none());
    let file = read(ZONES_DISPATCHER).expect("the example has no errors");
    assert!(
        file.control.is_none()
            && file.dispatcher.is_some_and(|dispatcher| dispatcher.control_services.len() == 1)
    );
    let broken = ZONES_CONTROL
        .replace("(quorum 60%)", "(quorum 50%)")
        .replace("(also \"edge-b\")", "(also \"edge-x\")")
        .replace("(bears 4000/s))\n  (zone \"edge-c\"", "(bears many))\n  (zone \"edge-c\"");
    let no_service =
        ZONES_DISPATCHER.replace("(dispatcher", "(dispatchr").replace("(sockets 1024)", "(sockets 7)");
    let low_limits =
        ZONES_DISPATCHER.replace("(sockets 1024)", "(sockets 7)").replace("(memory 192)", "(memory 8)");
    insta::assert_snapshot!([broken, no_service, low_limits].map(|text| errors(&text)).join("\n"));
}

#[test]
fn explain_lists_the_fields() {
    let mut text = String::new();
    form::explain(&myrtlegauge_operator::file::FILE, 0, &mut text);
    assert!(
        text.contains("(drain-grace ...)  a time with its unit, as in 250ms, 1.5s, 2m or 1h [else 250ms]"),
        "{text}"
    );
}

#[test]
fn deeply_nested_lists_do_not_overflow_the_stack() {
    let (_, errors) = tree::read(&"(".repeat(100_000));
    assert!(errors.iter().any(|error| error.message.contains("more than 64")));
}

proptest! {
    #[test]
    fn any_text_is_parsed_to_its_end(text in "[()\"; \\\\a-z0-9\n\u{e9}]{0,200}") {
        let (trees, errors) = tree::read(&text);
        let _ = read(&text);
        // Nothing is dropped silently: the tree of a text without errors has one list per opening parenthesis. Texts and
        // comments, which may contain parentheses, are left out.
        if errors.is_empty() && !text.contains(['"', ';']) {
            fn count_lists(trees: &[tree::Tree]) -> usize {
                trees.iter().map(|tree| if let tree::Node::List(items) = &tree.node { 1 + count_lists(items) } else { 0 }).sum()
            }
            prop_assert_eq!(count_lists(&trees), text.matches('(').count());
        }
    }
}
