//! Tests of single rules and of invalid inputs.

use crate::simulation::{Node, Simulation, SimulationSettings, ms, replica_name};
use myrtlegauge_replication::compacted_log::{Audience, CompactedLog, MergeResult, SliceLimits};
use myrtlegauge_replication::*;
use serde_json::json;
use std::time::Duration;

const START_MS: u64 = 1_700_000_000_000;

fn purge(group: u64, unix_ms: u64) -> Record {
    Record::Purge(Purge { target: PurgeTarget::Group(group), unix_ms })
}

fn configuration(version: u64, body: u64) -> Record {
    let name = "limits".to_owned();
    Record::Configuration(Configuration { name, version: Version(version), body: body.into() })
}

fn host(version: u64, status: &str) -> Record {
    let endpoint = json!({"name": "c1", "address": "10.0.0.1:80", "status": status});
    Record::HostLine(HostLine { name: "c1".to_owned(), version: Version(version), endpoint })
}

fn member(attachment: u64, state: MemberState) -> Record {
    let (incarnation, attachment) = (Incarnation(1), Attachment(attachment));
    Record::Member(Member { name: "d1".into(), incarnation, attachment, state })
}

fn attached_at(replica: &str) -> MemberState {
    MemberState::AttachedAt(replica.into())
}

fn replica_config(peers: &[&str]) -> ReplicaConfig {
    let peers = peers.iter().map(|name| (*name).into()).collect();
    ReplicaConfig::new("north".into(), peers, Incarnation(START_MS))
}

/// A replica without peers, after its start-up hold.
fn single_replica() -> (Replica, Duration) {
    let mut replica = Replica::new(replica_config(&[]), Duration::ZERO).expect("a valid configuration");
    let now = ms(6000);
    replica.tick(now);
    assert_eq!(replica.standing(), ReplicaStanding::Established);
    (replica, now)
}

fn dispatcher(attachment: u64) -> Poller {
    let (name, incarnation) = ("d1".into(), Incarnation(1));
    Poller::Dispatcher { name, incarnation, attachment: Attachment(attachment), leaving: false }
}

fn poll(poller: Poller, log: Option<&LogId>, seq: u64) -> PollRequest {
    let (since, acknowledged) = (Sequence(seq), Sequence(seq));
    PollRequest { log: log.cloned(), since, acknowledged, timeout: ms(1000), poller }
}

/// The answer to a poll, which comes by the timeout of the poll.
fn answer(replica: &mut Replica, request: PollRequest, now: Duration) -> PollAnswer {
    let _ = replica.poll(PollId(1), request, now);
    let (_, answer) = replica.next_answer(now + ms(1000)).expect("it is answered by its timeout");
    answer
}

fn at_most(records: usize) -> SliceLimits {
    SliceLimits { records, bytes: usize::MAX }
}

fn subscriber_config() -> SubscriberConfig {
    SubscriberConfig::new("d1".into(), Incarnation(START_MS), "north".into(), Some("south".into()))
}

