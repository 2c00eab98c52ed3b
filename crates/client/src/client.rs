//! The driver: runs the core on an event loop of its own and holds the connections. It makes no decisions.

use crate::decide::{
    ActionSink, AttemptId, CallId, CallOutcome, ConnectionId, Core, DispatcherAnswer, Round, number_after,
};
use crate::terms::*;
use bytes::{Bytes, BytesMut};
use calloop::EventLoop;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::fastcgi_client::{
    self, RequestState, Response, ResponseEvent, ResponseReader,
};
use myrtlegauge_wire::transport::{
    Connection, EventLoopHandle, ReadOutcome, ReadinessHandler, ResourceUsage,
};
use std::collections::{BTreeMap, VecDeque};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Size of the buffer that all connections read through.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes read from one connection before the others get their turn.
const MAX_READ_BYTES: usize = 256 * 1024;
/// Maximum number of aborted requests without an end on one connection. One with more gets no further requests, and is
/// closed once it has none.
const MAX_ABORTED_REQUESTS: usize = 64;
/// Records of resends that are kept until the caller reads them.
const MAX_RESEND_RECORDS: usize = 1024;

/// Identifies a call to its caller; never reused.
pub type Ticket = u64;

/// A connection to a dispatcher.
struct Link {
    connection: Connection<ReadyConnections>,
    is_connected: bool,
    responses: ResponseReader,
    open: Vec<SentRequest>,
    /// Numbers of requests that were aborted and have not ended yet.
    aborted: Vec<u16>,
}

/// A request in flight on a connection.
struct SentRequest {
    /// The FastCGI request id.
    number: u16,
    call: CallId,
    /// The number of its message on the connection.
    message: u64,
}

impl Link {
    /// Removes a request from those in flight.
    fn take_open(&mut self, number: u16) -> Option<SentRequest> {
        let index = self.open.iter().position(|request| request.number == number)?;
        Some(self.open.swap_remove(index))
    }

    /// Tells the dispatcher to abort a request, whose end is passed over when it comes.
    fn send_abort(&mut self, number: u16, write_buffer: &mut BytesMut) {
        self.responses.discard(number);
        self.aborted.push(number);
        fastcgi_client::write_abort(write_buffer, number);
        self.connection.enqueue(write_buffer.split().freeze());
        let _ = self.connection.flush();
    }

    /// Reads the next event of a response.
    fn next_event(&mut self) -> Result<Option<ResponseEvent>, StreamError> {
        let Self { connection, responses, open, aborted, .. } = self;
        connection
            .parse(|inbound| responses.next_event(inbound, |number| request_state(open, aborted, number)))
    }
}

fn request_state(open: &[SentRequest], aborted: &[u16], number: u16) -> RequestState {
    if open.iter().any(|request| request.number == number) {
        RequestState::Open
    } else if aborted.contains(&number) {
        RequestState::Aborted
    } else {
        RequestState::Unknown
    }
}

/// A call with its arguments and its answer.
struct SubmittedCall {
    ticket: Ticket,
    get: Get,
    answer: Option<Returned>,
}

/// The ids of the connections that the event loop reported as ready, and of those with more to read.
#[derive(Default)]
struct ReadyConnections(Vec<ConnectionId>);

impl ReadinessHandler for ReadyConnections {
    type Key = ConnectionId;

    fn on_socket_ready(&mut self, connection_id: ConnectionId) {
        if !self.0.contains(&connection_id) {
            self.0.push(connection_id);
        }
    }
}

/// Carries out the actions of the core.
struct Driver {
    event_loop_handle: EventLoopHandle<ReadyConnections>,
    resource_usage: Rc<ResourceUsage>,
    services: Vec<String>,
    dispatchers: Vec<Dispatcher>,
    links: BTreeMap<ConnectionId, Link>,
    /// Connections that could not be opened, reported to the core in the next round.
    failed: Vec<ConnectionId>,
    calls: BTreeMap<CallId, SubmittedCall>,
    /// The call that is being submitted: its outcome may come before its id is known.
    submitting: Option<SubmittedCall>,
    call_ids: BTreeMap<Ticket, CallId>,
    outcomes: VecDeque<(Ticket, Outcome)>,
    resends: VecDeque<Resend>,
    write_buffer: BytesMut,
}

