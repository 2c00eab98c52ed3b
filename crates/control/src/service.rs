//! The control service's loop: the change log, signals and what gRPC heard come in; what the exchange has goes out.

use crate::exchange::{Exchange, LANES, Lane, Refusal, StreamId};
use crate::fleet::Fleet;
use crate::grpc::{self, Heard, Out, ROOM, Ticket};
use crate::lease::Lease;
use crate::reports::{Fills, HostReport, Reports, fills_of};
use crate::zoning::{self, Zoning};
use crate::{messages, shown};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle, channel};
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::status::v3::ClientStatusResponse;
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_operator::file::ControlSettings;
use myrtlegauge_wire::change_log_client::{ChangeLogClient, SequenceCheck};
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::changelog::{Change, Changes};
use myrtlegauge_wire::transport::{ReadinessHandler, ResourceUsage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tonic::Status;

/// How often what changes by itself (warmth, the flag, the end of a purge) is published.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// While a proxy's room is taken, how soon it is looked at again.
const BLOCKED: Duration = Duration::from_millis(2);
/// A buffer that the poll reads by way of.
const SHARED: usize = 64 * 1024;
/// Messages of one stream in one turn, so that one with much to get keeps none waiting.
const TURN_MOST: usize = 4;
/// Questions for a status that wait; each is answered a few streams a turn.
const SHOWING_MOST: usize = 4;
/// Lines on what proxies do wrong, in so long.
const LOG_EVERY: Duration = Duration::from_millis(1000);

/// What stirs in the loop besides signals and gRPC.
#[derive(Clone, Copy)]
pub struct ChangeLog;

struct Port {
    stream: StreamId,
    out: Out,
}

/// What is counted, for operators.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub opened: u64,
    pub closed: u64,
    pub turned_away: u64,
    pub requests: u64,
    pub events: u64,
    pub polls_lost: u64,
    pub logs_anew: u64,
    pub pushes: [u64; LANES.len()],
    pub turns: u64,
    pub turn_longest_us: u64,
}

pub struct Service {
    name: String,
    fleet: Fleet,
    exchange: Exchange,
    reports: Reports,
    zones: Option<Zoning>,
    feed: Option<ChangeLogClient<Service>>,
    feed_stirred: bool,
    /// The number and the content of the last event that was taken.
    last_event: (u64, u64),
    hub: LoopHandle<'static, Self>,
    accounts: Rc<ResourceUsage>,
    shared: Vec<u8>,
    heard: Vec<Heard>,
    showing: VecDeque<(oneshot::Sender<Result<ClientStatusResponse, String>>, shown::Showing)>,
    ports: BTreeMap<Ticket, Port>,
    now: Duration,
    look_at: Duration,
    blocked: bool,
    changed: bool,
    log_at: Duration,
    unsaid: u64,
    pub counters: Counters,
    done: bool,
}

impl ReadinessHandler for Service {
    type Key = ChangeLog;