/// An empty answer that reports the attachment as complete.
fn attached_answer(replica: &str, seq: u64) -> PollAnswer {
    let json = format!(r#"{{"log":"{replica}-1","seq":{seq},"attached":true,"results":[]}}"#);
    PollAnswer::from_json(&json).expect("a valid answer")
}

fn without_faults(replicas: usize, dispatchers: usize) -> Simulation {
    let settings = SimulationSettings::new(1, replicas, dispatchers);
    Simulation::new(SimulationSettings { fault_interval: None, publish_interval: ms(1_000_000), ..settings })
}

fn run_for_ms(simulation: &mut Simulation, duration_ms: u64) {
    simulation.run_until(simulation.now + ms(duration_ms));
}

fn publish(simulation: &mut Simulation, replica: usize, group: u64) -> RecordName {
    let record = purge(group, simulation.unix_ms());
    let name = record.name();
    assert!(simulation.publish_at(replica, record));
    name
}

fn outstanding(verdict: Verdict) -> Outstanding {
    match verdict {
        Verdict::Outstanding(outstanding) => outstanding,
        other => panic!("expected an outstanding record, got {other:?}"),
    }
}

fn in_force(simulation: &mut Simulation, replica: usize, name: &RecordName) -> bool {
    matches!(simulation.verdict(replica, name), Verdict::InForce { .. })
}

// Records and the log.

#[test]
fn events_have_the_json_of_the_change_log() {
    let cases = [
        (purge(17, 5), json!({"seq": 1, "invalidate": {"bucket": 17, "time": 5}})),
        (
            Record::Purge(Purge { target: PurgeTarget::Object("7f3a".into()), unix_ms: 5 }),
            json!({"seq": 1, "invalidate": {"object": "7f3a", "time": 5}}),
        ),
        (
            host(3, "up"),
            json!({"seq": 1, "fleet": {"snapshot": false, "version": 3,
                "endpoints": [{"name": "c1", "address": "10.0.0.1:80", "status": "up"}]}}),
        ),
        (
            configuration(2, 9),
            json!({"seq": 1, "configuration": {"name": "limits", "version": 2, "body": 9}}),
        ),
        (
            member(4, attached_at("north")),
            json!({"seq": 1, "member": {"name": "d1", "incarnation": 1, "attachment": 4,
                "state": {"attached_at": "north"}}}),
        ),
    ];
    for (record, json_form) in cases {
        let event = Event { seq: Sequence(1), record };
        assert_eq!(serde_json::to_value(&event).expect("it is serialized"), json_form);
        assert_eq!(serde_json::from_value::<Event>(json_form).expect("it is parsed"), event);
    }
}

#[test]
fn host_lines_with_two_endpoints_or_a_snapshot_are_rejected() {
    for json_form in [
        json!({"seq": 1, "fleet": {"snapshot": false, "endpoints": [{"name": "a"}, {"name": "b"}]}}),
        json!({"seq": 1, "fleet": {"snapshot": true, "endpoints": [{"name": "a"}]}}),
        json!({"seq": 1, "fleet": {"snapshot": false, "endpoints": [{"address": "a"}]}}),
    ] {
        assert!(serde_json::from_value::<Event>(json_form.clone()).is_err(), "{json_form}");
    }
}

#[test]
fn the_record_of_greater_precedence_is_kept_in_either_order() {
    let pairs = [
        (purge(1, 5), purge(1, 6)),
        (host(1, "up"), host(2, "down")),
        (configuration(1, 9), configuration(2, 1)),
        (configuration(1, 1), configuration(1, 2)),
        (member(1, attached_at("north")), member(2, attached_at("east"))),
        (member(1, attached_at("north")), member(1, MemberState::Left(5))),
    ];
    for (lesser, greater) in pairs {
        for order in [[&lesser, &greater], [&greater, &lesser]] {
            let mut log = CompactedLog::default();
            order.into_iter().for_each(|record| _ = log.merge(record.clone(), Duration::ZERO));
            assert_eq!(log.get(&lesser.name()).expect("it is known").record, greater);
            assert_eq!(log.events_after(Sequence(0), at_most(10), Audience::Replicas).events.len(), 1);
        }
    }
}

#[test]
fn a_record_that_changes_nothing_gets_no_sequence_number() {
    let mut log = CompactedLog::default();
    assert_eq!(log.merge(purge(1, 5), Duration::ZERO), MergeResult::Changed(Sequence(1)));
    assert_eq!(log.merge(purge(1, 5), Duration::ZERO), MergeResult::Known(Sequence(1)));
    assert_eq!(log.merge(purge(1, 4), Duration::ZERO), MergeResult::Known(Sequence(1)));
    assert_eq!(log.last_seq(), Sequence(1));
}

#[test]
fn a_slice_of_the_log_indicates_that_there_is_more() {
    let mut log = CompactedLog::default();
    (1..=5).for_each(|group| _ = log.merge(purge(group, 5), Duration::ZERO));
    log.merge(purge(2, 6), Duration::ZERO);
    let first = log.events_after(Sequence(0), at_most(3), Audience::Dispatchers);
    let seqs: Vec<u64> = first.events.iter().map(|event| event.seq.0).collect();
    assert_eq!((seqs, first.seq, first.more), (vec![1, 3, 4], Sequence(4), true));
    let rest = log.events_after(first.seq, at_most(3), Audience::Dispatchers);
    let seqs: Vec<u64> = rest.events.iter().map(|event| event.seq.0).collect();
    assert_eq!((seqs, rest.seq, rest.more), (vec![5, 6], Sequence(6), false));
}

#[test]
fn member_records_are_sent_to_replicas_only() {
    let mut log = CompactedLog::default();
    log.merge(purge(1, 5), Duration::ZERO);
    log.merge(member(1, attached_at("north")), Duration::ZERO);
    let dispatchers = log.events_after(Sequence(0), at_most(9), Audience::Dispatchers);
    assert_eq!((dispatchers.events.len(), dispatchers.seq), (1, Sequence(2)));
    assert_eq!(log.events_after(Sequence(0), at_most(9), Audience::Replicas).events.len(), 2);
    assert_eq!(log.last_data_seq(), Sequence(1));
}

#[test]
fn purges_older_than_the_retention_are_dropped() {
    let mut config = replica_config(&[]);
    config.purge_retention = ms(10_000);
    let mut replica = Replica::new(config, Duration::ZERO).expect("a valid configuration");
    replica.tick(ms(6000));
    replica.publish(purge(1, START_MS), ms(6000)).expect("it is accepted");
    replica.tick(ms(9000));
    assert!(matches!(replica.in_force(&RecordName::Group(1), ms(9000)), Verdict::InForce { .. }));
    replica.tick(ms(10_001));
    assert_eq!(replica.in_force(&RecordName::Group(1), ms(10_001)), Verdict::Unknown);
    assert_eq!(replica.counters().dropped, 1);
}

#[test]
fn members_that_left_are_dropped_after_the_retention() {
    let mut config = replica_config(&[]);
    config.left_member_retention = ms(20_000);
    let mut replica = Replica::new(config, Duration::ZERO).expect("a valid configuration");
    answer(&mut replica, poll(dispatcher(1), None, 0), ms(6000));
    replica.tick(ms(16_000));
    assert_eq!(replica.members()[0].replica, None);
    replica.tick(ms(36_001));
    assert_eq!(replica.members(), []);
}

// Publishing.

#[test]
fn invalid_publications_are_rejected_and_change_nothing() {
    let (mut replica, now) = single_replica();
    replica.publish(configuration(5, 1), now).expect("it is accepted");
    replica.publish(host(5, "up"), now).expect("it is accepted");
    let last = replica.log().last_seq();
    let now_unix_ms = START_MS + 6000;
    let kind = "configuration";
    let name = "limits".to_owned();
    let rejected = [
        (
            configuration(4, 1),
            PublishError::Older { kind, name: name.clone(), version: Version(4), known: Version(5) },
        ),
        (configuration(5, 2), RecordError::Conflict { kind, name, version: Version(5) }.into()),
        (
            host(5, "down"),
            RecordError::Conflict { kind: "host", name: "c1".into(), version: Version(5) }.into(),
        ),
        (
            purge(1, now_unix_ms - 86_400_001),
            PublishError::PurgeTooOld { unix_ms: now_unix_ms - 86_400_001, oldest: now_unix_ms - 86_400_000 },
        ),
        (
            purge(1, now_unix_ms + 10_001),
            PublishError::PurgeAhead { unix_ms: now_unix_ms + 10_001, ahead_ms: 10_001 },
        ),
        (member(1, attached_at("north")), PublishError::Member("d1".into())),
        (
            Record::Purge(Purge { target: PurgeTarget::Object(String::new()), unix_ms: now_unix_ms }),
            PublishError::Name { length: 0, max: 255 },
        ),
        (
            Record::Purge(Purge { target: PurgeTarget::Object("a".repeat(256)), unix_ms: now_unix_ms }),
            PublishError::Name { length: 256, max: 255 },
        ),
    ];
    for (record, error) in rejected {
        assert_eq!(replica.publish(record, now), Err(error));
    }
    assert_eq!(replica.log().last_seq(), last);
    assert_eq!(replica.counters().refused, 8);
}

#[test]
fn a_repeated_record_and_an_older_purge_keep_the_sequence_number() {
    let (mut replica, now) = single_replica();
    let seq = replica.publish(configuration(5, 1), now);
    assert_eq!(replica.publish(configuration(5, 1), now), seq);
    let seq = replica.publish(purge(1, START_MS + 100), now);
    assert_eq!(replica.publish(purge(1, START_MS + 99), now), seq);
}

#[test]
fn the_number_of_records_is_limited() {
    let mut config = replica_config(&[]);
    config.max_records = 1;
    let mut replica = Replica::new(config, Duration::ZERO).expect("a valid configuration");
    replica.publish(purge(1, START_MS), Duration::ZERO).expect("it is accepted");
    replica.publish(purge(1, START_MS + 1), Duration::ZERO).expect("a known name does not count twice");
    assert_eq!(replica.publish(purge(2, START_MS), Duration::ZERO), Err(PublishError::Full { max: 1 }));
}

#[test]
fn the_verdict_on_an_unknown_name_is_unknown() {
    let (mut replica, now) = single_replica();
    assert_eq!(replica.in_force(&RecordName::Group(1), now), Verdict::Unknown);
}

// Polls.

#[test]
fn errors_of_invalid_queries_name_the_field() {
    let rejected = [
        ("since=x", "since"),
        ("timeout=-1", "timeout"),
        ("whole=1.5", "whole"),
        ("role=king", "role"),
        ("role=dispatcher&name=d&incarnation=x&attachment=1", "incarnation"),
        ("role=dispatcher&name=d%zz&incarnation=1&attachment=1", "value"),
        ("role=dispatcher&name=%ff&incarnation=1&attachment=1", "value"),
    ];
    for (query, field) in rejected {
        match PollRequest::from_query(query) {
            Err(PollError::InvalidField { field: reported, .. }) => assert_eq!(reported, field),
            other => panic!("{query}: {other:?}"),
        }
    }
    let missing = [
        ("role=dispatcher", "name"),
        ("role=dispatcher&name=", "name"),
        ("role=dispatcher&name=d", "incarnation"),
        ("role=dispatcher&name=d&incarnation=1", "attachment"),
        ("role=replica&name=r", "own_log"),
    ];
    for (query, field) in missing {
        assert_eq!(PollRequest::from_query(query), Err(PollError::MissingField(field)));
    }
    let long = format!("role=replica&own_log=a&name={}", "a".repeat(256));
    assert!(matches!(PollRequest::from_query(&long), Err(PollError::InvalidField { field: "name", .. })));
}

#[test]
fn unreadable_answers_are_rejected() {
    for body in
        ["", "{}", r#"{"log":"a","seq":-1,"results":[]}"#, r#"{"log":"a","seq":1,"results":[{"seq":1}]}"#]
    {
        assert!(matches!(PollAnswer::from_json(body), Err(AnswerError::Unreadable(_))), "{body}");
    }
}

#[test]
fn a_poll_of_another_log_is_answered_from_the_start() {
    let (mut replica, now) = single_replica();
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    let other = LogId::from("another");
    let answer = answer(&mut replica, poll(dispatcher(1), Some(&other), 7), now);
    assert_eq!((answer.results.len(), answer.seq), (1, Sequence(2)));
    assert_eq!(replica.members()[0].acknowledged, Some(Sequence(0)));
}

#[test]
fn a_poll_ahead_of_the_log_is_reported_and_answered_from_the_start() {
    let (mut replica, now) = single_replica();
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    let log = answer(&mut replica, poll(dispatcher(1), None, 0), now).log;
    let (since, last) = (Sequence(9), Sequence(2));
    let ahead = replica.poll(PollId(2), poll(dispatcher(1), Some(&log), 9), now + ms(1000));
    assert_eq!(ahead, Err(PollError::AheadOfLog { log, since, last }));
    let (_, answer) = replica.next_answer(now + ms(1100)).expect("it is answered");
    assert_eq!(answer.results.len(), 1);
    assert_eq!(replica.members()[0].acknowledged, Some(Sequence(0)));
}

#[test]
fn a_poll_under_a_superseded_attachment_is_answered_as_superseded() {
    let (mut replica, now) = single_replica();
    answer(&mut replica, poll(dispatcher(2), None, 0), now);
    let name = MemberName::from("d1");
    let superseded = replica.poll(PollId(2), poll(dispatcher(1), None, 0), now);
    assert_eq!(superseded, Err(PollError::Superseded { name }));
    let (id, answer) = replica.next_answer(now).expect("it is answered immediately");
    assert!(id == PollId(2) && answer.superseded);
}

#[test]
fn the_number_of_members_is_limited_and_unknown_replicas_are_rejected() {
    let mut config = replica_config(&["south"]);
    config.max_members = 1;
    let mut replica = Replica::new(config, Duration::ZERO).expect("a valid configuration");
    replica.poll(PollId(1), poll(dispatcher(1), None, 0), ms(1)).expect("the first is accepted");
    let (name, incarnation, attachment) = ("d2".into(), Incarnation(1), Attachment(1));
    let second = Poller::Dispatcher { name, incarnation, attachment, leaving: false };
    let rejected = replica.poll(PollId(2), poll(second, None, 0), ms(1));
    assert_eq!(rejected, Err(PollError::TooManyMembers { name: "d2".into(), max: 1 }));
    let unknown_replica = Poller::Replica { name: "west".into(), own_log: "west-1".into() };
    let rejected = replica.poll(PollId(3), poll(unknown_replica, None, 0), ms(1));
    assert_eq!(rejected, Err(PollError::UnknownReplica("west".into())));
    assert!(!rejected.expect_err("it is rejected").is_answered());
}

#[test]
fn answers_are_at_least_a_batch_interval_apart() {
    let (mut replica, now) = single_replica();
    let log = answer(&mut replica, poll(dispatcher(1), None, 0), now).log;
    let now = now + ms(1000);
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    replica.poll(PollId(2), poll(dispatcher(1), Some(&log), 1), now + ms(1)).expect("it is accepted");
    assert!(replica.next_answer(now + ms(99)).is_none());
    assert!(replica.next_answer(now + ms(100)).is_some());
}

#[test]
fn a_reader_is_no_member_and_a_probe_is_answered_immediately() {
    let (mut replica, now) = single_replica();
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    assert_eq!(answer(&mut replica, poll(Poller::Reader, None, 0), now).results.len(), 1);
    replica.poll(PollId(2), poll(Poller::Probe, None, 0), now).expect("it is accepted");
    let (_, answer) = replica.next_answer(now).expect("it is answered immediately");
    assert_eq!(answer.results, []);
    assert_eq!(replica.members(), []);
}

#[test]
fn cancelled_and_replaced_polls_get_no_answer() {
    let (mut replica, now) = single_replica();
    let log = answer(&mut replica, poll(dispatcher(1), None, 0), now).log;
    replica.poll(PollId(2), poll(dispatcher(1), Some(&log), 1), now).expect("it is accepted");
    replica.poll(PollId(3), poll(dispatcher(1), Some(&log), 1), now).expect("it is accepted");
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    let later = now + ms(2000);
    assert_eq!(replica.next_answer(later).expect("the newer poll is answered").0, PollId(3));
    assert!(replica.next_answer(later).is_none());
    replica.poll(PollId(4), poll(dispatcher(1), Some(&log), 1), later).expect("it is accepted");
    replica.cancel(PollId(4));
    assert!(replica.next_answer(later + ms(2000)).is_none());
}

#[test]
fn an_attachment_at_a_single_replica_completes_once_all_is_acknowledged() {
    let (mut replica, now) = single_replica();
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    let first = answer(&mut replica, poll(dispatcher(1), None, 0), now);
    assert!(!first.attached && first.results.len() == 1);
    let second = answer(&mut replica, poll(dispatcher(1), Some(&first.log), 2), now + ms(1000));
    assert!(second.attached);
    assert!(matches!(replica.in_force(&RecordName::Group(1), now + ms(1000)), Verdict::InForce { .. }));
}

#[test]
fn records_do_not_wait_for_a_dispatcher_that_left() {
    let (mut replica, now) = single_replica();
    answer(&mut replica, poll(dispatcher(1), None, 0), now);
    replica.publish(purge(1, START_MS), now).expect("it is accepted");
    let verdict = replica.in_force(&RecordName::Group(1), now);
    assert_eq!(outstanding(verdict).dispatchers, ["d1".into()]);
    let (name, incarnation, attachment) = ("d1".into(), Incarnation(1), Attachment(1));
    let leaving = Poller::Dispatcher { name, incarnation, attachment, leaving: true };
    replica.poll(PollId(5), poll(leaving, None, 0), now).expect("it is accepted");
    assert!(matches!(replica.in_force(&RecordName::Group(1), now), Verdict::InForce { .. }));
    let old = replica.poll(PollId(6), poll(dispatcher(1), None, 0), now);
    assert!(
        matches!(old, Err(PollError::Superseded { .. })),
        "an old poll does not attach the dispatcher again"
    );
}

// Configurations.

/// Guards against answers that no poller accepts: a page of 5,000 lines of hosts was longer than the pollers' limit.
#[test]
fn an_answer_is_bounded_in_bytes_and_each_next_one_goes_on_where_it_ended() {
    const HOSTS: u64 = 12;
    let host = |number: u64, text_bytes: usize| {
        let endpoint = json!({"name": format!("c{number}"), "address": "x".repeat(text_bytes)});
        Record::HostLine(HostLine { name: format!("c{number}"), version: Version(1), endpoint })
    };
    let mut config = replica_config(&[]);
    config.max_batch_bytes = 3 * host(HOSTS - 1, 500).json_bytes();
    let max_batch_bytes = config.max_batch_bytes;
    let mut replica = Replica::new(config, Duration::ZERO).expect("a valid configuration");
    let mut now = ms(6000);
    replica.tick(now);
    for number in 0..HOSTS {
        let is_long = number == 5;
        let record = host(number, if is_long { 2 * max_batch_bytes } else { 500 });
        replica.publish(record, now).expect("the replica accepts the record");
    }
    let (mut since, mut counts) = (0, Vec::new());
    loop {
        now += ms(1000);
        let answer = answer(&mut replica, poll(Poller::Reader, None, since), now);
        let bytes: usize = answer.results.iter().map(|event| event.record.json_bytes()).sum();
        assert!(bytes <= max_batch_bytes || answer.results.len() == 1, "{bytes} bytes");
        counts.push(answer.results.len());
        since = answer.seq.0;
        if !answer.more {
            break;
        }
    }
    assert_eq!((since, counts), (HOSTS, vec![3, 2, 1, 3, 3]));
}

#[test]
fn invalid_configurations_are_rejected_with_the_reason() {
    let error = |config| Replica::new(config, Duration::ZERO).err();
    assert_eq!(error(replica_config(&["north"])), Some(ConfigurationError::OwnPeer("north".into())));
    let twice = replica_config(&["south", "south"]);
    assert_eq!(error(twice), Some(ConfigurationError::PeerTwice("south".into())));
    assert!(matches!(error(replica_config(&[""])), Some(ConfigurationError::Name { .. })));
    let invalidations: [fn(&mut ReplicaConfig); 7] = [
        |config| config.max_batch_records = 0,
        |config| config.max_batch_bytes = 0,
        |config| config.max_members = 0,
        |config| config.max_records = 0,
        |config| config.member_lease = config.doubt_after,
        |config| config.start_up_hold = config.quorum_window,
        |config| config.quorum_window = config.peer_timeout,
    ];
    for change in invalidations {
        let mut config = replica_config(&["south"]);
        change(&mut config);
        let error = error(config).expect("the configuration is invalid");
        let is_expected_error =
            matches!(error, ConfigurationError::Zero(_) | ConfigurationError::TooShort { .. });
        assert!(is_expected_error, "{error}");
    }
    let error = |config| Subscriber::new(config, Duration::ZERO).err();
    let mut config = subscriber_config();
    config.fallback = Some(config.primary.clone());
    assert_eq!(error(config), Some(ConfigurationError::FallbackIsPrimary("north".into())));
    let mut config = subscriber_config();
    config.doubt_after = ms(1500);
    assert!(matches!(error(config), Some(ConfigurationError::TooShort { .. })));
    let mut config = subscriber_config();
    config.name = "".into();
    assert!(matches!(error(config), Some(ConfigurationError::Name { .. })));
}

// Peers.

#[test]
fn unsolicited_and_unordered_answers_of_peers_are_rejected() {
    let mut replica =
        Replica::new(replica_config(&["south"]), Duration::ZERO).expect("a valid configuration");
    let south = ReplicaName::from("south");
    let rejected = replica.on_peer_answer(&south, attached_answer("south", 1), ms(1));
    assert_eq!(rejected, Err(AnswerError::Unsolicited(south.clone())));
    let west = ReplicaName::from("west");
    let rejected = replica.on_peer_answer(&west, attached_answer("west", 1), ms(1));
    assert_eq!(rejected, Err(AnswerError::UnknownReplica(west)));
    replica.next_poll(ms(1)).expect("it polls immediately");
    let mut backwards = attached_answer("south", 2);
    backwards.results = [2, 1].map(|seq| Event { seq: Sequence(seq), record: purge(seq, START_MS) }).to_vec();
    let rejected = replica.on_peer_answer(&south, backwards, ms(2));
    assert_eq!(rejected, Err(AnswerError::OutOfOrder { replica: south.clone(), event: Sequence(1) }));
    assert_eq!(replica.log().last_seq(), Sequence(0), "nothing of the answer was applied");
    let mut beyond = attached_answer("south", 1);
    beyond.results = vec![Event { seq: Sequence(2), record: purge(1, START_MS) }];
    replica.next_poll(ms(50)).expect("it polls again");
    let rejected = replica.on_peer_answer(&south, beyond, ms(51));
    assert_eq!(rejected, Err(AnswerError::OutOfOrder { replica: south, event: Sequence(2) }));
}

#[test]
fn replicas_without_new_records_exchange_no_records() {
    let mut simulation = without_faults(5, 10);
    run_for_ms(&mut simulation, 6000);
    publish(&mut simulation, 0, 1);
    run_for_ms(&mut simulation, 2000);
    let answers = |simulation: &Simulation| -> u64 {
        (0..5).map(|index| simulation.replica(index).counters().answers).sum()
    };
    let records_sent = |simulation: &Simulation| -> u64 {
        (0..5).map(|index| simulation.replica(index).counters().records_told).sum()
    };
    let (answers_before, records_before) = (answers(&simulation), records_sent(&simulation));
    run_for_ms(&mut simulation, 2000);
    assert_eq!(records_sent(&simulation), records_before);
    // Twenty links and ten dispatchers, each with one answer per timeout of 200 ms.
    let in_two_seconds = answers(&simulation) - answers_before;
    assert!(in_two_seconds <= 30 * 10, "{in_two_seconds}");
}

#[test]
fn a_purge_comes_into_force_at_all_replicas() {
    let mut simulation = without_faults(9, 36);
    run_for_ms(&mut simulation, 6000);
    let name = publish(&mut simulation, 4, 1);
    run_for_ms(&mut simulation, 400);
    for replica in 0..9 {
        assert!(in_force(&mut simulation, replica, &name), "{:?}", simulation.verdict(replica, &name));
    }
    assert_eq!(simulation.missing_at_dispatchers(), Vec::<String>::new());
}

#[test]
fn a_frozen_dispatcher_is_named_as_lagging_and_resumes_in_doubt() {
    let mut simulation = without_faults(3, 6);
    run_for_ms(&mut simulation, 5000);
    simulation.freeze(Node::Dispatcher(4));
    run_for_ms(&mut simulation, 100);
    let name = publish(&mut simulation, 0, 1);
    run_for_ms(&mut simulation, 1200);
    // Its replica names it directly, and the other replicas by that replica's report.
    for replica in 0..3 {
        let verdict = simulation.verdict(replica, &name);
        assert_eq!(outstanding(verdict).dispatchers, ["d4".into()], "at r{replica}");
    }
    simulation.resume(Node::Dispatcher(4));
    assert!(simulation.is_in_doubt(4));
    run_for_ms(&mut simulation, 1000);
    assert!(!simulation.is_in_doubt(4));
    assert!(in_force(&mut simulation, 0, &name));
}

#[test]
fn a_killed_dispatcher_is_named_as_lagging_until_its_lease_expires() {
    let mut simulation = without_faults(3, 6);
    run_for_ms(&mut simulation, 5000);
    simulation.kill(Node::Dispatcher(4));
    let name = publish(&mut simulation, 1, 1);
    run_for_ms(&mut simulation, 1500);
    assert_eq!(outstanding(simulation.verdict(1, &name)).dispatchers, ["d4".into()]);
    run_for_ms(&mut simulation, 1500);
    assert!((0..3).all(|replica| in_force(&mut simulation, replica, &name)));
    assert_eq!(simulation.replica(1).counters().expired, 1);
}

#[test]
fn a_purge_comes_into_force_once_a_killed_dispatcher_has_restarted_and_attached() {
    let mut simulation = without_faults(3, 6);
    run_for_ms(&mut simulation, 5000);
    simulation.kill(Node::Dispatcher(4));
    let name = publish(&mut simulation, 1, 1);
    run_for_ms(&mut simulation, 300);
    simulation.start(Node::Dispatcher(4));
    run_for_ms(&mut simulation, 500);
    assert!(in_force(&mut simulation, 1, &name));
    assert!(!simulation.is_in_doubt(4));
    assert_eq!(simulation.replica(1).counters().expired, 0);
}

#[test]
fn partitioned_replicas_are_named_and_all_records_come_into_force_afterwards() {
    let mut simulation = without_faults(5, 10);
    run_for_ms(&mut simulation, 5000);
    let links: Vec<(usize, usize)> = [0, 1]
        .iter()
        .flat_map(|&one| [2, 3, 4].map(|other| [(one, other), (other, one)]))
        .flatten()
        .collect();
    simulation.cut_links(&links);
    run_for_ms(&mut simulation, 700);
    let minority = publish(&mut simulation, 0, 1);
    let majority = publish(&mut simulation, 3, 2);
    run_for_ms(&mut simulation, 3000);
    let outstanding_record = outstanding(simulation.verdict(3, &majority));
    let unreachable: Vec<ReplicaName> =
        outstanding_record.replicas.iter().map(|lagging| lagging.name.clone()).collect();
    assert_eq!(unreachable, [replica_name(0), replica_name(1)]);
    assert!(outstanding_record.replicas.iter().all(|lagging| lagging.reason == Reason::NoRecentAnswer));
    let outstanding_record = outstanding(simulation.verdict(0, &minority));
    assert_eq!(outstanding_record.replicas.len(), 3);
    simulation.restore_links(&links);
    run_for_ms(&mut simulation, 3000);
    for replica in 0..5 {
        assert!(
            in_force(&mut simulation, replica, &minority) && in_force(&mut simulation, replica, &majority)
        );
    }
}

#[test]
fn a_restarted_replica_is_established_after_its_hold_and_reading_its_peers() {
    let mut simulation = without_faults(5, 10);
    run_for_ms(&mut simulation, 5000);
    let name = publish(&mut simulation, 0, 1);
    run_for_ms(&mut simulation, 500);
    simulation.kill(Node::Replica(2));
    simulation.start(Node::Replica(2));
    run_for_ms(&mut simulation, 500);
    assert_eq!(simulation.replica(2).standing(), ReplicaStanding::Starting);
    let outstanding_record = outstanding(simulation.verdict(2, &name));
    assert_eq!(
        outstanding_record.replicas[0],
        LaggingReplica { name: replica_name(2), reason: Reason::StartUp }
    );
    run_for_ms(&mut simulation, 1500);
    assert_eq!(simulation.replica(2).standing(), ReplicaStanding::Established);
    assert!(in_force(&mut simulation, 2, &name));
    assert!((0..10).all(|dispatcher| !simulation.is_in_doubt(dispatcher)));
}

#[test]
fn a_restarted_replica_waits_while_too_few_peers_answer() {
    let mut simulation = without_faults(5, 5);
    run_for_ms(&mut simulation, 5000);
    simulation.cut_links(&[(2, 0), (0, 2), (2, 1), (1, 2)]);
    simulation.kill(Node::Replica(2));
    simulation.start(Node::Replica(2));
    run_for_ms(&mut simulation, 4000);
    // Two peers answer, and three are required.
    assert_eq!(simulation.replica(2).standing(), ReplicaStanding::Waiting);
    simulation.restore_links(&[(2, 0), (0, 2)]);
    run_for_ms(&mut simulation, 1000);
    assert_eq!(simulation.replica(2).standing(), ReplicaStanding::Established);
}

#[test]
fn all_dispatchers_attach_again_after_a_restart_of_all_replicas() {
    let mut simulation = without_faults(5, 10);
    run_for_ms(&mut simulation, 5000);
    publish(&mut simulation, 0, 1);
    run_for_ms(&mut simulation, 500);
    (0..5).for_each(|index| simulation.kill(Node::Replica(index)));
    (0..5).for_each(|index| simulation.start(Node::Replica(index)));
    run_for_ms(&mut simulation, 800);
    assert!(
        (0..10).all(|dispatcher| simulation.is_in_doubt(dispatcher)),
        "no replica can complete their attachments"
    );
    run_for_ms(&mut simulation, 3000);
    assert!((0..10).all(|dispatcher| !simulation.is_in_doubt(dispatcher)));
    let name = publish(&mut simulation, 3, 2);
    run_for_ms(&mut simulation, 500);
    assert!((0..5).all(|replica| in_force(&mut simulation, replica, &name)));
}

// Subscribers.

#[test]
fn a_dispatcher_without_answers_is_in_doubt_since_the_last_answered_poll() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(100)).expect("a valid configuration");
    assert_eq!(subscriber.in_doubt_since(ms(100)), Some(ms(100)));
    let poll_sent = subscriber.next_poll(ms(200)).expect("it polls");
    subscriber.on_answer(&poll_sent.to, attached_answer("north", 0), ms(300)).expect("it is accepted");
    assert_eq!(subscriber.in_doubt_since(ms(300)), None);
    // The doubt timeout counts from when the poll was sent.
    assert_eq!(subscriber.in_doubt_since(ms(3199)), None);
    assert_eq!(subscriber.in_doubt_since(ms(3200)), Some(ms(200)));
}

