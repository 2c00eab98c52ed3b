//! What stands between the sockets and the module: who is connected, what is in hand, what is due.

use super::clients::Client;
use super::codec::{self, Codec};
use super::counters::Counters;
use super::guards::{Effect, Guards};
use super::hosts::{Host, Link};
use super::in_flight::InFlight;
use super::keyed::Keyed;
use super::lifecycle::{Lifecycle, State};
use super::replicas::Replicas;
use super::zones::{ZoneNews, Zones};
use super::{Dispatcher, Key, Who};
use bytes::BytesMut;
use myrtlegauge::host_life::EndEvidence;
use myrtlegauge::interface::{End, Get, GetIndex, HostIndex, Note, Settings, duration_from_ms};
use myrtlegauge::settings::{self, flag, number};
use myrtlegauge_recovery::{LossCause, StartupTimeline};
use myrtlegauge_wire::change_log_client::ChangeLogClient;
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::host_registry::HostRegistry;
use myrtlegauge_wire::protocol::fastcgi::Request;
use myrtlegauge_wire::transport::{ClosingConnections, EventLoopHandle, Listener, ResourceUsage};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Arguments;
use std::rc::Rc;
use std::time::Duration;

/// A buffer that all connections read by way of.
const SHARED: usize = 64 * 1024;
/// How often connections are looked over.
pub const TIDY_EVERY: Duration = Duration::from_millis(100);
/// Part of a host's idle time after which a connection is closed here, so that nothing is written to one that the
/// host is closing.
const IDLE_PART: f64 = 0.8;
/// The span in which log lines are budgeted: one on faults, `ENDS_LOGGED` on GETs.
const LOG_EVERY: Duration = Duration::from_millis(1000);
/// Lines on GETs that were shed or errored, at most, in each `LOG_EVERY`: enough to follow some by id through the
/// dispatchers that touched them, few enough that an overload is not made worse by its own log (a line costs some
/// microseconds of the one core).
const ENDS_LOGGED: u32 = 20;
/// Parts of the descriptors for clients, for hosts and for connections that are being closed.
const CLIENTS_PART: f64 = 0.5;
const LINKS_PART: f64 = 0.35;
const CLOSING_PART: f64 = 0.05;
/// Descriptors that are kept for what a dispatcher can't do without, however many clients and hosts there are: the three
/// standard streams, the loop's three, the listener, the signals, and what the change log's poll opens at once.
const KEPT: usize = 14;
/// Time in which an answer that has begun becomes whole, at least: hosts write theirs in one go, and this is a hiccup of the
/// network;
const PART_LEAST: Duration = Duration::from_millis(250);
/// and so many times what the largest object takes at the pace that the settings tell.
const PART_SLOW: f64 = 2.0;
/// kB of the largest object, by the protocol page.
const LARGEST_KB: f64 = 240.0;
/// Part of the memory that buffers may take before nothing more is read: bytes in hand stand beside them.
const BUFFERS_PART: f64 = 0.2;

/// The limits that bind.
#[derive(Clone, Copy)]
pub struct Room {
    pub descriptors: usize,
    pub memory: usize,
}

/// What the settings say of connections.
pub struct ConnectionLimits {
    pub streams: usize,
    pub idle: Duration,
    pub connect: Duration,
    pub cancel: bool,
    pub forwards: u32,
    /// Time in which an answer that has begun becomes whole.
    pub part: Duration,
    /// The longest that any client waits.
    pub longest: Duration,
    /// Each class's latency objective, by its index; a GET returned later is logged.
    aims: Vec<Duration>,
    /// The same with what the largest object may add: a GET returned later was not returned in time.
    pub aims_most: Vec<Duration>,
    /// The kind of host that the origin is, as the settings number kinds.
    pub origin_kind: Option<usize>,
}

/// What falls due for a forward or a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Forward(GetIndex, u64),
    /// A forward that has not begun by now may no longer.
    Begin(GetIndex, u64),
    /// GETs wait no longer for a connection to come up.
    Connect(Key),
    /// Nor does anybody.
    Dial(Key),
}

/// A request that is whole and waits to be taken, with its client.
pub struct Asked {
    pub key: Key,
    pub request: Request,
}

