//! The event loop of the control service. Inputs are the change log, signals and the events of the gRPC services; outputs are
//! the messages of the ADS server.

use crate::ads_server::{AdsServer, PRIORITIES, Priority, StreamEndReason, StreamId};
use crate::fleet::Fleet;
use crate::grpc::{self, GrpcStreamId, OUTBOX_CAPACITY, ResponseSender, ServiceEvent};
use crate::lease::Lease;
use crate::load_reports::{FillCounts, HostReport, LoadReports, sum_fills};
use crate::zone_controller::{HostOutcomes, ZoneController};
use crate::{client_status, messages};
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

/// How often changes over time (slow-start fractions, the flag that spares the origin, ends of purges) are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Time until the next attempt while a proxy has no capacity for a message.
const BLOCKED_RETRY: Duration = Duration::from_millis(2);
/// Size of the read buffer for change log polls.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Messages of one priority to one stream in one loop iteration, so that a stream with many pending messages does not
/// delay others.
const MAX_MESSAGES_PER_ITERATION: usize = 4;
/// Status requests that may wait. Each response is built a few streams per loop iteration.
const MAX_PENDING_STATUSES: usize = 4;
/// Minimum time between two warnings.
const WARNING_INTERVAL: Duration = Duration::from_millis(1000);

/// Key of the change log socket in the event loop.
#[derive(Clone, Copy)]
pub struct ChangeLog;

/// A proxy with an open ADS stream.
struct ConnectedProxy {
    stream: StreamId,
    sender: ResponseSender,
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Opened streams.
    pub opened: u64,
    /// Streams that ended.
    pub closed: u64,
    /// Streams rejected at the limit.
    pub rejected: u64,
    /// Received discovery requests.
    pub requests: u64,
    /// Accepted events of the change log.
    pub events: u64,
    /// Failed polls of the change log.
    pub failed_polls: u64,
    /// Restarts of the change log.
    pub log_restarts: u64,
    /// Messages sent, by priority.
    pub sent_messages: [u64; PRIORITIES.len()],
    /// Iterations of the event loop.
    pub turns: u64,
    /// The longest iteration, in microseconds.
    pub longest_turn_us: u64,
}

/// The state of a control service.
pub struct Service {
    name: String,
    fleet: Fleet,
    server: AdsServer,
    reports: LoadReports,
    zones: Option<ZoneController>,
    change_log: Option<ChangeLogClient<Service>>,
    is_change_log_ready: bool,
    /// Sequence number and content hash of the last accepted change log event.
    last_event: (u64, u64),
    loop_handle: LoopHandle<'static, Self>,
    resource_usage: Rc<ResourceUsage>,
    read_buffer: Vec<u8>,
    events: Vec<ServiceEvent>,
    pending_statuses:
        VecDeque<(oneshot::Sender<Result<ClientStatusResponse, String>>, client_status::StatusBuilder)>,
    proxies: BTreeMap<GrpcStreamId, ConnectedProxy>,
    now: Duration,
    next_publish: Duration,
    is_blocked: bool,
    must_publish: bool,
    next_warning_at: Duration,
    suppressed_warnings: u64,
    /// The counters since the start.
    pub counters: Counters,
    is_stopping: bool,
}

impl ReadinessHandler for Service {
    type Key = ChangeLog;

