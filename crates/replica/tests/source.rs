//! The platform's change log as records.

use myrtlegauge_replica::source::{SourceAnswer, SourceError, SourceEvent, SourceList};
use myrtlegauge_replication::{HostLine, Purge, PurgeTarget, Record, Version};
use serde_json::{Value, json};

fn events(told: Value) -> Vec<SourceEvent> {
    serde_json::from_value::<SourceAnswer>(json!({"seq": 9, "results": told})).expect("an answer").results
}

fn records(list: &mut SourceList, told: Value) -> Vec<Record> {
    let mut all = Vec::new();
    for event in events(told) {
        let (records, errors) = list.apply(&event);
        assert_eq!(errors, []);
        all.extend(records);
    }
    all
}

fn host(name: &str, version: u64, endpoint: Value) -> Record {
    Record::HostLine(HostLine { name: name.to_owned(), version: Version(version), endpoint })
}

#[test]
fn purges_are_records_and_their_times_are_rounded_up() {
    let told = json!([
        {"seq": 1, "invalidate": {"object": "7f3a", "time": 1000.25}},
        {"seq": 2, "invalidate": {"bucket": 5, "time": 2000}},
        {"seq": 3, "nothing-known": {"a": 1}}
    ]);
    let purge = |target, unix_ms| Record::Purge(Purge { target, unix_ms });
    assert_eq!(
        records(&mut SourceList::default(), told),
        [purge(PurgeTarget::Object("7f3a".to_owned()), 1001), purge(PurgeTarget::Group(5), 2000)]
    );
}

#[test]
fn a_line_is_laid_over_what_is_known() {
    let told = json!([
        {"seq": 1, "fleet": {"snapshot": true, "endpoints": [
            {"name": "c1", "address": "127.0.0.1:1", "status": "active", "weight": 4}]}},
        {"seq": 2, "fleet": {"endpoints": [{"name": "c1", "status": "leaving"}]}}
    ]);
    assert_eq!(
        records(&mut SourceList::default(), told),
        [
            host("c1", 1, json!({"name": "c1", "address": "127.0.0.1:1", "status": "active", "weight": 4})),
            host("c1", 2, json!({"name": "c1", "address": "127.0.0.1:1", "status": "leaving", "weight": 4})),
        ]
    );
}

#[test]
fn whom_a_whole_list_leaves_out_has_left() {
    let line = |name: &str| json!({"name": name, "status": "active"});
    let told = json!([
        {"seq": 1, "fleet": {"snapshot": true, "endpoints": [line("c1"), line("c2")]}},
        {"seq": 4, "fleet": {"snapshot": true, "endpoints": [line("c2")]}}
    ]);
    assert_eq!(
        records(&mut SourceList::default(), told),
        [
            host("c1", 1, line("c1")),
            host("c2", 1, line("c2")),
            host("c1", 4, json!({"name": "c1", "status": "left"})),
            host("c2", 4, line("c2")),
        ]
    );
}

#[test]
fn lines_of_a_log_that_began_anew_are_over_those_before() {
    let told =
        |number: u64| json!([{"seq": number, "fleet": {"endpoints": [{"name": "c1", "status": "active"}]}}]);
    let version = |records: &[Record]| records[0].version().expect("a host line has a version").0;
    let mut list = SourceList::default();
    assert_eq!(version(&records(&mut list, told(8))), 8);
    list.on_log_restart();
    assert_eq!(version(&records(&mut list, told(1))), 9);
}

#[test]
fn a_replica_that_starts_behind_a_log_that_began_anew_catches_up_with_its_versions() {
    let mut list = SourceList::default();
    let event =
        events(json!([{"seq": 2, "fleet": {"endpoints": [{"name": "c1", "status": "active"}]}}])).remove(0);
    list.apply(&event);
    assert!(!list.rebase_if_restarted(Version(7), 9), "an old event of a log that goes further");
    assert!(list.rebase_if_restarted(Version(7), 6), "a log that is shorter than what replicas know");
    let (records, _) = list.apply(&event);
    assert_eq!(records, [host("c1", 9, json!({"name": "c1", "status": "active"}))]);
}

#[test]
fn what_is_unusable_is_told_and_the_rest_is_taken() {
    let event = |told: Value| events(json!([told])).remove(0);
    let take = |told: Value| SourceList::default().apply(&event(told));
    assert_eq!(
        take(json!({"seq": 1, "invalidate": {"time": 5}})),
        (vec![], vec![SourceError::MissingTarget(1)])
    );
    assert_eq!(
        take(json!({"seq": 2, "invalidate": {"bucket": 1, "time": -5}})),
        (vec![], vec![SourceError::InvalidTime(2)])
    );
    let (records, errors) =
        take(json!({"seq": 3, "fleet": {"endpoints": [{"status": "active"}, {"name": "c"}]}}));
    assert_eq!(
        (records, errors),
        (vec![host("c", 3, json!({"name": "c"}))], vec![SourceError::MissingName(3)])
    );
}
