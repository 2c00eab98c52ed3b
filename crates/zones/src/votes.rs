//! Evidence on a zone: what each dispatcher saw of its hosts lately, one vote each however much it says.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part of the hosts that were asked from which a zone counts as dead for who asked: a few hosts that fail are hosts, and
/// the rest of a dead zone may not have been asked since.
const DEAD_FROM: f64 = 0.6;
/// The same, failed and late together, from which it is ill.
const ILL_FROM: f64 = 0.4;
/// Hosts that must have been asked: one is a host, not a zone.
const HOSTS_FEW: u32 = 2;
/// Voters remembered for a zone: made-up names must not fill the memory.
const VOTERS_MOST: usize = 4096;

/// What a dispatcher saw of a zone's hosts in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Saw {
    /// Hosts that it asked anything of.
    pub asked: u32,
    /// Of them, those that mostly failed it, and those that were mostly late.
    pub failed: u32,
    pub late: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Vote {
    Well,
    /// Grey: slow, lossy, half of it.
    Ill,
    Dead,
}

impl Saw {
    /// What that says of the zone; nothing where too little was asked.
    pub fn vote(&self) -> Option<Vote> {
        self.vote_by(HOSTS_FEW)
    }

    /// The same while a zone is tried with few GETs: any host that was asked tells.
    pub fn vote_of_trial(&self) -> Option<Vote> {
        self.vote_by(1)
    }

    fn vote_by(&self, hosts: u32) -> Option<Vote> {
        if self.asked < hosts {
            return None;
        }
        let part = |hosts: u32| f64::from(hosts) / f64::from(self.asked);
        Some(if part(self.failed) >= DEAD_FROM {
            Vote::Dead
        } else if part(self.failed + self.late) >= ILL_FROM {
            Vote::Ill
        } else {
            Vote::Well
        })
    }
}

/// How many say what now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub well: u32,
    pub ill: u32,
    pub dead: u32,
}

impl Tally {
    pub fn voters(&self) -> u32 {
        self.well + self.ill + self.dead
    }

    /// Part of the voters; none of no voters.
    pub fn part(&self, votes: u32) -> f64 {
        f64::from(votes) / f64::from(self.voters().max(1))
    }
}

/// The votes on one zone, by voter.
#[derive(Clone, Debug, Default)]
pub struct Votes {
    by: BTreeMap<String, (Vote, Duration)>,
}

impl Votes {
    pub fn cast(&mut self, voter: &str, vote: Vote, now: Duration) {
        let full = self.by.len() >= VOTERS_MOST;
        match self.by.get_mut(voter) {
            Some(known) => *known = (vote, now),
            None if full => {}
            None => _ = self.by.insert(voter.to_owned(), (vote, now)),
        }
    }

    /// Votes cast at `since` or later.
    pub fn tally(&self, since: Duration) -> Tally {
        let mut tally = Tally::default();
        for (vote, at) in self.by.values() {
            if *at >= since {
                *match vote {
                    Vote::Well => &mut tally.well,
                    Vote::Ill => &mut tally.ill,
                    Vote::Dead => &mut tally.dead,
                } += 1;
            }
        }
        tally
    }

    /// Forgets votes from before.
    pub fn forget(&mut self, before: Duration) {
        self.by.retain(|_, (_, at)| *at >= before);
    }

    /// Who says what, for people.
    pub fn who(&self, since: Duration) -> impl Iterator<Item = (&str, Vote)> {
        let late = move |(_, (_, at)): &(&String, &(Vote, Duration))| *at >= since;
        self.by.iter().filter(late).map(|(voter, (vote, _))| (voter.as_str(), *vote))
    }
}

#[cfg(test)]
mod tests {
    use super::{Saw, Vote, Votes};
    use std::time::Duration;

    #[test]
    fn one_voter_is_one_vote_and_an_old_one_is_none() {
        let (mut votes, s) = (Votes::default(), Duration::from_secs);
        for n in 0..100 {
            votes.cast("loud", Vote::Dead, s(1) + Duration::from_millis(n));
        }
        votes.cast("a", Vote::Well, s(3));
        votes.cast("b", Vote::Well, s(3));
        assert_eq!((votes.tally(s(0)).dead, votes.tally(s(0)).well), (1, 2));
        assert_eq!(votes.tally(s(2)).dead, 0);
    }

    #[test]
    fn a_few_hosts_that_fail_are_no_zone() {
        let saw = |asked, failed, late| Saw { asked, failed, late }.vote();
        assert_eq!(saw(1, 1, 0), None);
        assert_eq!(saw(5, 1, 0), Some(Vote::Well));
        assert_eq!(saw(5, 1, 1), Some(Vote::Ill));
        assert_eq!(saw(5, 3, 0), Some(Vote::Dead));
    }
}
