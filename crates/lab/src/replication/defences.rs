//! Defences that are switched off in the processes of a run, so that the proof is seen to fail. They are told by the
//! environment, which only this program reads; the shipped one does not.

use myrtlegauge_dispatcher::routing::SubscriberDefences;
use myrtlegauge_replication::ReplicaDefences;

/// The variable that names the defence that is off.
pub const VARIABLE: &str = "LAB_REPLICATION_WITHOUT";

/// What is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// A purge counts as in force once a majority of the replicas has read it.
    Watermark,
    /// A dispatcher stays at its primary.
    Fallback,
}

impl Without {
    /// Its word in the environment.
    pub fn word(self) -> &'static str {
        match self {
            Self::Watermark => "watermark",
            Self::Fallback => "fallback",
        }
    }
}

fn is_without(defence: Without) -> bool {
    std::env::var(VARIABLE).is_ok_and(|word| word == defence.word())
}

/// A dispatcher's defences in this process.
pub fn subscriber() -> SubscriberDefences {
    SubscriberDefences { fallback: !is_without(Without::Fallback), ..SubscriberDefences::default() }
}

/// A replica's defences in this process.
pub fn replica() -> ReplicaDefences {
    ReplicaDefences { watermark: !is_without(Without::Watermark), ..ReplicaDefences::default() }
}
