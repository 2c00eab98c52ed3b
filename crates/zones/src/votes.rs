//! Evidence on a zone: how its hosts recently answered each dispatcher. Each dispatcher has one vote, however often it
//! reports.

use std::collections::BTreeMap;
use std::time::Duration;

/// The fraction of contacted hosts that must fail for a zone to count as dead for a dispatcher. A smaller number of failed
/// hosts is a matter of these hosts, and the other hosts of a dead zone may not have been contacted since.
const DEAD_FRACTION: f64 = 0.6;
/// The fraction of contacted hosts that must fail or be late for a zone to count as ill.
const ILL_FRACTION: f64 = 0.4;
/// Hosts that must have been contacted: a single one is no evidence on the zone.
const MIN_HOSTS: u32 = 2;
/// The maximum number of voters recorded for a zone, so that made-up names cannot fill the memory.
const MAX_VOTERS: usize = 4096;

/// How a zone's hosts answered a dispatcher in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostEvidence {
    /// Hosts that were sent any request.
    pub contacted: u32,
    /// Contacted hosts that mostly failed.
    pub failed: u32,
    /// Contacted hosts that were mostly late.
    pub late: u32,
}

/// A dispatcher's vote on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Vote {
    /// Too few hosts fail or are late for another vote.
    Well,
    /// A gray failure: slow, lossy, or half of its hosts failed.
    Ill,
    /// Most of the contacted hosts fail.
    Dead,
}

impl HostEvidence {
    /// The vote that follows from the evidence; none where too few hosts were contacted.
    pub fn vote(&self) -> Option<Vote> {
        self.vote_of(MIN_HOSTS)
    }

    /// The vote during a trial with few GETs, where any contacted host counts.
    pub fn trial_vote(&self) -> Option<Vote> {
        self.vote_of(1)
    }

    fn vote_of(&self, min_hosts: u32) -> Option<Vote> {
        if self.contacted < min_hosts {
            return None;
        }
        let fraction = |hosts: u32| f64::from(hosts) / f64::from(self.contacted);
        Some(if fraction(self.failed) >= DEAD_FRACTION {
            Vote::Dead
        } else if fraction(self.failed + self.late) >= ILL_FRACTION {
            Vote::Ill
        } else {
            Vote::Well
        })
    }
}

/// The number of current votes of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub well: u32,
    pub ill: u32,
    pub dead: u32,
}

impl Tally {
    /// The number of voters.
    pub fn voters(&self) -> u32 {
        self.well + self.ill + self.dead
    }

    /// The fraction of the voters that these votes are; zero without voters.
    pub fn fraction(&self, votes: u32) -> f64 {
        f64::from(votes) / f64::from(self.voters().max(1))
    }
}

/// The votes on one zone, by voter.
#[derive(Clone, Debug, Default)]
pub struct Votes {
    by_voter: BTreeMap<String, (Vote, Duration)>,
}

impl Votes {
    /// Records a vote, in place of the voter's previous one. A new voter over the bound is not recorded.
    pub fn cast(&mut self, voter: &str, vote: Vote, now: Duration) {
        let is_full = self.by_voter.len() >= MAX_VOTERS;
        match self.by_voter.get_mut(voter) {
            Some(previous) => *previous = (vote, now),
            None if is_full => {}
            None => _ = self.by_voter.insert(voter.to_owned(), (vote, now)),
        }
    }

    /// Counts the votes cast at `since` or later.
    pub fn tally(&self, since: Duration) -> Tally {
        let mut tally = Tally::default();
        for (vote, at) in self.by_voter.values() {
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

    /// Drops votes cast before a time.
    pub fn drop_before(&mut self, time: Duration) {
        self.by_voter.retain(|_, (_, at)| *at >= time);
    }

    /// The voters and their votes cast at `since` or later, for display.
    pub fn list(&self, since: Duration) -> impl Iterator<Item = (&str, Vote)> {
        let is_current = move |(_, (_, at)): &(&String, &(Vote, Duration))| *at >= since;
        self.by_voter.iter().filter(is_current).map(|(voter, (vote, _))| (voter.as_str(), *vote))
    }
}

#[cfg(test)]
mod tests {
    use super::{HostEvidence, Vote, Votes};
    use std::time::Duration;

    #[test]
    fn each_voter_has_one_vote_and_outdated_votes_do_not_count() {
        let (mut votes, seconds) = (Votes::default(), Duration::from_secs);
        for offset_ms in 0..100 {
            votes.cast("frequent", Vote::Dead, seconds(1) + Duration::from_millis(offset_ms));
        }
        votes.cast("a", Vote::Well, seconds(3));
        votes.cast("b", Vote::Well, seconds(3));
        assert_eq!((votes.tally(seconds(0)).dead, votes.tally(seconds(0)).well), (1, 2));
        assert_eq!(votes.tally(seconds(2)).dead, 0);
    }

    #[test]
    fn a_few_failing_hosts_do_not_make_a_zone_dead() {
        let vote = |contacted, failed, late| HostEvidence { contacted, failed, late }.vote();
        assert_eq!(vote(1, 1, 0), None);
        assert_eq!(vote(5, 1, 0), Some(Vote::Well));
        assert_eq!(vote(5, 1, 1), Some(Vote::Ill));
        assert_eq!(vote(5, 3, 0), Some(Vote::Dead));
    }
}