pub struct Proxy {
    pub hub: EventLoopHandle<Dispatcher>,
    pub accounts: Rc<ResourceUsage>,
    pub counters: Counters,
    pub clock: Clock,
    /// The time of this round.
    pub now: Duration,
    pub codec: Codec,
    pub places: HostRegistry,
    pub limits: ConnectionLimits,
    pub in_flight: InFlight,
    pub hosts: Vec<Host>,
    pub links: Keyed<Link>,
    pub clients: Keyed<Client>,
    pub forwards: u64,
    /// What the loop said, and what waits because buffers are full.
    pub ready: Vec<Who>,
    pub woken: Vec<Who>,
    /// Connections with bytes to be read by a parser, and with bytes to go out.
    pub heard_links: VecDeque<Key>,
    pub heard_clients: VecDeque<Key>,
    pub dirty: Vec<Who>,
    /// Forwards that ended here and not by an answer, to be told in the next round.
    pub ended: VecDeque<(GetIndex, u64, End)>,
    pub abandoned: VecDeque<GetIndex>,
    /// Requests that came in this turn and are to be taken, none of whose clients has left since.
    pub asked: VecDeque<Asked>,
    /// Hosts whose connections came up after they had been told not to.
    pub came_up: Vec<HostIndex>,
    pub guards: Guards,
    /// Whether requests may run more than once, by class.
    pub effects: Vec<Effect>,
    /// Hosts whose processes may have ended, and when; and hosts to which a connection has come up since.
    pub processes_ended: Vec<(HostIndex, Duration, EndEvidence)>,
    pub connected: Vec<HostIndex>,
    /// The list of hosts is known up to then.
    pub list_known: Duration,
    pub closing: ClosingConnections<Dispatcher>,
    pub lifecycle: Lifecycle,
    pub dues: BinaryHeap<Reverse<(Duration, Due)>>,
    /// Where messages are written before they go out, and the fields or the head of one.
    pub pen: BytesMut,
    pub text: Vec<u8>,
    pub feed: ChangeLogClient<Dispatcher>,
    pub feed_heard: bool,
    /// The replicas that are polled in place of the change log, where operators name them.
    pub replicas: Option<Replicas<Dispatcher>>,
    /// Whether none of them waits to be told of the end.
    pub has_left_replicas: bool,
    pub listed: bool,
    /// None once it is closed.
    pub listener: Option<Listener<Dispatcher>>,
    pub accepting: bool,
    pub shared: Box<[u8]>,
    pub tidy_at: Duration,
    pub most_clients: usize,
    pub most_links: usize,
    most_buffered: usize,
    wake_at: Duration,
    /// Lines on faults: one in each `LOG_EVERY`.
    faults: Lines,
    /// Lines on GETs not returned or late.
    ends: Lines,
    /// Forwards sent in this `LOG_EVERY` that ask the origin for a fill or go to it, and when the count is told.
    pub from_origin: u32,
    /// Answers in the same time that said they were filled from the origin.
    pub filled_from_origin: u32,
    from_origin_at: Duration,
    /// Since when what is believed is old, after a gap in which nothing ran here.
    pub doubted: Option<Duration>,
    /// Times from the start of this process to readiness and to full service.
    pub startup: StartupTimeline,
    /// The fleet's verdicts on zones, where services are followed.
    pub zones: Option<Zones>,
    pub zone_heard: Vec<ZoneNews>,
    pub zones_due: Duration,
    /// For how many sources are shared, where the members' view has just changed that.
    pub sharers: Option<usize>,
}

/// A budget of log lines in each `LOG_EVERY`, and how many went unsaid since the last line said.
///
/// Guards against an overload made worse by its own log: every GET shed or late would be a line. It hurts when more
/// than the budget's lines are wanted to follow a fault; the count of those unsaid stands in the next line.
#[derive(Debug, Default, PartialEq)]
pub struct Lines {
    renewed_at: Duration,
    left: u32,
    unsaid: u64,
}

impl Lines {
    /// Whether a line may be written now, and if so how many went unsaid before it.
    pub fn take(&mut self, now: Duration, each: u32) -> Option<u64> {
        if now >= self.renewed_at {
            (self.renewed_at, self.left) = (now + LOG_EVERY, each);
        }
        if self.left == 0 {
            self.unsaid += 1;
            return None;
        }
        self.left -= 1;
        Some(std::mem::take(&mut self.unsaid))
    }
}

