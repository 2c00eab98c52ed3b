//! The last look before what can't be taken back: sending a forward, sending again what may have run, closing a connection, and
//! sending to a host in slow start. All paths go through these guards. Beside each stands a check of its own, which
//! looks at what is really done and counts what breaks the rule: zero unless a guard is missing.

use super::Key;
use super::in_flight::{Out, Pending};
use super::proxy::Proxy;
use myrtlegauge::interface::{End, GetIndex, HostStatus, Settings};
use std::fmt;
use std::time::Duration;

/// What must never be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A forward leaves for nobody, too late, or to or through a host that takes nothing.
    Sending,
    /// What may have run, and may not run twice, is sent again, or its client is told that it never ran.
    Repeating,
    /// A connection is closed whose client is owed an answer.
    Closing,
    /// A host in slow start gets more than this router's share.
    Starting,
}

impl Rule {
    pub const ALL: [Self; 4] = [Self::Sending, Self::Repeating, Self::Closing, Self::Starting];

    pub fn name(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Repeating => "repeating",
            Self::Closing => "closing",
            Self::Starting => "starting",
        }
    }
}

/// Which guards are there; tests leave one out to see its check fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    pub sending: bool,
    pub repeating: bool,
    pub closing: bool,
    pub starting: bool,
}

impl Guards {
    pub const ALL: Self = Self { sending: true, repeating: true, closing: true, starting: true };

    /// All but one.
    pub fn without(rule: Rule) -> Self {
        let mut guards = Self::ALL;
        match rule {
            Rule::Sending => guards.sending = false,
            Rule::Repeating => guards.repeating = false,
            Rule::Closing => guards.closing = false,
            Rule::Starting => guards.starting = false,
        }
        guards
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Repeats under its token are dropped for a while.
    Tokened,
    Once,
}

impl Effect {
    /// Each class's effect, as the settings tell it.
    pub fn read_all(settings: &Settings) -> Vec<Self> {
        let classes = settings.get("classes").and_then(|value| value.as_array()).into_iter().flatten();
        let effect = |class: &serde_json::Value| match class.get("effect").and_then(|value| value.as_str()) {
            Some("idempotent") => Self::Idempotent,
            Some("deduplicated") => Self::Tokened,
            _ => Self::Once,
        };
        classes.map(effect).collect()
    }
}

/// Why a forward may not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsendable {
    ClientLeft,
    OutOfTime,
    HostTakesNothing,
    SourceTakesNothing,
    MayHaveRun,
    RepeatTooLate,
}

impl Unsendable {
    fn rule(self) -> Rule {
        match self {
            Self::ClientLeft | Self::OutOfTime | Self::HostTakesNothing | Self::SourceTakesNothing => {
                Rule::Sending
            }
            Self::MayHaveRun | Self::RepeatTooLate => Rule::Repeating,
        }
    }
}

impl fmt::Display for Unsendable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientLeft => "its client has left",
            Self::OutOfTime => "its time is over",
            Self::HostTakesNothing => "its host drains or is gone",
            Self::SourceTakesNothing => "its source drains or is gone",
            Self::MayHaveRun => "it may have run and may not run twice",
            Self::RepeatTooLate => "its repeat is no longer dropped",
        })
    }
}

impl Proxy {
    /// What keeps a forward from leaving now, by the facts as they are at this moment.
    fn unsendable(&self, pending: &Pending, out: &Out) -> Option<Unsendable> {
        let is_on = |host: usize| self.hosts[host].entry.status == HostStatus::Active;
        let repeats = pending.may_have_run;
        let effect = self.effects.get(pending.get.ds).copied().unwrap_or(Effect::Once);
        let window_over = out.to.start_deadline > Duration::ZERO && self.now >= out.to.start_deadline;
        match () {
            () if pending.owed.is_none() => Some(Unsendable::ClientLeft),
            () if self.now >= out.until => Some(Unsendable::OutOfTime),
            () if !is_on(out.to.host) => Some(Unsendable::HostTakesNothing),
            () if !is_on(out.to.source) => Some(Unsendable::SourceTakesNothing),
            () if repeats && effect == Effect::Once => Some(Unsendable::MayHaveRun),
            () if repeats && effect == Effect::Tokened && window_over => Some(Unsendable::RepeatTooLate),
            () => None,
        }
    }

    /// The guard of sending and repeating: whether a forward may be written to its connection now. One that may not never ran,
    /// and is decided again.
    pub fn may_write(&mut self, key: Key, place: GetIndex) -> bool {
        let pending = self.in_flight.peek(place);
        let Some(out) = pending.out else { return false };
        let Some(why) = self.unsendable(pending, &out).filter(|why| self.is_guarded(why.rule())) else {
            return true;
        };
        let id = pending.id;
        log::info!(id:? = format_args!("{id:016x}"), host = out.to.host; "not sent: {why}");
        self.counters.not_sent += 1;
        self.links[key].out.retain(|&other| other != place);
        if let Some(out) = &mut self.in_flight.at(place).out {
            out.link = None;
        }
        self.ended.push_back((place, out.serial, End::NeverSent));
        false
    }

    /// The check of both: what is written breaks no rule.
    pub fn check_written(&mut self, place: GetIndex) {
        let pending = self.in_flight.peek(place);
        let unsendable = pending.out.and_then(|out| self.unsendable(pending, &out));
        if let Some(why) = unsendable {
            let id = pending.id;
            self.counters.violated(why.rule(), format_args!("request {id:016x} is sent though {why}"));
        }
    }

    /// The guard of rejecting: whether a client may be told that its request never ran.
    pub fn may_reject(&self, place: GetIndex) -> bool {
        !self.is_guarded(Rule::Repeating) || !self.ran_perhaps(place)
    }

    /// Its check.
    pub fn check_rejected(&mut self, place: GetIndex) {
        if self.ran_perhaps(place) {
            let id = self.in_flight.peek(place).id;
            self.counters.violated(
                Rule::Repeating,
                format_args!("request {id:016x} is rejected though it may have run"),
            );
        }
    }

    /// An effect that is not to run twice may have run, or may still.
    fn ran_perhaps(&self, place: GetIndex) -> bool {
        let pending = self.in_flight.peek(place);
        let effect = self.effects.get(pending.get.ds).copied().unwrap_or(Effect::Once);
        let is_out = pending.out.is_some_and(|out| out.message.is_some());
        effect == Effect::Once && (pending.may_have_run || is_out)
    }

    /// The guard of closing: whether a client's connection may be closed. One that is owed an answer is read no further, and
    /// closed once it has that.
    pub fn may_close(&mut self, key: Key) -> bool {
        let is_guarded = self.is_guarded(Rule::Closing);
        let client = &mut self.clients[key];
        let is_owed = !client.ended && !client.open.is_empty();
        if is_owed && is_guarded {
            (client.last, client.reads_no_further) = (true, true);
        }
        !is_owed || !is_guarded
    }

    /// Its check, as a connection is taken out.
    pub fn check_closed(&mut self, is_ended: bool, owed: usize) {
        if !is_ended && owed > 0 {
            self.counters.violated(
                Rule::Closing,
                format_args!("a connection is closed that {owed} answers are owed on"),
            );
        }
    }

    fn is_guarded(&self, rule: Rule) -> bool {
        match rule {
            Rule::Sending => self.guards.sending,
            Rule::Repeating => self.guards.repeating,
            Rule::Closing => self.guards.closing,
            Rule::Starting => self.guards.starting,
        }
    }
}