    fn on_socket_ready(&mut self, _: ChangeLog) {
        self.feed_stirred = true;
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Runs a control service until it is told to end.
pub fn run(path: PathBuf, file: &OperatorFile) -> Result<(), String> {
    let mut turns = EventLoop::<Service>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let control = file.control.as_ref().ok_or("the file tells of no control service")?;
    let listener =
        TcpListener::bind(control.listen).map_err(|e| format!("can't listen on {}: {e}", control.listen))?;
    let address = listener.local_addr().map_err(|e| format!("the listener has no address: {e}"))?;
    let (hears, heard) = channel::channel();
    let into = turns.handle().insert_source(heard, |event, _, service| {
        if let channel::Event::Msg(heard) = event {
            service.heard.push(heard);
        }
    });
    into.map_err(|e| format!("gRPC can't be heard: {e}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])
        .map_err(|e| format!("signals can't be watched: {e}"))?;
    let watched = turns.handle().insert_source(signals, move |signal, _, service| match signal.signal() {
        Signal::SIGUSR1 => service.report(),
        Signal::SIGHUP => service.reread(&path),
        _ => service.done = true,
    });
    watched.map_err(|e| format!("signals can't be watched: {e}"))?;
    let mut service = Service::new(turns.handle(), file, control)?;
    grpc::serve(listener, hears, control.report_interval)?;
    log::info!(address:%; "{} gives decisions", service.name);
    while !service.done {
        turns.dispatch(service.patience(), &mut service).map_err(|e| format!("the event loop: {e}"))?;
        service.turn();
    }
    service.report();
    Ok(())
}

impl Service {
    fn new(
        hub: LoopHandle<'static, Self>,
        file: &OperatorFile,
        control: &ControlSettings,
    ) -> Result<Self, String> {
        let clock = Clock::start();
        let now = clock.now();
        let lease = Lease::of(control.drain_grace, control.purge_grace, control.clock_error);
        let mut service = Self {
            name: control.name.clone(),
            fleet: Fleet::new(&file.decision_settings, fastrand::u64(..), clock)?,
            exchange: Exchange::new(lease, control.max_proxies),
            reports: Reports::new(control.report_interval, now),
            zones: Zoning::of(file, control.report_interval, now),
            feed: control.change_log.map(|address| ChangeLogClient::new(address, ChangeLog).with_overlap()),
            feed_stirred: false,
            last_event: (0, 0),
            hub,
            accounts: Rc::new(ResourceUsage::default()),
            shared: vec![0; SHARED],
            heard: Vec::new(),
            showing: VecDeque::new(),
            ports: BTreeMap::new(),
            now,
            look_at: now,
            blocked: false,
            changed: true,
            log_at: now,
            unsaid: 0,
            counters: Counters::default(),
            done: false,
        };
        if service.feed.is_none() {
            service.fleet.listed_in_file(&file.hosts, now);
            service.exchange.begin();
        }
        Ok(service)
    }

    /// Follows the hosts that the file names now; all else stays as it was.
    fn reread(&mut self, path: &std::path::Path) {
        let told = std::fs::read_to_string(path).map_err(|e| e.to_string());
        let told = told.and_then(|text| {
            let all = |faults: Vec<myrtlegauge_operator::FileError>| {
                faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
            };
            myrtlegauge_operator::read(&text).map_err(all)
        });
        match told {
            Err(fault) => log::error!("not read anew, what was known stays: {fault}"),
            Ok(_) if self.feed.is_some() => {
                log::info!("read anew: hosts are told by the change log, nothing to do")
            }
            Ok(file) => {
                log::info!(hosts = file.hosts.len(); "read anew");
                self.now = self.fleet.clock().now();
                self.fleet.listed_in_file(&file.hosts, self.now);
                self.changed = true;
            }
        }
    }

    fn patience(&self) -> Duration {
        let feed = self.feed.as_ref().map_or(Duration::MAX, |feed| feed.deadline);
        let mut due = self.look_at.min(self.exchange.due(self.now)).min(self.reports.due()).min(feed);
        if self.blocked {
            due = due.min(self.now + BLOCKED);
        }
        let quiet = self.heard.is_empty() && !self.feed_stirred && self.showing.is_empty();
        if quiet { due.saturating_sub(self.fleet.clock().now()) } else { Duration::ZERO }
    }

    /// All that came since the last turn, and all that may go out.
    fn turn(&mut self) {
        self.now = self.fleet.clock().now();
        let began = self.now;
        self.follow();
        for heard in std::mem::take(&mut self.heard) {
            self.hear(heard);
        }
        if let Some(summary) = self.reports.close(self.now) {
            self.fleet.reported(&summary, self.now);
            self.changed |= !summary.outcomes.is_empty() || !summary.fills.is_empty();
        }
        if self.now >= self.look_at {
            self.fleet.tend(self.now);
            self.look_at_zones();
            (self.look_at, self.changed) = (self.now + LOOK_EVERY, true);
        }
        if std::mem::take(&mut self.changed) {
            self.fleet.publish(&mut self.exchange, self.ports.len(), self.now, unix_ms());
            if let Some(zones) = &self.zones {
                zones.publish(&mut self.exchange, self.now, unix_ms());
            }
        }
        let stuck = self.exchange.turn(self.now);
        self.end(&stuck, &Refusal::Stuck);
        self.push();
        if let Some((_, showing)) = self.showing.front_mut()
            && let Some(whole) = showing.go_on(&self.exchange, self.now)
            && let Some((reply, _)) = self.showing.pop_front()
        {
            let mut whole = whole;
            let zones = self.zones.as_ref().map(|zones| zones.shown(self.now));
            whole.config.extend(zones.into_iter().flatten());
            let _ = reply.send(Ok(whole));
        }
        self.counters.turns += 1;
        let took = self.fleet.clock().now().saturating_sub(began).as_micros() as u64;
        self.counters.turn_longest_us = self.counters.turn_longest_us.max(took);
    }

    /// Verdicts on zones, and what part of their keys hosts take by them.
    fn look_at_zones(&mut self) {
        let Some(zones) = &mut self.zones else { return };
        self.changed |= zones.tick(self.now);
        let parts: Vec<_> = zones.parts(self.now).collect();
        self.fleet.hold_back(&parts, self.now);
    }

    /// The change log's answers.
    fn follow(&mut self) {
        let Some(mut feed) = self.feed.take() else { return };
        self.counters.polls_lost += u64::from(feed.poll_if_due(&self.hub, &self.accounts, self.now));
        let mut more = std::mem::take(&mut self.feed_stirred);
        while more {
            more = feed.on_ready(&mut self.shared, self.now);
            loop {
                match feed.next_answer(self.now) {
                    Ok(Some(body)) => self.polled(&mut feed, &body),
                    Ok(None) => break,
                    Err(StreamError(what)) => {
                        self.counters.polls_lost += 1;
                        self.fault(what);
                        feed.disconnect(self.now);
                        break;
                    }
                }
            }
        }
        self.counters.polls_lost += u64::from(feed.poll_if_due(&self.hub, &self.accounts, self.now));
        self.feed = Some(feed);
    }

    fn polled(&mut self, feed: &mut ChangeLogClient<Self>, body: &[u8]) {
        let changes: Changes<'_> = match serde_json::from_slice(body) {
            Ok(changes) => changes,
            Err(e) => {
                self.counters.polls_lost += 1;
                self.fault(&format!("an answer of the change log can't be read: {e}"));
                return feed.disconnect(self.now);
            }
        };
        // Its numbers went back, or the last event that was taken is another now.
        let said = |change: &Change<'_>| twox_hash::XxHash64::oneshot(0, format!("{change:?}").as_bytes());
        let other =
            |change: &Change<'_>| change.seq == self.last_event.0 && said(change) != self.last_event.1;
        if changes.last_seq < feed.last_seq || changes.results.iter().any(other) {
            self.counters.logs_anew += 1;
            feed.resync_from_start(self.now);
            self.last_event = (0, 0);
            return log::warn!(last = changes.last_seq; "the change log began anew: asked for all");
        }
        let before = feed.last_seq;
        for change in &changes.results {
            match feed.accept(change.seq, self.now) {
                SequenceCheck::Duplicate => continue,
                SequenceCheck::GapRetried(last) => {
                    return self.fault(&format!("the change log went from {last} to {}", change.seq));
                }
                SequenceCheck::GapAccepted(last) => {
                    self.fault(&format!("the change log went from {last} to {}", change.seq));
                }
                SequenceCheck::Next => {}
            }
            self.counters.events += 1;
            self.changed = true;
            self.last_event = (change.seq, said(change));
            if let Some(fleet) = &change.fleet {
                self.fleet.listed(&fleet.endpoints, fleet.snapshot, self.now);
                // Nothing is said before the first whole list: it would be taken for all there is.
                if fleet.snapshot {
                    self.exchange.begin();
                }
            }
            if let Some(purge) = &change.invalidate {
                self.fleet.purged(purge, self.now);
            }
        }
        if feed.last_seq == before {
            feed.on_empty_answer(self.now);
        }
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Opened { ticket, peer, out } => match self.exchange.open(out.form(), &peer, self.now) {
                Ok(stream) => {
                    self.counters.opened += 1;
                    log::debug!(peer, form:? = out.form(); "a proxy's stream begins");
                    self.ports.insert(ticket, Port { stream, out });
                }
                Err(refusal) => {
                    self.counters.turned_away += 1;
                    self.fault(&refusal.to_string());
                    out.end(Status::resource_exhausted(refusal.to_string()));
                }
            },
            Heard::Asked { ticket, node, request, permit } => {
                let Some(port) = self.ports.get(&ticket) else { return };
                self.counters.requests += 1;
                let stream = port.stream;
                if !node.is_empty() {
                    self.exchange.named(stream, &node);
                }
                if let Some(why) = &request.error {
                    self.fault(&format!("a proxy refuses what it was sent of {}: {why}", request.url));
                }
                if let Err(refusal) = self.exchange.heard(stream, &request, self.now) {
                    self.end(&[stream], &refusal);
                }
                drop(permit);
            }
            Heard::Closed { ticket } => {
                if let Some(port) = self.ports.remove(&ticket) {
                    self.counters.closed += 1;
                    self.exchange.close(port.stream);
                }
            }
            Heard::Reported { report, permit } => {
                self.reported(&report);
                drop(permit);
            }
            Heard::Shown { order: Some((zone, order)), reply } => {
                let none = || Err("this service decides of no zones".to_owned());
                let now = self.now;
                let done = self.zones.as_mut().map_or_else(none, |zones| zones.order(&zone, &order, now));
                match done {
                    Ok(()) => {
                        self.look_at_zones();
                        self.showing.push_back((reply, shown::Showing::default()));
                    }
                    Err(why) => drop(reply.send(Err(why))),
                }
            }
            Heard::Shown { order: None, reply } => {
                // Who asks too often is told that it can't be had, as its answer's end.
                if self.showing.len() < SHOWING_MOST {
                    self.showing.push_back((reply, shown::Showing::default()));
                }
            }
        }
    }

    /// Ends streams for a reason that their proxies are told.
    fn end(&mut self, streams: &[StreamId], why: &Refusal) {
        let ended: BTreeSet<_> = streams.iter().collect();
        let over: Vec<_> = self.ports.extract_if(.., |_, port| ended.contains(&port.stream)).collect();
        for (_, port) in over {
            self.counters.closed += 1;
            self.fault(&why.to_string());
            port.out.end(Status::resource_exhausted(why.to_string()));
            self.exchange.close(port.stream);
        }
    }

    /// What is most pressing first, over all proxies; a proxy without room keeps none of the others waiting.
    fn push(&mut self) {
        self.blocked = false;
        let unix_ms = unix_ms();
        for (lane, pushed) in LANES.into_iter().zip(&mut self.counters.pushes) {
            // What is handed over can't be overtaken: little that is ordinary, and some room for what is urgent.
            let wanted = match lane {
                Lane::Urgent => 1,
                Lane::Beat => 2,
                Lane::Ordinary => ROOM,
            };
            for port in self.ports.values() {
                for _ in 0..TURN_MOST {
                    if port.out.room() < wanted {
                        self.blocked |= lane == Lane::Urgent || !self.exchange.is_quiet(port.stream);
                        break;
                    }
                    let Some(message) = self.exchange.next(port.stream, lane, self.now, unix_ms) else {
                        break;
                    };
                    port.out.send(message, &self.name);
                    *pushed += 1;
                }
            }
        }
    }

    /// A report as the module beside the decision module takes it.
    fn reported(&mut self, told: &LoadStatsRequest) {
        let node = told.node.as_ref().map(|node| node.id.as_str()).unwrap_or_default();
        let localities = told.cluster_stats.iter().flat_map(|cluster| &cluster.upstream_locality_stats);
        let mut hosts = Vec::new();
        for stats in localities.flat_map(|locality| &locality.upstream_endpoint_stats) {
            let address = stats.address.as_ref().and_then(messages::told_address);
            // Of a host that is not known, or no more, nothing is to be learnt.
            let named = stats.metadata.as_ref().and_then(messages::host_told);
            let host = named.map_or_else(|| self.fleet.at(address?), |name| self.fleet.named(name));
            let Some(host) = host else { continue };
            let mut report = HostReport {
                host,
                returned: stats.total_successful_requests,
                errored: stats.total_error_requests,
                ..HostReport::default()
            };
            for metric in &stats.load_metric_stats {
                if metric.metric_name == "late" {
                    report.late = metric.num_requests_finished_with_metric;
                }
                let Some((what, service)) = metric.metric_name.split_once('/') else { continue };
                let Some(ds) = self.fleet.service(service) else { continue };
                let at = report.fills.iter().position(|fills| fills.ds == ds).unwrap_or_else(|| {
                    report.fills.push(Fills { ds, ..Fills::default() });
                    report.fills.len() - 1
                });
                let fills = &mut report.fills[at];
                match what {
                    "fills" => {
                        (fills.all, fills.bad) =
                            (metric.num_requests_finished_with_metric, metric.total_metric_value);
                    }
                    "fills-out" => fills.out = metric.num_requests_finished_with_metric,
                    _ => {}
                }
            }
            hosts.push(report);
        }
        if let Err(disbelief) = self.reports.take(node, &hosts, self.now) {
            return self.fault(&format!("a load report of {node:?} is not believed: {disbelief}"));
        }
        // Only now are the numbers bounded, and may be added up.
        if let Some(zones) = &mut self.zones {
            let seen: Vec<_> = hosts
                .iter()
                .map(|&HostReport { host, returned, errored, late, .. }| zoning::Told {
                    zone: self.fleet.zone(host),
                    returned,
                    errored,
                    late,
                })
                .collect();
            let held = told.node.as_ref().and_then(|node| node.metadata.as_ref());
            let taken = held.map_or(0, messages::taken);
            zones.reported(node, &seen, taken, fills_of(&hosts), held, self.now);
        }
    }

    /// One line at most in a while, with how many went by without one.
    fn fault(&mut self, what: &str) {
        if self.now < self.log_at {
            self.unsaid += 1;
            return;
        }
        log::warn!(unsaid = std::mem::take(&mut self.unsaid); "{what}");
        self.log_at = self.now + LOG_EVERY;
    }

    fn report(&self) {
        let Counters { opened, closed, turned_away, requests, events, polls_lost, logs_anew, .. } =
            self.counters;
        let Counters { pushes: [urgent, beats, ordinary], turns, turn_longest_us, .. } = self.counters;
        log::info!(opened, closed, turned_away, open = self.ports.len(), requests; "streams");
        log::info!(urgent, beats, ordinary; "messages");
        log::info!(events, polls_lost, logs_anew, hosts = self.fleet.len(), faults = self.fleet.faults; "change log");
        log::info!(taken = self.reports.taken, disbelieved = self.reports.disbelieved; "reports");
        log::info!(turns, turn_longest_us; "loop");
    }
}
