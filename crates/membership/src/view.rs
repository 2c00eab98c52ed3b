//! The members as one of them sees them, and how much of the fleet that view covers.

/// How much of the last known fleet a view reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// More than half of it: at most one side of a partition has this.
    Most,
    /// Half of it or less.
    NotMost,
}

/// One member's view. Views of the same epoch at different members need not be equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Grows at every change, at this member.
    pub epoch: u64,
    /// Members that are alive, this one included.
    pub alive: usize,
    pub suspect: usize,
    pub dead: usize,
    /// The last known fleet: the sum of these, without members that left or were forgotten.
    pub known: usize,
    pub reach: Reach,
}

impl View {
    /// The number of members by which the capacity of a source is to be divided. Where it is uncertain, it is the
    /// larger number. Dead members count until they are forgotten, so that the halves of a partition together request
    /// no more than the whole fleet did. Until this view has reached most of the fleet, the configured number of
    /// members counts where it is larger.
    ///
    /// ```
    /// use myrtlegauge_membership::{Reach, View};
    /// let half = View { epoch: 9, alive: 8, suspect: 0, dead: 8, known: 16, reach: Reach::NotMost };
    /// assert_eq!(half.source_sharers(16, true), 16);
    /// let alone = View { epoch: 1, alive: 1, suspect: 0, dead: 0, known: 1, reach: Reach::NotMost };
    /// assert_eq!(alone.source_sharers(300, false), 300);
    /// ```
    pub fn source_sharers(&self, expected_members: usize, has_reached_most: bool) -> usize {
        if has_reached_most { self.known } else { self.known.max(expected_members) }.max(1)
    }
}

/// A change of a member's state, or of this member's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Answered for the first time.
    New(String),
    /// Became suspect.
    Doubted(String),
    /// Was suspect and is alive.
    Cleared(String),
    /// Was declared dead.
    Gone(String),
    /// Was dead and is alive in the same generation.
    Back(String),
    /// Is alive in a later generation.
    Restarted(String),
    /// Announced that it leaves, or is reported to have left and refuses connections.
    Left(String),
    /// Was dead or had left for so long that its record was dropped.
    Forgotten(String),
    /// This process did not run for this number of milliseconds. It accuses nobody until it has received an answer.
    Woke(u64),
    /// Another member has the name of this one and started later: this one no longer takes part.
    NameTaken,
    /// This member now reaches, or no longer reaches, most of the fleet.
    Reach(Reach),
}
