//! An informed bound: what a policy that sees the true state would have served on the same schedule. It knows at each GET
//! what every cache and parent holds, when the origin could give it, and which dispatchers live; it asks the origin only
//! for what comes in time, and sheds the rest at once. It is greedy in the order of GETs, so a policy that also knew the
//! future could do a little better.

use super::front::{Due, SERVICES};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// What binds the source, and what was lost when.
pub struct Known {
    pub slots: usize,
    pub work: Duration,
    /// Way and work of a cache around a fill.
    pub around: Duration,
    pub fresh: Duration,
    /// Caches, by whose number objects are spread; and the copies each lost at these times.
    pub caches: usize,
    /// What the caches hold at first, with its birth, in spans since a fresh time before the run.
    pub held: HashMap<u64, Duration>,
    pub emptied: Vec<(Duration, usize)>,
    /// The source gives nothing in these spans, or works so many times as long.
    pub dead: Vec<(Duration, Duration)>,
    pub slowed: Vec<(Duration, Duration, f64)>,
}

/// GETs served in time, by the order of the schedule.
pub fn served(dues: &[Due], known: &Known) -> Vec<bool> {
    let mut free: BinaryHeap<Reverse<Duration>> = (0..known.slots).map(|_| Reverse(Duration::ZERO)).collect();
    let (mut held, mut at_parents) = (known.held.clone(), known.held.clone());
    let cache = |object: u64| (object.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % known.caches;
    let mut lost = known.emptied.iter().peekable();
    // Times here begin a fresh time before the run, so that copies can be of before it.
    let shift = known.fresh;
    let mut served = Vec::with_capacity(dues.len());
    for due in dues {
        while let Some((_, gone)) = lost.next_if(|(at, _)| *at <= due.at) {
            if *gone < known.caches {
                held.retain(|object, _| cache(*object) != *gone);
            } else {
                at_parents.clear();
            }
        }
        let service = &SERVICES[due.service];
        let parents = at_parents.get(&due.object).copied();
        let born = held.get(&due.object).copied().max(parents).filter(|_| !service.effect);
        let fresh =
            |born: &Duration| due.service != 0 || (due.at + shift).saturating_sub(*born) <= known.fresh;
        if let Some(born) = born.filter(fresh) {
            held.insert(due.object, born);
            served.push(true);
            continue;
        }
        let from = (due.at + shift).max(free.peek().map_or(Duration::ZERO, |Reverse(at)| *at));
        let dead =
            known.dead.iter().find(|(a, b)| from >= *a + shift && from < *b + shift).map(|(_, b)| *b + shift);
        let from = dead.map_or(from, |until| until.max(from));
        let times = known
            .slowed
            .iter()
            .find(|(a, b, _)| from >= *a + shift && from < *b + shift)
            .map_or(1.0, |s| s.2);
        let done = from + known.work.mul_f64(times);
        let in_time = done + known.around <= due.at + shift + service.objective;
        if in_time {
            free.pop();
            free.push(Reverse(done));
            if !service.effect {
                held.insert(due.object, done);
                at_parents.insert(due.object, done);
            }
        }
        served.push(in_time);
    }
    served
}

#[cfg(test)]
mod tests {
    use super::{Known, served};
    use crate::fleet::front::Due;
    use std::collections::HashMap;
    use std::time::Duration;

    /// Of what comes together the bound serves what the source can give within the objective, and no more.
    #[test]
    fn it_serves_what_comes_in_time_and_sheds_the_rest() {
        let known = Known {
            slots: 2,
            work: Duration::from_millis(100),
            around: Duration::ZERO,
            fresh: Duration::from_secs(5),
            caches: 4,
            held: HashMap::new(),
            emptied: Vec::new(),
            dead: Vec::new(),
            slowed: Vec::new(),
        };
        let due = |object| Due { at: Duration::ZERO, service: 0, object, known: false };
        let dues: Vec<Due> = (0..20).map(due).collect();
        // 400 ms at two places of 100 ms each.
        assert_eq!(served(&dues, &known).iter().filter(|served| **served).count(), 8);
    }
}
