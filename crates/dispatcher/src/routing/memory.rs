//! The memory that clients and hosts may take in buffers and requests, and who gives way when it is full.
//!
//! All that grows with input is counted before more is read: bytes that were read and not parsed, incomplete requests as
//! they are allocated, open requests with their records, and output that waits to be written. When the account is full,
//! these give way, in this order:
//! 1. complete requests of a client that holds more than its share, as they arrive;
//! 2. incomplete requests of the clients that hold most;
//! 3. answers to the clients that hold most output and read nothing of it, which are replaced by errors.
//!
//! The first two are refused as overloaded, which is safe to retry elsewhere.

use super::ConnectionKey;
use super::clients::{Client, ClientResponse};
use super::log_budget::LOG_INTERVAL;
use super::proxy::Proxy;
use std::fs;
use std::time::Duration;

/// Fraction of the memory for the account. The process itself, its list of hosts, and what the allocator loses need the
/// rest.
const ACCOUNT_FRACTION: f64 = 0.2;
/// Fraction of the account that the clients' shares have together while it is full.
const SHARES_FRACTION: f64 = 0.5;
/// Fraction of the account that the unread output of one client may take before it is read no further.
const UNSENT_FRACTION: f64 = 0.25;
/// How long a client may read nothing of its output while the buffers are full: several round trips within a site.
pub const MAX_UNREAD_TIME: Duration = Duration::from_millis(25);

/// Bytes that the account may hold in a process with this memory limit.
pub fn account_bytes(memory_bytes: usize) -> usize {
    (memory_bytes as f64 * ACCOUNT_FRACTION) as usize
}

/// Limits of the account and what was done to keep them.
#[derive(Debug, Default)]
pub struct MemoryAccount {
    pub max_bytes: usize,
    /// The highest value of the account so far.
    pub peak_bytes: usize,
    /// Requests refused because the account was full.
    pub refused_requests: u64,
    /// Answers replaced by errors because the buffers were full and their clients did not read.
    pub failed_answers: u64,
    /// Sum of the two counts when they were last logged, and when they may be logged next.
    logged_actions: u64,
    log_due_at: Duration,
}

impl MemoryAccount {
    /// The account of a process with this memory limit.
    pub fn new(memory_bytes: usize) -> Self {
        Self { max_bytes: account_bytes(memory_bytes), ..Self::default() }
    }

    fn actions(&self) -> u64 {
        self.refused_requests + self.failed_answers
    }
}

impl Proxy {
    /// Bytes in buffers and requests.
    pub fn account_bytes(&self) -> usize {
        self.resource_usage.buffered_bytes.current() + self.resource_usage.request_bytes.current()
    }

    /// Whether the buffers are full, so that no more replies are read until some answers are written.
    pub fn are_buffers_full(&self) -> bool {
        self.resource_usage.buffered_bytes.current() > self.memory.max_bytes
    }

    /// Whether buffers and requests together exceed the limit, so that requests are refused.
    pub fn is_request_memory_full(&self) -> bool {
        self.account_bytes() > self.memory.max_bytes
    }

    /// Bytes that one client may hold while the account is full. The excess of a client that sends without limit is
    /// refused, while the requests, disconnects and cancellations of other clients are still read.
    pub fn bytes_per_client(&self) -> usize {
        (self.memory.max_bytes as f64 * SHARES_FRACTION) as usize / self.clients.len().max(1)
    }

    /// Output that may wait for one client before it is read no further.
    pub fn max_unsent_bytes(&self) -> usize {
        if self.is_request_memory_full() {
            self.bytes_per_client()
        } else {
            (self.memory.max_bytes as f64 * UNSENT_FRACTION) as usize
        }
    }

    /// While the account is full, refuses the incomplete requests of the clients that hold most.
    pub fn refuse_largest_incomplete(&mut self) {
        self.memory.peak_bytes = self.memory.peak_bytes.max(self.account_bytes());
        if !self.is_request_memory_full() {
            return;
        }
        let share = self.bytes_per_client();
        for (_, key) in self.largest_clients(|client| client.reader.held_bytes(), share) {
            if !self.is_request_memory_full() {
                return;
            }
            self.refuse_incomplete(key);
        }
    }