#[test]
fn a_fallback_starts_a_new_attachment_and_keeps_the_doubt_timeout() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.next_poll(ms(0)).expect("it polls");
    subscriber.on_answer(&poll_sent.to, attached_answer("north", 7), ms(10)).expect("it is accepted");
    let second = subscriber.next_poll(ms(10)).expect("it polls");
    assert_eq!(
        (second.request.log.clone(), second.request.acknowledged),
        (Some("north-1".into()), Sequence(7))
    );
    subscriber.on_failure(&second.to, second.deadline);
    let third = subscriber.next_poll(second.deadline).expect("it polls the other replica immediately");
    assert_eq!(third.to, "south".into());
    assert_eq!((third.request.log.clone(), third.request.since), (None, Sequence(0)));
    let Poller::Dispatcher { attachment, .. } = third.request.poller else { panic!("a dispatcher polls") };
    assert_eq!(attachment, Attachment(2));
    assert_eq!(subscriber.in_doubt_since(second.deadline), None);
    assert_eq!(subscriber.counters().fallbacks, 1);
}

#[test]
fn a_single_connection_failure_is_retried_before_falling_back() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.next_poll(ms(0)).expect("it polls");
    subscriber.on_failure(&poll_sent.to, ms(1));
    assert!(subscriber.next_poll(ms(2)).is_none(), "not immediately");
    assert_eq!(subscriber.next_poll(ms(500)).expect("it polls again").to, "north".into());
    subscriber.on_failure(&poll_sent.to, ms(501));
    assert_eq!(subscriber.next_poll(ms(501)).expect("it falls back").to, "south".into());
}

