//! The host side of the proxy: carries out the decision module's forwards and parses the hosts' replies.

use super::clients::{ClientResponse, request_memory};
use super::codec;
use super::in_flight::InFlightForward;
use super::proxy::{Proxy, Timer};
use super::{ConnectionKey, EventSource};
use myrtlegauge::host_life::EndEvidence;
use myrtlegauge::interface::{
    DecisionSink, End, Forward, GetIndex, HostIndex, LoadReport, Note, Outcome, duration_from_ms,
};
use myrtlegauge_wire::host_replies::next_reply;
use myrtlegauge_wire::protocol::{StreamError, resp};
use std::cmp::Reverse;
use std::fmt::Arguments;
use std::io::Write;
use std::time::Duration;

impl DecisionSink for Proxy {
    fn forward(&mut self, get_index: GetIndex, decision: &Forward) {
        let (now, max_forwards) = (self.now, self.limits.max_forwards);
        let pending = self.in_flight.get_mut(get_index);
        let (is_valid, attempt) = (pending.client.is_some() && pending.forward.is_none(), pending.attempts);
        pending.attempts += 1;
        let time_left = pending.deadline.saturating_sub(now);
        let deadline =
            now + if decision.timeout.is_zero() { time_left } else { decision.timeout.min(time_left) };
        self.counters
            .check_invariant(is_valid, "one forward in flight at a time, and only for an unanswered GET");
        self.last_forward_serial += 1;
        let serial = self.last_forward_serial;
        let is_allowed = attempt < max_forwards;
        let link = if is_allowed { self.select_link(decision, get_index) } else { Err(End::NeverSent) };
        let link_key = link.ok();
        self.in_flight.get_mut(get_index).forward = Some(InFlightForward {
            attempt,
            serial,
            sent_at: now,
            deadline,
            link: link_key,
            message: None,
            sent_version: false,
            decision: *decision,
        });
        self.counters.forwards += 1;
        let kind = |host: HostIndex| Some(self.hosts[host].entry.kind);
        self.origin_forwards += u32::from(
            kind(decision.source) == self.limits.origin_kind
                || kind(decision.host) == self.limits.origin_kind,
        );
        self.timers.push(Reverse((deadline, Timer::ForwardTimeout(get_index, serial))));
        if !decision.start_deadline.is_zero() {
            self.timers.push(Reverse((decision.start_deadline, Timer::StartDeadline(get_index, serial))));
        }
        match link {
            Ok(key) => {
                let link = &mut self.links[key];
                link.in_flight_gets.push(get_index);
                link.last_used_at = now;
                if link.is_up {
                    self.write_forward(key, get_index);
                }
            }
            Err(end) => self.ended_forwards.push_back((get_index, serial, end)),
        }
    }

    fn withdraw(&mut self, get_index: GetIndex, attempt: u32) {
        let Some(forward) =
            self.in_flight.get_mut(get_index).forward.filter(|forward| forward.attempt == attempt)
        else {
            return;
        };
        self.counters.withdrawn += 1;
        let end = if self.abandon_forward(get_index, &forward) { End::Withdrawn } else { End::NeverSent };
        self.ended_forwards.push_back((get_index, forward.serial, end));
    }

    fn shed(&mut self, get_index: GetIndex, retry_after: Option<Duration>) {
        if !self.may_reject(get_index) {
            return self.error(get_index);
        }
        self.check_rejected(get_index);
        let is_answered = self.answer(get_index, &ClientResponse::Shed(retry_after));
        self.counters.check_invariant(is_answered, "one answer for each GET");
    }

    fn error(&mut self, get_index: GetIndex) {
        let is_answered = self.answer(get_index, &ClientResponse::Errored);
        self.counters.check_invariant(is_answered, "one answer for each GET");
    }

    fn release(&mut self, get_index: GetIndex) {
        let pending = self.in_flight.get_mut(get_index);
        let is_finished = pending.client.is_none() && pending.forward.is_none();
        self.counters.check_invariant(
            is_finished,
            "a released GET is answered or abandoned and has no forward in flight",
        );
        let pending = self.in_flight.get(get_index);
        if pending.is_executed && self.has_effects(pending.get.ds) {
            self.executed_ids.insert(pending.id, self.now);
        }
        let held_bytes = request_memory(&self.in_flight.get(get_index).request);
        self.resource_usage.request_bytes.subtract(held_bytes);
        self.in_flight.remove(get_index);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        self.schedule_wakeup_in(after);
    }

