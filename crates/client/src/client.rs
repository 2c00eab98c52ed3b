//! The driver: connections on a calloop loop of its own, around the core. Nothing is decided here.

use crate::decide::{Answered, CallId, Carry, Core, Ended, LinkId, Mark, Round};
use crate::terms::*;
use bytes::{Bytes, BytesMut};
use calloop::EventLoop;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::fastcgi_client::{self, Response, ResponseReader};
use myrtlegauge_wire::transport::{
    Connection, EventLoopHandle, ReadOutcome, ReadinessHandler, ResourceUsage,
};
use std::collections::{BTreeMap, VecDeque};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A buffer that all connections read by way of, and bytes read from one in a turn.
const SHARED: usize = 64 * 1024;
const READ_MOST: usize = 256 * 1024;
/// Requests called off on one connection whose ends have not come yet; more, and it is of no use.
const ABORTED_MOST: usize = 64;

/// Names a call to its caller; never used again.
pub type Ticket = u64;

/// A connection to a dispatcher.
struct Line {
    connection: Connection<Stirs>,
    up: bool,
    answers: ResponseReader,
    /// Requests that are out: number, call, and where their last byte stands in what was ever written.
    open: Vec<(u16, CallId, u64)>,
    aborted: Vec<u16>,
}

/// A call as its caller put it.
struct Held {
    ticket: Ticket,
    get: Get,
    answer: Option<Returned>,
}

/// What the loop tells the client: which lines are ready.
#[derive(Default)]
struct Stirs(Vec<LinkId>);

impl ReadinessHandler for Stirs {
    type Key = LinkId;

    fn on_socket_ready(&mut self, who: LinkId) {
        self.0.push(who);
    }
}

struct Desk {
    hub: EventLoopHandle<Stirs>,
    accounts: Rc<ResourceUsage>,
    services: Vec<String>,
    places: Vec<Place>,
    lines: BTreeMap<LinkId, Line>,
    /// Lines that could not be opened, to be told in the next round.
    failed: Vec<LinkId>,
    calls: BTreeMap<CallId, Held>,
    /// The call that is being taken: its outcome may come before its number is known.
    taking: Option<Held>,
    numbers: BTreeMap<Ticket, CallId>,
    outcomes: VecDeque<(Ticket, Outcome)>,
    resends: VecDeque<Resend>,
    pen: BytesMut,
}

/// Calls to dispatchers. It has a loop of its own: call `turn` until there is an outcome, or watch its descriptor in
/// another loop and call `turn` when it is ready or `patience` is over.
pub struct Client {
    core: Core,
    desk: Desk,
    turns: EventLoop<'static, Stirs>,
    stirs: Stirs,
    started: Instant,
    tickets: Ticket,
    shared: Vec<u8>,
}

impl Carry for Desk {
    fn connect(&mut self, link: LinkId, place: usize) {
        match Connection::connect(&self.hub, self.places[place].address, link, &self.accounts) {
            Ok(connection) => {
                let (open, aborted) = (Vec::new(), Vec::new());
                let line = Line { connection, up: false, answers: ResponseReader::default(), open, aborted };
                self.lines.insert(link, line);
            }
            Err(_) => self.failed.push(link),
        }
    }

    fn send(&mut self, link: LinkId, number: u16, call: CallId, mark: Mark, left: Duration) {
        let held = self.calls.get(&call).or(self.taking.as_ref());
        let (Some(line), Some(held)) = (self.lines.get_mut(&link), held) else { return };
        let get = &held.get;
        let path = format!("/rpc/{}", self.services[get.service]);
        let (id, first) = (format!("{:016x}", mark.id), format!("{:016x}", mark.first));
        // What is left, in whole milliseconds, so that no more is told than there is.
        let (budget, number_text) = (left.as_millis().to_string(), mark.number.to_string());
        let (object, part) = (format!("{:016x}", get.object), get.part.to_string());
        let group = get.group.to_string();
        let mut params: Vec<(&str, &[u8])> = vec![
            ("SCRIPT_NAME", path.as_bytes()),
            ("HTTP_REQUEST_ID", id.as_bytes()),
            ("HTTP_BUDGET_MS", budget.as_bytes()),
            ("HTTP_RESOURCE_KEY", object.as_bytes()),
            ("HTTP_X_CHUNK", part.as_bytes()),
            ("HTTP_X_TAG", group.as_bytes()),
        ];
        if !get.held.is_empty() {
            params.push(("HTTP_X_KNOWN", &get.held));
        }
        if mark.number > 0 {
            params.push(("HTTP_X_FIRST_ID", first.as_bytes()));
            params.push(("HTTP_X_TRY", number_text.as_bytes()));
        }
        fastcgi_client::write_request(&mut self.pen, number, &params, &get.body);
        line.connection.enqueue(self.pen.split().freeze());
        line.open.push((number, call, line.connection.enqueued_bytes()));
        let _ = line.connection.flush();
    }