/// Makes calls to dispatchers. It has an event loop of its own: call `turn` until there is an outcome, or watch its file
/// descriptor in another loop and call `turn` when it is ready or `poll_timeout` has passed.
pub struct Client {
    core: Core,
    driver: Driver,
    event_loop: EventLoop<'static, ReadyConnections>,
    ready: ReadyConnections,
    started: Instant,
    last_ticket: Ticket,
    read_buffer: Vec<u8>,
}

impl ActionSink for Driver {
    fn connect(&mut self, connection_id: ConnectionId, dispatcher: usize) {
        match Connection::connect(
            &self.event_loop_handle,
            self.dispatchers[dispatcher].address,
            connection_id,
            &self.resource_usage,
        ) {
            Ok(connection) => {
                let (open, aborted) = (Vec::new(), Vec::new());
                let link_state = Link {
                    connection,
                    is_connected: false,
                    responses: ResponseReader::default(),
                    open,
                    aborted,
                };
                self.links.insert(connection_id, link_state);
            }
            Err(_) => self.failed.push(connection_id),
        }
    }

    fn send(
        &mut self,
        connection_id: ConnectionId,
        number: u16,
        call: CallId,
        attempt_id: AttemptId,
        remaining: Duration,
    ) {
        let pending = self.calls.get(&call).or(self.submitting.as_ref());
        let (Some(link_state), Some(pending)) = (self.links.get_mut(&connection_id), pending) else { return };
        let get = &pending.get;
        let path = format!("/rpc/{}", self.services[get.service]);
        let (id, first_id) = (format!("{:016x}", attempt_id.id), format!("{:016x}", attempt_id.first_id));
        // Rounded down to whole milliseconds, so that the dispatcher never gets more time than remains.
        let (budget, attempt) = (remaining.as_millis().to_string(), attempt_id.attempt.to_string());
        let (object, chunk) = (format!("{:016x}", get.object), get.chunk.to_string());
        let group = get.group.to_string();
        let mut params: Vec<(&str, &[u8])> = vec![
            ("SCRIPT_NAME", path.as_bytes()),
            ("HTTP_REQUEST_ID", id.as_bytes()),
            ("HTTP_BUDGET_MS", budget.as_bytes()),
            ("HTTP_RESOURCE_KEY", object.as_bytes()),
            ("HTTP_X_CHUNK", chunk.as_bytes()),
            ("HTTP_X_TAG", group.as_bytes()),
        ];
        if !get.held_version.is_empty() {
            params.push(("HTTP_X_KNOWN", &get.held_version));
        }
        if attempt_id.attempt > 0 {
            params.push(("HTTP_X_FIRST_ID", first_id.as_bytes()));
            params.push(("HTTP_X_TRY", attempt.as_bytes()));
        }
        fastcgi_client::write_request(&mut self.write_buffer, number, &params, &get.body);
        let message = link_state.connection.enqueue(self.write_buffer.split().freeze());
        link_state.open.push(SentRequest { number, call, message });
        let _ = link_state.connection.flush();
    }

    fn abort(&mut self, connection_id: ConnectionId, number: u16) -> Reached {
        let Some(link_state) = self.links.get_mut(&connection_id) else { return Reached::Whole };
        let request = link_state.take_open(number);
        if request.is_some_and(|request| link_state.connection.cancel_unsent(request.message)) {
            return Reached::NotWhole;
        }
        // The rest of a partly written request follows, since other requests are behind it, so that it may become whole.
        link_state.send_abort(number, &mut self.write_buffer);
        Reached::Whole
    }

