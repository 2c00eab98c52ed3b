//! The event loop of the control service. Inputs are the change log, signals and the events of the gRPC services; outputs are
//! the messages of the ADS server.

use crate::ads_server::{AdsServer, PRIORITIES, Priority, StreamEndReason, StreamId};
use crate::fleet::Fleet;
use crate::grpc::{self, GrpcStreamId, OUTBOX_CAPACITY, ResponseSender, ServiceEvent};
use crate::lease::Lease;
use crate::load_reports::{FillCounts, HostReport, LoadReports, sum_fills};
use crate::news::{News, READ_BUFFER_BYTES};
use crate::zone_controller::{HostOutcomes, ZoneController};
use crate::{client_status, messages};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle, channel};
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::status::v3::ClientStatusResponse;
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_operator::file::ControlSettings;
use myrtlegauge_wire::clock::Clock;
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
    /// Changes of the copies that proxies refuse.
    pub copy_refusals: u64,
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
    pub(crate) fleet: Fleet,
    pub(crate) server: AdsServer,
    reports: LoadReports,
    zones: Option<ZoneController>,
    /// None: the hosts are those of the operator file.
    pub(crate) news: Option<News>,
    pub(crate) loop_handle: LoopHandle<'static, Self>,
    pub(crate) resource_usage: Rc<ResourceUsage>,
    pub(crate) read_buffer: Vec<u8>,
    events: Vec<ServiceEvent>,
    pending_statuses:
        VecDeque<(oneshot::Sender<Result<ClientStatusResponse, String>>, client_status::StatusBuilder)>,
    proxies: BTreeMap<GrpcStreamId, ConnectedProxy>,
    pub(crate) now: Duration,
    next_publish: Duration,
    is_blocked: bool,
    pub(crate) must_publish: bool,
    next_warning_at: Duration,
    suppressed_warnings: u64,
    /// The counters since the start.
    pub counters: Counters,
    is_stopping: bool,
}

impl ReadinessHandler for Service {
    type Key = ChangeLog;

    fn on_socket_ready(&mut self, _: ChangeLog) {
        if let Some(news) = &mut self.news {
            news.is_socket_ready = true;
        }
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
        service.begin_wait();
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
        let derive_lease =
            if control.change_log.is_some() { Lease::with_polled_purges } else { Lease::from_grace_periods };
        let lease = derive_lease(control.drain_grace, control.purge_grace, control.clock_error);
        let fleet = Fleet::new(&file.decision_settings, fastrand::u64(..), clock)?
            .with_clock_error(control.clock_error);
        let follow = |address| News::new(address, lease, file, control, fleet.max_purge_delay(), now);
        let news = control.change_log.map(follow);
        let mut service = Self {
            name: control.name.clone(),
            fleet,
            server: AdsServer::new(lease, control.max_proxies),
            reports: LoadReports::new(control.report_interval, now),
            zones: ZoneController::from_file(file, control.report_interval, now),
            news,
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
        if service.news.is_none() {
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
            Ok(_) if self.news.is_some() => {
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

    /// Records that the event loop is about to wait for events.
    fn begin_wait(&mut self) {
        let now = self.fleet.clock().now();
        if let Some(news) = &mut self.news {
            news.wait_times.begin_wait(now);
        }
    }

    /// How long the event loop may wait for events.
    fn poll_timeout(&self) -> Duration {
        let change_log_deadline = self.news.as_ref().map_or(Duration::MAX, News::deadline);
        let mut deadline = self
            .next_publish
            .min(self.server.next_deadline(self.now))
            .min(self.reports.deadline())
            .min(change_log_deadline);
        if self.is_blocked {
            deadline = deadline.min(self.now + BLOCKED_RETRY);
        }
        let is_change_log_ready = self.news.as_ref().is_some_and(|news| news.is_socket_ready);
        let is_idle = self.events.is_empty() && !is_change_log_ready && self.pending_statuses.is_empty();
        if is_idle { deadline.saturating_sub(self.fleet.clock().now()) } else { Duration::ZERO }
    }

    /// Handles everything received since the last loop iteration and sends everything that may be sent.
    fn process_events(&mut self) {
        let last_active = std::mem::replace(&mut self.now, self.fleet.clock().now());
        let started = self.now;
        self.follow_change_log(last_active, unix_ms());
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
            ServiceEvent::Requested { stream_id, proxy, request, permit } => {
                let Some(&ConnectedProxy { stream, .. }) = self.proxies.get(&stream_id) else { return };
                self.counters.requests += 1;
                if !proxy.name.is_empty() {
                    self.server.set_node(stream, &proxy.name);
                }
                self.server.set_client_features(stream, &proxy.client_features);
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
    pub(crate) fn warn(&mut self, message: &str) {
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
        let news_age = self.news.as_ref().map_or(Duration::ZERO, |news| news.age(self.now));
        let news_age_ms = news_age.as_millis() as u64;
        let Counters { copy_refusals, .. } = self.counters;
        let Counters { sent_messages: [urgent, heartbeats, ordinary], turns, longest_turn_us, .. } =
            self.counters;
        log::info!(opened, closed, turned_away = rejected, open = self.proxies.len(), requests; "streams");
        log::info!(urgent, beats = heartbeats, ordinary; "messages");
        log::info!(events, polls_lost = failed_polls, logs_anew = log_restarts, hosts = self.fleet.len(), faults = self.fleet.faults, copy_refusals, news_age_ms; "change log");
        log::info!(taken = self.reports.accepted, disbelieved = self.reports.rejected; "reports");
        log::info!(turns, turn_longest_us = longest_turn_us; "loop");
    }
}