impl ConnectionLimits {
    /// A class's latency objective; none has no end.
    pub fn aim(&self, ds: usize) -> Duration {
        self.aims.get(ds).copied().unwrap_or(Duration::MAX)
    }

    pub fn read(told: &Settings) -> Self {
        let services = || told.get("classes").and_then(|v| v.as_array()).into_iter().flatten();
        let longest = services().filter_map(|ds| ds.get("deadline_ms")?.as_f64()).fold(0.0, f64::max);
        let aims = services()
            .map(|ds| duration_from_ms(ds.get("aim_ms").and_then(|v| v.as_f64()).unwrap_or(f64::MAX)))
            .collect();
        let most = |ds: &serde_json::Value| {
            let told = |name: &str| ds.get(name).and_then(|v| v.as_f64());
            duration_from_ms(
                told("aim_ms").unwrap_or(f64::MAX) * (1.0 + told("aim_stretch").unwrap_or(0.0).max(0.0)),
            )
        };
        Self {
            aims_most: services().map(most).collect(),
            streams: number(told, "limits.streams_per_conn").map_or(1, |n| n as usize).max(1),
            idle: settings::duration(told, "limits.conn_idle_ms").unwrap_or_default().mul_f64(IDLE_PART),
            connect: settings::duration(told, "limits.connect_timeout_ms").unwrap_or_default(),
            cancel: flag(told, "limits.cancel"),
            part: number(told, "domain.flow_kb_per_s").map_or(PART_LEAST, |flow| {
                duration_from_ms(LARGEST_KB / flow * PART_SLOW * 1e3).max(PART_LEAST)
            }),
            forwards: number(told, "limits.max_attempts").map_or(u32::MAX, |n| n as u32),
            longest: duration_from_ms(if longest > 0.0 { longest } else { codec::BUDGET_MOST }),
            aims,
            origin_kind: number(told, "domain.master_kind").ok().map(|n| n as usize),
        }
    }
}

impl Proxy {
    pub fn new(
        hub: EventLoopHandle<Dispatcher>,
        listener: Listener<Dispatcher>,
        accounts: Rc<ResourceUsage>,
        feed: ChangeLogClient<Dispatcher>,
        (codec, places, limits): (Codec, HostRegistry, ConnectionLimits),
        room: Room,
        clock: Clock,
    ) -> Self {
        let part = |part: f64| (room.descriptors as f64 * part) as usize;
        let most_clients = part(CLIENTS_PART);
        let left = room.descriptors.saturating_sub(KEPT + most_clients + part(CLOSING_PART));
        Self {
            hub,
            accounts,
            counters: Counters::default(),
            now: clock.now(),
            codec,
            places,
            limits,
            in_flight: InFlight::default(),
            hosts: Vec::new(),
            links: Keyed::new(),
            clients: Keyed::new(),
            forwards: 0,
            ready: Vec::new(),
            woken: Vec::new(),
            heard_links: VecDeque::new(),
            heard_clients: VecDeque::new(),
            dirty: Vec::new(),
            ended: VecDeque::new(),
            abandoned: VecDeque::new(),
            asked: VecDeque::new(),
            came_up: Vec::new(),
            guards: Guards::ALL,
            effects: Vec::new(),
            processes_ended: Vec::new(),
            connected: Vec::new(),
            list_known: clock.now(),
            closing: ClosingConnections::new(part(CLOSING_PART)),
            lifecycle: Lifecycle::new(),
            dues: BinaryHeap::new(),
            pen: BytesMut::new(),
            text: Vec::new(),
            feed,
            feed_heard: false,
            replicas: None,
            has_left_replicas: true,
            listed: false,
            listener: Some(listener),
            accepting: true,
            shared: vec![0; SHARED].into(),
            wake_at: Duration::MAX,
            tidy_at: Duration::ZERO,
            faults: Lines::default(),
            ends: Lines::default(),
            from_origin: 0,
            filled_from_origin: 0,
            from_origin_at: Duration::ZERO,
            doubted: None,
            startup: StartupTimeline::start(clock.now()),
            zones: None,
            zone_heard: Vec::new(),
            zones_due: Duration::MAX,
            sharers: None,
            clock,
            most_clients,
            most_links: part(LINKS_PART).min(left).max(1),
            most_buffered: (room.memory as f64 * BUFFERS_PART) as usize,
        }
    }

