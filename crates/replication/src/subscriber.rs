//! The subscriber, which runs in a dispatcher. It decides which replica is polled, which records are applied, and
//! whether the dispatcher is in doubt, that is whether purges may have been missed.

use crate::checks::{check_longer, check_name, millis};
use crate::compacted_log::{CompactedLog, MergeResult};
use crate::errors::{AnswerError, ConfigurationError};
use crate::poll::{PollAnswer, PollRequest, Poller, ReplicaStanding};
use crate::record::{Attachment, Event, Incarnation, LogId, MemberName, Record, ReplicaName, Sequence};
use std::time::Duration;

/// The configuration of a subscriber. [`SubscriberConfig::new`] sets the defaults.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// The name of the dispatcher.
    pub name: MemberName,
    /// The start of this process.
    pub incarnation: Incarnation,
    /// The replica of the dispatcher's zone.
    pub primary: ReplicaName,
    /// The replica that is polled while the primary fails.
    pub fallback: Option<ReplicaName>,
    /// How long the replica may hold a poll.
    pub poll_timeout: Duration,
    /// A poll counts as failed this long after its timeout.
    pub poll_timeout_margin: Duration,
    /// The delay between a failed poll and the next one.
    pub retry_delay: Duration,
    /// The doubt timeout: an attached dispatcher is in doubt this long after it sent the last poll that was answered
    /// with `attached`.
    pub doubt_after: Duration,
    /// The other replica is tried if an attachment is not complete after this time, which is doubled each time.
    pub attach_timeout: Duration,
    /// The time between two probes of the primary while the fallback is polled.
    pub probe_interval: Duration,
    /// How long the primary has to answer probes before the dispatcher returns to it.
    pub return_after: Duration,
    /// A random duration up to this is added to `return_after`, so that the dispatchers of a fleet do not return at the
    /// same time.
    pub return_jitter: Duration,
    /// Purges older than this are not kept, because no cached copy is that old.
    pub purge_retention: Duration,
    /// The seed of the random generator.
    pub seed: u64,
    /// All are enabled, except in proof runs.
    pub defences: SubscriberDefences,
}

impl SubscriberConfig {
    /// The defaults. `incarnation` is the Unix time of the start in milliseconds.
    pub fn new(
        name: MemberName,
        incarnation: Incarnation,
        primary: ReplicaName,
        fallback: Option<ReplicaName>,
    ) -> Self {
        Self {
            name,
            incarnation,
            primary,
            fallback,
            poll_timeout: Duration::from_secs(1),
            poll_timeout_margin: Duration::from_millis(500),
            retry_delay: Duration::from_millis(200),
            doubt_after: Duration::from_secs(3),
            attach_timeout: Duration::from_secs(6),
            probe_interval: Duration::from_secs(1),
            return_after: Duration::from_secs(10),
            return_jitter: Duration::from_secs(20),
            purge_retention: Duration::from_secs(24 * 3600),
            seed: 0,
            defences: SubscriberDefences::default(),
        }
    }
}

impl Default for SubscriberDefences {
    fn default() -> Self {
        Self { fallback: true, doubt: true }
    }
}

/// Safety mechanisms that proof runs disable one at a time, to show that the oracle detects their absence. They must
/// stay enabled otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriberDefences {
    /// The dispatcher switches to its fallback. Disabled: it stays at its primary.
    pub fallback: bool,
    /// A dispatcher without answers is in doubt. Disabled: once attached, it never is.
    pub doubt: bool,
}

/// A poll to send to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberPoll {
    /// The replica to poll.
    pub to: ReplicaName,
    /// The content of the poll.
    pub request: PollRequest,
    /// Without an answer by then, the caller reports [`Subscriber::on_failure`].
    pub deadline: Duration,
}

/// The records of an accepted answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedAnswer {
    /// The new records, in order. All of them must be applied before the next [`Subscriber::next_poll`].
    pub records: Vec<Record>,
    /// The number of records that were already known, were older than the known ones, or are not for dispatchers.
    pub ignored: usize,
}