#[test]
fn a_dispatcher_falls_back_from_a_replica_in_its_start_up_hold() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.next_poll(ms(0)).expect("it polls");
    let starting_answer = r#"{"log":"north-2","seq":0,"standing":"starting","results":[]}"#;
    subscriber
        .on_answer(&poll_sent.to, PollAnswer::from_json(starting_answer).expect("a valid answer"), ms(1))
        .expect("it is accepted");
    assert_eq!(subscriber.next_poll(ms(1)).expect("it polls").to, "south".into());
}

/// When a dispatcher with this seed returns to its primary, which answers all probes.
fn returned_at(seed: u64) -> Duration {
    let config = SubscriberConfig { seed, ..subscriber_config() };
    let mut subscriber = Subscriber::new(config, ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.next_poll(ms(0)).expect("it polls");
    subscriber.on_failure(&poll_sent.to, poll_sent.deadline);
    let mut now = poll_sent.deadline;
    while subscriber.counters().returns == 0 {
        let polls_sent: Vec<SubscriberPoll> = std::iter::from_fn(|| subscriber.next_poll(now)).collect();
        for SubscriberPoll { to, .. } in polls_sent {
            subscriber.on_answer(&to, attached_answer(&to.0, 0), now).expect("it is accepted");
        }
        now += ms(50);
    }
    now
}

#[test]
fn dispatchers_return_to_their_primary_at_different_times() {
    let mut returned: Vec<Duration> = (0..20).map(returned_at).collect();
    assert_eq!(returned_at(3), returned[3], "the same seed gives the same time");
    returned.sort_unstable();
    let (first, last) = (returned[0], returned[19]);
    assert!(first >= ms(11_500) && last < ms(36_000), "{first:?} {last:?}");
    assert!(last - first > ms(8000), "{first:?} {last:?}");
}

#[test]
fn a_superseded_dispatcher_attaches_again() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.next_poll(ms(0)).expect("it polls");
    let superseded = r#"{"log":"north-1","seq":0,"superseded":true,"results":[]}"#;
    subscriber
        .on_answer(&poll_sent.to, PollAnswer::from_json(superseded).expect("a valid answer"), ms(1))
        .expect("it is accepted");
    assert!(
        subscriber.next_poll(ms(1)).is_none(),
        "not immediately, or two dispatchers with the same name would supersede each other without end"
    );
    let Poller::Dispatcher { attachment, .. } =
        subscriber.next_poll(ms(300)).expect("it polls").request.poller
    else {
        panic!("a dispatcher polls");
    };
    assert_eq!(attachment, Attachment(2));
}

