//! What was told and what happened, as the stand-ins saw it, and what of it breaks a promise. Nothing here is taken from
//! the control service's or the followers' own books.

use super::net::Party;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
pub const PURGE_GRACE: Duration = Duration::from_millis(1000);
/// What the change log has to tell counts as told after this, whether it arrived or not.
const TOLD_AFTER: Duration = Duration::from_millis(7000);
/// Breaks that are kept in words; all are counted.
const BREAKS_MOST: usize = 20;

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    Object(u64),
    Group(u64),
}

struct Purge {
    named: Named,
    unix_ms: f64,
    put: Instant,
    /// When it was first told, and to whom when.
    told: Option<Instant>,
    told_to: BTreeMap<Party, Instant>,
}

/// The start of a host, as it was put into the change log.
struct Start {
    put: Instant,
    told_to: BTreeMap<Party, Instant>,
}

struct Drain {
    told: Option<Instant>,
    /// When each proxy that was connected then had taken it.
    effects: HashMap<usize, Duration>,
}

#[derive(Default)]
struct Books {
    purges: Vec<Purge>,
    drains: BTreeMap<usize, Drain>,
    starts: Vec<Start>,
    effects: HashMap<String, u32>,
    breaks: Vec<String>,
    broken: u64,
    answers: BTreeMap<&'static str, u64>,
    taken: u64,
    answered: u64,
    arrivals: u64,
    fills: u64,
    worst_after_drain: Duration,
    worst_after_purge: Duration,
    drain_effect: Option<Histogram<u64>>,
    purge_effect: Option<Histogram<u64>>,
}

pub struct Ledger {
    start: Instant,
    books: Mutex<Books>,
}

pub struct Percentiles {
    pub count: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub worst_us: u64,
}

