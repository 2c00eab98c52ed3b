//! Clients: the requests that they send, and the answers that they get.

use super::event::Event;
use super::state::{Dispatcher, Request};
use super::{Engine, GROUPS, PART};
use crate::world::{Policy, Service};
use myrtlegauge::interface::{End, Get, Note};
use myrtlegauge::snapshot::ring_key;
use std::time::Duration;

/// Skew of popularity: the power of a uniform draw that names the object. With 3 a tenth of the objects get half of the
/// requests.
const SKEW: i32 = 3;
/// Requests with an effect have objects of their own from this number on.
const FIRST_EFFECT: u64 = 1 << 48;
/// The objects of each service begin at a multiple of this number.
const OBJECTS_PER_SERVICE_BITS: u32 = 40;
/// The part whose key an object's size is drawn from.
const SIZE_PART: u32 = 7;

impl Engine<'_> {
    /// A client of a location sends a request, and the next one is scheduled.
    pub(super) fn send_request(&mut self, location: usize) {
        let rate = self.world.rate * self.burst;
        let next = Duration::from_secs_f64(-(1.0 - self.random.f64()).ln() / rate);
        self.events.push(self.now + next, Event::RequestSent(location));
        let id = self.figures.taken;
        let service = self.draw_service();
        let object = self.draw_object(service, id);
        let kind = &self.world.services[service];
        let size = object_size(kind, object);
        let dispatcher = self.draw_dispatcher(location);
        self.figures.taken += 1;
        if let Some(bin) = self.series.bin(self.now) {
            bin.due += 1;
        }
        // Without a dispatcher the client's connection is refused.
        let Some(dispatcher) = dispatcher else {
            self.figures.errored += 1;
            return;
        };
        self.oracle.taken += 1;
        self.events.push(self.now + kind.timeout, Event::ClientGaveUp(id));
        let request = Request {
            service,
            object,
            size,
            sent_at: self.now,
            answered: false,
            given_up: false,
            dispatcher,
            place: 0,
        };
        self.requests.insert(id, request);
        match self.world.policy {
            Policy::Module => self.hand_to_module(dispatcher, id),
            Policy::Hashing | Policy::Random | Policy::Informed => {
                self.send_baseline_attempt(dispatcher, id, location);
            }
        }
    }

    fn draw_service(&mut self) -> usize {
        let services = &self.world.services;
        let (mut draw, mut service) = (self.random.f64(), 0);
        while service + 1 < services.len() && draw >= services[service].share {
            draw -= services[service].share;
            service += 1;
        }
        service
    }

    fn draw_object(&mut self, service: usize, request: u64) -> u64 {
        let kind = &self.world.services[service];
        if kind.non_idempotent {
            return FIRST_EFFECT | request;
        }
        let number = (self.random.f64().powi(SKEW) * kind.objects as f64) as u64;
        (service as u64) << OBJECTS_PER_SERVICE_BITS | number
    }

    /// Draws a dispatcher that lives; none if none does.
    fn draw_dispatcher(&mut self, location: usize) -> Option<usize> {
        let drawn = self.random.usize(0..self.live[location].len().max(1));
        self.live[location].get(drawn).copied()
    }

    /// Gives a request to the decision module of its dispatcher.
    fn hand_to_module(&mut self, dispatcher: usize, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let get = Get {
            ds: request.service,
            object: request.object,
            part: PART,
            group: request.object % GROUPS,
            size_kb: request.size,
            viewer_timeout: self.world.services[request.service].timeout,
            is_retry: false,
            in_shed_fraction: false,
        };
        let Dispatcher { router: Some(router), decisions, requests, hops, .. } =
            &mut self.dispatchers[dispatcher]
        else {
            return;
        };
        request.place = router.round(self.now, decisions, |round| {
            let place = round.next_get_index();
            if requests.len() <= place {
                requests.resize(place + 1, None);
                hops.resize(place + 1, 0);
            }
            (requests[place], hops[place]) = (Some(id), 0);
            round.on_get(get);
            place
        });
        self.apply_decisions(dispatcher);
    }

    /// A request's object came, of a copy born at this time.
    pub(super) fn object_returned(&mut self, id: u64, born: Duration) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.given_up || request.answered {
            return;
        }
        let service = &self.world.services[request.service];
        let took = self.now - request.sent_at;
        if !service.non_idempotent && matches!(self.world.policy, Policy::Module | Policy::Informed) {
            // The baselines know nothing of purges: they are judged by their figures.
            self.oracle.returned(id, request.object % GROUPS, born, self.world.purge_grace, self.now);
        }
        let transfer = request.size / self.world.pace_kb;
        let in_time = took.as_secs_f64() <= service.objective.as_secs_f64() + transfer;
        self.figures.returned += 1;
        self.figures.in_time += u64::from(in_time);
        if let Some(bin) = self.series.bin(request.sent_at) {
            *(if in_time { &mut bin.in_time } else { &mut bin.late }) += 1;
        }
        let _ = self.figures.latency.record(took.as_micros() as u64);
        self.answer(id, true, false);
    }

    /// A request has its answer: its object, an error or a rejection.
    pub(super) fn answer(&mut self, id: u64, returned: bool, errored: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (twice, late) = (request.answered, request.given_up);
        request.answered = true;
        self.oracle.answered(id, twice, late, self.now);
        if !returned && !twice {
            self.figures.errored += u64::from(errored);
            self.figures.shed += u64::from(!errored);
        }
        if !twice {
            self.requests.remove(&id);
        }
    }

    /// A client waits no longer: its request is abandoned.
    pub(super) fn client_gave_up(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.given_up = true;
        let (dispatcher, place) = (request.dispatcher, request.place);
        self.figures.errored += 1;
        if self.world.policy == Policy::Module {
            self.round(dispatcher, |round| round.on_abandoned(place));
            if let Some(serial) = self.dispatchers[dispatcher].out.get(&place).copied() {
                self.end_attempt(serial, End::Withdrawn, Note::Untold, false);
            }
        }
        // No answer is owed any more, and none can be late.
        self.requests.remove(&id);
        self.oracle.answered += 1;
    }
}

/// Kilobytes of an object: the same for all requests, from a quarter to seven quarters of the mean.
fn object_size(service: &Service, object: u64) -> f64 {
    service.size_kb * (0.25 + 1.5 * (ring_key(object, SIZE_PART) >> 11) as f64 / (1u64 << 53) as f64)
}
