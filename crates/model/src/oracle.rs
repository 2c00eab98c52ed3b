//! Checks the rules on every event, apart from the module: it is told what happened in the world, never what anybody
//! decided or believes. It says which GET, when and why.

use std::collections::BTreeMap;
use std::time::Duration;

/// Breaks that are kept in words; all are counted.
const KEPT: usize = 16;

#[derive(Default)]
pub struct Oracle {
    pub broken: BTreeMap<&'static str, u64>,
    pub first: Vec<String>,
    drains: BTreeMap<usize, Duration>,
    /// By group, when it was purged and told.
    purges: BTreeMap<u64, Duration>,
    ran: BTreeMap<u64, u32>,
    pub taken: u64,
    pub answered: u64,
}

impl Oracle {
    fn broke(&mut self, rule: &'static str, now: Duration, what: String) {
        *self.broken.entry(rule).or_default() += 1;
        if self.first.len() < KEPT {
            self.first.push(format!("{:>9.3} s  {rule}: {what}", now.as_secs_f64()));
        }
    }

    pub fn drains(&mut self, host: usize, now: Duration) {
        self.drains.insert(host, now);
    }

    pub fn lives(&mut self, host: usize) {
        self.drains.remove(&host);
    }

    pub fn purged(&mut self, group: u64, now: Duration) {
        self.purges.insert(group, now);
    }

    /// A forward was sent to a host, or to it as a source.
    pub fn sent(&mut self, get: u64, host: usize, grace: Duration, now: Duration) {
        let late = self.drains.get(&host).copied().filter(|&at| now > at + grace);
        if let Some(at) = late {
            let after = now - at;
            self.broke(
                "3, draining host",
                now,
                format!("GET {get} to host {host}, {after:?} after its drain"),
            );
        }
    }

    /// A GET with an effect ran.
    pub fn ran(&mut self, get: u64, now: Duration) {
        let count = self.ran.entry(get).or_default();
        *count += 1;
        if *count > 1 {
            let count = *count;
            self.broke("2, effect twice", now, format!("GET {get} ran {count} times"));
        }
    }

    /// A GET's final answer: `late` where its client had given up before.
    pub fn answered(&mut self, get: u64, twice: bool, late: bool, now: Duration) {
        if twice {
            return self.broke("1, one answer", now, format!("GET {get} is answered again"));
        }
        self.answered += 1;
        if late {
            self.broke("1, in time", now, format!("GET {get} is answered after its client gave up"));
        }
    }

    /// A copy was returned.
    pub fn returned(&mut self, get: u64, group: u64, born: Duration, grace: Duration, now: Duration) {
        let at = self.purges.get(&group).copied().filter(|&at| born < at && now > at + grace);
        if let Some(at) = at {
            let after = now - at;
            self.broke("5, purged copy", now, format!("GET {get}, {after:?} after group {group} was purged"));
        }
    }

    /// A cold host was pushed over.
    pub fn fell(&mut self, host: usize, now: Duration) {
        self.broke("4, cold host", now, format!("host {host} got more than it bears while cold"));
    }

    /// At the end: every GET that was taken long enough ago has its answer.
    pub fn close(&mut self, open: u64, now: Duration) {
        if self.taken != self.answered + open {
            let (taken, answered) = (self.taken, self.answered);
            self.broke("1, one answer", now, format!("{taken} taken, {answered} answered, {open} in hand"));
        }
    }
}
