//! Clients: their requests and the answers to them.

use super::event::Event;
use super::state::{Dispatcher, Request};
use super::{CHUNK, Engine, PURGE_GROUPS};
use crate::world::{Policy, Service};
use myrtlegauge::interface::{End, Get, Note};
use myrtlegauge::snapshot::ring_key;
use std::time::Duration;

/// Exponent of the popularity distribution: the object is a uniform draw raised to this power. With 3, a tenth of the
/// objects gets half of the requests.
const POPULARITY_EXPONENT: i32 = 3;
/// Each request with an effect has an object of its own, numbered from here on.
const FIRST_EFFECT_OBJECT: u64 = 1 << 48;
/// The numbers of the objects of each service begin at a multiple of two to this power.
const OBJECTS_PER_SERVICE_BITS: u32 = 40;
/// The chunk whose key determines the size of an object.
const SIZE_CHUNK: u32 = 7;

impl Engine<'_> {
    /// Sends a request of a client of a location, and schedules the next one.
    pub(super) fn send_request(&mut self, location: usize) {
        let rate = self.world.requests_per_s * self.rate_factor;
        let next = Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate);
        self.events.push(self.now + next, Event::RequestSent(location));
        let id = self.figures.gets;
        let service = self.draw_service();
        let object = self.draw_object(service, id);
        let service_settings = &self.world.services[service];
        let size_kb = object_size_kb(service_settings, object);
        let dispatcher = self.draw_dispatcher(location);
        self.figures.gets += 1;
        if let Some(bin) = self.series.bin(self.now) {
            bin.due += 1;
        }
        // Without a dispatcher the client's connection is refused.
        let Some(dispatcher) = dispatcher else {
            self.figures.errored += 1;
            return;
        };
        self.oracle.accepted += 1;
        self.events.push(self.now + service_settings.timeout, Event::ClientGaveUp(id));
        let request = Request {
            service,
            object,
            size_kb,
            sent_at: self.now,
            is_answered: false,
            is_given_up: false,
            dispatcher,
            get_index: 0,
        };
        self.requests.insert(id, request);
        match self.world.policy {
            Policy::Module => self.send_to_module(dispatcher, id),
            Policy::Hashing | Policy::Random | Policy::Informed => {
                self.send_baseline_attempt(dispatcher, id, location);
            }
        }
    }

    fn draw_service(&mut self) -> usize {
        let services = &self.world.services;
        let (mut draw, mut service) = (self.rng.f64(), 0);
        while service + 1 < services.len() && draw >= services[service].request_fraction {
            draw -= services[service].request_fraction;
            service += 1;
        }
        service
    }

    fn draw_object(&mut self, service: usize, request: u64) -> u64 {
        let service_settings = &self.world.services[service];
        if service_settings.is_non_idempotent {
            return FIRST_EFFECT_OBJECT | request;
        }
        let number = (self.rng.f64().powi(POPULARITY_EXPONENT) * service_settings.objects as f64) as u64;
        (service as u64) << OBJECTS_PER_SERVICE_BITS | number
    }

    /// Draws a running dispatcher, if there is one.
    fn draw_dispatcher(&mut self, location: usize) -> Option<usize> {
        let drawn = self.rng.usize(0..self.live_dispatchers[location].len().max(1));
        self.live_dispatchers[location].get(drawn).copied()
    }

    /// Passes a request to the decision module of its dispatcher.
    fn send_to_module(&mut self, dispatcher: usize, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let get = Get {
            ds: request.service,
            object: request.object,
            part: CHUNK,
            group: request.object % PURGE_GROUPS,
            size_kb: request.size_kb,
            viewer_timeout: self.world.services[request.service].timeout,
            is_retry: false,
            in_shed_fraction: false,
        };
        let Dispatcher { router: Some(router), decisions, requests, attempts_sent, .. } =
            &mut self.dispatchers[dispatcher]
        else {
            return;
        };
        request.get_index = router.round(self.now, decisions, |round| {
            let get_index = round.next_get_index();
            if requests.len() <= get_index {
                requests.resize(get_index + 1, None);
                attempts_sent.resize(get_index + 1, 0);
            }
            (requests[get_index], attempts_sent[get_index]) = (Some(id), 0);
            round.on_get(get);
            get_index
        });
        self.apply_decisions(dispatcher);
    }

    /// The object of a request was returned, from a copy created at this time.
    pub(super) fn object_returned(&mut self, id: u64, created_at: Duration) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_given_up || request.is_answered {
            return;
        }
        let service = &self.world.services[request.service];
        let elapsed = self.now - request.sent_at;
        if !service.is_non_idempotent && matches!(self.world.policy, Policy::Module | Policy::Informed) {
            // The baselines ignore purges, so this rule is not checked for them; they are judged by their figures.
            self.oracle.on_return(
                id,
                request.object % PURGE_GROUPS,
                created_at,
                self.world.purge_grace,
                self.now,
            );
        }
        let transfer_s = request.size_kb / self.world.transfer_kb_per_s;
        let is_in_time = elapsed.as_secs_f64() <= service.objective.as_secs_f64() + transfer_s;
        self.figures.returned += 1;
        self.figures.in_time += u64::from(is_in_time);
        if let Some(bin) = self.series.bin(request.sent_at) {
            *(if is_in_time { &mut bin.in_time } else { &mut bin.late }) += 1;
        }
        let _ = self.figures.latency_us.record(elapsed.as_micros() as u64);
        self.answer(id, true, false);
    }

    /// Answers a request with its object, an error or a rejection.
    pub(super) fn answer(&mut self, id: u64, is_returned: bool, is_errored: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (is_repeated, is_late) = (request.is_answered, request.is_given_up);
        request.is_answered = true;
        self.oracle.on_answer(id, is_repeated, is_late, self.now);
        if !is_returned && !is_repeated {
            self.figures.errored += u64::from(is_errored);
            self.figures.shed += u64::from(!is_errored);
        }
        if !is_repeated {
            self.requests.remove(&id);
        }
    }

    /// A client has given up waiting: its request is abandoned.
    pub(super) fn client_gave_up(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_answered) else { return };
        request.is_given_up = true;
        let (dispatcher, get_index) = (request.dispatcher, request.get_index);
        self.figures.errored += 1;
        if self.world.policy == Policy::Module {
            self.round(dispatcher, |round| round.on_abandoned(get_index));
            if let Some(attempt_id) = self.dispatchers[dispatcher].in_flight.get(&get_index).copied() {
                self.end_attempt(attempt_id, End::Withdrawn, Note::Untold, false);
            }
        }
        // The request needs no answer any more, and an answer can no longer be late.
        self.requests.remove(&id);
        self.oracle.answered += 1;
    }
}

/// Size of an object: the same for all requests, from a quarter to seven quarters of the mean.
fn object_size_kb(service: &Service, object: u64) -> f64 {
    service.size_kb * (0.25 + 1.5 * (ring_key(object, SIZE_CHUNK) >> 11) as f64 / (1u64 << 53) as f64)
}
