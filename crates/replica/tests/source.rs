//! Conversion of the platform's change log into records.

use myrtlegauge_replica::source::{SourceAnswer, SourceError, SourceEvent, SourceList};
use myrtlegauge_replication::{HostLine, Purge, PurgeTarget, Record, Version};
use serde_json::{Value, json};

fn events(results: Value) -> Vec<SourceEvent> {
    serde_json::from_value::<SourceAnswer>(json!({"seq": 9, "results": results})).expect("an answer").results
}

fn records(list: &mut SourceList, results: Value) -> Vec<Record> {
    let mut all_records = Vec::new();
    for event in events(results) {
        let (records, errors) = list.apply(&event);
        assert_eq!(errors, []);
        all_records.extend(records);
    }
    all_records
}

fn host(name: &str, version: u64, endpoint: Value) -> Record {
    Record::HostLine(HostLine { name: name.to_owned(), version: Version(version), endpoint })
}

#[test]
fn purges_are_records_and_their_times_are_rounded_up() {
    let results = json!([
        {"seq": 1, "invalidate": {"object": "7f3a", "time": 1000.25}},
        {"seq": 2, "invalidate": {"bucket": 5, "time": 2000}},
        {"seq": 3, "nothing-known": {"a": 1}}
    ]);
    let purge = |target, unix_ms| Record::Purge(Purge { target, unix_ms });
    assert_eq!(
        records(&mut SourceList::default(), results),
        [purge(PurgeTarget::Object("7f3a".to_owned()), 1001), purge(PurgeTarget::Group(5), 2000)]
    );
}

#[test]
fn a_partial_host_entry_is_merged_into_the_known_entry() {
    let results = json!([
        {"seq": 1, "fleet": {"snapshot": true, "endpoints": [
            {"name": "c1", "address": "127.0.0.1:1", "status": "active", "weight": 4}]}},
        {"seq": 2, "fleet": {"endpoints": [{"name": "c1", "status": "leaving"}]}}
    ]);
    assert_eq!(
        records(&mut SourceList::default(), results),
        [
            host("c1", 1, json!({"name": "c1", "address": "127.0.0.1:1", "status": "active", "weight": 4})),
            host("c1", 2, json!({"name": "c1", "address": "127.0.0.1:1", "status": "leaving", "weight": 4})),
        ]
    );
}

#[test]
fn hosts_missing_from_a_full_list_are_recorded_as_left() {
    let entry = |name: &str| json!({"name": name, "status": "active"});
    let results = json!([
        {"seq": 1, "fleet": {"snapshot": true, "endpoints": [entry("c1"), entry("c2")]}},
        {"seq": 4, "fleet": {"snapshot": true, "endpoints": [entry("c2")]}}
    ]);
    assert_eq!(
        records(&mut SourceList::default(), results),
        [
            host("c1", 1, entry("c1")),
            host("c2", 1, entry("c2")),
            host("c1", 4, json!({"name": "c1", "status": "left"})),
            host("c2", 4, entry("c2")),
        ]
    );
}

#[test]
fn versions_after_a_restart_of_the_log_are_above_those_before() {
    let results =
        |seq: u64| json!([{"seq": seq, "fleet": {"endpoints": [{"name": "c1", "status": "active"}]}}]);
    let version = |records: &[Record]| records[0].version().expect("a host line has a version").0;
    let mut list = SourceList::default();
    assert_eq!(version(&records(&mut list, results(8))), 8);
    list.on_log_restart();
    assert_eq!(version(&records(&mut list, results(1))), 9);
}

#[test]
fn a_replica_that_starts_after_a_restart_of_the_log_continues_above_the_known_versions() {
    let mut list = SourceList::default();
    let event =
        events(json!([{"seq": 2, "fleet": {"endpoints": [{"name": "c1", "status": "active"}]}}])).remove(0);
    list.apply(&event);
    assert!(!list.rebase_if_restarted(Version(7), 9), "an old event of a log that has not restarted");
    assert!(list.rebase_if_restarted(Version(7), 6), "a log that ends below the known version has restarted");
    let (records, _) = list.apply(&event);
    assert_eq!(records, [host("c1", 9, json!({"name": "c1", "status": "active"}))]);
}

#[test]
fn unusable_parts_are_reported_and_the_rest_is_applied() {
    let event = |result: Value| events(json!([result])).remove(0);
    let apply = |result: Value| SourceList::default().apply(&event(result));
    assert_eq!(
        apply(json!({"seq": 1, "invalidate": {"time": 5}})),
        (vec![], vec![SourceError::MissingTarget(1)])
    );
    assert_eq!(
        apply(json!({"seq": 2, "invalidate": {"bucket": 1, "time": -5}})),
        (vec![], vec![SourceError::InvalidTime(2)])
    );
    let (records, errors) =
        apply(json!({"seq": 3, "fleet": {"endpoints": [{"status": "active"}, {"name": "c"}]}}));
    assert_eq!(
        (records, errors),
        (vec![host("c", 3, json!({"name": "c"}))], vec![SourceError::MissingName(3)])
    );
}
