//! Decisions of one router as they are written, and the ids that stand behind its indices.

use myrtlegauge::interface::{DecisionSink, Forward, GetIndex, HostIndex};
use std::collections::HashMap;
use std::fmt::Arguments;
use std::io::Write;
use std::time::Duration;

pub struct Desk {
    pub lines: Lines,
    places: HashMap<u64, GetIndex>,
    hosts: Vec<String>,
    indices: HashMap<String, HostIndex>,
}

/// The lines of one reply, and the tickets that they name.
pub struct Lines {
    instance: u64,
    pub bytes: Vec<u8>,
    tickets: Vec<u64>,
}

impl Lines {
    fn write(&mut self, name: &str, fields: Arguments<'_>) {
        let line = writeln!(self.bytes, "{{\"{name}\":{{\"i\":{}{fields}}}}}", self.instance);
        line.expect("a vector takes all that is written");
    }

    fn write_get(&mut self, name: &str, get: GetIndex, fields: Arguments<'_>) {
        let ticket = self.tickets[get];
        self.write(name, format_args!(",\"ticket\":\"{ticket:016x}\"{fields}"));
    }
}

impl Desk {
    pub fn new(instance: u64) -> Self {
        Self {
            lines: Lines { instance, bytes: Vec::new(), tickets: Vec::new() },
            places: HashMap::new(),
            hosts: Vec::new(),
            indices: HashMap::new(),
        }
    }

    pub fn open(&mut self, ticket: u64, place: GetIndex) {
        let tickets = &mut self.lines.tickets;
        if tickets.len() <= place {
            tickets.resize(place + 1, 0);
        }
        tickets[place] = ticket;
        self.places.insert(ticket, place);
    }

    pub fn place(&self, ticket: u64) -> Option<GetIndex> {
        self.places.get(&ticket).copied()
    }

    pub fn host(&mut self, id: &str) -> HostIndex {
        if let Some(&known) = self.indices.get(id) {
            return known;
        }
        self.hosts.push(id.to_owned());
        self.indices.insert(id.to_owned(), self.hosts.len() - 1);
        self.hosts.len() - 1
    }

    pub fn fault(&mut self, message: &str) {
        let message = serde_json::Value::from(message);
        self.lines.write("Bug", format_args!(",\"message\":{message}"));
    }
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl DecisionSink for Desk {
    fn forward(&mut self, get: GetIndex, f: &Forward) {
        let (host, source) = (&self.hosts[f.host], &self.hosts[f.source]);
        let manner = u8::from(f.join_fill) | u8::from(f.only_if_cached) << 1 | u8::from(f.renew) << 3;
        let (timeout, age, rank) = (ms(f.timeout), ms(f.accepted_age), f.retention_rank);
        self.lines.write_get(
            "Obtain",
            get,
            format_args!(
                ",\"host\":\"{host}\",\"timeout_ms\":{timeout},\"source\":\"{source}\",\"store_as\":{rank},\
                 \"oldness_ms\":{age},\"manner\":{manner}"
            ),
        );
    }

    fn withdraw(&mut self, get: GetIndex, hop: u32) {
        self.lines.write_get("StopAttempt", get, format_args!(",\"hop\":{hop}"));
    }

    fn shed(&mut self, get: GetIndex, retry_after: Option<Duration>) {
        match retry_after {
            Some(wait) => self.lines.write_get("PushBack", get, format_args!(",\"backoff_ms\":{}", ms(wait))),
            None => self.lines.write_get("PushBack", get, format_args!("")),
        }
    }

    fn error(&mut self, get: GetIndex) {
        self.lines.write_get("Lose", get, format_args!(""));
    }

    fn release(&mut self, get: GetIndex) {
        self.places.remove(&self.lines.tickets[get]);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        self.lines.write("Timer", format_args!(",\"from_now_ms\":{},\"label\":\"wake\"", ms(after)));
    }

    fn subscribe_host_list(&mut self) {
        self.lines.write("Tail", format_args!(",\"on\":true"));
    }

    fn log(&mut self, line: Arguments<'_>) {
        let message = serde_json::Value::from(line.to_string());
        self.lines.write("Emit", format_args!(",\"message\":{message}"));
    }
}
