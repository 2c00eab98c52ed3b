//! A guard that is left out in the processes of a run, so that the proof is seen to fail. It is told by the environment, which only
//! this program reads; the shipped one does not.

use myrtlegauge_dispatcher::routing::{Guards, Rule};

/// The variable that names the guard that is left out.
pub const VARIABLE: &str = "LAB_WITHOUT_GUARD";

/// The guard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    Sending,
    Repeating,
    Closing,
    Starting,
}

impl Without {
    fn rule(self) -> Rule {
        match self {
            Self::Sending => Rule::Sending,
            Self::Repeating => Rule::Repeating,
            Self::Closing => Rule::Closing,
            Self::Starting => Rule::Starting,
        }
    }

    /// Its word in the environment.
    pub fn word(self) -> &'static str {
        self.rule().name()
    }
}

/// A dispatcher's guards in this process.
pub fn guards() -> Guards {
    let named = std::env::var(VARIABLE).unwrap_or_default();
    let left_out = Rule::ALL.into_iter().find(|rule| rule.name() == named);
    left_out.map_or(Guards::ALL, Guards::without)
}
