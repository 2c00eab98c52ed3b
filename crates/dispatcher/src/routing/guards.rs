//! Guards in front of actions that can't be undone: sending a forward, resending a request that may have run, closing
//! a connection, and sending to a host in slow start. All code paths go through these guards. Each guard has an
//! independent check that inspects the action performed and counts violations of the rule. The count is zero unless a
//! guard is missing.

use super::ConnectionKey;
use super::in_flight::{InFlightForward, PendingGet};
use super::proxy::Proxy;
use myrtlegauge::interface::{End, GetIndex, HostIndex, HostStatus, Settings};
use std::fmt;
use std::time::Duration;

/// A rule that no action may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No forward is sent without a waiting client, after its deadline, or to or through a host that is not active.
    Sending,
    /// A request that may have run, and may not run twice, is neither resent nor reported to its client as not run.
    Repeating,
    /// No connection is closed whose client waits for an answer.
    Closing,
    /// A host in slow start gets no more than this router's share.
    Starting,
}

impl Rule {
    /// All rules, in the order of the report of counters.
    pub const ALL: [Self; 4] = [Self::Sending, Self::Repeating, Self::Closing, Self::Starting];

    /// Name of the rule in logs and in the report of counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Repeating => "repeating",
            Self::Closing => "closing",
            Self::Starting => "starting",
        }
    }
}

/// The enabled guards. Tests disable one to see that its check counts violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    pub sending: bool,
    pub repeating: bool,
    pub closing: bool,
    pub starting: bool,
}

impl Guards {
    pub const ALL: Self = Self { sending: true, repeating: true, closing: true, starting: true };

    /// All guards except that of `rule`.
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
    /// Hosts drop repeats with the same token during a retry window.
    Tokened,
    AtMostOnce,
}

impl Effect {
    /// Reads the effect of each delivery service from the settings.
    pub fn read_all(settings: &Settings) -> Vec<Self> {
        let classes = settings.get("classes").and_then(|value| value.as_array()).into_iter().flatten();
        let effect = |class: &serde_json::Value| match class.get("effect").and_then(|value| value.as_str()) {
            Some("idempotent") => Self::Idempotent,
            Some("deduplicated") => Self::Tokened,
            _ => Self::AtMostOnce,
        };
        classes.map(effect).collect()
    }
}

/// Why a forward may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    ClientLeft,
    DeadlinePassed,
    HostInactive,
    SourceInactive,
    MayHaveExecuted,
    RetryWindowOver,
    ProcessUnknown,
}

impl SendRefusal {
    fn rule(self) -> Rule {
        match self {
            Self::ClientLeft | Self::DeadlinePassed | Self::HostInactive | Self::SourceInactive => {
                Rule::Sending
            }
            Self::MayHaveExecuted | Self::RetryWindowOver | Self::ProcessUnknown => Rule::Repeating,
        }
    }
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientLeft => "its client disconnected or has been answered",
            Self::DeadlinePassed => "its deadline has passed",
            Self::HostInactive => "its host is draining or removed",
            Self::SourceInactive => "its source is draining or removed",
            Self::MayHaveExecuted => "it may have run and must not run twice",
            Self::RetryWindowOver => "the window in which hosts drop its repeats is over",
            Self::ProcessUnknown => {
                "it may have run, and the process at its host's address may be another one"
            }
        })
    }
}

impl Proxy {
    /// Why a forward may not be sent now, judged by the current state.
    fn send_refusal(&self, pending: &PendingGet, forward: &InFlightForward) -> Option<SendRefusal> {
        let is_active = |host: usize| self.hosts[host].entry.status == HostStatus::Active;
        let is_resend = pending.may_have_run;
        let effect = self.effects.get(pending.get.ds).copied().unwrap_or(Effect::AtMostOnce);
        let is_retry_window_over =
            forward.decision.start_deadline > Duration::ZERO && self.now >= forward.decision.start_deadline;
        match () {
            () if pending.client.is_none() => Some(SendRefusal::ClientLeft),
            () if self.now >= forward.deadline => Some(SendRefusal::DeadlinePassed),
            () if !is_active(forward.decision.host) => Some(SendRefusal::HostInactive),
            () if !is_active(forward.decision.source) => Some(SendRefusal::SourceInactive),
            () if is_resend && effect == Effect::AtMostOnce => Some(SendRefusal::MayHaveExecuted),
            () if is_resend && effect == Effect::Tokened && is_retry_window_over => {
                Some(SendRefusal::RetryWindowOver)
            }
            () if forward.decision.needs_known_process
                && !forward.link.is_some_and(|key| self.is_process_known(key)) =>
            {
                Some(SendRefusal::ProcessUnknown)
            }
            () => None,
        }
    }

