//! Dispatchers: rounds and decisions of the decision module, attempts, and the start and end of processes.

use super::event::{AttemptId, Event};
use super::state::{Attempt, Decision, Decisions, Dispatcher, Host};
use super::{Engine, host_id_hash};
use crate::world::Policy;
use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{
    End, Forward, GetIndex, HostEntry, ListUpdate, LoadReport, Note, Outcome, PurgeKey, Start,
};
use std::time::Duration;

/// Timeout of an attempt without one of its own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Indices of the kinds of hosts in the settings; caches are 0, parents 1.
const ORIGIN_KIND: usize = 2;
/// Weight of a parent or the origin relative to a cache.
const PARENT_WEIGHT: f64 = 4.0;

impl Engine<'_> {
    /// The entry of a host in the host list.
    fn entry(&self, host: usize) -> HostEntry {
        let Host { status, started_at, .. } = self.hosts[host];
        let is_origin = host == self.world.origin();
        let kind = if is_origin { ORIGIN_KIND } else { usize::from(self.world.is_parent(host)) };
        let slots = self.world.slots as f64;
        HostEntry {
            host,
            id_hash: host_id_hash(host),
            status,
            start: Start::At(started_at),
            zone: self.world.zone(host),
            cell: 0,
            kind,
            weight: if kind == 0 { slots } else { slots * PARENT_WEIGHT },
            withheld_fraction: 0.0,
        }
    }

    /// Sends the entry of one host, or of all, to every dispatcher.
    pub(super) fn announce_hosts(&mut self, host: Option<usize>) {
        let entries: Vec<_> = match host {
            Some(host) => vec![self.entry(host)],
            None => (0..self.hosts.len()).map(|host| self.entry(host)).collect(),
        };
        let kind = if host.is_some() { ListUpdate::Changes } else { ListUpdate::Full };
        for dispatcher in 0..self.dispatchers.len() {
            self.round(dispatcher, |round| round.on_host_list(kind, &entries));
        }
    }

    /// Runs a round of the decision module of a dispatcher, and applies its decisions.
    pub(super) fn round(&mut self, dispatcher: usize, events: impl FnOnce(&mut Round<'_, Decisions>)) {
        let Dispatcher { router, decisions, .. } = &mut self.dispatchers[dispatcher];
        let Some(router) = router else { return };
        router.round(self.now, decisions, events);
        self.apply_decisions(dispatcher);
    }

    pub(super) fn apply_decisions(&mut self, dispatcher: usize) {
        for decision in std::mem::take(&mut self.dispatchers[dispatcher].decisions.0) {
            match decision {
                Decision::Forward(get_index, forward) => self.send_attempt(dispatcher, get_index, forward),
                Decision::Shed(get_index) => self.reject(dispatcher, get_index, false),
                Decision::Error(get_index) => self.reject(dispatcher, get_index, true),
                Decision::Released(get_index) => self.dispatchers[dispatcher].requests[get_index] = None,
                Decision::ScheduleWakeup(after) => {
                    self.events.push(self.now + after, Event::TimerExpired(dispatcher))
                }
            }
        }
    }

    fn reject(&mut self, dispatcher: usize, get_index: GetIndex, is_errored: bool) {
        if let Some(request) = self.dispatchers[dispatcher].requests[get_index] {
            self.answer(request, false, is_errored);
        }
    }

    /// Sends an attempt to a host.
    pub(super) fn send_attempt(&mut self, dispatcher: usize, get_index: GetIndex, forward: Forward) {
        let Some(request) = self.dispatchers[dispatcher].requests[get_index] else { return };
        let attempt_id = self.events.next_number();
        let sender = &mut self.dispatchers[dispatcher];
        let attempt_number = sender.attempts_sent[get_index];
        sender.attempts_sent[get_index] += 1;
        sender.in_flight.insert(get_index, attempt_id);
        self.figures.forwards += 1;
        self.oracle.on_forward_sent(request, forward.host, self.world.drain_grace, self.now);
        let attempt = Attempt {
            request,
            dispatcher,
            incarnation: sender.incarnation,
            get_index,
            attempt_number,
            forward,
            sent_at: self.now,
            end: None,
            note: Note::Untold,
            source_wait: Duration::ZERO,
            created_at: Duration::ZERO,
            is_reported: false,
        };
        self.attempts.insert(attempt_id, attempt);
        self.events.push(self.now + self.world.cache_latency, Event::AttemptArrived(attempt_id));
        let timeout = if forward.timeout.is_zero() { DEFAULT_TIMEOUT } else { forward.timeout };
        self.events.push(self.now + timeout, Event::AttemptTimedOut(attempt_id));
    }

    /// Ends an attempt, at its host or at the dispatcher. An end at the host reaches the dispatcher after the latency of
    /// the way back.
    pub(super) fn end_attempt(&mut self, attempt_id: AttemptId, end: End, note: Note, at_host: bool) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id).filter(|attempt| attempt.end.is_none()) else {
            return;
        };
        (attempt.end, attempt.note) = (Some(end), note);
        let delay = if at_host { self.world.cache_latency } else { Duration::ZERO };
        self.events.push(self.now + delay, Event::OutcomeReceived(attempt_id));
    }

    /// A dispatcher receives the outcome of an attempt.
    pub(super) fn outcome_received(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id).filter(|attempt| !attempt.is_reported) else {
            return;
        };
        attempt.is_reported = true;
        let (dispatcher, get_index, request, created_at) =
            (attempt.dispatcher, attempt.get_index, attempt.request, attempt.created_at);
        if attempt.incarnation != self.dispatchers[dispatcher].incarnation {
            self.attempts.remove(&attempt_id);
            return;
        }
        let Some(end) = attempt.end else { return };
        let outcome = Outcome {
            attempt: attempt.attempt_number,
            end,
            elapsed: self.now - attempt.sent_at,
            is_answered: end == End::Returned,
            note: attempt.note,
            is_unmodified: false,
            source_wait: attempt.source_wait,
            load: LoadReport::default(),
        };
        self.attempts.remove(&attempt_id);
        if self.dispatchers[dispatcher].in_flight.get(&get_index) == Some(&attempt_id) {
            self.dispatchers[dispatcher].in_flight.remove(&get_index);
        }
        if end == End::Returned {
            self.object_returned(request, created_at);
        }
        if self.world.policy == Policy::Module {
            self.round(dispatcher, |round| round.on_outcome(get_index, &outcome));
        } else if end != End::Returned {
            self.answer(request, false, matches!(end, End::Errored | End::TimedOut));
        }
    }

    /// Ends the process of a dispatcher and the connections of its clients. Its fills run on.
    pub(super) fn kill_dispatcher(&mut self, dispatcher: usize) {
        self.live_dispatchers[dispatcher / self.world.dispatchers].retain(|&running| running != dispatcher);
        let killed = &mut self.dispatchers[dispatcher];
        killed.router = None;
        killed.incarnation += 1;
        killed.attempts_sent.clear();
        killed.in_flight.clear();
        for id in std::mem::take(&mut killed.requests).into_iter().flatten() {
            let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_answered) else {
                continue;
            };
            // The request is kept so that its fill runs to its end.
            request.is_answered = true;
            self.figures.errored += 1;
            self.oracle.on_answer(id, false, false, self.now);
        }
    }

    /// Starts the process of a dispatcher. It receives the host list, and earlier purges with their age.
    pub(super) fn start_dispatcher(&mut self, dispatcher: usize) {
        let seed = self.rng.u64(..);
        let location = dispatcher / self.world.dispatchers;
        let live_dispatchers = &mut self.live_dispatchers[location];
        live_dispatchers.insert(live_dispatchers.partition_point(|&other| other < dispatcher), dispatcher);
        if self.world.policy != Policy::Module {
            return;
        }
        // The module accepted these settings at the start of the run, so it accepts them again.
        self.dispatchers[dispatcher].router = Router::new(&self.world.settings(location), seed).ok();
        let entries: Vec<_> = (0..self.hosts.len()).map(|host| self.entry(host)).collect();
        self.round(dispatcher, |round| round.on_host_list(ListUpdate::Full, &entries));
        for (group, purged_at) in self.purged_at.clone() {
            let age = self.now - purged_at;
            self.round(dispatcher, |round| round.on_purge(PurgeKey::Group(group), age));
        }
    }
}