    /// Refuses all incomplete requests of a client.
    pub fn refuse_incomplete(&mut self, key: ConnectionKey) {
        while let Some(number) = self
            .clients
            .get_mut(key)
            .and_then(|client| client.refuse_older_than(&self.resource_usage.request_bytes, Duration::MAX))
        {
            self.memory.refused_requests += 1;
            self.refuse_as_overloaded(key, number);
        }
    }

    /// While the buffers are full and other clients wait for answers, which can't be read from their hosts then, replaces
    /// the answers that wait for the clients that hold most output and have read nothing of it for a while.
    pub fn replace_unread_answers(&mut self) {
        if !self.are_buffers_full() {
            return;
        }
        let (share, now) = (self.bytes_per_client(), self.now);
        let mut stalled = self.largest_clients(|client| client.connection.unsent_memory_bytes(), share);
        stalled.retain(|&(_, key)| now >= self.clients[key].write_progress_at + MAX_UNREAD_TIME);
        let waiting_there: usize =
            stalled.iter().map(|&(_, key)| self.clients[key].open_requests.len()).sum();
        if self.in_flight.unanswered_count <= waiting_there {
            return;
        }
        for (_, key) in stalled {
            if !self.clients[key].must_read_output {
                self.fail_unsent_answers(key);
            }
        }
    }

    /// Replaces the answers of which no byte was written to a client by errors: each request still gets its one answer.
    fn fail_unsent_answers(&mut self, key: ConnectionKey) {
        let client = &mut self.clients[key];
        client.must_read_output = true;
        for number in client.cancel_unsent_answers() {
            self.memory.failed_answers += 1;
            self.write_answer(key, number, &ClientResponse::Errored);
        }
    }

    /// The clients of which `held_bytes` exceeds `min_bytes`, largest first.
    fn largest_clients(
        &self,
        held_bytes: impl Fn(&Client) -> usize,
        min_bytes: usize,
    ) -> Vec<(usize, ConnectionKey)> {
        let holders = self.clients.iter().map(|(key, client)| (held_bytes(client), key));
        let mut holders: Vec<_> = holders.filter(|(held_bytes, _)| *held_bytes > min_bytes).collect();
        holders.sort_unstable_by_key(|&(held_bytes, _)| std::cmp::Reverse(held_bytes));
        holders
    }

    /// Logs at most once in each `LOG_INTERVAL` what was done to keep the account within its limit since the last line.
    pub fn log_memory_actions(&mut self) {
        let actions = self.memory.actions();
        if actions == self.memory.logged_actions || self.now < self.memory.log_due_at {
            return;
        }
        self.memory.log_due_at = self.now + LOG_INTERVAL;
        self.memory.logged_actions = actions;
        let (refused, failed) = (self.memory.refused_requests, self.memory.failed_answers);
        let (account_bytes, max_bytes, clients) =
            (self.account_bytes(), self.memory.max_bytes, self.clients.len());
        let resident_kb = resident_kb();
        log::warn!(refused, failed, account_bytes, max_bytes, clients, resident_kb; "memory account full");
    }

    /// The account with its parts and its peak, and the resident memory of the process, as a line of the report.
    pub fn memory_line(&self) -> String {
        let MemoryAccount { max_bytes, peak_bytes, refused_requests, failed_answers, .. } = &self.memory;
        format!(
            "memory: account {} of {max_bytes} bytes, {peak_bytes} at most (buffers {}, requests {}), {refused_requests} \
             requests refused and {failed_answers} answers replaced for it; resident {} kB",
            self.account_bytes(),
            self.resource_usage.buffered_bytes.current(),
            self.resource_usage.request_bytes.current(),
            resident_kb()
        )
    }
}

/// Resident memory of this process in kB; zero if the system does not tell.
fn resident_kb() -> u64 {
    let resident = process_status("VmRSS:").unwrap_or_default();
    resident.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// What the system tells of this process under a name, from `/proc` on Linux.
pub fn process_status(name: &str) -> Option<String> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    status.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
}