    /// Guard of sending and repeating: whether a forward may be written to its connection now. A withheld forward has
    /// not run and is decided again.
    pub fn may_send(&mut self, key: ConnectionKey, get_index: GetIndex) -> bool {
        let pending = self.in_flight.get(get_index);
        let Some(forward) = pending.forward else { return false };
        let Some(refusal) =
            self.send_refusal(pending, &forward).filter(|refusal| self.is_guarded(refusal.rule()))
        else {
            return true;
        };
        self.record_withheld(get_index, forward.decision.host, refusal);
        self.links[key].in_flight_gets.retain(|&other| other != get_index);
        if let Some(forward) = &mut self.in_flight.get_mut(get_index).forward {
            forward.link = None;
        }
        self.ended_forwards.push_back((get_index, forward.serial, End::NeverSent));
        false
    }

    /// Counts and logs a forward that is not sent.
    pub fn record_withheld(&mut self, get_index: GetIndex, host: HostIndex, refusal: SendRefusal) {
        let id = self.in_flight.get(get_index).id;
        log::info!(id:? = format_args!("{id:016x}"), host; "forward withheld, deciding again: {refusal}");
        self.counters.withheld += 1;
    }

    /// Check of sending and repeating: a forward that is sent violates neither rule.
    pub fn check_sent(&mut self, get_index: GetIndex) {
        let pending = self.in_flight.get(get_index);
        let unsendable = pending.forward.and_then(|forward| self.send_refusal(pending, &forward));
        if let Some(refusal) = unsendable {
            let id = pending.id;
            self.counters.record_violation(
                refusal.rule(),
                format_args!("forward of request {id:016x} is sent although {refusal}"),
            );
        }
    }

    /// Guard of repeating, for rejections: whether a response may state that the request did not run.
    pub fn may_reject(&self, get_index: GetIndex) -> bool {
        !self.is_guarded(Rule::Repeating) || !self.may_have_executed(get_index)
    }

    /// Check of repeating, for rejections.
    pub fn check_rejected(&mut self, get_index: GetIndex) {
        if self.may_have_executed(get_index) {
            let id = self.in_flight.get(get_index).id;
            self.counters.record_violation(
                Rule::Repeating,
                format_args!("request {id:016x} is rejected as not run although it may have run"),
            );
        }
    }

    /// Whether a request that must not run twice may have run or may still run.
    fn may_have_executed(&self, get_index: GetIndex) -> bool {
        let pending = self.in_flight.get(get_index);
        let effect = self.effects.get(pending.get.ds).copied().unwrap_or(Effect::AtMostOnce);
        let is_sent = pending.forward.is_some_and(|forward| forward.message.is_some());
        effect == Effect::AtMostOnce && (pending.may_have_run || is_sent)
    }

    /// Guard of closing: whether a client's connection may be closed now. If the client waits for an answer, further
    /// input is ignored and the connection is closed after the answer.
    pub fn may_close(&mut self, key: ConnectionKey) -> bool {
        let is_guarded = self.is_guarded(Rule::Closing);
        let client = &mut self.clients[key];
        let awaits_answer = !client.has_ended && !client.open_requests.is_empty();
        if awaits_answer && is_guarded {
            (client.closes_after_answers, client.ignores_input) = (true, true);
        }
        !awaits_answer || !is_guarded
    }

    /// Check of closing, when a connection is removed.
    pub fn check_closed(&mut self, has_ended: bool, open_requests: usize) {
        if !has_ended && open_requests > 0 {
            self.counters.record_violation(
                Rule::Closing,
                format_args!("a client's connection is closed with {open_requests} unanswered requests"),
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
