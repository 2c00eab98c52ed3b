//! A stand-in proxy: it follows the control service over a real gRPC stream, sends GETs to stand-in caches by what its
//! follower chooses, and reports load. What it returns and how each GET ended goes to the ledger.

use super::Without;
use crate::stand::hosts::{read_words, words};
use crate::stand::ledger::{Ledger, Named, unix_ms};
use crate::stand::link::Link;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use myrtlegauge_control::ads_server::ProtocolVariant;
use myrtlegauge_control::follower::{GetKey, ShedReason};
use myrtlegauge_control::messages::encode_address;
use myrtlegauge_control::session::{Response, Session};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Connections that a proxy keeps.
const KEPT: usize = 8;
/// How long a client waits, and a forward.
const DEADLINE: Duration = Duration::from_millis(1500);
const FORWARD: Duration = Duration::from_millis(600);

/// What a proxy does wrong, drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its stream ends, wherever it is in it, and it comes back.
    Reconnect,
    /// The way to the control service goes silent for so long.
    Cut(Duration),
    /// It reads nothing for so long.
    Deaf(Duration),
    /// It takes so long for each message before it acknowledges it.
    Slow(Duration),
    /// It refuses the next messages that name this.
    Refuse(&'static str),
}

/// Outcomes at a host since the last report.
#[derive(Clone, Copy, Default)]
struct Seen {
    returned: u64,
    errored: u64,
    fills: u64,
}

pub struct Proxy {
    pub index: usize,
    name: String,
    session: Mutex<Session>,
    without: Option<Without>,
    link: Arc<Link>,
    ledger: Arc<Ledger>,
    pool: Mutex<Vec<(SocketAddr, BufReader<TcpStream>)>>,
    seen: Mutex<HashMap<SocketAddr, Seen>>,
    /// Since when its stream has been whole: what it was told before may be late.
    whole_since: Mutex<Option<Instant>>,
    purges_seen: Mutex<usize>,
    reconnect: tokio::sync::Notify,
    deaf: Mutex<Option<Instant>>,
    slow: Mutex<Duration>,
    refuse: Mutex<Option<&'static str>>,
    faulty: AtomicBool,
    pub streams: AtomicU32,
    pub messages: AtomicU64,
    pub bytes: AtomicU64,
    gets: AtomicU64,
}

fn now_ms() -> u64 {
    unix_ms() as u64
}

/// A stream of requests with its first ones.
async fn begun<Q>(begin: Vec<Q>) -> Result<(mpsc::Sender<Q>, ReceiverStream<Q>), String> {
    let (out, requests) = mpsc::channel(64);
    for request in begin {
        out.send(request).await.map_err(|e| e.to_string())?;
    }
    Ok((out, ReceiverStream::new(requests)))
}

impl Proxy {
    pub fn new(
        index: usize,
        variant: ProtocolVariant,
        link: Arc<Link>,
        ledger: Arc<Ledger>,
        without: Option<Without>,
    ) -> Self {
        let name = format!("proxy-{index}");
        Self {
            index,
            session: Mutex::new(Session::new(variant, &name)),
            name,
            without,
            link,
            ledger,
            pool: Mutex::default(),
            seen: Mutex::default(),
            whole_since: Mutex::default(),
            purges_seen: Mutex::default(),
            reconnect: tokio::sync::Notify::new(),
            deaf: Mutex::default(),
            slow: Mutex::default(),
            refuse: Mutex::default(),
            faulty: AtomicBool::new(false),
            streams: AtomicU32::new(0),
            messages: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            gets: AtomicU64::new(0),
        }
    }