/// Counters of a subscriber since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Accepted answers.
    pub answers: u64,
    /// Polls that failed or timed out.
    pub failures: u64,
    /// Records returned to be applied.
    pub applied: u64,
    /// Records that were already known, were older than the known ones, or are not for dispatchers.
    pub passed_over: u64,
    /// Started attachments.
    pub attachments: u64,
    /// Switches to the fallback.
    pub fallbacks: u64,
    /// Returns to the primary.
    pub returns: u64,
    /// Answers with another log than the one read before.
    pub other_logs: u64,
}

/// How long a replica that failed, or was in its start-up hold, is avoided while the other one is available.
const AVOID_DURATION: Duration = Duration::from_secs(2);
/// The number of consecutive failures after which the subscriber switches replicas. A poll that reached its deadline
/// counts as this many failures.
const MAX_FAILURES: u32 = 2;
/// The attach timeout doubles up to this multiple of the configured one.
const MAX_ATTACH_TIMEOUT_FACTOR: u32 = 64;

/// One of the two replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplicaChoice {
    Primary,
    Fallback,
}

/// An open poll.
#[derive(Clone, Debug)]
struct OpenPoll {
    sent_at: Duration,
    since: Sequence,
    deadline: Duration,
}

/// The position in a replica's log under one attachment.
#[derive(Clone, Debug, Default)]
struct LogPosition {
    log: Option<LogId>,
    since: Sequence,
    acknowledged: Sequence,
}

/// The part of replication that runs in a dispatcher.
///
/// ```
/// use myrtlegauge_replication::*;
/// use std::time::Duration;
/// let config = SubscriberConfig::new("d1".into(), Incarnation(1), "north".into(), Some("south".into()));
/// let mut subscriber = Subscriber::new(config, Duration::ZERO)?;
/// assert!(subscriber.in_doubt_since(Duration::ZERO).is_some());
/// let poll = subscriber.next_poll(Duration::ZERO).expect("it polls immediately");
/// assert_eq!(poll.to, "north".into());
/// let answer = PollAnswer::from_json(r#"{"log":"north-1","seq":0,"attached":true,"results":[]}"#)?;
/// let accepted = subscriber.on_answer(&poll.to, answer, Duration::from_millis(20))?;
/// assert!(accepted.records.is_empty());
/// assert!(subscriber.in_doubt_since(Duration::from_millis(20)).is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Subscriber {
    config: SubscriberConfig,
    rng: fastrand::Rng,
    started_at: Duration,
    choice: ReplicaChoice,
    attachment: Attachment,
    position: LogPosition,
    open_poll: Option<OpenPoll>,
    next_poll_at: Duration,
    /// When the current attachment was started, or `None` once it is complete.
    attaching_since: Option<Duration>,
    attach_timeout: Duration,
    failures: u32,
    /// Until when the primary is avoided.
    primary_avoided_until: Duration,
    /// Until when the fallback is avoided.
    fallback_avoided_until: Duration,
    probe: Probe,
    /// When the last poll was sent whose answer reported the attachment as complete.
    attached_as_of: Option<Duration>,
    log: CompactedLog,
    counters: SubscriberCounters,
}

/// The probes of the primary while the fallback is polled.
#[derive(Clone, Debug, Default)]
struct Probe {
    open_poll: Option<OpenPoll>,
    next_poll_at: Duration,
    established_since: Option<Duration>,
    return_after: Duration,
}