    fn abort(&mut self, link: LinkId, number: u16) {
        let Some(line) = self.lines.get_mut(&link) else { return };
        line.open.retain(|(known, ..)| *known != number);
        line.answers.discard(number);
        line.aborted.push(number);
        fastcgi_client::write_abort(&mut self.pen, number);
        line.connection.enqueue(self.pen.split().freeze());
        let _ = line.connection.flush();
    }

    fn close(&mut self, link: LinkId) {
        self.lines.remove(&link);
    }

    fn done(&mut self, call: CallId, end: Ended) {
        let Some(held) = self.calls.remove(&call).or_else(|| self.taking.take()) else { return };
        self.numbers.remove(&held.ticket);
        let outcome = match end {
            // The answer was put beside the call before the core heard of it.
            Ended::Returned => held.answer.map_or(Outcome::Errored, Outcome::Returned),
            Ended::Shed { why, retry_after } => Outcome::Shed { why, retry_after },
            Ended::Errored => Outcome::Errored,
            Ended::MayHaveRun => Outcome::MayHaveRun,
            Ended::OutOfTime => Outcome::OutOfTime,
        };
        metrics::counter!("client_calls", "outcome" => name(&outcome)).increment(1);
        self.outcomes.push_back((held.ticket, outcome));
    }

    fn resent(&mut self, resend: &Resend) {
        let Resend { first, number, end, reached, from, to } = *resend;
        log::debug!(number, end:?, reached:?, from, to; "{first:016x} is sent again");
        metrics::counter!("client_resends", "end" => end_name(end)).increment(1);
        self.resends.push_back(*resend);
        // The record is for who asks for it; nobody has to.
        if self.resends.len() > 1024 {
            self.resends.pop_front();
        }
    }
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Returned(_) => "returned",
        Outcome::Shed { .. } => "shed",
        Outcome::Errored => "errored",
        Outcome::MayHaveRun => "may-have-run",
        Outcome::OutOfTime => "out-of-time",
    }
}

fn end_name(end: End) -> &'static str {
    match end {
        End::Shed => "shed",
        End::Errored => "errored",
        End::Lost => "lost",
        End::Silent => "silent",
        End::Spoilt => "spoilt",
    }
}

impl Client {
    /// A client of these services at these dispatchers. `seed` draws ids and the spread of reconnects: clients must not
    /// share one.
    ///
    /// # Errors
    /// No event loop can be had.
    pub fn new(services: Vec<Service>, places: Vec<Place>, seed: u64) -> Result<Self, String> {
        let turns = EventLoop::<Stirs>::try_new().map_err(|e| format!("no event loop: {e}"))?;
        let desk = Desk {
            hub: turns.handle(),
            accounts: Rc::new(ResourceUsage::default()),
            services: services.iter().map(|service| service.name.clone()).collect(),
            places: places.clone(),
            lines: BTreeMap::new(),
            failed: Vec::new(),
            calls: BTreeMap::new(),
            taking: None,
            numbers: BTreeMap::new(),
            outcomes: VecDeque::new(),
            resends: VecDeque::new(),
            pen: BytesMut::new(),
        };
        Ok(Self {
            core: Core::new(services, places, seed),
            desk,
            turns,
            stirs: Stirs::default(),
            started: Instant::now(),
            tickets: 0,
            shared: vec![0; SHARED],
        })
    }

    /// Asks; the outcome comes by `next_outcome` under the ticket, perhaps at once.
    pub fn ask(&mut self, get: Get) -> Ticket {
        self.tickets += 1;
        let (ticket, service, budget) = (self.tickets, get.service, get.budget);
        self.desk.taking = Some(Held { ticket, get, answer: None });
        let now = self.started.elapsed();
        self.core.round(now, &mut self.desk, |round| {
            let call = round.take(service, budget);
            if let Some(held) = round.carry().taking.take() {
                let desk = round.carry();
                desk.numbers.insert(held.ticket, call);
                desk.calls.insert(call, held);
            }
        });
        self.tell_failed();
        ticket
    }

    /// The caller does not wait any longer: nothing is told of the call from now on.
    pub fn abandon(&mut self, ticket: Ticket) {
        let Some(call) = self.desk.numbers.remove(&ticket) else { return };
        self.desk.calls.remove(&call);
        self.core.round(self.started.elapsed(), &mut self.desk, |round| round.dropped(call));
    }

    pub fn next_outcome(&mut self) -> Option<(Ticket, Outcome)> {
        self.desk.outcomes.pop_front()
    }

