//! The hosts' side of the proxy: forwards out, answers in. It carries out what the module decided.

use super::clients::Answer;
use super::codec;
use super::hosts::Link;
use super::in_flight::Out;
use super::proxy::{Due, Proxy};
use super::{Key, Who};
use myrtlegauge::host_life::EndEvidence;
use myrtlegauge::interface::{
    DecisionSink, End, Forward, GetIndex, HostIndex, LoadReport, Note, Outcome, duration_from_ms,
};
use myrtlegauge_wire::protocol::{StreamError, resp};
use myrtlegauge_wire::transport::Connection;
use std::cmp::Reverse;
use std::fmt::Arguments;
use std::io::{self, ErrorKind, Write};
use std::time::Duration;

/// Connections to one host, where descriptors allow.
const LINKS_EACH: usize = 4;
/// How long a connection may take to come up after all: the system asks a second time after 1 s where the first word
/// was lost, and a way there and back more. GETs wait no longer for it than the settings tell.
const DIAL_MOST: Duration = Duration::from_millis(2000);

impl DecisionSink for Proxy {
    fn forward(&mut self, place: GetIndex, f: &Forward) {
        let (now, most) = (self.now, self.limits.forwards);
        let pending = self.in_flight.at(place);
        let (fit, hop) = (pending.owed.is_some() && pending.out.is_none(), pending.hops);
        pending.hops += 1;
        let left = pending.until.saturating_sub(now);
        let until = now + if f.timeout.is_zero() { left } else { f.timeout.min(left) };
        self.counters.must(fit, "one forward out at a time, and only for a GET in hand");
        self.forwards += 1;
        let serial = self.forwards;
        let allowed = hop < most;
        let link = if allowed { self.link_to(f.host, place) } else { Err(End::NeverSent) };
        let link_key = link.ok();
        self.in_flight.at(place).out = Some(Out {
            hop,
            serial,
            at: now,
            until,
            link: link_key,
            message: None,
            names_copy: false,
            to: *f,
        });
        self.counters.forwards += 1;
        let kind = |host: HostIndex| Some(self.hosts[host].entry.kind);
        self.from_origin +=
            u32::from(kind(f.source) == self.limits.origin_kind || kind(f.host) == self.limits.origin_kind);
        self.dues.push(Reverse((until, Due::Forward(place, serial))));
        if !f.start_deadline.is_zero() {
            self.dues.push(Reverse((f.start_deadline, Due::Begin(place, serial))));
        }
        match link {
            Ok(key) => {
                let link = &mut self.links[key];
                link.out.push(place);
                link.used_at = now;
                if link.up {
                    self.write_forward(key, place);
                }
            }
            Err(end) => self.ended.push_back((place, serial, end)),
        }
    }

    fn withdraw(&mut self, place: GetIndex, hop: u32) {
        let Some(out) = self.in_flight.at(place).out.filter(|out| out.hop == hop) else { return };
        self.counters.withdrawn += 1;
        let end = if self.give_up(place, &out) { End::Withdrawn } else { End::NeverSent };
        self.ended.push_back((place, out.serial, end));
    }

    fn shed(&mut self, place: GetIndex, retry_after: Option<Duration>) {
        if !self.may_reject(place) {
            return self.error(place);
        }
        self.check_rejected(place);
        let paid = self.pay(place, &Answer::Shed(retry_after));
        self.counters.must(paid, "one answer for each GET");
    }

    fn error(&mut self, place: GetIndex) {
        let paid = self.pay(place, &Answer::Errored);
        self.counters.must(paid, "one answer for each GET");
    }

    fn release(&mut self, place: GetIndex) {
        let pending = self.in_flight.at(place);
        let clear = pending.owed.is_none() && pending.out.is_none();
        self.counters.must(clear, "a GET that is over has no forward out and its answer");
        self.accounts.request_bytes.subtract(self.in_flight.at(place).request.size);
        self.in_flight.clear(place);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        self.wake_in(after);
    }

    fn subscribe_host_list(&mut self) {}

    fn log(&mut self, line: Arguments<'_>) {
        log::info!("{line}");
    }
}

