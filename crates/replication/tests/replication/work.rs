//! Checks that the work of a poll and of a verdict does not grow with the number of members.

use myrtlegauge_replication::{
    Attachment, Incarnation, LogId, PollId, PollRequest, Poller, Purge, PurgeTarget, Record, RecordName,
    Replica, ReplicaConfig, Sequence, Verdict,
};
use std::time::{Duration, Instant};

const START_MS: u64 = 1_700_000_000_000;
const ROUNDS: u64 = 20;

fn poll(number: usize, log: Option<&LogId>, seq: Sequence) -> PollRequest {
    let poller = Poller::Dispatcher {
        name: format!("d{number}").as_str().into(),
        incarnation: Incarnation(1),
        attachment: Attachment(1),
        leaving: false,
    };
    PollRequest { log: log.cloned(), since: seq, acknowledged: seq, timeout: Duration::from_secs(1), poller }
}

struct MeasuredWork {
    /// Member entries visited in one round of polls in which all members acknowledge.
    steps_per_round: f64,
    /// Member entries visited by a verdict while three members lag.
    steps_per_verdict: u64,
    time_per_poll: Duration,
}

/// Each round publishes a purge, answers all members, and receives their acknowledgements. In the last round, three
/// members lag.
fn measure_work(members: usize) -> MeasuredWork {
    let peers = (1..9).map(|peer| format!("r{peer}").as_str().into()).collect();
    let mut config = ReplicaConfig::new("r0".into(), peers, Incarnation(START_MS));
    config.batch_interval = Duration::ZERO;
    let mut replica = Replica::new(config, Duration::ZERO).expect("a valid configuration");
    let mut now = Duration::from_secs(6);
    let mut log: Option<LogId> = None;
    let mut acknowledged_seqs = vec![Sequence(0); members];
    let mut id = 0;
    let mut poll_time = Duration::ZERO;
    for round in 0..ROUNDS {
        let purge = Purge { target: PurgeTarget::Group(round), unix_ms: START_MS };
        replica.publish(Record::Purge(purge), now).expect("it is accepted");
        let started = Instant::now();
        for (number, seq) in acknowledged_seqs.iter_mut().enumerate() {
            now += Duration::from_micros(10);
            id += 1;
            replica.poll(PollId(id), poll(number, log.as_ref(), *seq), now).expect("it is accepted");
            replica.tick(now);
            let (_, answer) = replica.next_answer(now).expect("there is a new record");
            *seq = answer.seq;
            log = Some(answer.log);
        }
        poll_time += started.elapsed();
    }
    let steps_in_rounds = replica.counters().member_steps;
    let purge = Purge { target: PurgeTarget::Group(1), unix_ms: START_MS + 1 };
    let last = replica.publish(Record::Purge(purge), now).expect("it is accepted");
    for number in 3..members {
        id += 1;
        replica.poll(PollId(id), poll(number, log.as_ref(), last), now).expect("it is accepted");
    }
    let before = replica.counters().member_steps;
    let verdict = replica.in_force(&RecordName::Group(1), now);
    let Verdict::Outstanding(outstanding) = verdict else {
        panic!("three members lag, so the purge is outstanding")
    };
    assert_eq!(outstanding.dispatchers.len(), 3);
    MeasuredWork {
        steps_per_round: steps_in_rounds as f64 / ROUNDS as f64,
        steps_per_verdict: replica.counters().member_steps - before,
        time_per_poll: poll_time / (members as u32 * ROUNDS as u32),
    }
}

#[test]
fn a_poll_and_a_verdict_cost_the_same_among_ten_and_two_thousand_members() {
    let (small, large) = (measure_work(10), measure_work(2000));
    println!("time per poll among 10: {:?}, among 2000: {:?}", small.time_per_poll, large.time_per_poll);
    assert!(
        small.steps_per_round <= 10.0 && large.steps_per_round <= 10.0,
        "the visited member entries grow with the number of members"
    );
    assert_eq!((small.steps_per_verdict, large.steps_per_verdict), (3, 3));
}