    fn on_socket_ready(&mut self, _: ChangeLog) {
        self.is_change_log_ready = true;
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Runs a control service until a termination signal.
pub fn run(path: PathBuf, file: &OperatorFile) -> Result<(), String> {
    let mut event_loop =
        EventLoop::<Service>::try_new().map_err(|e| format!("cannot create the event loop: {e}"))?;
    let control = file.control.as_ref().ok_or("the operator file has no control section")?;
    let listener =
        TcpListener::bind(control.listen).map_err(|e| format!("cannot listen on {}: {e}", control.listen))?;
    let address =
        listener.local_addr().map_err(|e| format!("cannot read the address of the listener: {e}"))?;
    let (event_sender, event_receiver) = channel::channel();
    let inserted = event_loop.handle().insert_source(event_receiver, |event, _, service| {
        if let channel::Event::Msg(service_event) = event {
            service.events.push(service_event);
        }
    });
    inserted.map_err(|e| format!("cannot add the gRPC events to the event loop: {e}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])
        .map_err(|e| format!("cannot create the signal source: {e}"))?;
    let watched =
        event_loop.handle().insert_source(signals, move |signal, _, service| match signal.signal() {
            Signal::SIGUSR1 => service.log_counters(),
            Signal::SIGHUP => service.reload(&path),
            _ => service.is_stopping = true,
        });
    watched.map_err(|e| format!("cannot add the signal source to the event loop: {e}"))?;
    let mut service = Service::new(event_loop.handle(), file, control)?;
    grpc::serve(listener, event_sender, control.report_interval)?;
    log::info!(address:%; "{} serves routing decisions", service.name);
    while !service.is_stopping {
        event_loop
            .dispatch(service.poll_timeout(), &mut service)
            .map_err(|e| format!("the event loop failed: {e}"))?;
        service.process_events();
    }
    service.log_counters();
    Ok(())
}

impl Service {
    fn new(
        loop_handle: LoopHandle<'static, Self>,
        file: &OperatorFile,
        control: &ControlSettings,
    ) -> Result<Self, String> {
        let clock = Clock::start();
        let now = clock.now();
        let lease = Lease::from_grace_periods(control.drain_grace, control.purge_grace, control.clock_error);
        let mut service = Self {
            name: control.name.clone(),
            fleet: Fleet::new(&file.decision_settings, fastrand::u64(..), clock)?,
            server: AdsServer::new(lease, control.max_proxies),
            reports: LoadReports::new(control.report_interval, now),
            zones: ZoneController::from_file(file, control.report_interval, now),
            change_log: control
                .change_log
                .map(|address| ChangeLogClient::new(address, ChangeLog).with_overlap()),
            is_change_log_ready: false,
            last_event: (0, 0),
            loop_handle,
            resource_usage: Rc::new(ResourceUsage::default()),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            events: Vec::new(),
            pending_statuses: VecDeque::new(),
            proxies: BTreeMap::new(),
            now,
            next_publish: now,
            is_blocked: false,
            must_publish: true,
            next_warning_at: now,
            suppressed_warnings: 0,
            counters: Counters::default(),
            is_stopping: false,
        };
        if service.change_log.is_none() {
            service.fleet.load_file_hosts(&file.hosts, now);
            service.server.set_ready();
        }
        Ok(service)
    }

    /// Reloads the hosts of the operator file. Everything else stays unchanged.
    fn reload(&mut self, path: &std::path::Path) {
        let file = std::fs::read_to_string(path).map_err(|e| e.to_string());
        let file = file.and_then(|text| {
            let join = |faults: Vec<myrtlegauge_operator::FileError>| {
                faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
            };
            myrtlegauge_operator::read(&text).map_err(join)
        });
        match file {
            Err(error) => log::error!("operator file not reloaded, keeping the previous hosts: {error}"),
            Ok(_) if self.change_log.is_some() => {
                log::info!("operator file reloaded: hosts come from the change log, nothing changes")
            }
            Ok(file) => {
                log::info!(hosts = file.hosts.len(); "operator file reloaded");
                self.now = self.fleet.clock().now();
                self.fleet.load_file_hosts(&file.hosts, self.now);
                self.must_publish = true;
            }
        }
    }

    /// How long the event loop may wait for events.
    fn poll_timeout(&self) -> Duration {
        let change_log_deadline =
            self.change_log.as_ref().map_or(Duration::MAX, |change_log| change_log.deadline);
        let mut deadline = self
            .next_publish
            .min(self.server.next_deadline(self.now))
            .min(self.reports.deadline())
            .min(change_log_deadline);
        if self.is_blocked {
            deadline = deadline.min(self.now + BLOCKED_RETRY);
        }
        let is_idle = self.events.is_empty() && !self.is_change_log_ready && self.pending_statuses.is_empty();
        if is_idle { deadline.saturating_sub(self.fleet.clock().now()) } else { Duration::ZERO }
    }

    /// Handles everything received since the last loop iteration and sends everything that may be sent.
    fn process_events(&mut self) {
        self.now = self.fleet.clock().now();
        let started = self.now;
        self.poll_change_log();
        for event in std::mem::take(&mut self.events) {
            self.on_event(event);
        }
        if let Some(summary) = self.reports.close_interval(self.now) {
            self.fleet.on_load_summary(&summary, self.now);
            self.must_publish |= !summary.outcomes.is_empty() || !summary.fills.is_empty();
        }
        if self.now >= self.next_publish {
            self.fleet.on_timer(self.now);
            self.update_zones();
            (self.next_publish, self.must_publish) = (self.now + PUBLISH_INTERVAL, true);
        }
        if std::mem::take(&mut self.must_publish) {
            self.fleet.publish(&mut self.server, self.proxies.len(), self.now, unix_ms());
            if let Some(zones) = &self.zones {
                zones.publish(&mut self.server, self.now, unix_ms());
            }
        }
        let timed_out = self.server.advance(self.now);
        self.end(&timed_out, &StreamEndReason::AckTimeout);
        self.send_pending();
        if let Some((_, builder)) = self.pending_statuses.front_mut()
            && let Some(mut response) = builder.advance(&self.server, self.now)
            && let Some((reply, _)) = self.pending_statuses.pop_front()
        {
            let zones = self.zones.as_ref().map(|zones| zones.statuses(self.now));
            response.config.extend(zones.into_iter().flatten());
            let _ = reply.send(Ok(response));
        }
        self.counters.turns += 1;
        let elapsed_us = self.fleet.clock().now().saturating_sub(started).as_micros() as u64;
        self.counters.longest_turn_us = self.counters.longest_turn_us.max(elapsed_us);
    }

    /// Updates the verdicts on zones, and the fraction of keys that their hosts take accordingly.
    fn update_zones(&mut self) {
        let Some(zones) = &mut self.zones else { return };
        self.must_publish |= zones.tick(self.now);
        let key_fractions: Vec<_> = zones.key_fractions(self.now).collect();
        self.fleet.withhold(&key_fractions, self.now);
    }

    /// Polls the change log and handles its answers.
    fn poll_change_log(&mut self) {
        let Some(mut change_log) = self.change_log.take() else { return };
        self.counters.failed_polls +=
            u64::from(change_log.poll_if_due(&self.loop_handle, &self.resource_usage, self.now));
        let mut has_more = std::mem::take(&mut self.is_change_log_ready);
        while has_more {
            has_more = change_log.on_ready(&mut self.read_buffer, self.now);
            loop {
                match change_log.next_answer(self.now) {
                    Ok(Some(body)) => self.on_change_log_answer(&mut change_log, &body),
                    Ok(None) => break,
                    Err(StreamError(error)) => {
                        self.counters.failed_polls += 1;
                        self.warn(error);
                        change_log.disconnect(self.now);
                        break;
                    }
                }
            }
        }
        self.counters.failed_polls +=
            u64::from(change_log.poll_if_due(&self.loop_handle, &self.resource_usage, self.now));
        self.change_log = Some(change_log);
    }

    fn on_change_log_answer(&mut self, change_log: &mut ChangeLogClient<Self>, body: &[u8]) {
        let changes: Changes<'_> = match serde_json::from_slice(body) {
            Ok(changes) => changes,
            Err(e) => {
                self.counters.failed_polls += 1;
                self.warn(&format!("cannot decode an answer of the change log, reconnecting: {e}"));
                return change_log.disconnect(self.now);
            }
        };
        // Sequence numbers decreased, or the last accepted event has different content now: the change log restarted.
        let content_hash =
            |change: &Change<'_>| twox_hash::XxHash64::oneshot(0, format!("{change:?}").as_bytes());
        let is_different = |change: &Change<'_>| {
            change.seq == self.last_event.0 && content_hash(change) != self.last_event.1
        };
        if changes.last_seq < change_log.last_seq || changes.results.iter().any(is_different) {
            self.counters.log_restarts += 1;
            change_log.resync_from_start(self.now);
            self.last_event = (0, 0);
            return log::warn!(last = changes.last_seq; "change log restarted, requesting all events again");
        }
        let previous_seq = change_log.last_seq;
        for change in &changes.results {
            match change_log.accept(change.seq, self.now) {
                SequenceCheck::Duplicate => continue,
                SequenceCheck::GapRetried(last) => {
                    return self.warn(&format!(
                        "sequence gap in the change log, from {last} to {}; requesting the events after {last} again",
                        change.seq
                    ));
                }
                SequenceCheck::GapAccepted(last) => {
                    self.warn(&format!(
                        "sequence gap in the change log, from {last} to {}; continuing without the missing events",
                        change.seq
                    ));
                }
                SequenceCheck::Next => {}
            }
            self.counters.events += 1;
            self.must_publish = true;
            self.last_event = (change.seq, content_hash(change));
            if let Some(fleet) = &change.fleet {
                self.fleet.on_host_list(&fleet.endpoints, fleet.snapshot, self.now);
                // Nothing is sent before the first full list, since proxies would take it for the complete state.
                if fleet.snapshot {
                    self.server.set_ready();
                }
            }
            if let Some(purge) = &change.invalidate {
                self.fleet.on_purge(purge);
            }
        }
        if change_log.last_seq == previous_seq {
            change_log.on_empty_answer(self.now);
        }
    }

    fn on_event(&mut self, event: ServiceEvent) {
        match event {
            ServiceEvent::Opened { stream_id, peer, sender } => {
                match self.server.open_stream(sender.variant(), &peer, self.now) {
                    Ok(stream) => {
                        self.counters.opened += 1;
                        log::debug!(peer, form:? = sender.variant(); "proxy opened a stream");
                        self.proxies.insert(stream_id, ConnectedProxy { stream, sender });
                    }
                    Err(reason) => {
                        self.counters.rejected += 1;
                        self.warn(&reason.to_string());
                        sender.end(Status::resource_exhausted(reason.to_string()));
                    }
                }
            }
            ServiceEvent::Requested { stream_id, node, request, permit } => {
                let Some(proxy) = self.proxies.get(&stream_id) else { return };
                self.counters.requests += 1;
                let stream = proxy.stream;
                if !node.is_empty() {
                    self.server.set_node(stream, &node);
                }
                if let Some(error) = &request.error_detail {
                    self.warn(&format!(
                        "proxy rejected a message of type {}, keeping the stream open: {error}",
                        request.type_url
                    ));
                }
                if let Err(reason) = self.server.on_request(stream, &request, self.now) {
                    self.end(&[stream], &reason);
                }
                drop(permit);
            }
            ServiceEvent::Closed { stream_id } => {
                if let Some(proxy) = self.proxies.remove(&stream_id) {
                    self.counters.closed += 1;
                    self.server.close_stream(proxy.stream);
                }
            }
            ServiceEvent::Reported { report, permit } => {
                self.on_load_report(&report);
                drop(permit);
            }
            ServiceEvent::StatusRequested { order: Some((zone, order)), reply } => {
                let no_zones = || Err("this control service does not decide on zones".to_owned());
                let now = self.now;
                let result =
                    self.zones.as_mut().map_or_else(no_zones, |zones| zones.apply_order(&zone, &order, now));
                match result {
                    Ok(()) => {
                        self.update_zones();
                        self.pending_statuses.push_back((reply, client_status::StatusBuilder::default()));
                    }
                    Err(error) => drop(reply.send(Err(error))),
                }
            }
            ServiceEvent::StatusRequested { order: None, reply } => {
                // Beyond the limit the reply channel is dropped, and the client gets an `unavailable` error.
                if self.pending_statuses.len() < MAX_PENDING_STATUSES {
                    self.pending_statuses.push_back((reply, client_status::StatusBuilder::default()));
                }
            }
        }
    }

    /// Ends streams. The reason is sent to their proxies.
    fn end(&mut self, streams: &[StreamId], reason: &StreamEndReason) {
        let ended: BTreeSet<_> = streams.iter().collect();
        let ended_proxies: Vec<_> =
            self.proxies.extract_if(.., |_, proxy| ended.contains(&proxy.stream)).collect();
        for (_, proxy) in ended_proxies {
            self.counters.closed += 1;
            self.warn(&reason.to_string());
            proxy.sender.end(Status::resource_exhausted(reason.to_string()));
            self.server.close_stream(proxy.stream);
        }
    }

    /// Sends pending messages, highest priority first over all proxies. A proxy without capacity does not delay the others.
    fn send_pending(&mut self) {
        self.is_blocked = false;
        let unix_ms = unix_ms();
        for (priority, sent) in PRIORITIES.into_iter().zip(&mut self.counters.sent_messages) {
            // Messages in the outbox cannot be overtaken, so an ordinary message is only sent into an empty one, and some
            // capacity is kept for urgent messages.
            let required_capacity = match priority {
                Priority::Urgent => 1,
                Priority::Heartbeat => 2,
                Priority::Ordinary => OUTBOX_CAPACITY,
            };
            for proxy in self.proxies.values() {
                for _ in 0..MAX_MESSAGES_PER_ITERATION {
                    if proxy.sender.capacity() < required_capacity {
                        self.is_blocked |= priority == Priority::Urgent || !self.server.is_idle(proxy.stream);
                        break;
                    }
                    let Some(message) = self.server.next_message(proxy.stream, priority, self.now, unix_ms)
                    else {
                        break;
                    };
                    proxy.sender.send(message, &self.name);
                    *sent += 1;
                }
            }
        }
    }

    /// Decodes a load report and adds it to the summary and to the evidence on zones.
    fn on_load_report(&mut self, request: &LoadStatsRequest) {
        let node = request.node.as_ref().map(|node| node.id.as_str()).unwrap_or_default();
        let localities = request.cluster_stats.iter().flat_map(|cluster| &cluster.upstream_locality_stats);
        let mut hosts = Vec::new();
        for stats in localities.flat_map(|locality| &locality.upstream_endpoint_stats) {
            let address = stats.address.as_ref().and_then(messages::parse_address);
            // Reports on unknown or removed hosts are ignored.
            let host_name = stats.metadata.as_ref().and_then(messages::host_name_from_metadata);
            let host = host_name
                .map_or_else(|| self.fleet.host_by_address(address?), |name| self.fleet.host_by_name(name));
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
                let Some((metric_kind, service)) = metric.metric_name.split_once('/') else { continue };
                let Some(ds) = self.fleet.service_index(service) else { continue };
                let index = report.fills.iter().position(|fills| fills.ds == ds).unwrap_or_else(|| {
                    report.fills.push(FillCounts { ds, ..FillCounts::default() });
                    report.fills.len() - 1
                });
                let fills = &mut report.fills[index];
                match metric_kind {
                    "fills" => {
                        (fills.total, fills.late_or_failed) =
                            (metric.num_requests_finished_with_metric, metric.total_metric_value);
                    }
                    "fills-out" => fills.in_flight = metric.num_requests_finished_with_metric,
                    _ => {}
                }
            }
            hosts.push(report);
        }
        if let Err(error) = self.reports.add(node, &hosts, self.now) {
            return self.warn(&format!("load report of {node:?} rejected: {error}"));
        }
        // The numbers of an accepted report are bounded, so they can be summed.
        if let Some(zones) = &mut self.zones {
            let outcomes: Vec<_> = hosts
                .iter()
                .map(|&HostReport { host, returned, errored, late, .. }| HostOutcomes {
                    zone: self.fleet.zone_of(host),
                    returned,
                    errored,
                    late,
                })
                .collect();
            let node_metadata = request.node.as_ref().and_then(|node| node.metadata.as_ref());
            let gets_taken = node_metadata.map_or(0, messages::gets_taken);
            zones.on_report(node, &outcomes, gets_taken, sum_fills(&hosts), node_metadata, self.now);
        }
    }

    /// Logs at most one warning per interval, with the number of suppressed warnings.
    fn warn(&mut self, message: &str) {
        if self.now < self.next_warning_at {
            self.suppressed_warnings += 1;
            return;
        }
        log::warn!(unsaid = std::mem::take(&mut self.suppressed_warnings); "{message}");
        self.next_warning_at = self.now + WARNING_INTERVAL;
    }

    fn log_counters(&self) {
        let Counters { opened, closed, rejected, requests, events, failed_polls, log_restarts, .. } =
            self.counters;
        let Counters { sent_messages: [urgent, heartbeats, ordinary], turns, longest_turn_us, .. } =
            self.counters;
        log::info!(opened, closed, turned_away = rejected, open = self.proxies.len(), requests; "streams");
        log::info!(urgent, beats = heartbeats, ordinary; "messages");
        log::info!(events, polls_lost = failed_polls, logs_anew = log_restarts, hosts = self.fleet.len(), faults = self.fleet.faults; "change log");
        log::info!(taken = self.reports.accepted, disbelieved = self.reports.rejected; "reports");
        log::info!(turns, turn_longest_us = longest_turn_us; "loop");
    }
}