    pub fn fall_due(&mut self) {
        while let Some(&Reverse((_, due))) = self.dues.peek().filter(|Reverse((at, _))| *at <= self.now) {
            self.dues.pop();
            match due {
                Due::Forward(place, serial) => self.overdue(place, serial),
                Due::Begin(place, serial) => self.too_late_to_begin(place, serial),
                Due::Connect(key) => {
                    if self.links.get_mut(key).is_some_and(|link| !link.up) {
                        self.link_late(key);
                    }
                }
                Due::Dial(key) => {
                    if self.links.get_mut(key).is_some_and(|link| !link.up) {
                        self.drop_link(key);
                    }
                }
            }
        }
    }

    /// No room for more answers until some have gone out.
    pub fn is_full(&self) -> bool {
        self.accounts.buffered_bytes.current() > self.most_buffered
    }

    /// No room for more requests either.
    pub fn is_full_of_requests(&self) -> bool {
        self.accounts.buffered_bytes.current() + self.accounts.request_bytes.current() > self.most_buffered
    }

    /// Bytes of requests that a client may hold here while there is no room for all: what one sends without end is refused, and
    /// the others' requests, their ends and their calls-off are read all the while.
    pub fn share_of_requests(&self) -> usize {
        self.most_buffered / 2 / self.clients.len().max(1)
    }

    /// Counts what could not be read or used, and tells of it now and then.
    pub fn fault(&mut self, what: Arguments<'_>) {
        self.counters.faults += 1;
        if let Some(unsaid) = self.faults.take(self.now, 1) {
            log::warn!("{what} ({unsaid} more since the last such line)");
        }
    }

    /// Tells once in each `LOG_EVERY` how many forwards went to the origin or named it as their fill source, and how
    /// many answers said they were filled from it, where any: summed over a fleet's logs by second, what the origin
    /// was asked for and what it did.
    pub fn tell_origin(&mut self) {
        if self.now < self.from_origin_at {
            return;
        }
        if self.from_origin > 0 || self.filled_from_origin > 0 {
            let (forwards, filled) =
                (std::mem::take(&mut self.from_origin), std::mem::take(&mut self.filled_from_origin));
            log::info!(forwards, filled; "from the origin");
        }
        self.from_origin_at = self.now + LOG_EVERY;
    }

    /// Logs a milestone of the startup, once in each process. Operators add these lines up over a fleet.
    pub fn tell_return(&self, step: &str) {
        let ms = |span: Option<Duration>| span.map_or(-1, |span| span.as_millis() as i64);
        let reached = self.startup.milestones();
        let (ready_ms, whole_ms) = (ms(reached.hosts_known), ms(reached.log_synced));
        let (returned_ms, full_ms) = (ms(reached.first_answer), ms(reached.full_service));
        let [list, purges, source, host, other] = LossCause::ALL.map(|cause| self.startup.losses_by(cause));
        log::info!(step, ready_ms, whole_ms, returned_ms, full_ms, list, purges, source, host, other; "return");
    }

    /// Logs full service once it is reached.
    pub fn look_at_return(&mut self) {
        if self.startup.advance(self.now) {
            self.tell_return("full");
        }
    }

    /// Records a request that was not answered, by its cause.
    pub fn note_lost(&mut self, place: GetIndex) {
        let pending = self.in_flight.at(place);
        let cause = match pending.last {
            _ if !self.listed => LossCause::HostList,
            None => LossCause::Host,
            Some((_, End::Miss, _)) => LossCause::Source,
            Some((_, _, note)) => match note {
                Note::SourceRefused
                | Note::SourceBroke
                | Note::SourceLacks
                | Note::NoFillPlace
                | Note::OriginFailed => LossCause::Source,
                _ if !self.startup.is_log_synced() => LossCause::Purges,
                _ => LossCause::Other,
            },
        };
        self.startup.request_lost(cause, self.now);
    }

    /// Whether a line on a GET not returned or late may be written now, and how many went unsaid before it.
    pub fn may_log_end(&mut self) -> Option<u64> {
        self.ends.take(self.now, ENDS_LOGGED)
    }

