//! Proxies that follow a control service, with stand-in hosts and a change log that breaks off in the middle of a purge and
//! is down for 8 s.

use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use myrtlegauge_control::ads_server::ProtocolVariant;
use myrtlegauge_control::follower::GetKey;
use myrtlegauge_control::session::{Response, Session};
use review_stand_2::store::{Store, judge};
use review_stand_2::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Discovery is down for so long, by the page on the full fleet.
const DOWN: Duration = Duration::from_secs(8);
const OBJECT: u64 = 0x7f3a_9c21_e0b4_d655;

type SharedSession = Arc<Mutex<Session>>;

/// Follows the control service; a lost stream is opened again.
async fn follow(session: SharedSession, control: SocketAddr) {
    loop {
        let _ = stream(&session, control).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

async fn stream(session: &SharedSession, control: SocketAddr) -> Result<(), String> {
    let endpoint =
        tonic::transport::Endpoint::from_shared(format!("http://{control}")).map_err(|e| e.to_string())?;
    let channel = endpoint.tcp_nodelay(true).connect().await.map_err(|e| e.to_string())?;
    let mut client = AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(64 << 20);
    let (out, requests) = mpsc::channel(64);
    let begin = session.lock().expect("no holder panics").initial_delta_requests();
    for request in begin {
        out.send(request).await.map_err(|e| e.to_string())?;
    }
    let answers = client.delta_aggregated_resources(ReceiverStream::new(requests)).await;
    let mut answers = answers.map_err(|e| e.to_string())?.into_inner();
    while let Some(response) = answers.message().await.map_err(|e| e.to_string())? {
        let response = Response::from(response);
        let acknowledgement = {
            let mut session = session.lock().expect("no holder panics");
            let refused = session.apply(&response, unix_ms() as u64).err();
            session.acknowledge_delta(&response, refused)
        };
        out.send(acknowledgement).await.map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// One GET of a proxy, where its follower says. Returns how it ended.
fn get(session: &SharedSession, id: &str) -> String {
    let (address, fields) = {
        let mut session = session.lock().expect("no holder panics");
        let asked = GetKey { service: "assembly-video", object: OBJECT, chunk: 0, group: 17 };
        let choice = match session.follower.choose(&asked, [None, None], |_| 0, unix_ms() as u64) {
            Ok(choice) => choice,
            Err(reason) => return format!("shed: {reason:?}"),
        };
        let mut fields = format!("lane=assembly-video,name={OBJECT:016x},piece=0,ttl=5000,store=1");
        if let Some(source) = choice.source.filter(|source| source.name != choice.cache.name) {
            fields += &format!(",up={}", source.name);
        }
        if !choice.max_accepted_age.is_zero() {
            fields += &format!(",cap={:.3}", choice.max_accepted_age.as_secs_f64() * 1e3);
        }
        (choice.cache.address, fields)
    };
    let answer = (|| {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(&words(&[b"serve", id.as_bytes(), fields.as_bytes(), b""]))?;
        read_words(&mut BufReader::new(stream))
    })();
    match answer {
        Ok(Some(words)) => String::from_utf8_lossy(words.get(1).map_or(&[][..], Vec::as_slice)).into_owned(),
        _ => "no answer".into(),
    }
}

fn main() {
    let (record, trouble, store) = (Record::create(), has_trouble(), Store::default());
    let log = ChangeLog::start(&record);
    let names = ["s-0", "s-1", "s-2"];
    let mut lines: Vec<_> = names
        .iter()
        .map(|name| host_line(name, store.start_host(name, &record), "standard", "active"))
        .collect();
    lines.push(host_line("p-3", store.start_host("p-3", &record), "parent", "active"));
    lines.push(host_line("o-4", store.start_origin(), "origin", "active"));
    log.add(&whole_list(&lines));
    let control = free_address();
    let file = folder().join("control.sexp");
    let text = format!(
        r#"(log (form text) (level info))
(control (name "edge-control") (listen "{control}") (change-log "{}")
  (drain-grace 250ms) (purge-grace 1s) (clock-error 10ms) (reports-every 500ms) (most-proxies 100))
(footprint (zone "inland" (hub 0)) (zone "w-1" (hub 0)) (here "w-1") (transfer-pace 8MB/s)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2)) (parent-start (share 10%) (warm-within 17s) (falls-at 2))
  (purged-within 6s))
(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 2500ms) (fresh 5s) (grace 30s))
(delivery-service "delivery-confirm" (objective 600ms) (timeout 3s) (effect non-idempotent) (passed-on yes))
"#,
        log.address
    );
    std::fs::write(&file, text).expect("the operator file can be written");
    let command = format!("{} control {}", run_command(), file.display());
    let Ok(mut service) = Process::start(&command, &[], &folder().join("control.log")) else {
        cannot_run(&record, "the control service does not start")
    };
    if !wait_for_listener(control, Duration::from_secs(10)) {
        let log = std::fs::read_to_string(folder().join("control.log")).unwrap_or_default();
        cannot_run(&record, &format!("the control service does not listen: {log}"));
    }
    let sessions: Vec<SharedSession> = (0..3)
        .map(|index| Arc::new(Mutex::new(Session::new(ProtocolVariant::Delta, &format!("proxy-{index}")))))
        .collect();
    let followed = sessions.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async move {
            let mut follows = tokio::task::JoinSet::new();
            for session in followed {
                follows.spawn(follow(session, control));
            }
            follows.join_all().await;
        });
    });
    let stop = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> = sessions
        .into_iter()
        .enumerate()
        .map(|(index, session)| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
            thread::spawn(move || {
                let mut count = 0u32;
                let mut last = String::new();
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let ended = get(&session, &format!("{index:08x}{count:08x}"));
                    if ended != last {
                        record.say(format_args!("proxy {index}: GET {count}: {ended}"));
                        last = ended;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(3000));
    if store.served().is_empty() {
        cannot_run(&record, "the proxies serve nothing before the purge");
    }
    let purged = unix_ms();
    let object = format!("{OBJECT:016x}");
    store.purge(&object, purged);
    let purge = format!(r#""invalidate":{{"object":"{object}","time":{}}}"#, purged as u64);
    let told = if trouble {
        log.add_breaking_off(&purge);
        let mut waited = 0;
        while !log.is_down() && waited < 2000 {
            thread::sleep(Duration::from_millis(5));
            waited += 5;
        }
        if !log.is_down() {
            cannot_run(&record, "nobody polled the change log");
        }
        // What a broken answer would have told counts as told 2 s after the break.
        unix_ms() + 2000.0
    } else {
        log.add(&purge);
        // The open poll is answered at once; 100 ms are more than it takes.
        unix_ms() + 100.0
    };
    thread::sleep(DOWN);
    if trouble {
        log.come_back();
    }
    thread::sleep(Duration::from_millis(1500));
    stop.store(true, Ordering::Relaxed);
    askers.into_iter().for_each(|asker| drop(asker.join()));
    if service.has_ended() {
        cannot_run(&record, "the control service has ended");
    }
    let broken = match judge(&record, &store.served(), &object, purged, told) {
        usize::MAX => cannot_run(&record, "nothing was served after the grace"),
        count => count > 0,
    };
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(if broken { BROKEN } else { HELD });
}
