//! News by replicas of the change log, for dispatchers whose operators name them: the sockets around the core's subscriber,
//! which decides which replica is polled, what is to be applied and whether copies are in doubt. Whoever has a loop can be
//! the owner, so that the proof runs' dispatchers without clients follow by the same code.

use myrtlegauge_replication::{
    Ask, ConfigurationError, HostLine, Incarnation, MemberName, PollAnswer, Purge, Record, ReplicaName,
    Subscriber, SubscriberConfig, SubscriberCounters, SubscriberDefences,
};
use myrtlegauge_wire::long_poll::LongPollClient;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{EventLoopHandle, ReadinessHandler, ResourceUsage};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the end waits for the replica to be told that this dispatcher leaves; untold, its lease expires there.
const LEAVES_FOR: Duration = Duration::from_millis(250);

/// What an operator tells of the replicas.
#[derive(Clone, Debug)]
pub struct ReplicasStartup {
    /// This dispatcher's name among the members.
    pub name: String,
    /// The replica that is polled while it answers.
    pub primary: SocketAddr,
    /// The one that is polled while the first does not.
    pub fallback: SocketAddr,
    /// Without an answer for so long, copies are in doubt.
    pub doubt_after: Duration,
    /// The seed of the subscriber's chance.
    pub seed: u64,
    /// All on, except in proofs.
    pub defences: SubscriberDefences,
}

/// Names one of the two replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaKey {
    /// The one that is polled while it answers.
    Primary,
    /// The other one.
    Fallback,
}

struct Link<O: ReadinessHandler> {
    name: ReplicaName,
    poll: LongPollClient<O>,
    /// When the poll that is out or was answered last was asked.
    asked_at: Duration,
}

impl<O: ReadinessHandler> Link<O> {
    fn new(address: SocketAddr, key: O::Key) -> Self {
        // Replicas are told apart by where they listen.
        Self {
            name: ReplicaName(address.to_string()),
            poll: LongPollClient::new(address, key),
            asked_at: Duration::ZERO,
        }
    }
}

/// The replicas as a dispatcher polls them.
pub struct Replicas<O: ReadinessHandler> {
    core: Subscriber,
    links: [Link<O>; 2],
    /// Records that are still to be applied; until then nothing is acknowledged.
    news: VecDeque<Record>,
    /// Whether copies were in doubt when that was last asked.
    was_in_doubt: bool,
    /// When the last poll was asked that has been answered: what the replica had then is known.
    list_known: Duration,
    /// Until when the end waits for the last poll to go out.
    leaves_until: Option<Duration>,
}

/// One or more records to be applied together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Lines of the list of hosts. One by one, each would have the decision module lay all its rings anew.
    HostLines(Vec<HostLine>),
    /// A purge.
    Purge(Purge),
    /// A record that changes nothing here.
    Other,
}

/// What came of a poll that was lost.
pub struct LostPoll(String);

impl fmt::Display for LostPoll {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<O: ReadinessHandler> Replicas<O> {
    /// Nothing is known yet: copies are in doubt until the dispatcher is attached. `key_of` says how the owner is told
    /// which replica's poll is ready.
    ///
    /// # Errors
    /// Terms that can't work.
    pub fn new(
        told: &ReplicasStartup,
        key_of: impl Fn(ReplicaKey) -> O::Key,
        unix_ms: u64,
        now: Duration,
    ) -> Result<Self, ConfigurationError> {
        let links = [
            Link::new(told.primary, key_of(ReplicaKey::Primary)),
            Link::new(told.fallback, key_of(ReplicaKey::Fallback)),
        ];
        let config = SubscriberConfig {
            doubt_after: told.doubt_after,
            seed: told.seed,
            defences: told.defences,
            ..SubscriberConfig::new(
                MemberName(told.name.clone()),
                Incarnation(unix_ms),
                links[0].name.clone(),
                Some(links[1].name.clone()),
            )
        };
        let core = Subscriber::new(config, now)?;
        Ok(Self {
            core,
            links,
            news: VecDeque::new(),
            was_in_doubt: true,
            list_known: now,
            leaves_until: None,
        })
    }

    /// Reads and writes what can be; true: there is more to read.
    pub fn on_ready(&mut self, key: ReplicaKey, shared: &mut [u8]) -> bool {
        self.links[key as usize].poll.on_ready(shared)
    }

    /// Takes the next answer; why a poll was lost. None: nothing more came.
    pub fn hear(&mut self, now: Duration) -> Option<Result<(), LostPoll>> {
        let outcome = |link: &mut Link<O>| Some((link.name.clone(), link.poll.take_result(now)?));
        let (name, answer) = self.links.iter_mut().find_map(outcome)?;
        Some(match answer {
            Ok(body) => self.take(&name, &body, now),
            Err(StreamError(what)) => {
                self.core.failed(&name, now);
                Err(LostPoll(format!("{name}: {what}")))
            }
        })
    }

