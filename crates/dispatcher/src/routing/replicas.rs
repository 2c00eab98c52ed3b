//! Client of the change log's replicas, for dispatchers whose operators configure them. It adds sockets to the
//! replication crate's subscriber, which decides which replica is polled, which records are applied and whether
//! purges may have been missed. It is generic over the owner of the event loop, so that the dispatchers without
//! clients in the proof runs use the same code.

use myrtlegauge_replication::{
    ConfigurationError, HostLine, Incarnation, MemberName, PollAnswer, Purge, Record, ReplicaName,
    Subscriber, SubscriberConfig, SubscriberCounters, SubscriberDefences, SubscriberPoll,
};
use myrtlegauge_wire::long_poll::LongPollClient;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{EventLoopHandle, ReadinessHandler, ResourceUsage};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the shutdown waits until the replica is notified that this dispatcher leaves. Without the notification,
/// the lease expires at the replica.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// The operator's configuration of the replicas.
#[derive(Clone, Debug)]
pub struct ReplicasStartup {
    /// This dispatcher's name among the members.
    pub name: String,
    /// The replica that is polled while it answers.
    pub primary: SocketAddr,
    /// The replica that is polled while the primary does not answer.
    pub fallback: SocketAddr,
    /// After this long without an answer, cached copies are in doubt, because purges may have been missed.
    pub doubt_after: Duration,
    /// The seed of the subscriber's random generator.
    pub seed: u64,
    /// All are enabled, except in proof runs.
    pub defences: SubscriberDefences,
}

/// Identifies one of the two replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaKey {
    /// The replica that is polled while it answers.
    Primary,
    /// The replica that is polled while the primary does not answer.
    Fallback,
}

/// The long poll of one replica.
struct ReplicaPoll<O: ReadinessHandler> {
    name: ReplicaName,
    poll: LongPollClient<O>,
    /// When the current or the last answered poll was started.
    polled_at: Duration,
}

impl<O: ReadinessHandler> ReplicaPoll<O> {
    fn new(address: SocketAddr, key: O::Key) -> Self {
        // Replicas are identified by the addresses they listen on.
        Self {
            name: ReplicaName(address.to_string()),
            poll: LongPollClient::new(address, key),
            polled_at: Duration::ZERO,
        }
    }
}

/// Polls the replicas and queues the records to apply.
pub struct ReplicaClient<O: ReadinessHandler> {
    subscriber: Subscriber,
    replicas: [ReplicaPoll<O>; 2],
    /// Records still to be applied. They are acknowledged only after that.
    records: VecDeque<Record>,
    /// The state at the last call of `update_uncertainty`.
    was_uncertain: bool,
    /// When the last answered poll was started. All that the replica had then is known.
    list_known: Duration,
    /// Until when the shutdown waits for the leave notification to be sent.
    leave_deadline: Option<Duration>,
}

/// One or more records to be applied together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Lines of the host list. They are applied together because each update makes the decision module rebuild all
    /// its rings.
    HostLines(Vec<HostLine>),
    /// A purge.
    Purge(Purge),
    /// A record that changes nothing here.
    Other,
}