    pub fn next_due(&self) -> Duration {
        if !self.zone_heard.is_empty()
            || self.sharers.is_some()
            || self.ready.iter().any(|who| !matches!(who, Who::Link(_)))
            || !self.ready.is_empty() && !self.is_full()
        {
            return Duration::ZERO;
        }
        let first = self.dues.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
        let own = self.lifecycle.due(self.now);
        first.min(self.wake_at).min(self.tidy_at).min(self.news_due()).min(self.zones_due).min(own)
    }

    pub fn has_news(&self) -> bool {
        self.feed_heard
            || self
                .replicas
                .as_ref()
                .is_some_and(|replicas| replicas.has_news() || replicas.is_turning(self.now))
            || self.sharers.is_some()
            || !self.heard_links.is_empty()
            || !self.heard_clients.is_empty()
            || !self.ended.is_empty()
            || !self.abandoned.is_empty()
            || !self.asked.is_empty()
            || !self.came_up.is_empty()
            || self.must_answer()
            || self.now >= self.wake_at
            || self.now >= self.zones_due
    }

    pub fn wake_in(&mut self, after: Duration) {
        self.wake_at = self.wake_at.min(self.now + after);
    }

    pub fn wakes(&mut self) -> bool {
        let wakes = self.now >= self.wake_at;
        if wakes {
            self.wake_at = Duration::MAX;
        }
        wakes
    }

    /// Forwards on the connections of a host.
    pub fn out_at(&self, host: HostIndex) -> usize {
        self.hosts[host].links.iter().map(|&key| self.links[key].out.len()).sum()
    }

    pub fn is_ready(&self) -> bool {
        let serves = self.lifecycle.state() == State::Serving;
        self.listed && serves && !self.zones.as_ref().is_some_and(|z| z.is_unsure(self.now))
    }

    pub fn stop(&mut self) {
        if self.lifecycle.end(self.clock.now(), self.limits.longest) {
            log::info!("asked to end; {} GETs in hand", self.in_flight.owed);
        }
    }

    /// The end is near and GETs are in hand.
    pub fn must_answer(&self) -> bool {
        self.in_flight.owed > 0 && self.lifecycle.must_answer(self.now)
    }

    pub fn is_done(&self) -> bool {
        self.lifecycle.state() == State::Done
    }

    pub fn count_holds(&mut self) {
        let c = &self.counters;
        let settled = c.returned + c.shed + c.errored + c.abandoned + self.in_flight.owed as u64;
        let holds = c.taken == settled;
        self.counters.must(holds, "taken = answered + abandoned + in hand");
    }

    /// The startup timeline, with the counters.
    fn return_line(&self) -> String {
        let reached = self.startup.milestones();
        let spans = [
            ("list known", reached.hosts_known),
            ("log whole", reached.log_synced),
            ("first returned", reached.first_answer),
            ("full service", reached.full_service),
        ];
        let told = |(name, span): (&str, Option<Duration>)| match span {
            Some(span) => format!("{name} {} ms", span.as_millis()),
            None => format!("{name} not yet"),
        };
        let spans = spans.map(told);
        let losses =
            LossCause::ALL.map(|cause| format!("{} {}", cause.name(), self.startup.losses_by(cause)));
        format!("return: {}; held back until then: {}", spans.join(", "), losses.join(" "))
    }

    pub fn report(&self) {
        let accounts = &self.accounts;
        log::info!(
            "{}\n{}\nin hand: {} GETs, {} clients, {} connections to hosts\n\
             peaks: {} connections, {} bytes in buffers, {} in requests; bytes in {} out {}",
            self.counters,
            self.return_line(),
            self.in_flight.owed,
            self.clients.len(),
            self.links.len(),
            accounts.descriptors.peak(),
            accounts.buffered_bytes.peak(),
            accounts.request_bytes.peak(),
            accounts.bytes_in.current(),
            accounts.bytes_out.current()
        );
    }

    /// A GET of the next request that is whole, if there is one; requests that are not GETs are answered here.
    pub fn next_get(&mut self, place: GetIndex) -> Option<Get> {
        while let Some(Asked { key, request }) = self.asked.pop_front() {
            if let Some(get) = self.take(key, place, request) {
                return Some(get);
            }
        }
        None
    }

    pub fn next_abandoned(&mut self) -> Option<GetIndex> {
        self.abandoned.pop_front()
    }
}
