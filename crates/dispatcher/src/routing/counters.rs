//! Counters of requests, forwards, connections, faults and rule violations, and their report.

use super::guards::Rule;
use myrtlegauge::interface::{End, Note};
use std::fmt;

/// The counters of one dispatcher. Labels in the report differ from some field names: operators' tools read the labels.
#[derive(Default)]
pub struct Counters {
    pub taken: u64,
    /// GETs taken that their clients marked as retries.
    pub retries: u64,
    /// Marked retries that were returned.
    pub retries_returned: u64,
    pub returned: u64,
    pub not_modified: u64,
    pub shed: u64,
    pub errored: u64,
    pub abandoned: u64,
    /// Requests that could not be read or used; they are answered with an error and do not reach the decision module.
    pub unusable: u64,
    /// Unusable requests that carried the id of a GET in flight.
    pub duplicate_ids: u64,
    /// Requests refused before they were taken, because their client held too many bytes or the shutdown was in its
    /// closing state.
    pub refused: u64,
    /// Requests whose clients disconnected or cancelled before the request was taken.
    pub left_before_taken: u64,
    /// Client connections closed because no complete request or record arrived in time.
    pub silent_clients: u64,
    pub health: u64,
    pub forwards: u64,
    pub withdrawn: u64,
    ends: [u64; END_NAMES.len()],
    notes: [u64; NOTE_NAMES.len()],
    /// Replies that did not arrive in one piece.
    pub partial_replies: u64,
    /// Total time between the first and the last piece of those replies.
    pub partial_replies_us: u64,
    /// Client connections accepted.
    pub clients: u64,
    /// Connections to hosts opened.
    pub links: u64,
    pub links_failed: u64,
    /// Connections that were not established within the connect timeout.
    pub links_late: u64,
    pub links_broken: u64,
    pub links_idle: u64,
    /// Connections closed because an incomplete reply was not completed in time.
    pub links_stuck: u64,
    pub hosts_released: u64,
    pub changes: u64,
    pub purges: u64,
    pub polls_failed: u64,
    /// Times that the process did not run, or no replica answered, for so long that cached copies and the host list
    /// were no longer trusted.
    pub pauses: u64,
    /// Configuration reloads that were applied.
    pub config_reloads: u64,
    /// Configuration reloads that were rejected.
    pub config_reloads_failed: u64,
    /// Messages that could not be read or used, and other reported faults.
    pub faults: u64,
    /// Replies that matched no forward on their connection.
    pub unmatched_replies: u64,
    /// Forwards that the guard withheld immediately before sending.
    pub withheld: u64,
    /// Times that a host in slow start got more than this router's share, as the limit counts work.
    pub slow_start_share_exceeded: u64,
    /// Violations of each rule that the checks here have counted.
    violations: [u64; Rule::ALL.len()],
    /// Invariants that did not hold.
    pub broken_invariants: u64,
    pub rounds: u64,
    pub longest_round_us: u64,
    /// The longest iteration of the event loop, with reading, parsing and writing.
    pub longest_iteration_us: u64,
}

const END_NAMES: [&str; 10] = [
    "returned",
    "miss",
    "errored",
    "full",
    "timed-out",
    "no-connection",
    "reset",
    "withdrawn",
    "never-sent",
    "spoilt",
];
const NOTE_NAMES: [&str; 11] = [
    "untold",
    "hit",
    "filled",
    "filled-from-origin",
    "joined",
    "stale",
    "source-refused",
    "source-broke",
    "source-lacks",
    "no-fill-place",
    "origin-failed",
];

/// Log lines per rule, and for all broken invariants; further lines would add no information.
const MAX_VIOLATION_LINES: u64 = 20;

impl Counters {
    /// Counts the end of a forward and the note of its reply.
    pub fn record_end(&mut self, end: End, note: Note) {
        self.ends[end as usize] += 1;
        self.notes[note as usize] += 1;
    }

    /// Counts a violation of a rule and logs it with its ids.
    pub fn record_violation(&mut self, rule: Rule, description: fmt::Arguments<'_>) {
        let count = &mut self.violations[rule as usize];
        *count += 1;
        if *count <= MAX_VIOLATION_LINES {
            log::error!(rule = rule.name(); "broken: {description}");
        }
    }

    /// Violations of a rule, those that the decision module has counted among them.
    pub fn violations_of(&self, rule: Rule) -> u64 {
        let counted_elsewhere = if rule == Rule::Starting { self.slow_start_share_exceeded } else { 0 };
        self.violations[rule as usize] + counted_elsewhere
    }

    /// Checks an invariant: asserted in debug builds, counted and logged in release builds.
    pub fn check_invariant(&mut self, holds: bool, description: &str) {
        debug_assert!(holds, "{description}");
        if !holds {
            self.broken_invariants += 1;
            if self.broken_invariants <= MAX_VIOLATION_LINES {
                log::error!("broken: {description}");
            }
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "GETs: taken {} returned {} (not modified {}) shed {} errored {} abandoned {} unusable {} (twice {}) refused {} \
             left before {} health {}",
            self.taken,
            self.returned,
            self.not_modified,
            self.shed,
            self.errored,
            self.abandoned,
            self.unusable,
            self.duplicate_ids,
            self.refused,
            self.left_before_taken,
            self.health
        )?;
        if self.retries > 0 {
            let first = self.taken - self.retries;
            writeln!(
                f,
                "tries: first {first} retries {} of these returned {}",
                self.retries, self.retries_returned
            )?;
        }
        write!(f, "forwards: sent {} withdrawn {}", self.forwards, self.withdrawn)?;
        for (name, count) in END_NAMES.iter().zip(self.ends) {
            write!(f, " {name} {count}")?;
        }
        write!(
            f,
            "\nanswers in parts {} taking {} us in all\nnotes:",
            self.partial_replies, self.partial_replies_us
        )?;
        for (name, count) in NOTE_NAMES.iter().zip(self.notes) {
            write!(f, " {name} {count}")?;
        }
        write!(f, "\nrules: not sent {}, violations of", self.withheld)?;
        for rule in Rule::ALL {
            write!(f, " {} {}", rule.name(), self.violations_of(rule))?;
        }
        write!(
            f,
            "\nconnections: clients {} mute {}; hosts {} failed {} late {} broken {} idle {} stuck {}\n\
             change log: hosts forgotten {} changes {} purges {} polls failed {} gaps {}; configurations reread {} unusable {}\n\
             faults: unreadable {} strays {} broken {}\n\
             rounds: {} longest {} us; iterations longest {} us",
            self.clients,
            self.silent_clients,
            self.links,
            self.links_failed,
            self.links_late,
            self.links_broken,
            self.links_idle,
            self.links_stuck,
            self.hosts_released,
            self.changes,
            self.purges,
            self.polls_failed,
            self.pauses,
            self.config_reloads,
            self.config_reloads_failed,
            self.faults,
            self.unmatched_replies,
            self.broken_invariants,
            self.rounds,
            self.longest_round_us,
            self.longest_iteration_us
        )
    }
}