/// Why a poll failed.
pub struct PollError(String);

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<O: ReadinessHandler> ReplicaClient<O> {
    /// Starts without any knowledge: purges count as missed until the dispatcher is attached to a replica.
    /// `event_key_of` gives the key under which the owner's event loop reports a replica's poll as ready.
    ///
    /// # Errors
    /// A configuration that the subscriber rejects.
    pub fn new(
        startup: &ReplicasStartup,
        event_key_of: impl Fn(ReplicaKey) -> O::Key,
        unix_ms: u64,
        now: Duration,
    ) -> Result<Self, ConfigurationError> {
        let replicas = [
            ReplicaPoll::new(startup.primary, event_key_of(ReplicaKey::Primary)),
            ReplicaPoll::new(startup.fallback, event_key_of(ReplicaKey::Fallback)),
        ];
        let config = SubscriberConfig {
            doubt_after: startup.doubt_after,
            seed: startup.seed,
            defences: startup.defences,
            ..SubscriberConfig::new(
                MemberName(startup.name.clone()),
                Incarnation(unix_ms),
                replicas[0].name.clone(),
                Some(replicas[1].name.clone()),
            )
        };
        let subscriber = Subscriber::new(config, now)?;
        Ok(Self {
            subscriber,
            replicas,
            records: VecDeque::new(),
            was_uncertain: true,
            list_known: now,
            leave_deadline: None,
        })
    }

    /// Reads and writes as far as possible. Returns whether there is more to read.
    pub fn on_ready(&mut self, key: ReplicaKey, read_buffer: &mut [u8]) -> bool {
        self.replicas[key as usize].poll.on_ready(read_buffer)
    }

    /// Handles the next finished poll and returns its result, or `None` if no poll has finished.
    pub fn next_result(&mut self, now: Duration) -> Option<Result<(), PollError>> {
        let outcome =
            |replica: &mut ReplicaPoll<O>| Some((replica.name.clone(), replica.poll.take_result(now)?));
        let (name, answer) = self.replicas.iter_mut().find_map(outcome)?;
        Some(match answer {
            Ok(body) => self.apply_answer(&name, &body, now),
            Err(StreamError(error)) => {
                self.subscriber.on_failure(&name, now);
                Err(PollError(format!("{name}: {error}")))
            }
        })
    }

    fn apply_answer(&mut self, name: &ReplicaName, body: &[u8], now: Duration) -> Result<(), PollError> {
        let answer: PollAnswer = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(e) => {
                self.subscriber.on_failure(name, now);
                return Err(PollError(format!("{name}: unreadable answer: {e}")));
            }
        };
        let accepted =
            self.subscriber.on_answer(name, answer, now).map_err(|error| PollError(error.to_string()))?;
        self.records.extend(accepted.records);
        let polled_at =
            self.replicas.iter().find(|replica| replica.name == *name).map(|replica| replica.polled_at);
        self.list_known = self.list_known.max(polled_at.unwrap_or_default());
        Ok(())
    }

    /// Sends the polls that the subscriber requests, once all received records are applied.
    pub fn send_polls(
        &mut self,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
        now: Duration,
    ) {
        if self.has_records() || self.leave_deadline.is_some() {
            return;
        }
        while let Some(poll) = self.subscriber.next_poll(now) {
            self.send(&poll, event_loop, resource_usage, now);
        }
    }

    fn send(
        &mut self,
        poll: &SubscriberPoll,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
        now: Duration,
    ) {
        if let Some(replica) = self.replicas.iter_mut().find(|replica| replica.name == poll.to) {
            replica.polled_at = now;
            replica.poll.start_poll(&poll.request.to_query(), poll.deadline, event_loop, resource_usage);
        }
    }

    /// The time up to which the host list is known, by the replicas' answers.
    pub fn list_known(&self) -> Duration {
        self.list_known
    }

    /// Whether there are records to apply.
    pub fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// The next change to apply.
    pub fn next_change(&mut self) -> Option<Change> {
        Some(match self.records.pop_front()? {
            Record::Purge(purge) => Change::Purge(purge),
            Record::HostLine(first) => Change::HostLines(self.host_lines_from(first)),
            Record::Configuration(_) | Record::Member(_) => Change::Other,
        })
    }

    /// A host line and the host lines that directly follow it.
    fn host_lines_from(&mut self, first: HostLine) -> Vec<HostLine> {
        let mut lines = vec![first];
        while let Some(Record::HostLine(_)) = self.records.front()
            && let Some(Record::HostLine(line)) = self.records.pop_front()
        {
            lines.push(line);
        }
        lines
    }

    /// Whether the uncertainty has begun or ended since the last call of `update_uncertainty`.
    pub fn has_uncertainty_changed(&self, now: Duration) -> bool {
        self.subscriber.in_doubt_since(now).is_some() != self.was_uncertain
    }

    /// Whether purges may have been missed. To be called once all received records are applied.
    pub fn update_uncertainty(&mut self, now: Duration) -> PurgeUncertainty {
        let is_uncertain = self.subscriber.in_doubt_since(now).is_some();
        let was_uncertain = std::mem::replace(&mut self.was_uncertain, is_uncertain);
        match (was_uncertain, is_uncertain) {
            (false, true) => PurgeUncertainty::Began,
            (true, true) => PurgeUncertainty::Ongoing,
            (true, false) => PurgeUncertainty::Ended,
            (false, false) => PurgeUncertainty::None,
        }
    }

    /// The next time at which there is work without any socket event.
    pub fn deadline(&self, now: Duration) -> Duration {
        let polls =
            self.replicas.iter().map(|replica| replica.poll.deadline()).min().unwrap_or(Duration::MAX);
        let subscriber_deadline = self
            .subscriber
            .next_wakeup(now)
            .filter(|_| self.leave_deadline.is_none())
            .unwrap_or(Duration::MAX);
        polls.min(subscriber_deadline).min(self.leave_deadline.unwrap_or(Duration::MAX))
    }

    /// Notifies the replica that this dispatcher leaves. Returns whether that is done or has timed out.
    pub fn leave(
        &mut self,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
        now: Duration,
    ) -> bool {
        if self.leave_deadline.is_none() {
            self.leave_deadline = Some(now + LEAVE_TIMEOUT);
            let poll = self.subscriber.leave(now);
            self.send(&poll, event_loop, resource_usage, now);
        }
        let is_notified = !self.replicas.iter().any(|replica| replica.poll.is_pending());
        is_notified || self.leave_deadline.is_some_and(|deadline| now >= deadline)
    }

    /// The subscriber's counters.
    pub fn counters(&self) -> SubscriberCounters {
        self.subscriber.counters()
    }

    /// The polled replica and the counters as a log line.
    pub fn summary(&self) -> String {
        format!("replication: polls {} {:?}", self.subscriber.replica(), self.counters())
    }
}

/// Whether purges may have been missed. During that time, every cached copy may have been purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeUncertainty {
    /// The uncertainty has just begun: forwards decided and not yet sent are decided again.
    Began,
    /// The uncertainty continues.
    Ongoing,
    /// The uncertainty has just ended.
    Ended,
    /// No purge is missing.
    None,
}