#[test]
fn an_event_older_than_the_known_one_changes_nothing() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let answer_with_purge = |subscriber: &mut Subscriber, seq: u64, unix_ms: u64, now: u64| {
        let poll_sent = subscriber.next_poll(ms(now)).expect("it polls");
        let mut answer = attached_answer("north", seq);
        answer.results = vec![Event { seq: Sequence(seq), record: purge(1, unix_ms) }];
        subscriber.on_answer(&poll_sent.to, answer, ms(now)).expect("it is accepted")
    };
    assert_eq!(answer_with_purge(&mut subscriber, 1, START_MS + 5, 1).records.len(), 1);
    assert_eq!(answer_with_purge(&mut subscriber, 2, START_MS + 4, 2).records, []);
    assert_eq!(answer_with_purge(&mut subscriber, 3, START_MS + 5, 3).ignored, 1);
    assert_eq!(answer_with_purge(&mut subscriber, 4, START_MS + 6, 4).records.len(), 1);
}

#[test]
fn an_incomplete_answer_is_not_acknowledged() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.next_poll(ms(0)).expect("it polls");
    subscriber
        .on_answer(&poll_sent.to, PollAnswer { more: true, ..attached_answer("north", 5) }, ms(1))
        .expect("it is accepted");
    let request = subscriber.next_poll(ms(1)).expect("it polls").request;
    assert_eq!((request.since, request.acknowledged), (Sequence(5), Sequence(0)));
}

