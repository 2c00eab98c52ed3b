//! The proof of membership: dispatchers as processes that know who is there, with faults on every way between them. Judged by
//! what each says of all others when it is looked at, by this process's clock, and by the bytes that crossed the ways.

use crate::stand::between::Between;
use crate::stand::net::{Net, Party, Way};
use crate::stand::process::{Dispatcher, own_address_of};
use crate::stand::{self, watch};
use clap::ValueEnum;
use myrtlegauge_membership::message::{Body, Datagram, Exchange, MemberRecord, decode, encode, fleet_id};
use myrtlegauge_membership::{MemberState, MemberVersion};
use rustix::process::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

pub const FLEET: &str = "lab";
/// Between two looks at all members.
const LOOKS: Duration = Duration::from_millis(100);
/// Until all know each other, from a start of all at once and from the end of a fault.
const WHOLE_WITHIN: Duration = Duration::from_secs(10);
/// Until all know a death; a look late, and a busy machine.
const DEATH_WITHIN: Duration = Duration::from_millis(2000);
const BYTES_MOST: f64 = 3000.0;
const TOO_BUSY: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Case {
    /// One is killed.
    Death,
    /// One is frozen for three seconds; then a third; then all but one.
    Pause,
    /// Three in ten datagrams are lost on every way.
    Loss,
    /// One cannot be heard by another, then two by each other, then a ring of such cuts.
    Cuts,
    /// One hears nobody; then one is heard by nobody.
    Deaf,
    /// Two halves, healed; three parts, healed.
    Split,
    /// One is killed and starts again, three times.
    Restart,
    /// All are killed, and start together.
    All,
    /// One says of all others that they are gone.
    Liar,
    /// One is sent pings and garbage without end.
    Flood,
}

#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 16)]
    dispatchers: usize,
    /// One case alone; else all of them.
    #[arg(long)]
    case: Option<Case>,
    /// The small form: eight dispatchers.
    #[arg(long)]
    quick: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(prove(plan))
}

/// What members say of each other, at one time.
type Views = BTreeMap<usize, Exchange>;

struct Rig {
    dispatchers: Vec<Dispatcher>,
    between: Arc<Between>,
    net: Arc<Net>,
    chance: fastrand::Rng,
    /// Who was held for gone though it was not to be, by whom.
    wrong: Vec<String>,
    down: Vec<bool>,
}

fn file(index: usize, listen: SocketAddr, between: &Between, count: usize) -> String {
    let peers: String = between.reached.iter().take(3).map(|peer| format!("(peer \"{peer}\") ")).collect();
    format!(
        r#"(log (level info))
(dispatcher (name "d{index}") (listen "{listen}") (change-log "127.0.0.1:9")
  (peers (listen "{}") (reached-at "{}") (fleet "{FLEET}") {peers}))
(footprint (zone "edge") (here "edge") (parents no) (instances {count}) (transfer-pace 10MB/s)
  (cache-start (share 22%) (warm-within 3s)))
(delivery-service "photo" (objective 400ms) (timeout 5s))
"#,
        between.listens[index], between.reached[index],
    )
}

/// All that a member knows; none if it does not say so in time.
pub async fn ask(at: SocketAddr) -> Option<Exchange> {
    let said = encode(&Exchange {
        fleet: fleet_id(FLEET),
        from: None,
        epoch: 0,
        reaches_most: false,
        records: vec![],
    });
    let talk = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(&said).await.ok()?;
        stream.shutdown().await.ok()?;
        let mut all = Vec::new();
        stream.read_to_end(&mut all).await.ok()?;
        decode::<Exchange>(&all, 1 << 20).ok()
    };
    tokio::time::timeout(Duration::from_millis(300), talk).await.ok().flatten()
}

/// The number of the member that a line is about.
pub fn number(line: &MemberRecord) -> Option<usize> {
    line.name.strip_prefix('d')?.parse().ok()
}