impl Subscriber {
    /// Creates a subscriber that has no records and is in doubt.
    pub fn new(config: SubscriberConfig, now: Duration) -> Result<Self, ConfigurationError> {
        check_config(&config)?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(config.seed),
            started_at: now,
            choice: ReplicaChoice::Primary,
            attachment: Attachment(1),
            position: LogPosition::default(),
            open_poll: None,
            next_poll_at: now,
            attaching_since: Some(now),
            attach_timeout: config.attach_timeout,
            failures: 0,
            primary_avoided_until: Duration::ZERO,
            fallback_avoided_until: Duration::ZERO,
            probe: Probe::default(),
            attached_as_of: None,
            log: CompactedLog::default(),
            counters: SubscriberCounters { attachments: 1, ..SubscriberCounters::default() },
            config,
        })
    }

    /// The next poll to send now. One poll of a replica is open at a time, and additionally one probe of the primary.
    ///
    /// An open poll past its deadline counts as failed.
    pub fn next_poll(&mut self, now: Duration) -> Option<SubscriberPoll> {
        self.fail_overdue_polls(now);
        if self.open_poll.is_none() && now >= self.next_poll_at {
            return Some(self.start_poll(now));
        }
        let can_probe = self.choice == ReplicaChoice::Fallback && self.probe.open_poll.is_none();
        (can_probe && now >= self.probe.next_poll_at).then(|| self.start_probe(now))
    }

    /// Handles the answer to the open poll of a replica. The returned records must be applied before the next
    /// [`Subscriber::next_poll`], which acknowledges them, and before the next [`Subscriber::in_doubt_since`].
    pub fn on_answer(
        &mut self,
        replica: &ReplicaName,
        answer: PollAnswer,
        now: Duration,
    ) -> Result<AcceptedAnswer, AnswerError> {
        if *replica == self.config.primary && self.choice == ReplicaChoice::Fallback {
            return self.on_probe_answer(replica, &answer, now);
        }
        if replica != self.replica() {
            return Err(AnswerError::Unsolicited(replica.clone()));
        }
        let open_poll = self.open_poll.take().ok_or_else(|| AnswerError::Unsolicited(replica.clone()))?;
        if answer.superseded {
            self.start_attachment(now);
            self.next_poll_at = now + self.config.retry_delay;
            return Ok(AcceptedAnswer::default());
        }
        let is_other_log = self.position.log.as_ref() != Some(&answer.log);
        let expected_after =
            if is_other_log || answer.seq < open_poll.since { Sequence(0) } else { open_poll.since };
        if let Err(event) = answer.check_order(expected_after) {
            self.on_poll_failed(open_poll.deadline, now);
            return Err(AnswerError::OutOfOrder { replica: replica.clone(), event });
        }
        self.failures = 0;
        self.counters.answers += 1;
        self.advance_position(&answer);
        let accepted = self.accept_records(answer.results, now);
        self.update_attach(answer.attached, answer.standing, open_poll.sent_at, now);
        Ok(accepted)
    }

    /// Handles the failure or the timeout of the open poll of a replica.
    pub fn on_failure(&mut self, replica: &ReplicaName, now: Duration) {
        if replica == self.replica() {
            if let Some(open_poll) = self.open_poll.take() {
                self.on_poll_failed(open_poll.deadline, now);
            }
        } else if *replica == self.config.primary && self.probe.open_poll.take().is_some() {
            self.counters.failures += 1;
            self.probe.established_since = None;
            self.probe.next_poll_at = now + self.config.probe_interval;
        }
    }

    /// The last poll, which notifies the replica that this dispatcher leaves. It replaces an open poll, and its answer
    /// need not be awaited.
    pub fn leave(&mut self, now: Duration) -> SubscriberPoll {
        let mut poll = self.start_poll(now);
        if let Poller::Dispatcher { leaving, .. } = &mut poll.request.poller {
            *leaving = true;
        }
        poll
    }

    /// Since when purges may have been missed, or `None` if the dispatcher is not in doubt. While in doubt, every
    /// cached copy may have been purged. Otherwise, every record that a verdict reports in force is applied.
    pub fn in_doubt_since(&self, now: Duration) -> Option<Duration> {
        let Some(attached_as_of) = self.attached_as_of else {
            return Some(self.started_at);
        };
        let is_expired = now >= attached_as_of + self.config.doubt_after;
        (is_expired && self.config.defences.doubt).then_some(attached_as_of)
    }

    /// The polled replica.
    pub fn replica(&self) -> &ReplicaName {
        match (self.choice, &self.config.fallback) {
            (ReplicaChoice::Fallback, Some(fallback)) => fallback,
            _ => &self.config.primary,
        }
    }

    /// The next time at which [`Subscriber::next_poll`] has work, an open poll reaches its deadline, or the dispatcher
    /// becomes in doubt, if no input arrives before.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let poll = self.open_poll.as_ref().map_or(self.next_poll_at, |open_poll| open_poll.deadline);
        let probe =
            self.probe.open_poll.as_ref().map_or(self.probe.next_poll_at, |open_poll| open_poll.deadline);
        let probe = (self.choice == ReplicaChoice::Fallback).then_some(probe);
        let doubt_at = self.attached_as_of.map(|at| at + self.config.doubt_after).filter(|at| *at > now);
        [Some(poll), probe, doubt_at].into_iter().flatten().min()
    }

    /// The counters since the start.
    pub fn counters(&self) -> SubscriberCounters {
        self.counters
    }
}

