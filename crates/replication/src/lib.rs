//! Purges and configuration reach every dispatcher through replicas, and a replica says truthfully when each is in force.
//!
//! The core alone: time, polls and answers come in; answers and verdicts go out. See `docs/replication.md`.

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