impl Rig {
    async fn start(plan: &Plan) -> Result<Self, String> {
        let count = if plan.quick { 8 } else { plan.dispatchers.clamp(4, 100) };
        let net = Arc::new(Net::new(plan.seed));
        let listens = (0..count).map(own_address_of).collect();
        let between = Between::lay(listens, &net).await.map_err(|e| e.to_string())?;
        let mut dispatchers = Vec::new();
        for index in 0..count {
            let text = |listen| file(index, listen, &between, count);
            dispatchers.push(Dispatcher::start_following(text, false)?);
        }
        let chance = fastrand::Rng::with_seed(plan.seed);
        let mut rig = Self { dispatchers, between, net, chance, wrong: Vec::new(), down: vec![false; count] };
        let whole = rig.until_whole(WHOLE_WITHIN, &[]).await;
        whole.map(|_| rig).ok_or_else(|| "the members did not find each other".into())
    }

    fn count(&self) -> usize {
        self.dispatchers.len()
    }

    /// What all members say now. Whoever holds another for gone that is not to be is noted, unless it is of `may`.
    async fn views(&mut self, may: &[usize]) -> Views {
        let mut asked = tokio::task::JoinSet::new();
        for (index, at) in self.between.listens.iter().copied().enumerate() {
            asked.spawn(async move { Some((index, ask(at).await?)) });
        }
        let views: Views = asked.join_all().await.into_iter().flatten().collect();
        for (by, view) in &views {
            for line in view.records.iter().filter(|line| line.state == MemberState::Dead) {
                let of = number(line).unwrap_or(usize::MAX);
                if !may.contains(&of) && !may.contains(by) {
                    self.wrong.push(format!("d{by} holds {} for gone", line.name));
                }
            }
        }
        views
    }

    async fn watch(&mut self, long: Duration, may: &[usize]) -> Views {
        let until = Instant::now() + long;
        let mut last = Views::new();
        while Instant::now() < until {
            last = self.views(may).await;
            tokio::time::sleep(LOOKS).await;
        }
        last
    }