    fn take(&mut self, name: &ReplicaName, body: &[u8], now: Duration) -> Result<(), LostPoll> {
        let answer: PollAnswer = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(e) => {
                self.core.failed(name, now);
                return Err(LostPoll(format!("{name}: an answer can't be read: {e}")));
            }
        };
        let taken = self.core.answered(name, answer, now).map_err(|error| LostPoll(error.to_string()))?;
        self.news.extend(taken.apply);
        let asked = self.links.iter().find(|link| link.name == *name).map(|link| link.asked_at);
        self.list_known = self.list_known.max(asked.unwrap_or_default());
        Ok(())
    }

    /// Sends the polls that the core wants to be sent, once all that came was applied.
    pub fn ask(&mut self, hub: &EventLoopHandle<O>, accounts: &Rc<ResourceUsage>, now: Duration) {
        if self.has_news() || self.leaves_until.is_some() {
            return;
        }
        while let Some(ask) = self.core.next_ask(now) {
            self.send(&ask, hub, accounts, now);
        }
    }

    fn send(&mut self, ask: &Ask, hub: &EventLoopHandle<O>, accounts: &Rc<ResourceUsage>, now: Duration) {
        if let Some(link) = self.links.iter_mut().find(|link| link.name == ask.to) {
            link.asked_at = now;
            link.poll.start_poll(&ask.request.to_query(), ask.give_up_at, hub, accounts);
        }
    }

    /// Until when the list of hosts is known, by what the replicas had.
    pub fn list_known(&self) -> Duration {
        self.list_known
    }

    /// Whether there are records to be applied.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// What is to be applied next.
    pub fn next_change(&mut self) -> Option<Change> {
        Some(match self.news.pop_front()? {
            Record::Purge(purge) => Change::Purge(purge),
            Record::HostLine(first) => Change::HostLines(self.host_lines_from(first)),
            Record::Configuration(_) | Record::Member(_) => Change::Other,
        })
    }

    /// A host's line and those that follow on it without another record between.
    fn host_lines_from(&mut self, first: HostLine) -> Vec<HostLine> {
        let mut lines = vec![first];
        while let Some(Record::HostLine(_)) = self.news.front()
            && let Some(Record::HostLine(line)) = self.news.pop_front()
        {
            lines.push(line);
        }
        lines
    }

    /// Whether a doubt has begun or ended since that was last asked.
    pub fn is_turning(&self, now: Duration) -> bool {
        self.core.in_doubt(now).is_some() != self.was_in_doubt
    }

    /// Whether copies are in doubt, to be asked once all that came was applied.
    pub fn in_doubt(&mut self, now: Duration) -> Doubt {
        let is_in_doubt = self.core.in_doubt(now).is_some();
        let was_in_doubt = std::mem::replace(&mut self.was_in_doubt, is_in_doubt);
        match (was_in_doubt, is_in_doubt) {
            (false, true) => Doubt::Begins,
            (true, true) => Doubt::Lasts,
            (true, false) => Doubt::Ends,
            (false, false) => Doubt::None,
        }
    }

    /// When there is something to do, if nothing comes in.
    pub fn due(&self, now: Duration) -> Duration {
        let polls = self.links.iter().map(|link| link.poll.deadline()).min().unwrap_or(Duration::MAX);
        let core = self.core.next_wake(now).filter(|_| self.leaves_until.is_none()).unwrap_or(Duration::MAX);
        polls.min(core).min(self.leaves_until.unwrap_or(Duration::MAX))
    }

    /// Tells the replica that this dispatcher ends; whether that is done, or was waited for long enough.
    pub fn leave(&mut self, hub: &EventLoopHandle<O>, accounts: &Rc<ResourceUsage>, now: Duration) -> bool {
        if self.leaves_until.is_none() {
            self.leaves_until = Some(now + LEAVES_FOR);
            let ask = self.core.leave(now);
            self.send(&ask, hub, accounts, now);
        }
        let is_told = !self.links.iter().any(|link| link.poll.is_pending());
        is_told || self.leaves_until.is_some_and(|until| now >= until)
    }

    /// What was done.
    pub fn counters(&self) -> SubscriberCounters {
        self.core.counters()
    }

    /// What was done, for a log.
    pub fn line(&self) -> String {
        format!("replication: polls {} {:?}", self.core.replica(), self.counters())
    }
}

/// Whether copies are in doubt: while it lasts, every copy may be purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It has just begun: what was decided and not sent yet is decided again.
    Begins,
    /// It goes on.
    Lasts,
    /// It has just ended.
    Ends,
    /// There is none.
    None,
}
