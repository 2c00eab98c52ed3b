//! Proxies that follow a control service by the project's own session, and send their GETs to the stand-in for all hosts.

use super::common::resp;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use myrtlegauge_control::ads_server::ProtocolVariant;
use myrtlegauge_control::follower::{GetKey, ShedReason};
use myrtlegauge_control::session::{Response, Session};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Pause before a stream that ended is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);
/// Pause between two GETs of a proxy. Each object is asked for several times a second.
const GET_PAUSE: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(5);

type SharedSession = Arc<Mutex<Session>>;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What became of the GETs of all proxies, and what these were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub returned: usize,
    /// GETs that were shed once the proxy had its first lease.
    pub shed: usize,
    /// Messages with a body that proxies received.
    pub messages: usize,
}

#[derive(Default)]
struct Counts {
    is_stopped: AtomicBool,
    returned: AtomicUsize,
    shed: AtomicUsize,
    messages: AtomicUsize,
}

/// Some proxies. Their streams end with the test's process.
pub struct Proxies {
    counts: Arc<Counts>,
    threads: Vec<JoinHandle<()>>,
}

impl Proxies {
    /// Starts proxies that ask for objects in turn until they are stopped.
    pub fn start(count: usize, control: SocketAddr, objects: u64) -> Self {
        let counts = Arc::new(Counts::default());
        let start = |index: usize| {
            let session = Session::new(ProtocolVariant::Delta, &format!("proxy-{index}"));
            let session = Arc::new(Mutex::new(session));
            let (followed, follow_counts) = (Arc::clone(&session), Arc::clone(&counts));
            thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
                runtime.block_on(follow(&followed, control, &follow_counts));
            });
            let counts = Arc::clone(&counts);
            thread::spawn(move || ask_until_stopped(&session, index as u64, objects, &counts))
        };
        let threads = (0..count).map(start).collect();
        Self { counts, threads }
    }

    /// What has become of the GETs so far.
    pub fn totals(&self) -> Totals {
        let get = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        let Counts { returned, shed, messages, .. } = &*self.counts;
        Totals { returned: get(returned), shed: get(shed), messages: get(messages) }
    }

    /// Stops the GETs.
    pub fn stop(self) -> Totals {
        self.counts.is_stopped.store(true, Ordering::SeqCst);
        let totals = self.totals();
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        totals
    }
}

/// Follows the control service; a stream that ended is opened again.
async fn follow(session: &SharedSession, control: SocketAddr, counts: &Counts) {
    while !counts.is_stopped.load(Ordering::SeqCst) {
        let _ = follow_stream(session, control, counts).await;
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow_stream(session: &SharedSession, control: SocketAddr, counts: &Counts) -> Result<(), String> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{control}"));
    let endpoint = endpoint.map_err(|e| e.to_string())?.tcp_nodelay(true);
    let mut client =
        AggregatedDiscoveryServiceClient::new(endpoint.connect().await.map_err(|e| e.to_string())?);
    let (sender, requests) = mpsc::channel(64);
    let first_requests = session.lock().unwrap().initial_delta_requests();
    for request in first_requests {
        sender.send(request).await.map_err(|e| e.to_string())?;
    }
    let responses = client.delta_aggregated_resources(ReceiverStream::new(requests)).await;
    let mut responses = responses.map_err(|e| e.to_string())?.into_inner();
    while let Some(response) = responses.message().await.map_err(|e| e.to_string())? {
        let response = Response::from(response);
        let has_body = response.resources.iter().any(|resource| resource.body.is_some());
        counts.messages.fetch_add(usize::from(has_body), Ordering::SeqCst);
        let acknowledgement = {
            let mut session = session.lock().unwrap();
            let error = session.apply(&response, unix_ms()).err();
            session.acknowledge_delta(&response, error)
        };
        sender.send(acknowledgement).await.map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn ask_until_stopped(session: &SharedSession, index: u64, objects: u64, counts: &Counts) {
    let mut connection: Option<TcpStream> = None;
    let mut had_lease = false;
    for number in 0.. {
        if counts.is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let command = decide(session, number % objects, (index << 32) | number);
        match command {
            Ok((address, command)) => {
                had_lease = true;
                let stream = connection.get_or_insert_with(|| connect(address));
                stream.write_all(&command).unwrap();
                read_answer(stream);
                counts.returned.fetch_add(1, Ordering::SeqCst);
            }
            Err(_) if had_lease => _ = counts.shed.fetch_add(1, Ordering::SeqCst),
            Err(_) => {}
        }
        sleep(GET_PAUSE);
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Where a GET goes, and its command.
fn decide(session: &SharedSession, object: u64, id: u64) -> Result<(SocketAddr, Vec<u8>), ShedReason> {
    let get = GetKey { service: "video", object, chunk: 0, group: 0 };
    let mut session = session.lock().unwrap();
    let choice = session.follower.choose(&get, [None, None], |_| 0, unix_ms())?;
    let mut fields = format!("lane=video,name={object:016x},piece=0,ttl=5000,store=1");
    if let Some(source) = choice.source {
        fields += &format!(",up={}", source.name);
    }
    if !choice.max_accepted_age.is_zero() {
        fields += &format!(",cap={:.3}", choice.max_accepted_age.as_secs_f64() * 1e3);
    }
    let id = format!("{id:016x}");
    let words = ["serve", &id, &fields, ""];
    let text: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    Ok((choice.cache.address, format!("*{}\r\n{text}", words.len()).into_bytes()))
}

fn read_answer(stream: &mut TcpStream) {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    while resp::parse_command(&bytes).is_none() {
        let count = stream.read(&mut buffer).expect("the host answers");
        assert_ne!(count, 0, "the host closes no connection");
        bytes.extend_from_slice(&buffer[..count]);
    }
}
