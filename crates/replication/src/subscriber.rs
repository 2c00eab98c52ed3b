//! The dispatcher's side: which replica to poll, what to apply, and whether to be in doubt.

use crate::checks::{check_longer, check_name, millis};
use crate::compacted_log::{CompactedLog, MergeResult};
use crate::errors::{AnswerError, ConfigurationError};
use crate::poll::{PollAnswer, PollRequest, Poller, ReplicaStanding};
use crate::record::{Attachment, Event, Incarnation, LogId, MemberName, Record, ReplicaName, Sequence};
use std::time::Duration;

/// Who a dispatcher is, and its bounds. [`SubscriberConfig::new`] has the defaults.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// Its name.
    pub name: MemberName,
    /// Unix milliseconds at the start.
    pub incarnation: Incarnation,
    /// The replica of its zone.
    pub primary: ReplicaName,
    /// The replica to fall back on.
    pub fallback: Option<ReplicaName>,
    /// How long a poll may wait at the replica.
    pub poll_timeout: Duration,
    /// A poll is given up this long after its timeout.
    pub poll_timeout_margin: Duration,
    /// Between a poll that failed and the next.
    pub retry: Duration,
    /// An attached dispatcher is in doubt this long after it sent the last poll whose answer said `attached`.
    pub doubt_after: Duration,
    /// Another replica is tried if an attach is not complete after this; doubled each time.
    pub attach_timeout: Duration,
    /// At the fallback: between two probes of the primary.
    pub probe_interval: Duration,
    /// The primary has to answer probes for this long before the dispatcher goes back to it.
    pub return_after: Duration,
    /// A random span up to this is added, so that a fleet doesn't move at once.
    pub return_jitter: Duration,
    /// Purges older than this are older than any copy: they are not kept.
    pub purge_retention: Duration,
    /// The seed of that chance.
    pub seed: u64,
    /// All on, except in proofs.
    pub defences: SubscriberDefences,
}

impl SubscriberConfig {
    /// The defaults; `incarnation` is the Unix time of the start in milliseconds.
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
            retry: Duration::from_millis(200),
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

/// Defences that proofs switch off, one at a time, to see the oracle fail. Leave them on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriberDefences {
    /// A dispatcher falls back. Off: it stays at its primary.
    pub fallback: bool,
    /// A dispatcher without an answer is in doubt. Off: once attached, it never is.
    pub doubt: bool,
}

/// A poll to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberPoll {
    /// The replica.
    pub to: ReplicaName,
    /// The poll.
    pub request: PollRequest,
    /// Without an answer until then, tell [`Subscriber::on_failure`].
    pub deadline: Duration,
}

/// What an answer brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedAnswer {
    /// Records that are new here, in order: apply all of them before the next [`Subscriber::next_poll`].
    pub records: Vec<Record>,
    /// Records that were known already, were older than what is known, or are not for dispatchers.
    pub ignored: usize,
}

/// What a dispatcher's side has done, from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Answers that were taken.
    pub answers: u64,
    /// Polls that failed or were given up.
    pub failures: u64,
    /// Records that were to be applied.
    pub applied: u64,
    /// Records that were known already, were older than what is known, or are not for dispatchers.
    pub passed_over: u64,
    /// Times that it chose a replica.
    pub attachments: u64,
    /// Times that it fell back.
    pub fallbacks: u64,
    /// Times that it went back to its primary.
    pub returns: u64,
    /// Answers of another log than the one that was followed.
    pub other_logs: u64,
}

/// A replica that failed, or was in its start-up hold, is not chosen for this long if the other one is there.
const AVOID_DURATION: Duration = Duration::from_secs(2);
/// Failures in a row after which a replica is left. One that took all its patience counts as so many.
const MAX_FAILURES: u32 = 2;
/// The patience with attaches doubles up to this many times the first.
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

/// What is followed under one attachment.
#[derive(Clone, Debug, Default)]
struct LogPosition {
    log: Option<LogId>,
    since: Sequence,
    acknowledged: Sequence,
}

/// The dispatcher's side of replication.
///
/// ```
/// use myrtlegauge_replication::*;
/// use std::time::Duration;
/// let config = SubscriberConfig::new("d1".into(), Incarnation(1), "north".into(), Some("south".into()));
/// let mut subscriber = Subscriber::new(config, Duration::ZERO)?;
/// assert!(subscriber.in_doubt_since(Duration::ZERO).is_some());
/// let start_poll = subscriber.next_poll(Duration::ZERO).expect("it polls at once");
/// assert_eq!(start_poll.to, "north".into());
/// let answer = PollAnswer::from_json(r#"{"log":"north-1","seq":0,"attached":true,"results":[]}"#)?;
/// let accepted = subscriber.on_answer(&start_poll.to, answer, Duration::from_millis(20))?;
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
    /// When the attach in hand began; none once it is complete.
    attaching_since: Option<Duration>,
    attach_timeout: Duration,
    failures: u32,
    /// Until when each is not chosen.
    primary_avoided_until: Duration,
    fallback_avoided_until: Duration,
    probe: Probe,
    /// When the last poll was sent whose answer said that the attach is complete.
    attached_as_of: Option<Duration>,
    log: CompactedLog,
    counters: SubscriberCounters,
}

