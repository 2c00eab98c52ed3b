//! A control service with proxies beside a change log that breaks off, falls silent, refuses, is late or begins anew: no
//! request accepts a copy from before a purge that counts as told, and an outage costs little service.

#[path = "../purge_news/change_log.rs"]
mod change_log;
#[path = "../common/mod.rs"]
mod common;
#[path = "../purge_news/host.rs"]
mod host;
#[path = "../purge_news/lag.rs"]
mod lag;
#[path = "../purge_news/oracle.rs"]
mod oracle;
mod proxies;
mod scenario;
#[path = "../purge_news/seeds.rs"]
mod seeds;

use change_log::{ChangeLog, History, Service};
use common::{
    KillOnDrop, TempFile, host_line, program, send_signal, setting, unused_address, wait_until_listening,
};
use host::{Arrival, Host};
use lag::{LagWatch, lag_around};
use proxies::{Proxies, Totals};
use scenario::{DURATION, OBJECTS, Scenario, Step};
use seeds::play_seeds;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(5);
const PROXIES: usize = 3;
/// Time in which proxies have their first leases, all objects their first copies, and the service knows how late answers are.
const START_UP: Duration = Duration::from_millis(2500);
/// Seeds that are played at the same time.
const PARALLEL: usize = 4;

/// A control service with its change log, its proxies and their host.
struct Rig {
    listen: SocketAddr,
    host: Host,
    history: Arc<Mutex<History>>,
    change_log: ChangeLog,
    file: TempFile,
    log: TempFile,
    process: KillOnDrop,
}

impl Rig {
    fn start() -> Self {
        let (listen, host) = (unused_address(), Host::start());
        let (parent, origin) = (Host::start().address, Host::start().address);
        let history = History::with_hosts(vec![
            host_line("c1", "standard", "edge", host.address, "active"),
            host_line("p1", "parent", "hub", parent, "active"),
            host_line("o1", "origin", "hub", origin, "active"),
        ]);
        let history = Arc::new(Mutex::new(history));
        let change_log = ChangeLog::start(&history, Service::Up);
        let text = operator_file(listen, change_log.address);
        let file = TempFile::new(&format!("control-news-{}.sexp", listen.port()), &text);
        let log = TempFile::new(&format!("control-news-{}.log", listen.port()), "");
        let process = start_service(&file, &log, listen);
        Self { listen, host, history, change_log, file, log, process }
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Serve(service) => self.change_log.set_service(service),
            Step::Restart => self.history.lock().unwrap().restart(),
            Step::Purge(object) => self.history.lock().unwrap().purge(object),
            Step::Stop => send_signal(&self.process.0, "-STOP"),
            Step::Continue => send_signal(&self.process.0, "-CONT"),
            Step::Kill => {
                self.process.0.kill().unwrap();
                self.process.0.wait().unwrap();
                self.process = start_service(&self.file, &self.log, self.listen);
            }
        }
    }

    /// The lines on refused copies that the service has logged, without their times and values.
    fn lines_on_refusals(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.log.path()).unwrap();
        let lines = log.lines().filter(|line| line.contains("proxies"));
        let text = |line: &str| {
            let after_level = ["WARN ", "INFO "].iter().find_map(|level| line.split_once(level));
            let text = after_level.map_or(line, |(_, text)| text);
            text.split(" news_age_ms").next().unwrap_or_default().to_owned()
        };
        lines.map(text).collect()
    }
}

fn start_service(file: &TempFile, log: &TempFile, listen: SocketAddr) -> KillOnDrop {
    let log = OpenOptions::new().append(true).open(log.path()).unwrap();
    let mut command = program();
    command.args(["control", file.path()]).stdout(Stdio::null()).stderr(log);
    let process = KillOnDrop(command.spawn().unwrap());
    wait_until_listening(listen, TIMEOUT);
    process
}

fn operator_file(listen: SocketAddr, change_log: SocketAddr) -> String {
    format!(
        r#"(log (form text) (level info))
(control (name "control") (listen "{listen}") (change-log "{change_log}")
  (drain-grace 250ms) (purge-grace 1s) (clock-error 10ms) (reports-every 500ms) (most-proxies 100))
(footprint (zone "hub" (hub 0)) (zone "edge" (hub 0)) (here "edge") (transfer-pace 8MB/s)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2)) (parent-start (share 10%) (warm-within 17s) (falls-at 2))
  (purged-within 6s))
(delivery-service "video" (objective 500ms) (timeout 5s))
"#
    )
}

/// What a scenario brought.
struct Outcome {
    broken: Vec<String>,
    totals: Totals,
    arrivals: Vec<Arrival>,
}

/// How many copies were filled again because they were too old.
fn fills(arrivals: &[Arrival]) -> usize {
    arrivals.iter().filter(|arrival| arrival.was_filled).count()
}