    /// Until every live member holds every other for here, and has most; how long it took.
    async fn until_whole(&mut self, most: Duration, may: &[usize]) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < most {
            let views = self.views(may).await;
            let live: Vec<_> = (0..self.count()).filter(|&index| !self.down[index]).collect();
            let whole = |by: &usize| {
                views.get(by).is_some_and(|view| {
                    let here = view.records.iter().filter(|line| line.state == MemberState::Alive);
                    view.reaches_most
                        && here.filter_map(number).filter(|of| live.contains(of)).count() + 1 == live.len()
                })
            };
            if live.iter().all(whole) {
                return Some(began.elapsed());
            }
            tokio::time::sleep(LOOKS).await;
        }
        None
    }

    fn cut(&self, from: usize, to: usize) {
        self.net.set(Party::Dispatcher(from), Party::Dispatcher(to), Way::Cut);
    }

    fn all_ways(&self, what: impl Fn(&Net, Party, Party)) {
        for from in 0..self.count() {
            for to in (0..self.count()).filter(|&to| to != from) {
                what(&self.net, Party::Dispatcher(from), Party::Dispatcher(to));
            }
        }
    }

    fn mend(&self) {
        self.all_ways(|net, from, to| net.mend(from, to));
    }

    fn some(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<_> = (0..self.count()).collect();
        self.chance.shuffle(&mut all);
        all.truncate(count);
        all
    }

    fn kill(&mut self, index: usize) {
        self.dispatchers[index].kill();
        self.down[index] = true;
    }

    fn begin(&mut self, index: usize) -> Result<(), String> {
        self.down[index] = false;
        self.dispatchers[index].begin(None)
    }

    async fn play(&mut self, case: Case, breaks: &mut Vec<String>) -> Result<Option<Duration>, String> {
        let (s, ms, count) = (Duration::from_secs, Duration::from_millis, self.count());
        let mut figure = None;
        let mut may = Vec::new();
        match case {
            Case::Death => {
                let dead = self.some(1)[0];
                self.kill(dead);
                let began = Instant::now();
                loop {
                    let views = self.views(&[dead]).await;
                    let knows = |view: &Exchange| {
                        view.records
                            .iter()
                            .any(|line| number(line) == Some(dead) && line.state == MemberState::Dead)
                    };
                    if views.len() + 1 == count && views.values().all(knows) {
                        break;
                    }
                    if began.elapsed() > s(10) {
                        breaks.push("a death was not known by all after 10 s".into());
                        break;
                    }
                    tokio::time::sleep(ms(20)).await;
                }
                figure = Some(began.elapsed());
                if began.elapsed() > DEATH_WITHIN {
                    breaks.push(format!("a death was known by all after {:?}", began.elapsed()));
                }
                self.begin(dead)?;
                may.push(dead);
            }
            Case::Pause => {
                for frozen in [1, count / 3, count - 1] {
                    let frozen = self.some(frozen);
                    frozen.iter().for_each(|&index| self.dispatchers[index].signal(Signal::STOP));
                    self.watch(s(3), &[]).await;
                    frozen.iter().for_each(|&index| self.dispatchers[index].signal(Signal::CONT));
                    self.watch(s(2), &[]).await;
                }
            }
            Case::Loss => {
                self.all_ways(|net, from, to| net.set(from, to, Way::Lossy(30)));
                self.watch(s(10), &[]).await;
            }
            Case::Cuts => {
                let pair = self.some(2);
                self.cut(pair[0], pair[1]);
                self.watch(s(3), &[]).await;
                self.cut(pair[1], pair[0]);
                self.watch(s(3), &[]).await;
                (0..count).for_each(|index| self.cut(index, (index + 1) % count));
                self.watch(s(4), &[]).await;
            }
            Case::Deaf => {
                for hears in [false, true] {
                    let one = self.some(1)[0];
                    for other in (0..count).filter(|&other| other != one) {
                        let (from, to) = if hears { (one, other) } else { (other, one) };
                        self.cut(from, to);
                    }
                    let views = self.watch(s(5), &[one]).await;
                    let most = |index: usize| views.get(&index).is_some_and(|view| view.reaches_most);
                    if most(one) {
                        breaks.push(format!("d{one} is out and holds that it reaches most"));
                    }
                    let others = (0..count).filter(|&other| other != one && !most(other)).count();
                    if others > 0 {
                        breaks.push(format!("{others} lost most for one that is out"));
                    }
                    self.mend();
                    may.push(one);
                    self.until_whole(WHOLE_WITHIN, &may).await;
                }
            }
            Case::Split => {
                for parts in [2, 3] {
                    let all: Vec<_> = (0..count).collect();
                    for from in 0..count {
                        (0..count).filter(|to| to % parts != from % parts).for_each(|to| self.cut(from, to));
                    }
                    let views = self.watch(s(4), &all).await;
                    let most = views.values().filter(|view| view.reaches_most).count();
                    if most > 0 {
                        breaks.push(format!(
                            "{most} of a fleet in {parts} equal parts hold that they reach most"
                        ));
                    }
                    self.mend();
                    may = all;
                    figure = self.until_whole(WHOLE_WITHIN, &may).await;
                }
            }
            Case::Restart => {
                for _ in 0..3 {
                    let one = self.some(1)[0];
                    self.kill(one);
                    tokio::time::sleep(ms(300)).await;
                    self.begin(one)?;
                    may.push(one);
                    figure = self.until_whole(WHOLE_WITHIN, &may).await;
                }
            }
            Case::All => {
                may = (0..count).collect();
                (0..count).for_each(|index| self.kill(index));
                for index in 0..count {
                    self.begin(index)?;
                }
                figure = self.until_whole(WHOLE_WITHIN, &may).await;
            }
            Case::Liar | Case::Flood => {
                let views = self.views(&[]).await;
                let known = views.values().next().map(|view| view.records.clone()).unwrap_or_default();
                let gone: Vec<_> =
                    known.into_iter().map(|line| MemberRecord { state: MemberState::Dead, ..line }).collect();
                let from = MemberRecord {
                    name: "d0".into(),
                    address: self.between.reached[0],
                    version: MemberVersion { generation: 1, incarnation: 0 },
                    state: MemberState::Alive,
                };
                let liar = UdpSocket::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
                let (began, before) =
                    (Instant::now(), (0..count).map(|index| self.between.sent(index)).sum::<u64>());
                let to = if case == Case::Flood {
                    &self.between.listens[1..2]
                } else {
                    &self.between.listens[1..]
                };
                let to = to.to_vec();
                let flooding = tokio::spawn(async move {
                    for number in 0..if case == Case::Flood { 40_000 } else { 400 } {
                        for (&to, lines) in to.iter().zip(gone.chunks(6).cycle()) {
                            let (fleet, from) = (fleet_id(FLEET), from.clone());
                            let lines = if case == Case::Liar { lines.to_vec() } else { Vec::new() };
                            let body = Body::Ping { seq: number };
                            let mut said = encode(&Datagram { fleet, from, body, records: lines });
                            if case == Case::Flood && number % 2 == 0 {
                                said.reverse();
                            }
                            let _ = liar.send_to(&said, to).await;
                        }
                        let pause = if case == Case::Flood { 100 } else { 10_000 };
                        tokio::time::sleep(Duration::from_micros(pause)).await;
                    }
                });
                self.watch(s(4), &[]).await;
                flooding.abort();
                let sent = (0..count).map(|index| self.between.sent(index)).sum::<u64>() - before;
                let each = sent as f64 / count as f64 / began.elapsed().as_secs_f64();
                if each > BYTES_MOST {
                    breaks.push(format!("{each:.0} bytes a second from each member"));
                }
            }
        }
        self.mend();
        match self.until_whole(WHOLE_WITHIN, &may).await {
            None => breaks.push("the views were not whole again".into()),
            Some(after) => figure = figure.or(Some(after)),
        }
        for (index, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            if dispatcher.has_crashed() {
                breaks.push(format!("d{index} ended by itself"));
            }
        }
        self.wrong.dedup();
        breaks.extend(std::mem::take(&mut self.wrong).into_iter().take(3));
        Ok(figure)
    }
}