/// Polls and the choice of the replica.
impl Subscriber {
    fn fail_overdue_polls(&mut self, now: Duration) {
        let is_overdue = |poll: &OpenPoll| now >= poll.deadline;
        if self.open_poll.as_ref().is_some_and(is_overdue) {
            self.on_failure(&self.replica().clone(), now);
        }
        if self.choice == ReplicaChoice::Fallback && self.probe.open_poll.as_ref().is_some_and(is_overdue) {
            self.on_failure(&self.config.primary.clone(), now);
        }
    }

    fn start_poll(&mut self, now: Duration) -> SubscriberPoll {
        let timeout = self.config.poll_timeout;
        let deadline = now + timeout + self.config.poll_timeout_margin;
        self.open_poll = Some(OpenPoll { sent_at: now, since: self.position.since, deadline });
        let poller = Poller::Dispatcher {
            name: self.config.name.clone(),
            incarnation: self.config.incarnation,
            attachment: self.attachment,
            leaving: false,
        };
        let LogPosition { log, since, acknowledged } = self.position.clone();
        let request = PollRequest { log, since, acknowledged, timeout, poller };
        SubscriberPoll { to: self.replica().clone(), request, deadline }
    }

    fn start_probe(&mut self, now: Duration) -> SubscriberPoll {
        let deadline = now + self.config.poll_timeout_margin;
        self.probe.open_poll = Some(OpenPoll { sent_at: now, since: Sequence(0), deadline });
        let request = PollRequest {
            log: None,
            since: Sequence(0),
            acknowledged: Sequence(0),
            timeout: Duration::ZERO,
            poller: Poller::Probe,
        };
        SubscriberPoll { to: self.config.primary.clone(), request, deadline }
    }

    fn on_probe_answer(
        &mut self,
        replica: &ReplicaName,
        answer: &PollAnswer,
        now: Duration,
    ) -> Result<AcceptedAnswer, AnswerError> {
        self.probe.open_poll.take().ok_or_else(|| AnswerError::Unsolicited(replica.clone()))?;
        self.probe.next_poll_at = now + self.config.probe_interval;
        if !answer.standing.is_established() {
            self.probe.established_since = None;
            return Ok(AcceptedAnswer::default());
        }
        let established_since = *self.probe.established_since.get_or_insert(now);
        if now >= established_since + self.probe.return_after {
            self.counters.returns += 1;
            self.switch_to(ReplicaChoice::Primary, now);
        }
        Ok(AcceptedAnswer::default())
    }

    /// Updates the state of the attachment after an answer, and switches replicas if necessary.
    fn update_attach(&mut self, attached: bool, standing: ReplicaStanding, sent_at: Duration, now: Duration) {
        self.next_poll_at = now;
        if attached {
            self.attached_as_of = self.attached_as_of.max(Some(sent_at));
            self.attaching_since = None;
            self.attach_timeout = self.config.attach_timeout;
            return;
        }
        let since = *self.attaching_since.get_or_insert(now);
        if !standing.is_established() {
            self.avoid_current(now);
            self.next_poll_at = now + self.config.retry_delay;
            self.switch_unless_avoided(now);
        } else if now >= since + self.attach_timeout {
            let max_timeout = self.config.attach_timeout * MAX_ATTACH_TIMEOUT_FACTOR;
            self.attach_timeout = max_timeout.min(self.attach_timeout * 2);
            self.attaching_since = Some(now);
            self.switch_unless_avoided(now);
        }
    }

    fn on_poll_failed(&mut self, deadline: Duration, now: Duration) {
        self.counters.failures += 1;
        self.failures += if now >= deadline { MAX_FAILURES } else { 1 };
        let jitter = self.config.retry_delay.mul_f64(self.rng.f64());
        self.next_poll_at = now + self.config.retry_delay + jitter;
        if self.failures < MAX_FAILURES {
            return;
        }
        self.failures = 0;
        self.avoid_current(now);
        if let Some(other_replica) = self.other_replica() {
            let next_poll_at = if self.is_avoided(other_replica, now) { self.next_poll_at } else { now };
            self.switch_to(other_replica, now);
            self.next_poll_at = next_poll_at;
        }
    }

