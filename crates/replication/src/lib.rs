//! Replicates purges, the host list and configurations to every dispatcher through replicas. A replica reports a record
//! as in force only once every dispatcher that is not in doubt has applied it.
//!
//! This crate has the logic alone, without clocks or sockets: time, polls and answers are passed in; polls, answers and
//! verdicts are returned. See `docs/replication.md`.

mod checks;
pub mod compacted_log;
pub mod errors;
mod members;
mod peers;
pub mod poll;
pub mod record;
pub mod replica;
pub mod subscriber;
mod waiting;
pub mod watermark;

pub use errors::{AnswerError, ConfigurationError, PollError, PublishError, RecordError};
pub use poll::{PollAnswer, PollRequest, Poller, ReplicaReport, ReplicaStanding};
pub use record::{
    Attachment, Configuration, Event, HostLine, Incarnation, LogId, Member, MemberName, MemberState, Purge,
    PurgeTarget, Record, RecordName, ReplicaName, Sequence, Version,
};
pub use replica::{MemberView, PeerPoll, PollId, Replica, ReplicaConfig, ReplicaCounters, ReplicaDefences};
pub use subscriber::{
    AcceptedAnswer, Subscriber, SubscriberConfig, SubscriberCounters, SubscriberDefences, SubscriberPoll,
};
pub use watermark::{LaggingReplica, Outstanding, Reason, Verdict};