    fn subscribe_host_list(&mut self) {}

    fn log(&mut self, line: Arguments<'_>) {
        log::info!("{line}");
    }
}

impl Proxy {
    /// Writes a forward in the hosts' format. Fields that the client sent are copied unchanged.
    pub fn write_forward(&mut self, key: ConnectionKey, get_index: GetIndex) {
        if !self.may_send(key, get_index) {
            return;
        }
        self.check_sent(get_index);
        self.check_slow_start_written(get_index);
        let Self {
            in_flight,
            hosts,
            links,
            codec,
            write_buffer,
            text_buffer,
            now,
            startup,
            purges_unknown_since,
            ..
        } = self;
        let pending = in_flight.get_mut(get_index);
        let Some(forward) = &mut pending.forward else { return };
        let (request, decision) = (&pending.request, &forward.decision);
        text_buffer.clear();
        put(text_buffer, "lane=", &codec.services[pending.get.ds]);
        for (name, value) in
            [(",name=", &request.key), (",piece=", &request.chunk), (",dedupe=", &request.token)]
        {
            if !value.is_empty() {
                put(text_buffer, name, value);
            }
        }
        put_number(text_buffer, ",ttl=", forward.deadline.saturating_sub(*now).as_millis().max(1));
        if decision.source != decision.host {
            put(text_buffer, ",up=", &hosts[decision.source].name);
        }
        if decision.retention_rank > 0 {
            put_number(text_buffer, ",store=", u128::from(decision.retention_rank));
        }
        if !decision.accepted_age.is_zero() {
            // A value of zero means the fresh time, so a shorter limit is rounded up to 1 ms.
            put_number(text_buffer, ",cap=", decision.accepted_age.as_millis().max(1));
        }
        let flags =
            [(decision.join_fill, "join"), (decision.only_if_cached, "held"), (decision.renew, "renew")];
        let mut separator = ",do=";
        for (_, word) in flags.iter().filter(|(is_set, _)| *is_set) {
            put(text_buffer, separator, word.as_bytes());
            separator = "+";
        }
        // The client's held version may only be reported as current while all purges are known.
        if !request.held_version.is_empty() && startup.is_log_synced() && purges_unknown_since.is_none() {
            put(text_buffer, ",inm=", &request.held_version);
            forward.sent_version = true;
        }
        resp::write_serve(write_buffer, &request.id, text_buffer, &request.body);
        let link = &mut links[key];
        forward.message = Some(link.connection.enqueue(write_buffer.split().freeze()));
        self.pending_writes.push(EventSource::Link(key));
    }

    /// Handles a forward's start deadline: a forward of which no byte was sent is cancelled.
    pub fn on_start_deadline(&mut self, get_index: GetIndex, serial: u64) {
        let forward = self
            .in_flight
            .get_mut(get_index)
            .forward
            .filter(|forward| forward.serial == serial && forward.link.is_some());
        let Some(forward) = forward else { return };
        if self.cancel_unsent_forward(&forward) {
            self.abandon_forward(get_index, &InFlightForward { message: None, ..forward });
            self.ended_forwards.push_back((get_index, serial, End::NeverSent));
        }
    }

    /// Cancels a forward of which no byte was sent. Returns whether it was cancelled, so that none will be sent.
    fn cancel_unsent_forward(&mut self, forward: &InFlightForward) -> bool {
        let Some(key) = forward.link else { return false };
        forward.message.is_none_or(|message| self.links[key].connection.cancel_unsent(message))
    }

    /// Handles a forward's timeout.
    pub fn on_forward_timeout(&mut self, get_index: GetIndex, serial: u64) {
        let forward = self
            .in_flight
            .get_mut(get_index)
            .forward
            .filter(|forward| forward.serial == serial && forward.link.is_some());
        let Some(forward) = forward else { return };
        let end = if self.abandon_forward(get_index, &forward) { End::TimedOut } else { End::NeverSent };
        self.ended_forwards.push_back((get_index, serial, end));
    }