impl Ledger {
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).ok();
        let books = Books { drain_effect: histogram(), purge_effect: histogram(), ..Books::default() };
        Self { start: Instant::now(), books: Mutex::new(books) }
    }

    fn with<T>(&self, does: impl FnOnce(&mut Books) -> T) -> T {
        does(&mut self.books.lock().expect("no holder of the ledger panics"))
    }

    /// What a run does, for who looks into a break: `LAB_TRACE` set.
    pub fn say(&self, what: std::fmt::Arguments<'_>) {
        if std::env::var_os("LAB_TRACE").is_some() {
            eprintln!("{:>7.3} s  {what}", self.start.elapsed().as_secs_f64());
        }
    }

    fn broke(&self, books: &mut Books, what: String) {
        books.broken += 1;
        if books.breaks.len() < BREAKS_MOST {
            books.breaks.push(format!("{:>7.3} s  {what}", self.start.elapsed().as_secs_f64()));
        }
    }

    /// A drain is in the change log, and was written to the control service once `told` is called.
    pub fn draining(&self, host: usize) {
        self.with(|books| books.drains.insert(host, Drain { told: None, effects: HashMap::new() }));
    }

    pub fn drain_told(&self, host: usize) {
        self.with(|books| {
            if let Some(drain) = books.drains.get_mut(&host) {
                drain.told.get_or_insert_with(Instant::now);
            }
        });
    }

    /// The host is another life now.
    pub fn lives_anew(&self, host: usize) {
        self.with(|books| books.drains.remove(&host));
    }

    pub fn draining_hosts(&self) -> Vec<usize> {
        self.with(|books| {
            books.drains.iter().filter(|(_, d)| d.told.is_some()).map(|(host, _)| *host).collect()
        })
    }

    pub fn is_draining(&self, host: usize) -> bool {
        self.with(|books| books.drains.contains_key(&host))
    }

    /// A connected proxy's choices no longer hold the host. `fresh`: it was connected all the while since it was told.
    pub fn drain_took_effect(&self, host: usize, proxy: usize, since: Instant) {
        self.with(|books| {
            let Some(drain) = books.drains.get_mut(&host) else { return };
            let Some(told) = drain.told.filter(|told| since <= *told) else { return };
            if drain.effects.contains_key(&proxy) {
                return;
            }
            let took = told.elapsed();
            drain.effects.insert(proxy, took);
            if let Some(histogram) = &mut books.drain_effect {
                let _ = histogram.record(took.as_micros() as u64);
            }
        });
    }

    pub fn purged(&self, named: Named, unix_ms: f64) -> usize {
        self.with(|books| {
            let told_to = BTreeMap::new();
            books.purges.push(Purge { named, unix_ms, put: Instant::now(), told: None, told_to });
            books.purges.len() - 1
        })
    }

    pub fn purge_told(&self, purge: usize, who: Party) {
        self.with(|books| {
            let purge = &mut books.purges[purge];
            purge.told.get_or_insert_with(Instant::now);
            purge.told_to.entry(who).or_insert_with(Instant::now);
        });
    }

    /// A host's start is put into the change log; the number by which it is told.
    pub fn start_put(&self) -> usize {
        self.with(|books| {
            books.starts.push(Start { put: Instant::now(), told_to: BTreeMap::new() });
            books.starts.len() - 1
        })
    }

    pub fn start_told(&self, start: usize, who: Party) {
        self.with(|books| {
            books.starts[start].told_to.entry(who).or_insert_with(Instant::now);
        });
    }

    /// When a dispatcher counts as told of a start: as it was, or a while after it was put into the change log.
    pub fn start_told_at(&self, start: usize, who: Party) -> Instant {
        self.with(|books| {
            let start = &books.starts[start];
            let latest = start.put + TOLD_AFTER;
            start.told_to.get(&who).map_or(latest, |&told| told.min(latest))
        })
    }

    pub fn purge_took_effect(&self, purge: usize, since: Instant) {
        self.with(|books| {
            let told = books.purges[purge].told.filter(|told| since <= *told);
            if let (Some(told), Some(histogram)) = (told, &mut books.purge_effect) {
                let _ = histogram.record(told.elapsed().as_micros() as u64);
            }
        });
    }

    /// Purges told so far, for a proxy to see which it has.
    pub fn purges(&self, from: usize) -> Vec<(usize, Named, f64)> {
        self.with(|books| {
            let told =
                books.purges.iter().enumerate().skip(from).take_while(|(_, purge)| purge.told.is_some());
            told.map(|(at, purge)| (at, purge.named, purge.unix_ms)).collect()
        })
    }

    /// The first byte of a GET, or of a fill asked of this host as a source, is there.
    pub fn arrived(&self, host: usize, id: &str, fill: bool) {
        self.with(|books| {
            books.arrivals += u64::from(!fill);
            books.fills += u64::from(fill);
            let told = books.drains.get(&host).and_then(|drain| drain.told);
            let Some(after) = told.map(|told| told.elapsed()) else { return };
            books.worst_after_drain = books.worst_after_drain.max(after);
            if after > DRAIN_GRACE {
                let what = if fill { "a fill" } else { "a GET" };
                self.broke(
                    books,
                    format!("{what} ({id}) at host {host}, {after:?} after its drain was told"),
                );
            }
        });
    }

    /// A non-idempotent GET ran.
    pub fn ran(&self, id: &str) {
        self.with(|books| {
            let count = books.effects.entry(id.to_owned()).or_default();
            *count += 1;
            if *count > 1 {
                let count = *count;
                self.broke(books, format!("{id} ran {count} times"));
            }
        });
    }

    /// Whether the GET of an object of its own ran.
    pub fn has_run(&self, object: u64) -> bool {
        self.with(|books| books.effects.contains_key(&format!("{object:x}")))
    }

    pub fn took(&self) {
        self.with(|books| books.taken += 1);
    }

    /// A GET's final answer.
    pub fn answered(&self, how: &'static str) {
        self.with(|books| {
            books.answered += 1;
            *books.answers.entry(how).or_default() += 1;
        });
    }

    /// A copy was returned to a client.
    pub fn returned(&self, object: u64, group: u64, born_ms: f64) {
        let now = Instant::now();
        self.judge_copy(object, group, born_ms, now, |purge| purge.told);
    }

    /// A copy was returned by one that polls the change log itself, to a GET taken at `asked`. What was not told to it
    /// counts as told after a while all the same.
    pub fn returned_by(&self, who: Party, object: u64, group: u64, born_ms: f64, asked: Instant) {
        let told = |purge: &Purge| {
            let told = purge.told_to.get(&who).copied();
            Some(told.unwrap_or(purge.put + TOLD_AFTER).min(purge.put + TOLD_AFTER))
        };
        self.judge_copy(object, group, born_ms, asked, told);
    }

    fn judge_copy(
        &self,
        object: u64,
        group: u64,
        born_ms: f64,
        at: Instant,
        told: impl Fn(&Purge) -> Option<Instant>,
    ) {
        self.with(|books| {
            let mut worst = Duration::ZERO;
            for purge in books.purges.iter().rev().take(2000) {
                let named = purge.named == Named::Object(object) || purge.named == Named::Group(group);
                if named && born_ms < purge.unix_ms {
                    let since = told(purge).map(|told| at.saturating_duration_since(told));
                    worst = worst.max(since.unwrap_or_default());
                }
            }
            books.worst_after_purge = books.worst_after_purge.max(worst);
            if worst > PURGE_GRACE {
                self.broke(
                    books,
                    format!("object {object:x} returned from before a purge, {worst:?} after it was told"),
                );
            }
        });
    }

    /// Whether a copy is from before a purge that was told so long ago.
    pub fn purged_since(&self, object: u64, group: u64, born_ms: f64, long: Duration) -> bool {
        self.with(|books| {
            books.purges.iter().rev().any(|purge| {
                let named = purge.named == Named::Object(object) || purge.named == Named::Group(group);
                named && born_ms < purge.unix_ms && purge.told.is_some_and(|told| told.elapsed() > long)
            })
        })
    }

    pub fn broken(&self, what: String) {
        self.with(|books| self.broke(books, what));
    }

    pub fn breaks(&self) -> (u64, Vec<String>) {
        self.with(|books| (books.broken, books.breaks.clone()))
    }

    pub fn answers(&self) -> (u64, u64, BTreeMap<&'static str, u64>) {
        self.with(|books| (books.taken, books.answered, books.answers.clone()))
    }

    pub fn counted(&self) -> [u64; 4] {
        self.with(|books| {
            [books.arrivals, books.fills, books.purges.len() as u64, books.effects.len() as u64]
        })
    }

    pub fn worst(&self) -> (Duration, Duration) {
        self.with(|books| (books.worst_after_drain, books.worst_after_purge))
    }

    pub fn took_effect(&self) -> [Percentiles; 2] {
        self.with(|books| {
            [&books.drain_effect, &books.purge_effect].map(|histogram| {
                let of = |part: f64| histogram.as_ref().map_or(0, |h| h.value_at_quantile(part));
                Percentiles {
                    count: histogram.as_ref().map_or(0, Histogram::len),
                    p50_us: of(0.5),
                    p99_us: of(0.99),
                    worst_us: histogram.as_ref().map_or(0, Histogram::max),
                }
            })
        })
    }
}
