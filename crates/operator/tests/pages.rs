//! Reads the examples on the operators' pages from the pages themselves: valid examples have no errors, and invalid ones
//! have the errors that the page shows.

use myrtlegauge_operator::read;

const MEMBERS: &str = include_str!("../../../docs/membership-operators.md");
const REPLICAS: &str = include_str!("../../../docs/replica-operators.md");
const DEPLOYED: &str = include_str!("../../../deploy/members-dispatcher.sexp");

/// The code blocks of a page in a language.
fn blocks<'a>(page: &'a str, language: &str) -> Vec<&'a str> {
    let fence = format!("```{language}\n");
    page.split(&fence).skip(1).filter_map(|block| block.split("\n```").next()).collect()
}

#[test]
fn the_examples_of_the_membership_page_have_no_errors() {
    let examples = blocks(MEMBERS, "sexp");
    assert!(!examples.is_empty());
    for text in examples.into_iter().chain([DEPLOYED]) {
        let file = read(text).expect("the example of the page has no errors");
        let peers = file.dispatcher.and_then(|dispatcher| dispatcher.peers).expect("the example has peers");
        assert_eq!((peers.fleet.as_str(), peers.peers.len(), peers.origin_sharers), ("stores", 2, 12));
    }
}

#[test]
fn the_examples_of_the_replicas_page_have_no_errors() {
    let examples = blocks(REPLICAS, "sexp");
    let files: Vec<_> =
        examples.iter().map(|text| read(text).expect("the example of the page has no errors")).collect();
    let replica = files.iter().find_map(|file| file.replica.as_ref()).expect("one example has a replica");
    assert_eq!(replica.peers.len(), 2);
    let dispatcher =
        files.iter().find_map(|file| file.dispatcher.as_ref()).expect("one example has a dispatcher");
    assert!(dispatcher.replicas.is_some());
}

#[test]
fn the_invalid_examples_of_the_pages_have_the_errors_shown() {
    for page in [MEMBERS, REPLICAS] {
        check_shown_errors(page);
    }
}

fn check_shown_errors(page: &str) {
    let examples = blocks(page, "fault");
    assert!(!examples.is_empty());
    for block in examples {
        let (text, shown_errors) = block.split_once("\n---\n").expect("the block has a file and its errors");
        let errors = read(text).expect_err("the example has errors");
        let messages: Vec<_> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(messages.join("\n"), shown_errors);
    }
}