    /// Switches to the other replica, unless it is avoided.
    fn switch_unless_avoided(&mut self, now: Duration) {
        if let Some(other_replica) = self.other_replica()
            && !self.is_avoided(other_replica, now)
        {
            self.switch_to(other_replica, now);
        }
    }

    fn other_replica(&self) -> Option<ReplicaChoice> {
        let can_switch = self.config.fallback.is_some() && self.config.defences.fallback;
        can_switch.then_some(match self.choice {
            ReplicaChoice::Primary => ReplicaChoice::Fallback,
            ReplicaChoice::Fallback => ReplicaChoice::Primary,
        })
    }

    fn avoid_current(&mut self, now: Duration) {
        match self.choice {
            ReplicaChoice::Primary => self.primary_avoided_until = now + AVOID_DURATION,
            ReplicaChoice::Fallback => self.fallback_avoided_until = now + AVOID_DURATION,
        }
    }

    fn is_avoided(&self, choice: ReplicaChoice, now: Duration) -> bool {
        now < match choice {
            ReplicaChoice::Primary => self.primary_avoided_until,
            ReplicaChoice::Fallback => self.fallback_avoided_until,
        }
    }

    /// Switches to a replica and reads its log from the beginning, under a new attachment. Until that is complete, the
    /// doubt timeout of the last complete attachment keeps running.
    fn switch_to(&mut self, choice: ReplicaChoice, now: Duration) {
        self.choice = choice;
        self.start_attachment(now);
        self.next_poll_at = now;
        let jitter = self.config.return_jitter.mul_f64(self.rng.f64());
        self.probe = Probe {
            open_poll: None,
            next_poll_at: now + self.config.probe_interval,
            established_since: None,
            return_after: self.config.return_after + jitter,
        };
        self.counters.fallbacks += u64::from(choice == ReplicaChoice::Fallback);
    }

    fn start_attachment(&mut self, now: Duration) {
        self.attachment.0 += 1;
        self.counters.attachments += 1;
        self.position = LogPosition::default();
        self.open_poll = None;
        self.attaching_since = Some(now);
    }
}

/// The position in the log, and records.
impl Subscriber {
    fn advance_position(&mut self, answer: &PollAnswer) {
        if self.position.log.as_ref() != Some(&answer.log) {
            self.counters.other_logs += u64::from(self.position.log.is_some());
            self.position = LogPosition { log: Some(answer.log.clone()), ..LogPosition::default() };
        }
        self.position.since = answer.seq;
        if !answer.more {
            self.position.acknowledged = answer.seq;
        }
    }

    fn accept_records(&mut self, events: Vec<Event>, now: Duration) -> AcceptedAnswer {
        let unix_ms = self.config.incarnation.0 + millis(now.saturating_sub(self.started_at));
        let oldest = unix_ms.saturating_sub(millis(self.config.purge_retention));
        self.log.drop_purges_before(oldest);
        let mut accepted = AcceptedAnswer::default();
        for Event { record, .. } in events {
            let is_expired = matches!(&record, Record::Purge(purge) if purge.unix_ms < oldest);
            let is_member = matches!(record, Record::Member(_));
            if is_expired || is_member || matches!(self.log.merge(record.clone(), now), MergeResult::Known(_))
            {
                accepted.ignored += 1;
            } else {
                accepted.records.push(record);
            }
        }
        self.counters.applied += accepted.records.len() as u64;
        self.counters.passed_over += accepted.ignored as u64;
        accepted
    }
}

fn check_config(config: &SubscriberConfig) -> Result<(), ConfigurationError> {
    check_name("dispatcher name", &config.name.0)?;
    check_name("replica name", &config.primary.0)?;
    if let Some(fallback) = &config.fallback {
        check_name("fallback name", &fallback.0)?;
    }
    if config.fallback.as_ref() == Some(&config.primary) {
        return Err(ConfigurationError::FallbackIsPrimary(config.primary.clone()));
    }
    let poll_limit = ("the poll timeout and its margin", config.poll_timeout + config.poll_timeout_margin);
    check_longer(("the doubt timeout", config.doubt_after), poll_limit)
}
