//! What was taken in, sent and answered, by kind.

use super::guards::Rule;
use myrtlegauge::interface::{End, Note};
use std::fmt;

#[derive(Default)]
pub struct Counters {
    pub taken: u64,
    /// Among those, tries after the first that their clients marked, and how many of these were returned.
    pub retries: u64,
    pub retries_returned: u64,
    pub returned: u64,
    pub not_modified: u64,
    pub shed: u64,
    pub errored: u64,
    pub abandoned: u64,
    /// Requests that could not be read or used, answered errored without the module.
    pub unusable: u64,
    /// Among those, requests under the id of a GET in hand.
    pub twice: u64,
    /// Requests refused unread: no room for more of their client's, or the end is near.
    pub refused: u64,
    /// Requests whose clients had left before they could be taken.
    pub left_before: u64,
    /// Connections closed for saying nothing that is whole in time.
    pub mute: u64,
    pub health: u64,
    pub forwards: u64,
    pub withdrawn: u64,
    ends: [u64; END_NAMES.len()],
    notes: [u64; NOTE_NAMES.len()],
    /// Answers that did not come in one piece, and how long their rest took.
    pub in_parts: u64,
    pub in_parts_us: u64,
    pub clients: u64,
    pub links: u64,
    pub links_failed: u64,
    /// Connections that did not come up while GETs waited for them.
    pub links_late: u64,
    pub links_broken: u64,
    pub links_idle: u64,
    /// Connections left because a part of an answer stayed one.
    pub links_stuck: u64,
    pub hosts_forgotten: u64,
    pub changes: u64,
    pub purges: u64,
    pub polls_failed: u64,
    /// Times that nothing ran here for so long that beliefs were doubted.
    pub gaps: u64,
    /// Later configurations, followed and unusable.
    pub reread: u64,
    pub reread_failed: u64,
    /// Messages that could not be read, and answers that no GET waited for.
    pub faults: u64,
    pub strays: u64,
    /// Forwards that the guard kept back at the last moment.
    pub not_sent: u64,
    /// What was done against each rule.
    pub violations: [u64; Rule::ALL.len()],
    /// What must hold and did not.
    pub broken: u64,
    pub rounds: u64,
    pub round_longest_us: u64,
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

/// Lines on what did not hold; after so many they tell nothing new.
const TELLS: u64 = 20;

impl Counters {
    pub fn ended(&mut self, end: End, note: Note) {
        self.ends[end as usize] += 1;
        self.notes[note as usize] += 1;
    }

    /// Counts what was done against a rule, and tells of it by its ids.
    pub fn violated(&mut self, rule: Rule, what: fmt::Arguments<'_>) {
        let count = &mut self.violations[rule as usize];
        *count += 1;
        if *count <= TELLS {
            log::error!(rule = rule.name(); "broken: {what}");
        }
    }

    /// Takes over a count that is kept elsewhere.
    pub fn violations_were(&mut self, rule: Rule, count: u64) {
        self.violations[rule as usize] = count;
    }

    /// Checks what must hold: asserted in debug builds, counted in release builds.
    pub fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.broken += 1;
            if self.broken <= TELLS {
                log::error!("broken: {what}");
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
            self.twice,
            self.refused,
            self.left_before,
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
        for (name, n) in END_NAMES.iter().zip(self.ends) {
            write!(f, " {name} {n}")?;
        }
        write!(f, "\nanswers in parts {} taking {} us in all\nnotes:", self.in_parts, self.in_parts_us)?;
        for (name, n) in NOTE_NAMES.iter().zip(self.notes) {
            write!(f, " {name} {n}")?;
        }
        write!(f, "\nrules: not sent {}, violations of", self.not_sent)?;
        for rule in Rule::ALL {
            write!(f, " {} {}", rule.name(), self.violations[rule as usize])?;
        }
        write!(
            f,
            "\nconnections: clients {} mute {}; hosts {} failed {} late {} broken {} idle {} stuck {}\n\
             change log: hosts forgotten {} changes {} purges {} polls failed {} gaps {}; configurations reread {} unusable {}\n\
             faults: unreadable {} strays {} broken {}\n\
             rounds: {} longest {} us",
            self.clients,
            self.mute,
            self.links,
            self.links_failed,
            self.links_late,
            self.links_broken,
            self.links_idle,
            self.links_stuck,
            self.hosts_forgotten,
            self.changes,
            self.purges,
            self.polls_failed,
            self.gaps,
            self.reread,
            self.reread_failed,
            self.faults,
            self.strays,
            self.broken,
            self.rounds,
            self.round_longest_us
        )
    }
}