/// Plays a scenario and judges each purge at the host.
fn play(scenario: &Scenario) -> Outcome {
    let mut rig = Rig::start();
    let lag_watch = LagWatch::start();
    let proxies = Proxies::start(PROXIES, rig.listen, OBJECTS);
    let started_at = Instant::now();
    for &(at, step) in &scenario.steps {
        sleep((started_at + at).saturating_duration_since(Instant::now()));
        rig.carry_out(step);
    }
    sleep((started_at + DURATION).saturating_duration_since(Instant::now()));
    let totals = proxies.stop();
    let lags = lag_watch.stop();
    let mut broken = Vec::new();
    if !matches!(rig.process.0.try_wait(), Ok(None)) {
        broken.push("the control service has ended".to_owned());
    }
    if totals.returned == 0 {
        broken.push("no GET was returned".to_owned());
    }
    let arrivals = rig.host.arrivals();
    let history = rig.history.lock().unwrap();
    broken.extend(oracle::judge(&history, &[], &arrivals, started_at, |at| lag_around(&lags, at)));
    Outcome { broken, totals, arrivals }
}

/// The first seed and the number of seeds.
const FIRST_SEED: (&str, u64) = ("CONTROL_NEWS_SEED", 1);
const SEEDS: (&str, u64) = ("CONTROL_NEWS_SEEDS", 8);

fn play_seed(seed: u64) -> Vec<String> {
    let scenario = Scenario::draw(seed);
    let outcome = play(&scenario);
    println!(
        "seed {seed}: {:?}, {} fills; {}; broken: {:?}",
        outcome.totals,
        fills(&outcome.arrivals),
        scenario.describe(),
        outcome.broken
    );
    outcome.broken
}

/// Guards against review case 9: proxies accepted copies from before a purge that their control service had not received.
/// `CONTROL_NEWS_SEED` and `CONTROL_NEWS_SEEDS` choose the seeds.
#[test]
fn drawn_outages_bring_no_copy_from_before_a_purge_that_counts_as_told_to_a_proxy() {
    let first = setting(FIRST_SEED);
    let seeds: Vec<u64> = (first..first + setting(SEEDS)).collect();
    let broken = play_seeds(&seeds, PARALLEL, play_seed);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Service of the proxies over a time.
struct Served {
    totals: Totals,
    fills: usize,
}

/// Plays an outage of a change log that is served in an ordinary way before and afterwards; counts what proxies did from its
/// beginning until a while after its end.
fn serve_through(ordinary: Service, outage: Service, length: Duration) -> Served {
    const AFTERWARDS: Duration = Duration::from_millis(1500);
    let mut rig = Rig::start();
    rig.carry_out(Step::Serve(ordinary));
    let proxies = Proxies::start(PROXIES, rig.listen, OBJECTS);
    sleep(START_UP);
    let before = proxies.totals();
    let fills_before = fills(&rig.host.arrivals());
    rig.carry_out(Step::Serve(outage));
    sleep(length);
    rig.carry_out(Step::Serve(ordinary));
    sleep(AFTERWARDS);
    let after = proxies.stop();
    Served {
        totals: Totals {
            returned: after.returned - before.returned,
            shed: after.shed - before.shed,
            messages: after.messages - before.messages,
        },
        fills: fills(&rig.host.arrivals()) - fills_before,
    }
}

/// How long the change log is down, in milliseconds.
const OUTAGE_MS: (&str, u64) = ("CONTROL_NEWS_OUTAGE_MS", 8000);

/// Guards against an outage of the change log that costs users their answers: nothing is shed, and each object is filled once.
#[test]
fn while_the_change_log_is_down_nothing_is_shed_and_each_object_is_filled_once() {
    let served = serve_through(Service::Up, Service::Refused, Duration::from_millis(setting(OUTAGE_MS)));
    println!("{:?}, {} fills", served.totals, served.fills);
    assert_eq!(served.totals.shed, 0);
    assert_eq!(served.fills as u64, OBJECTS);
    // The refusal, and that it is over.
    assert_eq!(served.totals.messages, 2 * PROXIES);
}

/// Guards against costs of a change log that is back within 2 s of a break, or far away.
#[test]
fn a_change_log_that_is_back_soon_or_far_away_costs_nothing() {
    let late = |ms| Service::Late(Duration::from_millis(ms));
    let cases = [
        ("no trouble", Service::Up, Service::Up, 3000),
        ("back after 1.9 s", Service::Up, Service::Refused, 1900),
        ("begins to be late by 0.15 s", Service::Up, late(150), 3000),
        ("far away by 0.2 s", late(200), late(200), 3000),
        ("far away by 0.6 s", late(600), late(600), 3000),
    ];
    let threads = cases.map(|(name, ordinary, outage, length_ms)| {
        let length = Duration::from_millis(length_ms);
        (name, thread::spawn(move || serve_through(ordinary, outage, length)))
    });
    for (name, thread) in threads {
        let served = thread.join().unwrap();
        println!("{name}: {:?}, {} fills", served.totals, served.fills);
        assert_ne!(served.totals.returned, 0, "{name}");
        assert_eq!((served.totals.shed, served.fills, served.totals.messages), (0, 0, 0), "{name}");
    }
}

/// Guards against refusals that the operator of the service is not told of, or told of in vain.
#[test]
fn the_log_tells_that_proxies_will_refuse_copies_that_they_do_and_that_this_is_over() {
    let mut rig = Rig::start();
    sleep(START_UP);
    rig.carry_out(Step::Serve(Service::Refused));
    sleep(Duration::from_millis(3500));
    rig.carry_out(Step::Serve(Service::Up));
    sleep(Duration::from_millis(1000));
    let expected = [
        "proxies will refuse older copies unless the change log is heard",
        "change log not heard in time, proxies refuse older copies",
        "proxies accept older copies again",
    ];
    assert_eq!(rig.lines_on_refusals(), expected);
}