    /// Removes a forward from its connection and, if it was sent, tells the host to cancel it. Returns whether it was
    /// sent.
    fn abandon_forward(&mut self, get_index: GetIndex, forward: &InFlightForward) -> bool {
        let was_sent = !self.cancel_unsent_forward(forward);
        let Some(key) = forward.link else { return was_sent };
        if let Some(forward) = &mut self.in_flight.get_mut(get_index).forward {
            forward.link = None;
        }
        let (now, connect_timeout, can_withdraw) =
            (self.now, self.limits.connect_timeout, self.limits.can_withdraw);
        let Self { links, in_flight, write_buffer, .. } = self;
        let link = &mut links[key];
        link.in_flight_gets.retain(|&other| other != get_index);
        link.last_used_at = now;
        // No byte was received since the forward was sent, for longer than the connect timeout: the peer may have
        // ended without closing, which a new connection will show. The cost is a needless handshake if the host is only
        // slow.
        link.is_retired |= forward.message.is_some()
            && link.received_at <= forward.sent_at
            && now >= forward.sent_at + connect_timeout;
        if was_sent && can_withdraw {
            resp::write_cancel(write_buffer, &in_flight.get_mut(get_index).request.id);
            link.connection.enqueue(write_buffer.split().freeze());
            self.pending_writes.push(EventSource::Link(key));
        }
        was_sent
    }

    /// The outcome of the next forward that a host has replied to.
    pub fn next_reply_outcome(&mut self) -> Option<(GetIndex, Outcome)> {
        while let Some(&key) = self.readable_links.front() {
            if let Some(outcome) = self.read_link(key) {
                return Some(outcome);
            }
            self.readable_links.pop_front();
        }
        None
    }

    /// Parses the replies on a connection up to the next one that ends a forward.
    fn read_link(&mut self, key: ConnectionKey) -> Option<(GetIndex, Outcome)> {
        loop {
            let Self { links, in_flight, .. } = self;
            let link = links.get_mut(key)?;
            let reply = match next_reply(&mut link.connection) {
                Ok(Some(reply)) => reply,
                Ok(None) => {
                    let is_partial = link.connection.unparsed_bytes() > 0;
                    if link.has_ended {
                        self.counters.links_broken += 1;
                        let host = link.host;
                        self.fail_link(key, if is_partial { End::Spoilt } else { End::Reset });
                        self.on_link_lost(host, EndEvidence::ConnectionsEnded);
                    } else if is_partial && link.partial_since.is_none() {
                        link.partial_since = Some(self.now);
                    }
                    return None;
                }
                Err(StreamError(error)) => {
                    self.report_fault(format_args!(
                        "invalid data on a host's connection, closing it: {error}"
                    ));
                    self.fail_link(key, End::Spoilt);
                    return None;
                }
            };
            if let Some(since) = link.partial_since.take() {
                self.counters.partial_replies += 1;
                self.counters.partial_replies_us += (self.now - since).as_micros() as u64;
            }
            let position = link
                .in_flight_gets
                .iter()
                .position(|&get_index| in_flight.get_mut(get_index).request.id == reply.id);
            let Some(position) = position else {
                self.counters.unmatched_replies += 1;
                continue;
            };
            let get_index = link.in_flight_gets.swap_remove(position);
            link.last_used_at = self.now;
            self.confirm_processes(key, get_index);
            let ds = self.in_flight.get_mut(get_index).get.ds;
            let end = self.codec.reply_end(ds, &reply).unwrap_or_else(|| {
                let status = reply.status.escape_ascii();
                self.report_fault(format_args!(
                    "unusable reply with status {status}; the forward counts as failed"
                ));
                End::Spoilt
            });
            if let Some(outcome) = self.on_reply(get_index, end, reply) {
                return Some((get_index, outcome));
            }
        }
    }

    /// Handles a reply to a forward, and answers the client if the reply is the object.
    fn on_reply(&mut self, get_index: GetIndex, mut end: End, reply: resp::Reply) -> Option<Outcome> {
        let pending = self.in_flight.get_mut(get_index);
        let forward = pending.forward.take();
        if end != End::Returned {
            pending.answered_on.extend(forward.and_then(|forward| forward.link));
        }
        self.counters.check_invariant(forward.is_some(), "a reply is matched to a forward in flight");
        let details = ReplyDetails {
            note: codec::reply_note(&reply),
            is_unmodified: codec::is_unmodified(&reply),
            source_wait: reply
                .field("fill")
                .and_then(codec::parse_number)
                .map_or(Duration::ZERO, duration_from_ms),
            load: codec::reply_load(&reply),
        };
        if end == End::Returned && self.in_flight.get_mut(get_index).client.is_some() {
            if let Some(forward) = &forward {
                self.log_late(get_index, forward, &details);
            }
            let sent_version = forward.is_some_and(|forward| forward.sent_version);
            match self.response_from_reply(get_index, sent_version, reply) {
                Some(response) => _ = self.answer(get_index, &response),
                None => {
                    end = End::Spoilt;
                    self.in_flight
                        .get_mut(get_index)
                        .answered_on
                        .extend(forward.and_then(|forward| forward.link));
                }
            }
        }
        Some(self.outcome(get_index, &forward?, end, details))
    }