    fn free_number(&self, connection_id: ConnectionId, from: u16) -> Option<u16> {
        let Link { open, aborted, .. } = self.links.get(&connection_id)?;
        let is_free = |&number: &u16| request_state(open, aborted, number) == RequestState::Unknown;
        let mut numbers = std::iter::successors(Some(from), |&number| Some(number_after(number)));
        // One of them is free, since far fewer are in use.
        if aborted.len() < MAX_ABORTED_REQUESTS { numbers.find(is_free) } else { None }
    }

    fn close(&mut self, connection_id: ConnectionId) {
        self.links.remove(&connection_id);
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome) {
        let Some(pending) = self.calls.remove(&call).or_else(|| self.submitting.take()) else { return };
        self.call_ids.remove(&pending.ticket);
        let outcome = match outcome {
            // The answer was stored with the call before the core was notified.
            CallOutcome::Returned => pending.answer.map_or(Outcome::MayHaveRun, Outcome::Returned),
            CallOutcome::Shed { reason, retry_after } => Outcome::Shed { reason, retry_after },
            CallOutcome::Errored => Outcome::Errored,
            CallOutcome::MayHaveRun => Outcome::MayHaveRun,
            CallOutcome::OutOfTime => Outcome::OutOfTime,
        };
        metrics::counter!("client_calls", "outcome" => outcome_label(&outcome)).increment(1);
        self.outcomes.push_back((pending.ticket, outcome));
    }

    fn record_resend(&mut self, resend: &Resend) {
        let Resend { first_id, attempt, end, reached, from, to } = *resend;
        log::debug!(number = attempt, end:?, reached:?, from, to; "GET {first_id:016x} sent again");
        metrics::counter!("client_resends", "end" => end_label(end)).increment(1);
        self.resends.push_back(*resend);
        // Callers need not read the records, so only the latest are kept.
        if self.resends.len() > MAX_RESEND_RECORDS {
            self.resends.pop_front();
        }
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Returned(_) => "returned",
        Outcome::Shed { .. } => "shed",
        Outcome::Errored => "errored",
        Outcome::MayHaveRun => "may-have-run",
        Outcome::OutOfTime => "out-of-time",
    }
}

fn end_label(end: End) -> &'static str {
    match end {
        End::Shed => "shed",
        End::Errored => "errored",
        End::Lost => "lost",
        End::Silent => "silent",
        End::Spoilt => "spoilt",
    }
}