    /// The record of tries after the first, as far as it was not taken yet: the last thousand.
    pub fn next_resend(&mut self) -> Option<Resend> {
        self.desk.resends.pop_front()
    }

    /// Calls without an outcome.
    pub fn in_hand(&self) -> usize {
        self.core.in_hand()
    }

    /// How long nothing is due.
    pub fn patience(&self) -> Option<Duration> {
        self.core.due().map(|due| due.saturating_sub(self.started.elapsed()))
    }

    /// Waits for what comes, for so long at most, and deals with it.
    ///
    /// # Errors
    /// The loop's own; connections' are outcomes.
    pub fn turn(&mut self, most: Duration) -> Result<(), String> {
        let wait = self.patience().map_or(most, |patience| patience.min(most));
        self.turns.dispatch(wait, &mut self.stirs).map_err(|e| format!("the event loop: {e}"))?;
        let ready = std::mem::take(&mut self.stirs.0);
        let now = self.started.elapsed();
        let shared = &mut self.shared;
        self.core.round(now, &mut self.desk, |round| {
            for link in ready {
                on_ready(round, link, shared);
            }
        });
        self.tell_failed();
        Ok(())
    }

    /// Connections that could not even be begun.
    fn tell_failed(&mut self) {
        while let Some(link) = self.desk.failed.pop() {
            let now = self.started.elapsed();
            self.core.round(now, &mut self.desk, |round| round.lost(link, End::Lost, |_| Reached::NotWhole));
        }
    }
}

impl AsFd for Client {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.turns.as_fd()
    }
}

/// Reads and writes what can be on one line.
fn on_ready(round: &mut Round<'_, Desk>, link: LinkId, shared: &mut [u8]) {
    let Some(line) = round.carry().lines.get_mut(&link) else { return };
    let up = match line.connection.is_connected() {
        Ok(up) => up,
        Err(_) => return lose(round, link, End::Lost),
    };
    if !up {
        return;
    }
    if !std::mem::replace(&mut line.up, true) {
        round.up(link);
    }
    loop {
        let Some(line) = round.carry().lines.get_mut(&link) else { return };
        if line.connection.flush().is_err() {
            return lose(round, link, End::Lost);
        }
        let before = line.connection.unparsed_bytes();
        let reading = line.connection.read(shared, READ_MOST);
        if line.connection.unparsed_bytes() > before {
            round.heard(link);
        }
        loop {
            let Some(line) = round.carry().lines.get_mut(&link) else { return };
            let Line { connection, answers, open, aborted, .. } = line;
            let known = |number: u16| open.iter().any(|(n, ..)| *n == number) || aborted.contains(&number);
            match connection.parse(|inbound| answers.next_response(inbound, known)) {
                Ok(Some(answer)) => answered(round, link, answer),
                Ok(None) if aborted.len() > ABORTED_MOST => return lose(round, link, End::Spoilt),
                Ok(None) => break,
                Err(StreamError(what)) => {
                    log::warn!("a dispatcher's connection is closed: {what}");
                    return lose(round, link, End::Spoilt);
                }
            }
        }
        match reading {
            ReadOutcome::Closed => return lose(round, link, End::Lost),
            ReadOutcome::Drained => return,
            ReadOutcome::More => {}
        }
    }
}

fn answered(round: &mut Round<'_, Desk>, link: LinkId, answer: Response) {
    let Some(line) = round.carry().lines.get_mut(&link) else { return };
    if let Some(at) = line.aborted.iter().position(|&number| number == answer.number) {
        line.aborted.swap_remove(at);
        return;
    }
    let Some(at) = line.open.iter().position(|(number, ..)| *number == answer.number) else { return };
    let (number, call, _) = line.open.swap_remove(at);
    let told = match answer.status {
        Some(200) => Answered::Returned,
        None | Some(429 | 503) => {
            let ms = |bytes: &Bytes| std::str::from_utf8(bytes).ok()?.trim().parse().ok();
            Answered::Shed(answer.back_off_ms.as_ref().and_then(ms))
        }
        Some(_) => Answered::Errored,
    };
    if told == Answered::Returned
        && let Some(held) = round.carry().calls.get_mut(&call)
    {
        held.answer = Some(Returned { valid: answer.is_held_copy_valid, body: answer.body });
    }
    round.answered(link, number, told);
}

/// A line is over: each request there is told with how far it got.
fn lose(round: &mut Round<'_, Desk>, link: LinkId, end: End) {
    let Some(line) = round.carry().lines.get(&link) else { return };
    let flushed = line.connection.written_bytes();
    let whole: Vec<u16> = line.open.iter().filter(|(.., last)| flushed >= *last).map(|(n, ..)| *n).collect();
    round.lost(link, end, |number| if whole.contains(&number) { Reached::Whole } else { Reached::NotWhole });
}
