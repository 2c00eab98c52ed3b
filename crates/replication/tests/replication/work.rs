//! The work of a poll and of a verdict doesn't grow with the number of members.

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

struct Work {
    /// Members looked at in one round of polls in which all acknowledge.
    steps_a_round: f64,
    /// Members looked at by a verdict while three lag.
    steps_a_verdict: u64,
    time_a_poll: Duration,
}

/// Each round publishes a purge, answers all, and takes their acknowledgements; in the last three lag.
fn work(members: usize) -> Work {
    let peers = (1..9).map(|peer| format!("r{peer}").as_str().into()).collect();
    let mut config = ReplicaConfig::new("r0".into(), peers, Incarnation(START_MS));
    config.batch_interval = Duration::ZERO;
    let mut replica = Replica::new(config, Duration::ZERO).expect("a good configuration");
    let mut now = Duration::from_secs(6);
    let mut log: Option<LogId> = None;
    let mut seqs = vec![Sequence(0); members];
    let mut id = 0;
    let mut spent = Duration::ZERO;
    for round in 0..ROUNDS {
        let purge = Purge { target: PurgeTarget::Group(round), unix_ms: START_MS };
        replica.publish(Record::Purge(purge), now).expect("it is taken");
        let began = Instant::now();
        for (number, seq) in seqs.iter_mut().enumerate() {
            now += Duration::from_micros(10);
            id += 1;
            replica.poll(PollId(id), poll(number, log.as_ref(), *seq), now).expect("it is taken");
            replica.tick(now);
            let (_, answer) = replica.next_answer(now).expect("there is news");
            *seq = answer.seq;
            log = Some(answer.log);
        }
        spent += began.elapsed();
    }
    let steps_in_rounds = replica.counters().member_steps;
    let purge = Purge { target: PurgeTarget::Group(1), unix_ms: START_MS + 1 };
    let last = replica.publish(Record::Purge(purge), now).expect("it is taken");
    for number in 3..members {
        id += 1;
        replica.poll(PollId(id), poll(number, log.as_ref(), last), now).expect("it is taken");
    }
    let before = replica.counters().member_steps;
    let verdict = replica.in_force(&RecordName::Group(1), now);
    let Verdict::Outstanding(outstanding) = verdict else { panic!("three lag") };
    assert_eq!(outstanding.dispatchers.len(), 3);
    Work {
        steps_a_round: steps_in_rounds as f64 / ROUNDS as f64,
        steps_a_verdict: replica.counters().member_steps - before,
        time_a_poll: spent / (members as u32 * ROUNDS as u32),
    }
}

#[test]
fn a_poll_and_a_verdict_cost_the_same_among_ten_and_two_thousand_members() {
    let (few, many) = (work(10), work(2000));
    println!("a poll among 10: {:?}, among 2000: {:?}", few.time_a_poll, many.time_a_poll);
    assert!(
        few.steps_a_round <= 10.0 && many.steps_a_round <= 10.0,
        "members looked at grow with their number"
    );
    assert_eq!((few.steps_a_verdict, many.steps_a_verdict), (3, 3));
}