    /// Logs a GET that was returned after its class's latency objective, with the request's id, the host, the fill
    /// source, how long the host waited for that source, and how long the forward took.
    fn log_late(&mut self, get_index: GetIndex, forward: &InFlightForward, details: &ReplyDetails) {
        let pending = self.in_flight.get_mut(get_index);
        let (age, ds) = (pending.age(self.now), pending.get.ds);
        if age <= self.limits.objective(ds) {
            return;
        }
        let Some(suppressed) = self.take_end_log_line() else { return };
        let pending = self.in_flight.get_mut(get_index);
        let (id, class, attempts) =
            (String::from_utf8_lossy(&pending.request.id).into_owned(), ds, pending.attempts);
        let host = String::from_utf8_lossy(&self.hosts[forward.decision.host].name).into_owned();
        let source = String::from_utf8_lossy(&self.hosts[forward.decision.source].name).into_owned();
        let (in_hand_ms, forward_ms) =
            (age.as_millis(), self.now.saturating_sub(forward.sent_at).as_millis());
        let fill_ms = details.source_wait.as_millis();
        log::info!(id:%, class, forwards = attempts, in_hand_ms, forward_ms, host:%, source:%, fill_ms,
            unsaid = suppressed;
            "late");
    }

    /// The outcome of the next forward that ended without a reply.
    pub fn next_ended_outcome(&mut self) -> Option<(GetIndex, Outcome)> {
        while let Some((get_index, serial, end)) = self.ended_forwards.pop_front() {
            let forward =
                self.in_flight.get_mut(get_index).forward.take_if(|forward| forward.serial == serial);
            if let Some(forward) = forward {
                return Some((get_index, self.outcome(get_index, &forward, end, ReplyDetails::default())));
            }
        }
        None
    }

    /// Records the end of a forward and builds its outcome for the decision module.
    fn outcome(
        &mut self,
        get_index: GetIndex,
        forward: &InFlightForward,
        end: End,
        details: ReplyDetails,
    ) -> Outcome {
        let ReplyDetails { note, is_unmodified, source_wait, load } = details;
        self.counters.record_end(end, note);
        self.origin_fills += u32::from(note == Note::FilledFromOrigin);
        let (ds, elapsed) = (self.in_flight.get_mut(get_index).get.ds, self.now - forward.sent_at);
        if end == End::Returned && !is_unmodified {
            self.record_service_time(ds, note, elapsed, source_wait);
        }
        if let Some(zones) = &mut self.zones {
            let is_late = elapsed > self.limits.objective(ds);
            let filled = match note {
                Note::Filled | Note::FilledFromOrigin => Some((ds, is_late)),
                Note::SourceRefused | Note::SourceBroke | Note::OriginFailed => Some((ds, true)),
                _ => None,
            };
            zones.record_outcome(
                forward.decision.host,
                forward.decision.source,
                end,
                is_late && source_wait * 2 < elapsed,
                filled,
            );
        }
        let pending = self.in_flight.get_mut(get_index);
        pending.last_end = Some((forward.decision.host, end, note));
        pending.is_executed |= !end.proves_not_run();
        pending.may_have_run |= !end.proves_not_run() && end != End::Returned;
        let is_answered = pending.client.is_none();
        Outcome {
            attempt: forward.attempt,
            end,
            elapsed,
            is_answered,
            note,
            is_unmodified,
            source_wait,
            load,
        }
    }
}

/// What a reply reports besides the object.
struct ReplyDetails {
    note: Note,
    is_unmodified: bool,
    source_wait: Duration,
    load: LoadReport,
}

impl Default for ReplyDetails {
    fn default() -> Self {
        Self {
            note: Note::Untold,
            is_unmodified: false,
            source_wait: Duration::ZERO,
            load: LoadReport::default(),
        }
    }
}

fn put(output: &mut Vec<u8>, name: &str, value: &[u8]) {
    output.extend_from_slice(name.as_bytes());
    output.extend_from_slice(value);
}

fn put_number(output: &mut Vec<u8>, name: &str, value: u128) {
    write!(output, "{name}{value}").expect("writing to a vector does not fail");
}