async fn prove(plan: &Plan) -> Result<ExitCode, String> {
    let lag = Arc::new(AtomicU64::new(0));
    let watching = tokio::spawn(watch(Arc::clone(&lag)));
    let mut rig = Rig::start(plan).await?;
    let (before, began) =
        ((0..rig.count()).map(|index| rig.between.sent(index)).sum::<u64>(), Instant::now());
    rig.watch(Duration::from_secs(3), &[]).await;
    let sent = (0..rig.count()).map(|index| rig.between.sent(index)).sum::<u64>() - before;
    let quiet = sent as f64 / rig.count() as f64 / began.elapsed().as_secs_f64();
    println!("{} members, {quiet:.0} bytes a second from each on a quiet day", rig.count());
    let cases = plan.case.map_or_else(|| Case::value_variants().to_vec(), |case| vec![case]);
    let (mut runs, mut broken, mut judged) = (Vec::new(), 0, true);
    for case in cases {
        lag.store(0, Ordering::Relaxed);
        let mut breaks = Vec::new();
        let after = rig.play(case, &mut breaks).await?;
        let lag = Duration::from_micros(lag.load(Ordering::Relaxed));
        judged &= breaks.is_empty() || lag < TOO_BUSY;
        let after_ms = after.map(|after| after.as_millis() as u64);
        println!("{case:?}: known or whole after {after_ms:?} ms, this machine at most {lag:?} late");
        breaks.iter().for_each(|what| println!("BROKEN {what}"));
        if !breaks.is_empty() {
            println!(
                "replay: cargo run --release -p myrtlegauge-lab -- membership --case {case:?} --seed {}",
                plan.seed
            );
        }
        broken += breaks.len();
        runs.push(json!({"case": format!("{case:?}"), "after_ms": after_ms, "breaks": breaks, "lag_ms": lag.as_millis() as u64}));
    }
    watching.abort();
    let told = json!({"proof": "membership", "seed": plan.seed, "dispatchers": rig.count(), "held": broken == 0,
        "judged": judged, "broken": broken, "quiet_bytes_a_second": quiet.round(), "runs": runs});
    println!("{told}");
    Ok(stand::verdict(broken == 0, judged))
}