impl Proxy {
    /// The connection that takes a forward to a host: the emptiest that is up, else one that is coming up, else a
    /// new one. Where all are in use one more is opened for later, up to a few: one that is spoilt or reset takes
    /// down what is out on it. It hurts a host that many dispatchers connect to, by a connection each.
    ///
    /// A GET that comes again takes no connection on which it was answered before: a second answer that comes late there
    /// would be taken for the end of a forward that is still out.
    fn link_to(&mut self, host: HostIndex, place: GetIndex) -> Result<Key, End> {
        let before = &self.in_flight.peek(place).answered_on;
        let (links, streams, own) = (&self.links, self.limits.streams, &self.hosts[host].links);
        let open = own.iter().copied().filter(|&key| links[key].takes(streams) && !before.contains(&key));
        let first = open.min_by_key(|&key| (!links[key].up, links[key].out.len()));
        let Some(key) = first else { return self.open_link(host) };
        let few = own.len() < LINKS_EACH.min(self.most_links / self.hosts.len());
        if few && !links[key].out.is_empty() && own.iter().all(|&key| links[key].up || links[key].late) {
            let _ = self.open_link(host);
        }
        Ok(key)
    }

    fn open_link(&mut self, host: HostIndex) -> Result<Key, End> {
        if !self.has_room_for_link() {
            return Err(End::NeverSent);
        }
        let key = self.links.next_key();
        let address = self.hosts[host].address.ok_or(End::NoConnection)?;
        let opening = Connection::connect(&self.hub, address, Who::Link(key), &self.accounts);
        // What is amiss on this side is not held against the host.
        let here =
            |e: io::Error| !matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable);
        if opening.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            self.lost_link(host, EndEvidence::DialRefused);
        }
        let connection = opening.map_err(|e| if here(e) { End::NeverSent } else { End::NoConnection })?;
        self.counters.links += 1;
        let now = self.now;
        let link = Link {
            connection,
            host,
            up: false,
            late: false,
            since: now,
            out: Vec::new(),
            retired: false,
            ended: false,
            heard_at: now,
            part_since: None,
            used_at: now,
        };
        self.links.insert(key, link);
        self.hosts[host].links.push(key);
        self.dues.push(Reverse((now + self.limits.connect, Due::Connect(key))));
        Ok(key)
    }

    /// Writes a forward as its host reads it; what the client sent goes on as it came.
    fn write_forward(&mut self, key: Key, place: GetIndex) {
        if !self.may_write(key, place) {
            return;
        }
        self.check_written(place);
        let Self { in_flight, hosts, links, codec, pen, text, now, startup, doubted, .. } = self;
        let pending = in_flight.at(place);
        let Some(out) = &mut pending.out else { return };
        let (request, to) = (&pending.request, &out.to);
        text.clear();
        put(text, "lane=", &codec.services[pending.get.ds]);
        for (name, value) in
            [(",name=", &request.key), (",piece=", &request.chunk), (",dedupe=", &request.token)]
        {
            if !value.is_empty() {
                put(text, name, value);
            }
        }
        put_number(text, ",ttl=", out.until.saturating_sub(*now).as_millis().max(1));
        if to.source != to.host {
            put(text, ",up=", &hosts[to.source].name);
        }
        if to.retention_rank > 0 {
            put_number(text, ",store=", u128::from(to.retention_rank));
        }
        if !to.accepted_age.is_zero() {
            // Zero would mean the fresh time, so that a limit is never rounded to it.
            put_number(text, ",cap=", to.accepted_age.as_millis().max(1));
        }
        let words = [(to.join_fill, "join"), (to.only_if_cached, "held"), (to.renew, "renew")];
        let mut before = ",do=";
        for (_, word) in words.iter().filter(|(said, _)| *said) {
            put(text, before, word.as_bytes());
            before = "+";
        }
        // A client's copy is not called current before all purges are known.
        if !request.held_version.is_empty() && startup.is_log_synced() && doubted.is_none() {
            put(text, ",inm=", &request.held_version);
            out.names_copy = true;
        }
        resp::write_serve(pen, &request.id, text, &request.body);
        let link = &mut links[key];
        out.message = Some(link.connection.enqueue(pen.split().freeze()));
        self.dirty.push(Who::Link(key));
    }

    pub fn link_up(&mut self, key: Key) {
        let now = self.now;
        let Some(link) = self.links.get_mut(key) else { return };
        if std::mem::take(&mut link.late) {
            self.came_up.push(link.host);
        }
        (link.up, link.since, link.heard_at, link.used_at) = (true, now, now, now);
        self.connected.push(link.host);
        for place in self.links[key].out.clone() {
            self.write_forward(key, place);
        }
    }

    /// A connection that will not come up: nothing that waited for it ever ran.
    pub fn link_failed(&mut self, key: Key, why: ErrorKind) {
        self.counters.links_failed += 1;
        let host = self.links[key].host;
        self.end_link(key, End::NoConnection);
        if why == ErrorKind::ConnectionRefused {
            self.lost_link(host, EndEvidence::DialRefused);
        }
    }

    /// A connection that has not come up in time: nothing that waited for it ever ran, and goes elsewhere. It may still
    /// come, and tells then that its host lives; until then another is opened for what is to go there.
    ///
    /// Guards hosts whose connections come up late against being taken for dead, each new try coming up as late as the
    /// last. It hurts by a descriptor for a host that is gone.
    pub fn link_late(&mut self, key: Key) {
        self.counters.links_late += 1;
        self.links[key].late = true;
        self.end_forwards(key, End::NoConnection);
        let (dialled, host) = (self.links[key].since, self.links[key].host);
        self.dues.push(Reverse((dialled + DIAL_MOST, Due::Dial(key))));
        let late = || self.hosts[host].links.iter().copied().filter(|&key| self.links[key].late);
        if late().count() >= LINKS_EACH
            && let Some(oldest) = late().min_by_key(|&key| self.links[key].since)
        {
            self.drop_link(oldest);
        }
    }

    /// Ends a connection and what is out on it.
    pub fn end_link(&mut self, key: Key, end: End) {
        self.end_forwards(key, end);
        self.drop_link(key);
    }

    /// Ends what is out on a connection. A forward whose last byte never left is proven not run. One loss
    /// is told of the host once, by its first forward: the others only went down with it.
    fn end_forwards(&mut self, key: Key, end: End) {
        let mut told = end == End::Spoilt;
        for place in std::mem::take(&mut self.links[key].out) {
            let Some(out) = self.in_flight.at(place).out.as_mut() else { continue };
            out.link = None;
            let left = out.message.is_some_and(|message| self.links[key].connection.is_written(message));
            let end = match (left, std::mem::replace(&mut told, true)) {
                (true, false) => end,
                (true, true) => End::Spoilt,
                (false, false) => End::NoConnection,
                (false, true) => End::NeverSent,
            };
            self.ended.push_back((place, out.serial, end));
        }
    }

    /// Closes a connection that nothing is out on, in steps.
    pub fn close_link(&mut self, key: Key) {
        let link = self.take_link(key);
        self.closing.start_close(Who::Link(key), link.connection, &mut self.shared, self.now);
    }

    pub fn drop_link(&mut self, key: Key) {
        self.take_link(key);
    }

    fn take_link(&mut self, key: Key) -> Link {
        let link = self.links.remove(key);
        debug_assert!(link.out.is_empty(), "a connection is dropped with a forward out");
        self.hosts[link.host].links.retain(|&other| other != key);
        link
    }

    /// A forward that may not begin after now: one of which nothing has gone out is taken back.
    pub fn too_late_to_begin(&mut self, place: GetIndex, serial: u64) {
        let out = self.in_flight.at(place).out.filter(|out| out.serial == serial && out.link.is_some());
        let Some(out) = out else { return };
        if self.take_back(&out) {
            self.give_up(place, &Out { message: None, ..out });
            self.ended.push_back((place, serial, End::NeverSent));
        }
    }

    /// Whether not a byte of a forward has gone out, so that it never will.
    fn take_back(&mut self, out: &Out) -> bool {
        let Some(key) = out.link else { return false };
        out.message.is_none_or(|message| self.links[key].connection.cancel_unsent(message))
    }

    /// A forward's time is up.
    pub fn overdue(&mut self, place: GetIndex, serial: u64) {
        let out = self.in_flight.at(place).out.filter(|out| out.serial == serial && out.link.is_some());
        let Some(out) = out else { return };
        let end = if self.give_up(place, &out) { End::TimedOut } else { End::NeverSent };
        self.ended.push_back((place, serial, end));
    }

    /// Takes a forward off its connection and tells the host, if it was told of it; false: it was told nothing.
    fn give_up(&mut self, place: GetIndex, out: &Out) -> bool {
        let sent = !self.take_back(out);
        let Some(key) = out.link else { return sent };
        if let Some(out) = &mut self.in_flight.at(place).out {
            out.link = None;
        }
        let (now, connect, cancel) = (self.now, self.limits.connect, self.limits.cancel);
        let Self { links, in_flight, pen, .. } = self;
        let link = &mut links[key];
        link.out.retain(|&other| other != place);
        link.used_at = now;
        // Not a byte since it was sent, for longer than a connection may take: the other end may be gone without
        // a word, and another connection tells. Hurts only by a handshake where a host is slow and all alone.
        link.retired |= out.message.is_some() && link.heard_at <= out.at && now >= out.at + connect;
        if sent && cancel {
            resp::write_cancel(pen, &in_flight.at(place).request.id);
            link.connection.enqueue(pen.split().freeze());
            self.dirty.push(Who::Link(key));
        }
        sent
    }

    /// The next answer of a host that a forward waits for.
    pub fn next_answered(&mut self) -> Option<(GetIndex, Outcome)> {
        while let Some(&key) = self.heard_links.front() {
            if let Some(answered) = self.read_link(key) {
                return Some(answered);
            }
            self.heard_links.pop_front();
        }
        None
    }

    fn read_link(&mut self, key: Key) -> Option<(GetIndex, Outcome)> {
        loop {
            let Self { links, in_flight, .. } = self;
            let link = links.get_mut(key)?;
            let answer = match link.connection.parse(resp::next_reply) {
                Ok(Some(answer)) => answer,
                Ok(None) => {
                    let part = link.connection.unparsed_bytes() > 0;
                    if link.ended {
                        self.counters.links_broken += 1;
                        let host = link.host;
                        self.end_link(key, if part { End::Spoilt } else { End::Reset });
                        self.lost_link(host, EndEvidence::ConnectionsEnded);
                    } else if part && link.part_since.is_none() {
                        link.part_since = Some(self.now);
                    }
                    return None;
                }
                Err(StreamError(what)) => {
                    self.fault(format_args!("a host's connection is closed: {what}"));
                    self.end_link(key, End::Spoilt);
                    return None;
                }
            };
            if let Some(since) = link.part_since.take() {
                self.counters.in_parts += 1;
                self.counters.in_parts_us += (self.now - since).as_micros() as u64;
            }
            let at = link.out.iter().position(|&place| in_flight.at(place).request.id == answer.id);
            let Some(at) = at else {
                self.counters.strays += 1;
                continue;
            };
            let place = link.out.swap_remove(at);
            link.used_at = self.now;
            let ds = self.in_flight.at(place).get.ds;
            let end = self.codec.end(ds, &answer).unwrap_or_else(|| {
                self.fault(format_args!("a host answers {} and no more", answer.status.escape_ascii()));
                End::Spoilt
            });
            if let Some(outcome) = self.answered(place, end, answer) {
                return Some((place, outcome));
            }
        }
    }

    fn answered(&mut self, place: GetIndex, mut end: End, answer: resp::Reply) -> Option<Outcome> {
        let pending = self.in_flight.at(place);
        let out = pending.out.take();
        if end != End::Returned {
            pending.answered_on.extend(out.and_then(|out| out.link));
        }
        self.counters.must(out.is_some(), "an answer is matched to a forward that is out");
        let told = Told {
            note: codec::note(&answer),
            source_wait: answer
                .field("fill")
                .and_then(codec::number)
                .map_or(Duration::ZERO, duration_from_ms),
            load: codec::load(&answer),
        };
        if end == End::Returned && self.in_flight.at(place).owed.is_some() {
            if let Some(out) = &out {
                self.log_late(place, out, &told);
            }
            let names_copy = out.is_some_and(|out| out.names_copy);
            match self.returned(place, names_copy, answer) {
                Some(answer) => _ = self.pay(place, &answer),
                None => {
                    end = End::Spoilt;
                    self.in_flight.at(place).answered_on.extend(out.and_then(|out| out.link));
                }
            }
        }
        Some(self.outcome(place, &out?, end, told))
    }

    /// One line, by the request's id, on a GET returned after its class's objective: where it went, from which
    /// source, how long the host waited for that source, and how long the forward took.
    fn log_late(&mut self, place: GetIndex, out: &Out, told: &Told) {
        let pending = self.in_flight.at(place);
        let (in_hand, ds) = (pending.in_hand(self.now), pending.get.ds);
        if in_hand <= self.limits.aim(ds) {
            return;
        }
        let Some(unsaid) = self.may_log_end() else { return };
        let pending = self.in_flight.at(place);
        let (id, class, hops) = (String::from_utf8_lossy(&pending.request.id).into_owned(), ds, pending.hops);
        let host = String::from_utf8_lossy(&self.hosts[out.to.host].name).into_owned();
        let source = String::from_utf8_lossy(&self.hosts[out.to.source].name).into_owned();
        let (in_hand_ms, forward_ms) = (in_hand.as_millis(), self.now.saturating_sub(out.at).as_millis());
        let fill_ms = told.source_wait.as_millis();
        log::info!(id:%, class, forwards = hops, in_hand_ms, forward_ms, host:%, source:%, fill_ms, unsaid;
            "late");
    }

    /// The next forward that ended here.
    pub fn next_ended(&mut self) -> Option<(GetIndex, Outcome)> {
        while let Some((place, serial, end)) = self.ended.pop_front() {
            let out = self.in_flight.at(place).out.take_if(|out| out.serial == serial);
            if let Some(out) = out {
                return Some((place, self.outcome(place, &out, end, Told::default())));
            }
        }
        None
    }

    fn outcome(&mut self, place: GetIndex, out: &Out, end: End, told: Told) -> Outcome {
        let Told { note, source_wait, load } = told;
        self.counters.ended(end, note);
        self.filled_from_origin += u32::from(note == Note::FilledFromOrigin);
        let (ds, spent) = (self.in_flight.at(place).get.ds, self.now - out.at);
        if let Some(zones) = &mut self.zones {
            let late = spent > self.limits.aim(ds);
            let filled = match note {
                Note::Filled | Note::FilledFromOrigin => Some((ds, late)),
                Note::SourceRefused | Note::SourceBroke | Note::OriginFailed => Some((ds, true)),
                _ => None,
            };
            zones.saw(out.to.host, out.to.source, end, late && source_wait * 2 < spent, filled);
        }
        let pending = self.in_flight.at(place);
        pending.last = Some((out.to.host, end, note));
        pending.may_have_run |= !end.proves_not_run() && end != End::Returned;
        let closed = pending.owed.is_none();
        Outcome { attempt: out.hop, end, elapsed: spent, is_answered: closed, note, source_wait, load }
    }
}

/// What an answer tells beside its bytes.
struct Told {
    note: Note,
    source_wait: Duration,
    load: LoadReport,
}

impl Default for Told {
    fn default() -> Self {
        Self { note: Note::Untold, source_wait: Duration::ZERO, load: LoadReport::default() }
    }
}

fn put(text: &mut Vec<u8>, name: &str, value: &[u8]) {
    text.extend_from_slice(name.as_bytes());
    text.extend_from_slice(value);
}

fn put_number(text: &mut Vec<u8>, name: &str, value: u128) {
    write!(text, "{name}{value}").expect("a vector takes all that is written");
}
