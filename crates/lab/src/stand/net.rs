//! What can go wrong between any two parties, each way for itself. Stand-ins ask here before they take what came and
//! before they give what they have; a partition is a set of ways that are cut.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Who can be at an end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// The front with its clients.
    Front,
    Dispatcher(usize),
    Host(usize),
    ChangeLog,
}

/// One way from a party to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing passes, and nobody is told; what waits passes once it is mended.
    Cut,
    Slow(Duration),
    /// So many of a hundred messages are lost.
    Lossy(u32),
    /// Connections are reset in the middle of a message.
    Reset,
}

/// What became of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    Whole,
    Lost,
    Reset,
}

pub struct Net {
    ways: watch::Sender<BTreeMap<(Party, Party), Way>>,
    /// Some way is not clear: the rest needs no look.
    faulty: AtomicBool,
    drawn: AtomicU64,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            ways: watch::Sender::new(BTreeMap::new()),
            faulty: AtomicBool::new(false),
            drawn: AtomicU64::new(seed),
        }
    }

    pub fn set(&self, from: Party, to: Party, way: Way) {
        self.ways.send_modify(|ways| {
            ways.insert((from, to), way);
        });
        self.faulty.store(true, Ordering::Release);
    }

    pub fn mend(&self, from: Party, to: Party) {
        self.ways.send_modify(|ways| {
            ways.remove(&(from, to));
            self.faulty.store(!ways.is_empty(), Ordering::Release);
        });
    }

    /// What is wrong with a way now.
    pub fn way(&self, from: Party, to: Party) -> Option<Way> {
        self.ways.borrow().get(&(from, to)).copied()
    }

    /// Both ways between two parties.
    pub fn set_both(&self, one: Party, other: Party, way: Way) {
        self.set(one, other, way);
        self.set(other, one, way);
    }

    pub fn mend_both(&self, one: Party, other: Party) {
        self.mend(one, other);
        self.mend(other, one);
    }

    /// A message's way; waits while it is cut.
    pub async fn pass(&self, from: Party, to: Party) -> Passed {
        if !self.faulty.load(Ordering::Acquire) {
            return Passed::Whole;
        }
        let mut ways = self.ways.subscribe();
        loop {
            let way = ways.borrow_and_update().get(&(from, to)).copied();
            match way {
                None => return Passed::Whole,
                Some(Way::Reset) => return Passed::Reset,
                Some(Way::Lossy(part)) => {
                    let drawn = self.drawn.fetch_add(1, Ordering::Relaxed);
                    let lost = fastrand::Rng::with_seed(drawn).u32(0..100) < part;
                    return if lost { Passed::Lost } else { Passed::Whole };
                }
                Some(Way::Slow(long)) => {
                    tokio::time::sleep(long).await;
                    return Passed::Whole;
                }
                Some(Way::Cut) => {
                    if ways.changed().await.is_err() {
                        return Passed::Lost;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Net, Party, Passed, Way};
    use std::time::Duration;

    /// A way that is cut holds what passes until it is mended, and only that way; a reset one says so at once.
    #[tokio::test(start_paused = true)]
    async fn each_way_has_its_own_trouble() {
        let net = std::sync::Arc::new(Net::new(1));
        let (a, b) = (Party::Dispatcher(0), Party::Host(3));
        assert_eq!(net.pass(a, b).await, Passed::Whole);
        net.set(a, b, Way::Cut);
        assert_eq!(net.pass(b, a).await, Passed::Whole);
        let held = tokio::spawn({
            let net = std::sync::Arc::clone(&net);
            async move { net.pass(a, b).await }
        });
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert!(!held.is_finished());
        net.mend(a, b);
        assert_eq!(held.await.expect("it ends"), Passed::Whole);
        net.set_both(a, b, Way::Reset);
        assert_eq!([net.pass(a, b).await, net.pass(b, a).await], [Passed::Reset, Passed::Reset]);
        net.set(a, b, Way::Lossy(50));
        let mut lost = 0;
        for _ in 0..200 {
            lost += u32::from(net.pass(a, b).await == Passed::Lost);
        }
        assert!((60..140).contains(&lost), "{lost} of 200 lost");
    }
}