impl Client {
    /// Creates a client for these services and dispatchers. `seed` determines the ids and the delays of reconnects, so no
    /// two clients may use the same one.
    ///
    /// # Errors
    /// The event loop can't be created.
    pub fn new(services: Vec<Service>, dispatchers: Vec<Dispatcher>, seed: u64) -> Result<Self, String> {
        let event_loop = EventLoop::<ReadyConnections>::try_new()
            .map_err(|error| format!("cannot create the event loop: {error}"))?;
        let driver = Driver {
            event_loop_handle: event_loop.handle(),
            resource_usage: Rc::new(ResourceUsage::default()),
            services: services.iter().map(|service| service.name.clone()).collect(),
            dispatchers: dispatchers.clone(),
            links: BTreeMap::new(),
            failed: Vec::new(),
            calls: BTreeMap::new(),
            submitting: None,
            call_ids: BTreeMap::new(),
            outcomes: VecDeque::new(),
            resends: VecDeque::new(),
            write_buffer: BytesMut::new(),
        };
        Ok(Self {
            core: Core::new(services, dispatchers, seed),
            driver,
            event_loop,
            ready: ReadyConnections::default(),
            started: Instant::now(),
            last_ticket: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Starts a call. `next_outcome` returns its outcome with this ticket, possibly at once.
    pub fn ask(&mut self, get: Get) -> Ticket {
        self.last_ticket += 1;
        let (ticket, service, budget) = (self.last_ticket, get.service, get.budget);
        self.driver.submitting = Some(SubmittedCall { ticket, get, answer: None });
        let now = self.started.elapsed();
        self.core.round(now, &mut self.driver, |round| {
            let call = round.on_call(service, budget);
            if let Some(pending) = round.sink().submitting.take() {
                let driver = round.sink();
                driver.call_ids.insert(pending.ticket, call);
                driver.calls.insert(call, pending);
            }
        });
        self.report_failed_connects();
        ticket
    }

    /// Abandons a call: its outcome is not reported.
    pub fn abandon(&mut self, ticket: Ticket) {
        let Some(call) = self.driver.call_ids.remove(&ticket) else { return };
        self.driver.calls.remove(&call);
        self.core.round(self.started.elapsed(), &mut self.driver, |round| round.on_abandoned(call));
    }

    /// The next outcome that was not read yet.
    pub fn next_outcome(&mut self) -> Option<(Ticket, Outcome)> {
        self.driver.outcomes.pop_front()
    }

    /// The next record of an attempt after the first that was not read yet. Only the latest 1024 are kept.
    pub fn next_resend(&mut self) -> Option<Resend> {
        self.driver.resends.pop_front()
    }

    /// Number of calls without an outcome.
    pub fn in_flight(&self) -> usize {
        self.core.in_flight()
    }

    /// Time until `turn` must be called even without a readiness event.
    pub fn poll_timeout(&self) -> Option<Duration> {
        if !self.ready.0.is_empty() {
            return Some(Duration::ZERO);
        }
        self.core.next_deadline().map(|deadline| deadline.saturating_sub(self.started.elapsed()))
    }

    /// Waits for events, for `max_wait` at most, and handles them.
    ///
    /// # Errors
    /// The event loop failed. Errors of connections are outcomes of calls instead.
    pub fn turn(&mut self, max_wait: Duration) -> Result<(), String> {
        let wait = self.poll_timeout().map_or(max_wait, |timeout| timeout.min(max_wait));
        self.event_loop
            .dispatch(wait, &mut self.ready)
            .map_err(|error| format!("the event loop failed: {error}"))?;
        let ready_connections = std::mem::take(&mut self.ready.0);
        let now = self.started.elapsed();
        let (read_buffer, mut unfinished) = (&mut self.read_buffer, Vec::new());
        self.core.round(now, &mut self.driver, |round| {
            for connection_id in ready_connections {
                if on_ready(round, connection_id, read_buffer) {
                    unfinished.push(connection_id);
                }
            }
        });
        self.ready.0 = unfinished;
        self.report_failed_connects();
        Ok(())
    }

    /// Reports connections that could not be opened to the core.
    fn report_failed_connects(&mut self) {
        while let Some(connection_id) = self.driver.failed.pop() {
            let now = self.started.elapsed();
            self.core.round(now, &mut self.driver, |round| {
                round.on_connection_lost(connection_id, End::Lost, |_| Reached::NotWhole)
            });
        }
    }
}

impl AsFd for Client {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.event_loop.as_fd()
    }
}

/// Writes to and reads from a ready connection. Returns whether there is more to read.
fn on_ready(round: &mut Round<'_, Driver>, connection_id: ConnectionId, read_buffer: &mut [u8]) -> bool {
    let Some(link_state) = round.sink().links.get_mut(&connection_id) else { return false };
    let is_connected = match link_state.connection.is_connected() {
        Ok(is_connected) => is_connected,
        Err(_) => {
            report_connection_lost(round, connection_id, End::Lost);
            return false;
        }
    };
    if !is_connected {
        return false;
    }
    if !std::mem::replace(&mut link_state.is_connected, true) {
        round.on_connected(connection_id);
    }
    let outcome = read_responses(round, connection_id, read_buffer);
    outcome.unwrap_or_else(|end| {
        report_connection_lost(round, connection_id, end);
        false
    })
}

/// Writes what waits, then reads up to `MAX_READ_BYTES` and handles the complete responses. Returns whether there is more to
/// read, or how the connection has ended.
fn read_responses(
    round: &mut Round<'_, Driver>,
    connection_id: ConnectionId,
    read_buffer: &mut [u8],
) -> Result<bool, End> {
    let Some(link_state) = round.sink().links.get_mut(&connection_id) else { return Ok(false) };
    link_state.connection.flush().map_err(|_| End::Lost)?;
    let unparsed_before = link_state.connection.unparsed_bytes();
    let read_outcome = link_state.connection.read(read_buffer, MAX_READ_BYTES);
    if link_state.connection.unparsed_bytes() > unparsed_before {
        round.on_bytes_read(connection_id);
    }
    loop {
        let Some(link_state) = round.sink().links.get_mut(&connection_id) else { return Ok(false) };
        match link_state.next_event() {
            Ok(Some(event)) => on_response_event(round, connection_id, event),
            Ok(None) => break,
            Err(StreamError(reason)) => {
                log::warn!("malformed answer from a dispatcher, closing its connection: {reason}");
                return Err(End::Spoilt);
            }
        }
    }
    match read_outcome {
        ReadOutcome::Closed => Err(End::Lost),
        ReadOutcome::Drained => Ok(false),
        ReadOutcome::More => Ok(true),
    }
}

fn on_response_event(round: &mut Round<'_, Driver>, connection_id: ConnectionId, event: ResponseEvent) {
    match event {
        ResponseEvent::Complete(response) => on_response(round, connection_id, response),
        ResponseEvent::Malformed { number, has_ended, reason } => {
            log::warn!("malformed answer from a dispatcher to one request: {}", reason.0);
            end_malformed(round.sink(), connection_id, number, has_ended);
            round.on_answer(connection_id, number, DispatcherAnswer::Malformed);
        }
        ResponseEvent::AbortEnded { number } => {
            if let Some(link_state) = round.sink().links.get_mut(&connection_id) {
                link_state.aborted.retain(|&aborted| aborted != number);
            }
        }
    }
}

/// Ends a request whose answer is malformed, and aborts it if more of the answer follows.
fn end_malformed(driver: &mut Driver, connection_id: ConnectionId, number: u16, has_ended: bool) {
    let Some(link_state) = driver.links.get_mut(&connection_id) else { return };
    link_state.take_open(number);
    if !has_ended {
        link_state.send_abort(number, &mut driver.write_buffer);
    }
}

fn on_response(round: &mut Round<'_, Driver>, connection_id: ConnectionId, response: Response) {
    let Some(link_state) = round.sink().links.get_mut(&connection_id) else { return };
    let Some(SentRequest { number, call, .. }) = link_state.take_open(response.number) else { return };
    let answer = match response.status {
        Some(200) => DispatcherAnswer::Returned,
        None | Some(429 | 503) => {
            let ms = |bytes: &Bytes| std::str::from_utf8(bytes).ok()?.trim().parse().ok();
            DispatcherAnswer::Shed(response.back_off_ms.as_ref().and_then(ms))
        }
        Some(_) => DispatcherAnswer::Errored,
    };
    if answer == DispatcherAnswer::Returned
        && let Some(pending) = round.sink().calls.get_mut(&call)
    {
        pending.answer = Some(Returned { valid: response.is_held_copy_valid, body: response.body });
    }
    round.on_answer(connection_id, number, answer);
}

/// Reports the end of a connection to the core, with how far the bytes of each request got.
fn report_connection_lost(round: &mut Round<'_, Driver>, connection_id: ConnectionId, end: End) {
    let Some(link_state) = round.sink().links.get(&connection_id) else { return };
    let is_written = |request: &&SentRequest| link_state.connection.is_written(request.message);
    let fully_sent: Vec<u16> =
        link_state.open.iter().filter(is_written).map(|request| request.number).collect();
    round.on_connection_lost(connection_id, end, |number| {
        if fully_sent.contains(&number) { Reached::Whole } else { Reached::NotWhole }
    });
}
