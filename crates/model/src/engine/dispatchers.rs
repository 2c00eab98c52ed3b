//! Dispatchers: the decision module's rounds and decisions, attempts, and the start and end of processes.

use super::event::{Event, Serial};
use super::state::{Attempt, Decision, Decisions, Dispatcher, Host};
use super::{Engine, host_mark};
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
/// Units of a parent or the origin for one of a cache.
const PARENT_UNITS: f64 = 4.0;

impl Engine<'_> {
    /// A host's entry in the host list.
    fn entry(&self, host: usize) -> HostEntry {
        let Host { standing, started, .. } = self.hosts[host];
        let is_origin = host == self.world.origin();
        let kind = if is_origin { ORIGIN_KIND } else { usize::from(self.world.is_parent(host)) };
        let slots = self.world.slots as f64;
        HostEntry {
            host,
            id_hash: host_mark(host),
            status: standing,
            start: Start::At(started),
            zone: self.world.zone(host),
            cell: 0,
            kind,
            weight: if kind == 0 { slots } else { slots * PARENT_UNITS },
            withheld_fraction: 0.0,
        }
    }

    /// Tells every dispatcher of a host, or of all.
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

    /// Gives events to a dispatcher's decision module, and applies what it decides.
    pub(super) fn round(&mut self, dispatcher: usize, events: impl FnOnce(&mut Round<'_, Decisions>)) {
        let Dispatcher { router, decisions, .. } = &mut self.dispatchers[dispatcher];
        let Some(router) = router else { return };
        router.round(self.now, decisions, events);
        self.apply_decisions(dispatcher);
    }

    pub(super) fn apply_decisions(&mut self, dispatcher: usize) {
        for decision in std::mem::take(&mut self.dispatchers[dispatcher].decisions.0) {
            match decision {
                Decision::Forward(place, to) => self.send_attempt(dispatcher, place, to),
                Decision::Shed(place) => self.reject(dispatcher, place, false),
                Decision::Error(place) => self.reject(dispatcher, place, true),
                Decision::Settled(place) => self.dispatchers[dispatcher].requests[place] = None,
                Decision::Wake(after) => self.events.push(self.now + after, Event::TimerExpired(dispatcher)),
            }
        }
    }

    fn reject(&mut self, dispatcher: usize, place: GetIndex, errored: bool) {
        if let Some(request) = self.dispatchers[dispatcher].requests[place] {
            self.answer(request, false, errored);
        }
    }

    /// Sends an attempt to a host.
    pub(super) fn send_attempt(&mut self, dispatcher: usize, place: GetIndex, to: Forward) {
        let Some(request) = self.dispatchers[dispatcher].requests[place] else { return };
        let serial = self.events.next_number();
        let sender = &mut self.dispatchers[dispatcher];
        let hop = sender.hops[place];
        sender.hops[place] += 1;
        sender.out.insert(place, serial);
        self.figures.forwards += 1;
        self.oracle.sent(request, to.host, self.world.drain_grace, self.now);
        let attempt = Attempt {
            request,
            dispatcher,
            process: sender.process,
            place,
            hop,
            to,
            sent_at: self.now,
            end: None,
            note: Note::Untold,
            source_wait: Duration::ZERO,
            born: Duration::ZERO,
            reported: false,
        };
        self.attempts.insert(serial, attempt);
        self.events.push(self.now + self.world.way, Event::AttemptArrived(serial));
        let timeout = if to.timeout.is_zero() { DEFAULT_TIMEOUT } else { to.timeout };
        self.events.push(self.now + timeout, Event::AttemptTimedOut(serial));
    }

    /// An attempt ended, at its host or at the dispatcher. The dispatcher hears of the former after the way back.
    pub(super) fn end_attempt(&mut self, serial: Serial, end: End, note: Note, at_host: bool) {
        let Some(attempt) = self.attempts.get_mut(&serial).filter(|attempt| attempt.end.is_none()) else {
            return;
        };
        (attempt.end, attempt.note) = (Some(end), note);
        let delay = if at_host { self.world.way } else { Duration::ZERO };
        self.events.push(self.now + delay, Event::OutcomeReceived(serial));
    }

    /// A dispatcher learns how an attempt ended.
    pub(super) fn outcome_received(&mut self, serial: Serial) {
        let Some(attempt) = self.attempts.get_mut(&serial).filter(|attempt| !attempt.reported) else {
            return;
        };
        attempt.reported = true;
        let (dispatcher, place, request, born) =
            (attempt.dispatcher, attempt.place, attempt.request, attempt.born);
        if attempt.process != self.dispatchers[dispatcher].process {
            self.attempts.remove(&serial);
            return;
        }
        let Some(end) = attempt.end else { return };
        let outcome = Outcome {
            attempt: attempt.hop,
            end,
            elapsed: self.now - attempt.sent_at,
            is_answered: end == End::Returned,
            note: attempt.note,
            source_wait: attempt.source_wait,
            load: LoadReport::default(),
        };
        self.attempts.remove(&serial);
        if self.dispatchers[dispatcher].out.get(&place) == Some(&serial) {
            self.dispatchers[dispatcher].out.remove(&place);
        }
        if end == End::Returned {
            self.object_returned(request, born);
        }
        if self.world.policy == Policy::Module {
            self.round(dispatcher, |round| round.on_outcome(place, &outcome));
        } else if end != End::Returned {
            self.answer(request, false, matches!(end, End::Errored | End::TimedOut));
        }
    }

    /// A dispatcher's process ends, and the connections of its clients. Its fills go on.
    pub(super) fn kill_dispatcher(&mut self, dispatcher: usize) {
        self.live[dispatcher / self.world.dispatchers].retain(|&live| live != dispatcher);
        let dead = &mut self.dispatchers[dispatcher];
        dead.router = None;
        dead.process += 1;
        dead.hops.clear();
        dead.out.clear();
        for id in std::mem::take(&mut dead.requests).into_iter().flatten() {
            let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else {
                continue;
            };
            // The request is kept, so that its fill goes on to the end.
            request.answered = true;
            self.figures.errored += 1;
            self.oracle.answered(id, false, false, self.now);
        }
    }

    /// A dispatcher's process starts. It is told the host list, and earlier purges with their age.
    pub(super) fn start_dispatcher(&mut self, dispatcher: usize) {
        let seed = self.random.u64(..);
        let location = dispatcher / self.world.dispatchers;
        let live = &mut self.live[location];
        live.insert(live.partition_point(|&other| other < dispatcher), dispatcher);
        if self.world.policy != Policy::Module {
            return;
        }
        // The module took these settings at the start of the run, so it takes them again.
        self.dispatchers[dispatcher].router = Router::new(&self.world.settings(location), seed).ok();
        let entries: Vec<_> = (0..self.hosts.len()).map(|host| self.entry(host)).collect();
        self.round(dispatcher, |round| round.on_host_list(ListUpdate::Full, &entries));
        for (group, at) in self.purged.clone() {
            let age = self.now - at;
            self.round(dispatcher, |round| round.on_purge(PurgeKey::Group(group), age));
        }
    }
}