/// How the primary does while the fallback is followed.
#[derive(Clone, Debug, Default)]
struct Probe {
    open_poll: Option<OpenPoll>,
    next_poll_at: Duration,
    established_since: Option<Duration>,
    return_after: Duration,
}

impl Subscriber {
    /// A dispatcher that knows nothing yet, and is in doubt.
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

    /// A poll that is to be sent now. One poll of a replica is open at a time; beside it one probe of the primary may be.
    ///
    /// An open poll that was to be given up by now counts as failed.
    pub fn next_poll(&mut self, now: Duration) -> Option<SubscriberPoll> {
        self.fail_overdue_polls(now);
        if self.open_poll.is_none() && now >= self.next_poll_at {
            return Some(self.start_poll(now));
        }
        let probes = self.choice == ReplicaChoice::Fallback && self.probe.open_poll.is_none();
        (probes && now >= self.probe.next_poll_at).then(|| self.start_probe(now))
    }

    /// Takes the answer to the open poll of a replica. All that is to be applied is to be applied before the next
    /// [`Subscriber::next_poll`], which acknowledges it, and before [`Subscriber::in_doubt_since`] is asked again.
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
            self.next_poll_at = now + self.config.retry;
            return Ok(AcceptedAnswer::default());
        }
        let other_log = self.position.log.as_ref() != Some(&answer.log);
        let from = if other_log || answer.seq < open_poll.since { Sequence(0) } else { open_poll.since };
        if let Err(event) = answer.check_order(from) {
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

    /// The open poll of a replica has failed, or was given up.
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

    /// The last poll, which says that this dispatcher ends. It replaces an open one; no answer is waited for.
    pub fn leave(&mut self, now: Duration) -> SubscriberPoll {
        let mut start_poll = self.start_poll(now);
        if let Poller::Dispatcher { leaving, .. } = &mut start_poll.request.poller {
            *leaving = true;
        }
        start_poll
    }

    /// In doubt: since when purges may have been missed. While it lasts, every copy may be purged; after it, all that any
    /// verdict spoke of is applied.
    pub fn in_doubt_since(&self, now: Duration) -> Option<Duration> {
        let Some(attached_as_of) = self.attached_as_of else {
            return Some(self.started_at);
        };
        let over = now >= attached_as_of + self.config.doubt_after;
        (over && self.config.defences.doubt).then_some(attached_as_of)
    }

    /// The replica that is polled.
    pub fn replica(&self) -> &ReplicaName {
        match (self.choice, &self.config.fallback) {
            (ReplicaChoice::Fallback, Some(fallback)) => fallback,
            _ => &self.config.primary,
        }
    }

    /// When [`Subscriber::next_poll`] has something next, an open poll is to be given up, or doubt begins, if nothing comes
    /// in.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let poll = self.open_poll.as_ref().map_or(self.next_poll_at, |open_poll| open_poll.deadline);
        let probe =
            self.probe.open_poll.as_ref().map_or(self.probe.next_poll_at, |open_poll| open_poll.deadline);
        let probe = (self.choice == ReplicaChoice::Fallback).then_some(probe);
        let doubt = self.attached_as_of.map(|at| at + self.config.doubt_after).filter(|at| *at > now);
        [Some(poll), probe, doubt].into_iter().flatten().min()
    }

    /// What it has done.
    pub fn counters(&self) -> SubscriberCounters {
        self.counters
    }
}

/// Polls, and the choice of a replica.
impl Subscriber {
    fn fail_overdue_polls(&mut self, now: Duration) {
        let is_over = |open_poll: &OpenPoll| now >= open_poll.deadline;
        if self.open_poll.as_ref().is_some_and(is_over) {
            self.on_failure(&self.replica().clone(), now);
        }
        if self.choice == ReplicaChoice::Fallback && self.probe.open_poll.as_ref().is_some_and(is_over) {
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

    /// What the answer says of the attach, and what follows for the choice of a replica.
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
            self.next_poll_at = now + self.config.retry;
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
        let jitter = self.config.retry.mul_f64(self.rng.f64());
        self.next_poll_at = now + self.config.retry + jitter;
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

    /// A replica is followed from its start, under a new attachment. Until that is complete, what the last one assured
    /// holds for as long as it was to.
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

/// Records.
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
            let too_old = matches!(&record, Record::Purge(purge) if purge.unix_ms < oldest);
            let is_member = matches!(record, Record::Member(_));
            if too_old || is_member || matches!(self.log.join(record.clone(), now), MergeResult::Known(_)) {
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
    check_name("dispatcher's name", &config.name.0)?;
    check_name("replica's name", &config.primary.0)?;
    if let Some(fallback) = &config.fallback {
        check_name("fallback's name", &fallback.0)?;
    }
    if config.fallback.as_ref() == Some(&config.primary) {
        return Err(ConfigurationError::FallbackIsPrimary(config.primary.clone()));
    }
    let poll = ("a poll's timeout and patience", config.poll_timeout + config.poll_timeout_margin);
    check_longer(("the doubt span", config.doubt_after), poll)
}
