//! Stand-in caches, parents and origin: they speak the dispatcher's protocol to hosts, keep copies with their birth, obey
//! the oldest age that will do, fill from the source they are told, and note every arrival.

use super::ledger::{Ledger, unix_ms};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// ms; the fresh time of the service whose copies age.
pub const FRESH_MS: f64 = 5000.0;
/// After this much a purge has reached every host by itself.
const PURGED_WITHIN: Duration = Duration::from_millis(5500);
/// Work of a host for one GET.
const WORK: Duration = Duration::from_micros(300);
/// Bytes of one word.
const WORD_LONG: usize = 64 * 1024;

pub struct Host {
    pub index: usize,
    pub name: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    /// When its life began, Unix milliseconds, as the list tells it.
    pub since_ms: AtomicU64,
    /// An effect is known by the object it names, not by the id of the try; and no answer is lost on purpose.
    by_object: bool,
    listener: Mutex<Option<std::net::TcpListener>>,
    copies: Mutex<HashMap<(u64, u32), f64>>,
    fleet: OnceLock<Vec<Arc<Host>>>,
}

impl Host {
    pub fn new(index: usize, kind: &'static str) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        Ok(Self {
            index,
            name: format!("{kind}-{index}"),
            address: listener.local_addr()?,
            kind,
            since_ms: AtomicU64::new(0),
            by_object: false,
            listener: Mutex::new(Some(listener)),
            copies: Mutex::default(),
            fleet: OnceLock::new(),
        })
    }

    pub fn by_object(self) -> Self {
        Self { by_object: true, ..self }
    }

    pub fn meet(&self, fleet: &[Arc<Host>]) {
        let _ = self.fleet.set(fleet.to_vec());
    }

    /// A new process at the same address, with nothing in it.
    pub fn restart(&self) {
        self.copies.lock().expect("no holder panics").clear();
        self.since_ms.store(unix_ms() as u64, Ordering::Relaxed);
    }

    pub async fn serve(self: Arc<Self>, ledger: Arc<Ledger>) -> std::io::Result<()> {
        let listener = self.listener.lock().expect("no holder panics").take().expect("served once");
        let listener = TcpListener::from_std(listener)?;
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (host, ledger) = (Arc::clone(&self), Arc::clone(&ledger));
            tokio::spawn(async move { host.connection(stream, &ledger).await });
        }
    }

    async fn connection(&self, stream: TcpStream, ledger: &Arc<Ledger>) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let Some(words) = read_words(&mut stream, |first| ledger_first(self, ledger, first)).await?
            else {
                return Ok(());
            };
            let [verb, id, fields, body] = &words[..] else { return Ok(()) };
            if verb != b"serve" {
                continue;
            }
            let (id, fields) =
                (String::from_utf8_lossy(id).into_owned(), String::from_utf8_lossy(fields).into_owned());
            tokio::time::sleep(WORK).await;
            let answer = self.answer(&id, &fields, body, ledger).await;
            if self.kind == "cache"
                && !self.by_object
                && fields.starts_with("lane=delivery-confirm")
                && id.ends_with(['3', 'b'])
            {
                // It ran, and nobody is told.
                return Ok(());
            }
            stream.get_mut().write_all(&answer).await?;
        }
    }

    async fn answer(&self, id: &str, fields: &str, _: &[u8], ledger: &Arc<Ledger>) -> Vec<u8> {
        let field = |name: &str| {
            let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let lane = field("lane").unwrap_or_default();
        if lane == "delivery-confirm" || lane == "order-note" {
            if self.kind == "origin" && lane == "order-note" {
                // Repeats are dropped where the page says so: it is counted on the ways.
                return words(&[id, "200", "-", "done"]);
            }
            if self.kind == "origin" {
                let object = field("name").unwrap_or_default();
                ledger.ran(if self.by_object { object.trim_start_matches('0') } else { id });
                return words(&[id, "200", "-", "done"]);
            }
            return match self.ask(field("up"), id, fields, ledger).await {
                Some(_) => words(&[id, "200", "-", "done"]),
                None => words(&[id, "500", "-", ""]),
            };
        }
        let object = field("name").and_then(|name| u64::from_str_radix(&name, 16).ok()).unwrap_or(0);
        let part = field("piece").and_then(|part| part.parse().ok()).unwrap_or(0);
        let told: f64 = field("cap").and_then(|cap| cap.parse().ok()).unwrap_or(0.0);
        let now = unix_ms();
        if self.kind == "origin" {
            return words(&[id, "200", &format!("rev=a,since={now:.0}"), "bytes"]);
        }
        // No age told: the fresh time of the service, or any where it has none.
        let oldest = match (told > 0.0, lane.as_str()) {
            (true, _) => told,
            (false, "product-photo") => FRESH_MS,
            _ => f64::INFINITY,
        };
        let held = self.copies.lock().expect("no holder panics").get(&(object, part)).copied();
        // A purge reaches every host in the end, as the operator file says.
        let held = held.filter(|&born| !ledger.purged_since(object, object % 64, born, PURGED_WITHIN));
        if let Some(born) = held.filter(|born| now - born <= oldest) {
            return words(&[id, "200", &format!("rev=a,since={born:.0},why=TCP_HIT"), "bytes"]);
        }
        // A parent fills from the origin.
        let up = if self.kind == "parent" { Some("origin".to_owned()) } else { field("up") };
        match self.ask(up, id, fields, ledger).await {
            Some(born) => {
                self.copies.lock().expect("no holder panics").insert((object, part), born);
                words(&[id, "200", &format!("rev=a,since={born:.0},why=TCP_MISS"), "bytes"])
            }
            None => words(&[id, "404", "-", ""]),
        }
    }

    /// Asks a source on a connection of its own, for its birth of the copy.
    async fn ask(&self, up: Option<String>, id: &str, fields: &str, ledger: &Arc<Ledger>) -> Option<f64> {
        let up = up?;
        let source =
            self.fleet.get()?.iter().find(|host| host.name == up || host.kind == up && up == "origin")?;
        let asked = async {
            let stream = TcpStream::connect(source.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let mut stream = BufReader::new(stream);
            let fields: Vec<_> = fields.split(',').filter(|pair| !pair.starts_with("up=")).collect();
            let fill = format!("{},fill=1", fields.join(","));
            stream.get_mut().write_all(&words(&["serve", id, &fill, ""])).await.ok()?;
            let answer = read_words(&mut stream, |_| {}).await.ok()??;
            if answer.get(1).is_none_or(|word| word != b"200") {
                return None;
            }
            let fields = String::from_utf8_lossy(answer.get(2)?).into_owned();
            let since = fields.split(',').find_map(|pair| pair.strip_prefix("since="));
            Some(since.and_then(|since| since.parse().ok()).unwrap_or(0.0))
        };
        let _ = ledger;
        tokio::time::timeout(Duration::from_millis(400), asked).await.ok()?
    }
}

/// The arrival counts from the first byte, but which kind it is is known only from the whole.
fn ledger_first(host: &Host, ledger: &Ledger, words: &[Vec<u8>]) {
    let id = words.get(1).map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default();
    let fill = words.get(2).is_some_and(|fields| fields.ends_with(b"fill=1"));
    ledger.arrived(host.index, &id, fill);
}

pub fn words(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

/// Reads one array of words; none at the end of the stream.
pub async fn read_words(
    stream: &mut BufReader<TcpStream>,
    whole: impl FnOnce(&[Vec<u8>]),
) -> std::io::Result<Option<Vec<Vec<u8>>>> {
    let bad = || std::io::Error::other("no array of words");
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let count: usize = line.trim().strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
    let mut words = Vec::new();
    for _ in 0..count.min(8) {
        line.clear();
        stream.read_line(&mut line).await?;
        let long: usize = line.trim().strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        let mut word = vec![0; long.min(WORD_LONG) + 2];
        stream.read_exact(&mut word).await?;
        word.truncate(long);
        words.push(word);
    }
    whole(&words);
    Ok(Some(words))
}
