//! What a capacity run and its child processes say to each other: one JSON object a line, a reply to each request.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A request to the change-log stand-in.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "request", rename_all = "snake_case")]
pub enum LogRequest {
    /// Opens a listener of its own for a group of readers; the reply is a `Listening`.
    Listen { name: String },
    /// Appends an event to the list of hosts; the reply is the `LogCounts` after it.
    List { lines: Vec<Value>, snapshot: bool },
    /// Publishes purges from now on, this many a second on average, at times drawn from the seed.
    Publish { per_second: f64, seed: u64 },
    /// Publishes no more purges.
    Halt,
    /// Asks for the `LogCounts`.
    Counts,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Listening {
    pub address: SocketAddr,
}

/// What the change-log stand-in counted since it began.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct LogCounts {
    /// Number of the last event.
    pub last: u64,
    /// Purges published so far; they are named 1 to this.
    pub purges: u64,
    pub listeners: BTreeMap<String, ListenerCounts>,
}

/// What passed between the change log and one group of readers.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct ListenerCounts {
    /// Connections that are open, and those of them whose last poll acknowledged the last event.
    pub connections: u64,
    pub acknowledged: u64,
    pub polls: u64,
    pub bytes_in: u64,
    pub answers: u64,
    pub bytes_out: u64,
}

impl ListenerCounts {
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    pub fn messages(&self) -> u64 {
        self.polls + self.answers
    }

    /// What was counted since an earlier look; connections as they are now.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            polls: self.polls - earlier.polls,
            bytes_in: self.bytes_in - earlier.bytes_in,
            answers: self.answers - earlier.answers,
            bytes_out: self.bytes_out - earlier.bytes_out,
            ..*self
        }
    }
}

/// What all hollow dispatchers of a process are told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HollowConfig {
    /// The settings of the decision core.
    pub settings: Value,
    /// Where the change log is.
    pub change_log: SocketAddr,
    /// Replicas that are polled in its place, if there are any.
    pub replicas: Vec<SocketAddr>,
    pub seed: u64,
}

/// One hollow dispatcher to start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HollowStart {
    /// Its number, by which it is counted.
    pub number: usize,
    pub name: String,
    /// A fault put in: it takes no purges.
    pub deaf_to_purges: bool,
    /// As a member of its fleet; none: it has no peers.
    pub member: Option<MemberStart>,
}

/// A hollow dispatcher as a member of its fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStart {
    pub fleet: String,
    pub listen: SocketAddr,
    pub reached_at: SocketAddr,
    pub peers: Vec<SocketAddr>,
    /// Members that operators told of.
    pub told: usize,
}

/// A request to a process of hollow dispatchers.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "request", rename_all = "snake_case")]
pub enum HollowRequest {
    Configure(HollowConfig),
    Start {
        hollows: Vec<HollowStart>,
    },
    /// Ends these at once, without a word to anybody.
    Stop {
        numbers: Vec<usize>,
    },
    /// Asks for the `HollowReport`; `purges` are those published so far.
    Report {
        purges: u64,
    },
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HollowReport {
    pub hollows: Vec<HollowCounts>,
    /// Microseconds from published to in force, with how often each was seen, of all hollow dispatchers since the last report.
    pub in_force_us: Vec<(u64, u64)>,
}

/// One hollow dispatcher's counts in this life.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct HollowCounts {
    pub number: usize,
    /// Hosts that stand on its list as active.
    pub active_hosts: usize,
    /// Number of the last event that it took.
    pub last: u64,
    /// Purges of those published that it has not taken, counted one by one.
    pub missing_purges: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Polls that replicas answered.
    pub polls_answered: u64,
    /// Turns of its loop.
    pub turns: u64,
}

/// A reply without content.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Done {}