#[test]
fn invalid_answers_to_a_dispatcher_change_nothing() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let north = ReplicaName::from("north");
    let rejected = subscriber.on_answer(&north, attached_answer("north", 1), ms(0));
    assert_eq!(rejected, Err(AnswerError::Unsolicited(north.clone())));
    subscriber.next_poll(ms(0)).expect("it polls");
    let rejected = subscriber.on_answer(&"west".into(), attached_answer("west", 1), ms(0));
    assert_eq!(rejected, Err(AnswerError::Unsolicited("west".into())));
    let mut beyond = attached_answer("north", 1);
    beyond.results = vec![Event { seq: Sequence(2), record: purge(1, START_MS) }];
    let rejected = subscriber.on_answer(&north, beyond, ms(1));
    assert_eq!(rejected, Err(AnswerError::OutOfOrder { replica: north, event: Sequence(2) }));
    assert!(
        subscriber.in_doubt_since(ms(1)).is_some(),
        "the answer reports a complete attachment and is invalid"
    );
}

#[test]
fn the_last_poll_of_a_dispatcher_announces_that_it_leaves() {
    let mut subscriber = Subscriber::new(subscriber_config(), ms(0)).expect("a valid configuration");
    let poll_sent = subscriber.leave(ms(0));
    assert!(poll_sent.request.to_query().ends_with("&leaving=1"));
    assert_eq!(PollRequest::from_query(&poll_sent.request.to_query()), Ok(poll_sent.request));
}
