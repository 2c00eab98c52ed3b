//! Writing the decisions of one router, and mapping between its indices and the ids on the wire.

use myrtlegauge::interface::{DecisionSink, Forward, GetIndex, HostIndex};
use std::collections::HashMap;
use std::fmt::Arguments;
use std::io::Write;
use std::time::Duration;

/// Writes the reply of one router and keeps the ids behind its indices.
pub struct ReplyWriter {
    pub lines: ReplyLines,
    get_indices: HashMap<u64, GetIndex>,
    host_ids: Vec<String>,
    host_indices: HashMap<String, HostIndex>,
}

/// The lines of one reply, and the tickets by GET index.
pub struct ReplyLines {
    instance_id: u64,
    pub bytes: Vec<u8>,
    tickets: Vec<u64>,
}

impl ReplyLines {
    fn write(&mut self, name: &str, fields: Arguments<'_>) {
        let line = writeln!(self.bytes, "{{\"{name}\":{{\"i\":{}{fields}}}}}", self.instance_id);
        line.expect("writing to a vector cannot fail");
    }

    fn write_get(&mut self, name: &str, get: GetIndex, fields: Arguments<'_>) {
        let ticket = self.tickets[get];
        self.write(name, format_args!(",\"ticket\":\"{ticket:016x}\"{fields}"));
    }
}

impl ReplyWriter {
    /// Creates the writer of a router instance.
    pub fn new(instance_id: u64) -> Self {
        Self {
            lines: ReplyLines { instance_id, bytes: Vec::new(), tickets: Vec::new() },
            get_indices: HashMap::new(),
            host_ids: Vec::new(),
            host_indices: HashMap::new(),
        }
    }

    /// Records the ticket of a new GET.
    pub fn insert_get(&mut self, ticket: u64, get: GetIndex) {
        let tickets = &mut self.lines.tickets;
        if tickets.len() <= get {
            tickets.resize(get + 1, 0);
        }
        tickets[get] = ticket;
        self.get_indices.insert(ticket, get);
    }

    /// Returns the index of a GET that is not released yet.
    pub fn get_index(&self, ticket: u64) -> Option<GetIndex> {
        self.get_indices.get(&ticket).copied()
    }

    /// Returns the index of a host; a new host gets the next one.
    pub fn host_index(&mut self, id: &str) -> HostIndex {
        if let Some(&index) = self.host_indices.get(id) {
            return index;
        }
        self.host_ids.push(id.to_owned());
        self.host_indices.insert(id.to_owned(), self.host_ids.len() - 1);
        self.host_ids.len() - 1
    }

    /// Writes a failure of the router.
    pub fn write_bug(&mut self, message: &str) {
        let message = serde_json::Value::from(message);
        self.lines.write("Bug", format_args!(",\"message\":{message}"));
    }
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

impl DecisionSink for ReplyWriter {
    fn forward(&mut self, get: GetIndex, forward: &Forward) {
        let (host, source) = (&self.host_ids[forward.host], &self.host_ids[forward.source]);
        let manner = u8::from(forward.join_fill)
            | u8::from(forward.only_if_cached) << 1
            | u8::from(forward.renew) << 3;
        let (timeout, age, rank) =
            (to_ms(forward.timeout), to_ms(forward.accepted_age), forward.retention_rank);
        self.lines.write_get(
            "Obtain",
            get,
            format_args!(
                ",\"host\":\"{host}\",\"timeout_ms\":{timeout},\"source\":\"{source}\",\"store_as\":{rank},\
                 \"oldness_ms\":{age},\"manner\":{manner}"
            ),
        );
    }

    fn withdraw(&mut self, get: GetIndex, attempt: u32) {
        self.lines.write_get("StopAttempt", get, format_args!(",\"hop\":{attempt}"));
    }

    fn shed(&mut self, get: GetIndex, retry_after: Option<Duration>) {
        match retry_after {
            Some(wait) => {
                self.lines.write_get("PushBack", get, format_args!(",\"backoff_ms\":{}", to_ms(wait)))
            }
            None => self.lines.write_get("PushBack", get, format_args!("")),
        }
    }

    fn error(&mut self, get: GetIndex) {
        self.lines.write_get("Lose", get, format_args!(""));
    }

    fn release(&mut self, get: GetIndex) {
        self.get_indices.remove(&self.lines.tickets[get]);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        self.lines.write("Timer", format_args!(",\"from_now_ms\":{},\"label\":\"wake\"", to_ms(after)));
    }

    fn subscribe_host_list(&mut self) {
        self.lines.write("Tail", format_args!(",\"on\":true"));
    }

    fn log(&mut self, text: Arguments<'_>) {
        let message = serde_json::Value::from(text.to_string());
        self.lines.write("Emit", format_args!(",\"message\":{message}"));
    }
}
