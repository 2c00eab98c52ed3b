//! Who is there, as one member holds it, and what that view is worth.

/// How much of the last known fleet a view reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// More than half of it: at most one side of a split has this.
    Most,
    NotMost,
}

/// One member's view. Two views of one epoch at different members need not be the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Grows at every change, at this member.
    pub epoch: u64,
    /// This member among them.
    pub here: usize,
    pub doubted: usize,
    pub gone: usize,
    /// The last known fleet: all of these, less those who left by themselves or were forgotten.
    pub known: usize,
    pub reach: Reach,
}

impl View {
    /// For how many a source is to be shared out, strict when in doubt: gone members count until they are forgotten,
    /// so that the halves of a split together ask for no more than the whole did; before this view has ever reached
    /// most, the count that operators told goes in where it is larger.
    ///
    /// ```
    /// use myrtlegauge_membership::{Reach, View};
    /// let half = View { epoch: 9, here: 8, doubted: 0, gone: 8, known: 16, reach: Reach::NotMost };
    /// assert_eq!(half.sharers(16, true), 16);
    /// let alone = View { epoch: 1, here: 1, doubted: 0, gone: 0, known: 1, reach: Reach::NotMost };
    /// assert_eq!(alone.sharers(300, false), 300);
    /// ```
    pub fn sharers(&self, told: usize, was_most: bool) -> usize {
        if was_most { self.known } else { self.known.max(told) }.max(1)
    }
}

/// What changed of a member, or of this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Met for the first time.
    New(String),
    Doubted(String),
    /// Doubted, and there after all.
    Cleared(String),
    Gone(String),
    /// Held for gone, and there in the same life.
    Back(String),
    /// There in a later life.
    Restarted(String),
    Left(String),
    Forgotten(String),
    /// This process did not run for so long (ms); it accuses nobody until it has heard.
    Woke(u64),
    /// Another has this one's name, and started later: this one is out.
    NameTaken,
    Reach(Reach),
}
