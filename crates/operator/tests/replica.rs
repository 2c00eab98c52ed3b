//! Tests the settings of replicas, and of dispatchers that poll them.

use myrtlegauge_operator::file::{ReplicaClientSettings, ReplicaPeer, ReplicaSettings};
use myrtlegauge_operator::{form, read};
use std::time::Duration;

const REPLICA: &str = include_str!("../../../deploy/replica.sexp");
const DISPATCHER: &str = include_str!("../../../deploy/replicas-dispatcher.sexp");

fn errors(text: &str) -> Vec<String> {
    read(text).expect_err("the file has errors").iter().map(ToString::to_string).collect()
}

fn example() -> ReplicaSettings {
    read(REPLICA).expect("the example has no errors").replica.expect("the example has a replica")
}

#[test]
fn the_example_is_read_in_full_without_a_footprint() {
    let peer = |name: &str, address: &str| ReplicaPeer {
        name: name.to_owned(),
        address: address.parse().expect("an address"),
    };
    let expected = ReplicaSettings {
        name: "replica-1".to_owned(),
        listen: "127.0.0.1:18100".parse().expect("an address"),
        peers: vec![peer("replica-2", "127.0.0.1:18101"), peer("replica-3", "127.0.0.1:18102")],
        source: Some("127.0.0.1:4222".parse().expect("an address")),
        batch_interval: Duration::from_millis(100),
        member_lease: Duration::from_secs(10),
        purges_unknown_after: Duration::from_secs(3),
        purge_retention: Duration::from_secs(40),
        max_connections: 1000,
    };
    assert_eq!(example(), expected);
}

#[test]
fn omitted_fields_have_their_defaults() {
    let minimal = read("(replica (name \"a\") (listen \"127.0.0.1:0\"))").expect("no errors");
    let replica = minimal.replica.expect("a replica");
    let expected = ReplicaSettings {
        name: replica.name.clone(),
        listen: replica.listen,
        peers: vec![],
        source: None,
        ..example()
    };
    assert_eq!(replica, expected);
    let mut text = String::new();
    form::explain(&myrtlegauge_operator::file::FILE, 0, &mut text);
    for field in [
        "(batch ...)",
        "(member-lease ...)",
        "(purges-kept ...)",
        "(most-connections ...)",
        "(doubt-after ...)",
    ] {
        assert!(text.contains(field), "{field}: {text}");
    }
}

#[test]
fn all_errors_of_a_replica_have_their_positions() {
    let broken = REPLICA
        .replace("(name \"replica-2\")", "(name \"replica-1\")")
        .replace(
            "(name \"replica-3\") (address \"127.0.0.1:18102\")",
            "(name \"re plica\") (address \"127.0.0.1:18101\")",
        )
        .replace("(source \"127.0.0.1:4222\")", "(source \"127.0.0.1:18100\")")
        .replace("(batch 100ms)", "(batch 2s)")
        .replace("(member-lease 10s)", "(member-lease 1s)")
        .replace("(purges-kept 40s)", "(purges-kept 900ms)")
        .replace("(most-connections 1000)", "(most-connections 0)");
    assert_eq!(
        errors(&broken),
        [
            "8:4: peer is this replica itself: name the others alone",
            "9:4: duplicate peer: it is already on line 8, remove one",
            "9:10: name is not 1 to 64 letters, digits, '-', '_' and '.': it is sent in polls without escaping, choose another",
            "10:4: source is this replica itself: name the platform's change log",
            "11:4: batch is above 1s: pollers treat a replica without answers for that long as removed, lower it",
            "12:4: member-lease is not above doubt-after: a dispatcher that is no longer waited for could still serve copies, raise it",
            "14:4: purges-kept is not above member-lease: a dispatcher that is still a member could miss a purge, raise it",
            "15:4: most-connections is zero: no dispatcher could poll, raise it",
        ]
    );
}

#[test]
fn a_file_with_more_than_a_replica_needs_a_footprint() {
    let with_control = format!("{REPLICA}\n(control (name \"c\") (listen \"127.0.0.1:0\"))");
    assert_eq!(
        errors(&with_control),
        [
            "1:1: missing footprint in the file: add it (the locations and machines around this service)",
            "1:1: missing delivery-service in the file: add it (a kind of GET and its objectives)",
        ]
    );
}

#[test]
fn a_dispatcher_polls_a_primary_and_a_fallback() {
    let dispatcher = read(DISPATCHER).expect("the example has no errors").dispatcher.expect("a dispatcher");
    let replicas = ReplicaClientSettings {
        primary: "127.0.0.1:18100".parse().expect("an address"),
        fallback: "127.0.0.1:18101".parse().expect("an address"),
        purges_unknown_after: Duration::from_secs(3),
    };
    assert_eq!((dispatcher.replicas, dispatcher.change_log), (Some(replicas), replicas.primary));
}

#[test]
fn a_fallback_equal_to_the_primary_and_a_change_log_beside_replicas_are_errors() {
    let same = DISPATCHER.replace("(fallback \"127.0.0.1:18101\")", "(fallback \"127.0.0.1:18100\")");
    assert_eq!(errors(&same), ["10:6: fallback is the same replica as primary: name another one"]);
    let with_change_log = DISPATCHER.replace("(replicas", "(change-log \"127.0.0.1:1\")\n  (replicas");
    assert_eq!(
        errors(&with_change_log),
        ["9:4: replicas and change-log are both set: a dispatcher polls only one of them, remove the other"]
    );
    let short_doubt = DISPATCHER.replace("doubt-after 3s", "doubt-after 900ms");
    assert_eq!(
        errors(&short_doubt),
        [
            "11:6: doubt-after is below 1s: switching to the fallback takes that long and copies would not be accepted meanwhile, raise it"
        ]
    );
    let without_both = DISPATCHER.replace("(replicas", "(peers (listen \"127.0.0.1:1\") (fleet \"f\") (peer \"127.0.0.1:2\"))) (control (name \"c\") (listen \"127.0.0.1:0\")) (zones");
    assert!(
        errors(&without_both).contains(
            &"5:2: missing change-log in dispatcher: add it (the change log of hosts and purges)".to_owned()
        ),
        "{:?}",
        errors(&without_both)
    );
}