    fn session(&self) -> MutexGuard<'_, Session> {
        self.session.lock().expect("no holder panics")
    }

    /// Whether a GET would go now, by a stream that began after a time.
    pub fn serves_since(&self, since: Instant) -> bool {
        if self.whole_since.lock().expect("no holder panics").is_none_or(|whole| whole < since) {
            return false;
        }
        let asked = GetKey { service: "product-photo", object: 1, chunk: 0, group: 1 };
        self.session().follower.choose(&asked, [None, None], |_| 0, now_ms()).is_ok()
    }

    pub fn is_faulty(&self) -> bool {
        self.faulty.load(Ordering::Relaxed)
    }

    pub async fn suffer(self: Arc<Self>, fault: Fault) {
        self.faulty.store(true, Ordering::Relaxed);
        *self.whole_since.lock().expect("no holder panics") = None;
        match fault {
            Fault::Reconnect => self.reconnect.notify_waiters(),
            Fault::Cut(long) => {
                self.link.cut();
                tokio::time::sleep(long).await;
                self.link.mend();
            }
            Fault::Deaf(long) => {
                *self.deaf.lock().expect("no holder panics") = Some(Instant::now() + long);
                tokio::time::sleep(long).await;
            }
            Fault::Slow(long) => {
                *self.slow.lock().expect("no holder panics") = long;
                tokio::time::sleep(Duration::from_millis(1500)).await;
                *self.slow.lock().expect("no holder panics") = Duration::ZERO;
            }
            Fault::Refuse(what) => {
                *self.refuse.lock().expect("no holder panics") = Some(what);
                tokio::time::sleep(Duration::from_millis(800)).await;
                *self.refuse.lock().expect("no holder panics") = None;
                // It would not be sent what it refused again on the same stream.
                self.reconnect.notify_waiters();
            }
        }
        self.faulty.store(false, Ordering::Relaxed);
    }

    /// Follows the control service for as long as the run lasts; a lost stream is opened again after a spread pause.
    pub async fn follow(self: Arc<Self>, seed: u64) {
        let mut chance = fastrand::Rng::with_seed(seed);
        loop {
            self.streams.fetch_add(1, Ordering::Relaxed);
            let _ = tokio::select! {
                ended = self.stream() => ended,
                () = self.reconnect.notified() => Ok(()),
            };
            *self.whole_since.lock().expect("no holder panics") = None;
            tokio::time::sleep(Duration::from_millis(chance.u64(5..60))).await;
        }
    }

    async fn stream(&self) -> Result<(), String> {
        let failed = |e: tonic::transport::Error| e.to_string();
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{}", self.link.address))
            .map_err(failed)?
            .connect_timeout(Duration::from_millis(500))
            .tcp_nodelay(true)
            .connect()
            .await
            .map_err(failed)?;
        let mut client = AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(64 << 20);
        let said = |status: tonic::Status| status.to_string();
        let variant = self.session().variant();
        if variant == ProtocolVariant::Whole {
            let begin = self.session().initial_whole_requests();
            let (out, requests) = begun(begin).await?;
            let answers = client.stream_aggregated_resources(requests).await.map_err(said)?.into_inner();
            self.converse(&out, answers, Session::acknowledge_whole).await
        } else {
            let begin = self.session().initial_delta_requests();
            let (out, requests) = begun(begin).await?;
            let answers = client.delta_aggregated_resources(requests).await.map_err(said)?.into_inner();
            self.converse(&out, answers, Session::acknowledge_delta).await
        }
    }

    /// Takes and answers all that comes, until the stream ends.
    async fn converse<Q, A: Into<Response>>(
        &self,
        out: &mpsc::Sender<Q>,
        mut answers: tonic::Streaming<A>,
        answer: fn(&Session, &Response, Option<String>) -> Q,
    ) -> Result<(), String> {
        while let Some(response) = answers.message().await.map_err(|e| e.to_string())? {
            let response = response.into();
            let refused = self.take(&response).await;
            let answer = answer(&self.session(), &response, refused);
            out.send(answer).await.map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    async fn take(&self, response: &Response) -> Option<String> {
        let deaf = self.deaf.lock().expect("no holder panics").take();
        if let Some(until) = deaf {
            tokio::time::sleep_until(until.into()).await;
        }
        let bytes: usize = response.resources.iter().filter_map(|r| r.body.as_ref()).map(Vec::len).sum();
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64 + 64, Ordering::Relaxed);
        let refuse = *self.refuse.lock().expect("no holder panics");
        let refused = refuse
            .filter(|what| response.resources.iter().any(|r| r.body.is_some() && r.name.contains(what)));
        let names: Vec<_> =
            response.resources.iter().map(|r| (r.name.as_str(), r.body.is_some(), r.ttl)).collect();
        if !names.is_empty() && response.resources.iter().any(|r| r.body.is_some()) {
            self.ledger.say(format_args!(
                "proxy {} is told {:?} {names:?} {}",
                self.index, response.resource_type, response.nonce
            ));
        }
        let taken = match refused {
            Some(what) => Err(format!("{what} is refused for the proof")),
            None => self.session().apply(response, now_ms()),
        };
        if self.without == Some(Without::Lease) {
            self.session().follower.extend_lease(Duration::from_secs(3600), now_ms(), now_ms());
        }
        self.note(response.resources.iter().any(|resource| resource.ttl.is_some()));
        let slow = *self.slow.lock().expect("no holder panics");
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        taken.err()
    }

    /// Tells the ledger which drains and purges hold here now.
    fn note(&self, leased: bool) {
        let whole = {
            let mut since = self.whole_since.lock().expect("no holder panics");
            // The lease that a new stream brings comes after all that it vouches for.
            if since.is_none() && !self.is_faulty() && leased {
                *since = Some(Instant::now());
            }
            *since
        };
        let Some(since) = whole else { return };
        for host in self.ledger.draining_hosts() {
            let session = self.session();
            let kinds = ["cache", "parent"].map(|kind| format!("{kind}-{host}"));
            let known = kinds.iter().find_map(|name| session.follower.host(name));
            if known.is_none_or(|line| line.draining) {
                drop(session);
                self.ledger.drain_took_effect(host, self.index, since);
            }
        }
        let mut from = self.purges_seen.lock().expect("no holder panics");
        for (purge, named, unix_ms) in self.ledger.purges(*from) {
            let named = match named {
                Named::Object(object) => myrtlegauge::interface::PurgeKey::Object(object),
                Named::Group(group) => myrtlegauge::interface::PurgeKey::Group(group),
            };
            let held = self.session().follower.purge(named);
            if held.is_none_or(|held| (held.at_unix_ms as f64) < unix_ms.floor()) {
                break;
            }
            self.ledger.purge_took_effect(purge, since);
            *from = purge + 1;
        }
    }

    /// One GET, to its one final answer.
    pub async fn get(self: Arc<Self>, service: &'static str, object: u64) {
        let id = format!("{:08x}{:08x}", self.index, self.gets.fetch_add(1, Ordering::Relaxed));
        self.ledger.took();
        let began = Instant::now();
        let how = tokio::time::timeout(DEADLINE, self.forwards(service, object, &id)).await;
        let how = how.unwrap_or("errored, out of time");
        if began.elapsed() > DEADLINE + Duration::from_millis(250) {
            self.ledger.broken(format!("{id} answered {:?} after it was taken", began.elapsed()));
        }
        self.ledger.answered(how);
    }

    async fn forwards(&self, service: &'static str, object: u64, id: &str) -> &'static str {
        let mut tried: [Option<String>; 2] = [None, None];
        let mut sent = 0;
        loop {
            let (address, _, again, most, names) = match self.choice(service, object, &tried) {
                Ok(chosen) => chosen,
                Err(ShedReason::NoLease) => return "shed, no lease",
                Err(_) => return "shed",
            };
            if sent >= most.max(1) {
                return "shed, forwards spent";
            }
            let Ok(mut stream) = self.connection(address).await else {
                self.saw(address, false, None);
                (tried, sent) = (names, sent + 1);
                continue;
            };
            // A connection took time: what was decided before it may hold no more.
            let fields = match self.choice(service, object, &tried) {
                Ok((same, fields, ..)) if same == address => fields,
                Ok(_) => {
                    self.keep(address, stream);
                    continue;
                }
                Err(ShedReason::NoLease) => return "shed, no lease",
                Err(_) => return "shed",
            };
            sent += 1;
            if let Some(name) = &names[0] {
                let session = self.session();
                let line = session.follower.host(name);
                let lease = session.follower.lease_left_ms(now_ms());
                self.ledger.say(format_args!("{id} goes by {line:?}, lease {lease} ms, to {address}"));
            }
            if stream.get_mut().write_all(&words(&["serve", id, &fields, ""])).await.is_err() {
                self.saw(address, false, None);
                if again {
                    tried = names;
                    continue;
                }
                return "errored, may have run";
            }
            let answer = tokio::time::timeout(FORWARD, read_words(&mut stream, |_| {})).await;
            let Ok(Ok(Some(answer))) = answer else {
                self.saw(address, false, None);
                if again {
                    tried = names;
                    continue;
                }
                return "errored, may have run";
            };
            self.keep(address, stream);
            let word = answer.get(1).map(Vec::as_slice).unwrap_or_default();
            let fields =
                String::from_utf8_lossy(answer.get(2).map(Vec::as_slice).unwrap_or_default()).into_owned();
            match word {
                b"200" => {
                    self.saw(address, true, Some(fields.contains("why=TCP_MISS")));
                    if service != "delivery-confirm" {
                        let born = fields.split(',').find_map(|pair| pair.strip_prefix("since="));
                        let born = born.and_then(|born| born.parse().ok()).unwrap_or(0.0);
                        self.ledger.returned(object, object % 64, born);
                    }
                    return "returned";
                }
                // It never ran.
                b"404" | b"503" | b"504" => {
                    self.saw(address, true, None);
                    tried = names;
                }
                _ => {
                    self.saw(address, false, None);
                    if !again {
                        return "errored, may have run";
                    }
                    tried = names;
                }
            }
        }
    }

    #[allow(clippy::type_complexity)]
    fn choice(
        &self,
        service: &'static str,
        object: u64,
        tried: &[Option<String>; 2],
    ) -> Result<(SocketAddr, String, bool, u32, [Option<String>; 2]), ShedReason> {
        let mut session = self.session();
        let asked = GetKey { service, object, chunk: 0, group: object % 64 };
        let tried = [tried[0].as_deref(), tried[1].as_deref()];
        let choice = session.follower.choose(&asked, tried, |_| 0, now_ms())?;
        let mut fields = format!("lane={service},name={object:016x},piece=0");
        if let Some(source) = choice.source.filter(|source| source.name != choice.cache.name) {
            fields += &format!(",up={}", source.name);
        }
        if !choice.max_accepted_age.is_zero() && self.without != Some(Without::Purges) {
            fields += &format!(",cap={:.3}", choice.max_accepted_age.as_secs_f64() * 1e3);
        }
        let names = [Some(choice.cache.name.clone()), choice.source.map(|source| source.name.clone())];
        let again = choice.terms.again || self.without == Some(Without::Effects);
        Ok((choice.cache.address, fields, again, choice.terms.forwards, names))
    }

    async fn connection(&self, address: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
        let kept = {
            let mut pool = self.pool.lock().expect("no holder panics");
            let at = pool.iter().position(|(known, _)| *known == address);
            at.map(|at| pool.swap_remove(at).1)
        };
        if let Some(kept) = kept {
            return Ok(kept);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(BufReader::new(stream))
    }

    fn keep(&self, address: SocketAddr, stream: BufReader<TcpStream>) {
        let mut pool = self.pool.lock().expect("no holder panics");
        if pool.len() >= KEPT {
            pool.remove(0);
        }
        pool.push((address, stream));
    }

    fn saw(&self, address: SocketAddr, returned: bool, filled: Option<bool>) {
        let mut seen = self.seen.lock().expect("no holder panics");
        let seen = seen.entry(address).or_default();
        seen.returned += u64::from(returned);
        seen.errored += u64::from(!returned);
        seen.fills += u64::from(filled == Some(true));
    }

    /// Reports load as it is asked to, until the stream ends; then again.
    pub async fn report(self: Arc<Self>, to: SocketAddr) {
        loop {
            let _ = self.reports(to).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn reports(&self, to: SocketAddr) -> Result<(), String> {
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{to}"))
            .map_err(|e| e.to_string())?
            .connect()
            .await
            .map_err(|e| e.to_string())?;
        let mut client = LoadReportingServiceClient::new(channel);
        let (out, reports) = mpsc::channel(4);
        let node = Some(Node { id: self.name.clone(), ..Default::default() });
        let first = LoadStatsRequest { node, ..Default::default() };
        out.send(first).await.map_err(|e| e.to_string())?;
        let answers =
            client.stream_load_stats(ReceiverStream::new(reports)).await.map_err(|e| e.to_string())?;
        let mut answers = answers.into_inner();
        let asked = answers.message().await.map_err(|e| e.to_string())?.ok_or("ended")?;
        let every = asked.load_reporting_interval.map(|d| Duration::new(d.seconds as u64, d.nanos as u32));
        let every = every.unwrap_or(Duration::from_secs(1)).max(Duration::from_millis(50));
        loop {
            tokio::time::sleep(every).await;
            let seen: BTreeMap<_, _> =
                std::mem::take(&mut *self.seen.lock().expect("no holder panics")).into_iter().collect();
            let stats = seen.into_iter().map(|(address, seen)| endpoint::UpstreamEndpointStats {
                address: Some(encode_address(address)),
                total_successful_requests: seen.returned,
                total_error_requests: seen.errored,
                load_metric_stats: vec![endpoint::EndpointLoadMetricStats {
                    metric_name: "fills/product-photo".into(),
                    num_requests_finished_with_metric: seen.fills,
                    // Stand-in fills are all in time.
                    total_metric_value: 0.0,
                }],
                ..Default::default()
            });
            let locality = endpoint::UpstreamLocalityStats {
                upstream_endpoint_stats: stats.collect(),
                ..Default::default()
            };
            let cluster = endpoint::ClusterStats {
                cluster_name: "caches".into(),
                upstream_locality_stats: vec![locality],
                ..Default::default()
            };
            let report = LoadStatsRequest { cluster_stats: vec![cluster], ..Default::default() };
            out.send(report).await.map_err(|e| e.to_string())?;
        }
    }
}
